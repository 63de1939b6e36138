"""The combined effect of the faults that are active on a link. No I/O."""

from enum import IntEnum

from stoneyoke.lab.scenario import Fault


class Direction(IntEnum):
    """A direction over a link, as an index."""

    FORTH = 0  # from the side that opens connections to the link
    BACK = 1


class LinkConditions:
    """The active faults of one link, by their numbers, and their combined effect.

    Attributes:
        silent: By direction, whether no data passes.
        refuses: Whether new connections are refused.
        delay_s: The delay of each piece of data.
        jitter_s: The maximum random delay in addition.
        bytes_s: The bandwidth in bytes per second; 0: not limited.
        loss: The share of datagrams that are lost.
    """

    def __init__(self) -> None:
        """Starts without faults."""
        self._faults: dict[int, Fault] = {}
        self._update()

    def change(self, number: int, fault: Fault, begins: bool) -> None:
        """Starts or ends a fault."""
        if begins:
            self._faults[number] = fault
        else:
            self._faults.pop(number, None)
        self._update()

    def _update(self) -> None:
        kinds = {fault.kind for fault in self._faults.values()}
        delays = self._faults_of_kind("delay")
        cut = "cut" in kinds
        self.silent = [cut or "cut_there" in kinds, cut or "cut_back" in kinds]
        self.refuses = "refuse" in kinds
        self.delay_s = sum(fault.ms for fault in delays) / 1000
        self.jitter_s = sum(fault.jitter_ms for fault in delays) / 1000
        self.bytes_s = min((fault.bytes_s for fault in self._faults_of_kind("throttle")), default=0.0)
        self.loss = max((fault.part for fault in self._faults_of_kind("lose")), default=0.0)

    def _faults_of_kind(self, kind: str) -> list[Fault]:
        return [fault for fault in self._faults.values() if fault.kind == kind]

    @property
    def faultless(self) -> bool:
        """Whether no fault is active, so that data passes immediately."""
        return not self._faults

    @property
    def silent_in_any_direction(self) -> bool:
        """Whether no data passes in at least one direction."""
        return any(self.silent)
