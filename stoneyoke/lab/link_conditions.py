"""What the faults that lie on a link at a time make of it. No I/O."""

from enum import IntEnum

from stoneyoke.lab.scenario import Fault


class Direction(IntEnum):
    """A direction over a link, as an index."""

    FORTH = 0  # from where the link is entered
    BACK = 1


class LinkConditions:
    """The faults on one link, by their numbers, and their joint effect.

    Attributes:
        silent: By direction, whether nothing passes.
        refuses: Whether new connections are refused.
        delay_s: Added to each piece of data.
        jitter_s: The greatest random delay beside that.
        bytes_s: The bandwidth; 0: not limited.
        loss: The share of datagrams that get lost.
    """

    def __init__(self) -> None:
        """Starts without faults."""
        self._faults: dict[int, Fault] = {}
        self._update()

    def change(self, number: int, fault: Fault, begins: bool) -> None:
        """Begins or ends a fault."""
        if begins:
            self._faults[number] = fault
        else:
            self._faults.pop(number, None)
        self._update()

    def _update(self) -> None:
        kinds = {fault.kind for fault in self._faults.values()}
        delays = self._of_kind("delay")
        cut = "cut" in kinds
        self.silent = [cut or "cut_there" in kinds, cut or "cut_back" in kinds]
        self.refuses = "refuse" in kinds
        self.delay_s = sum(fault.ms for fault in delays) / 1000
        self.jitter_s = sum(fault.jitter_ms for fault in delays) / 1000
        self.bytes_s = min((fault.bytes_s for fault in self._of_kind("throttle")), default=0.0)
        self.loss = max((fault.part for fault in self._of_kind("lose")), default=0.0)

    def _of_kind(self, kind: str) -> list[Fault]:
        return [fault for fault in self._faults.values() if fault.kind == kind]

    @property
    def faultless(self) -> bool:
        """Whether data passes at once."""
        return not self._faults

    @property
    def silent_in_any_direction(self) -> bool:
        """Whether nothing passes in at least one direction."""
        return any(self.silent)
