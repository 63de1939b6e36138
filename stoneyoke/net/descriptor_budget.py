"""One budget of descriptors for all connections: at the limit, what is idle longest goes first."""

from collections.abc import Callable

EvictionCandidate = tuple[bool, int, Callable[[], None]]  # half way (idle ones go first), since when, what closes it


class DescriptorBudget:
    """The budget, shared by those who hold connections; each names the next of its own to close."""

    def __init__(self, most: int, spare: int) -> None:
        self.most, self.spare = most, spare
        self.used = 0
        self.eviction_sources: list[Callable[[], EvictionCandidate | None]] = []  # each holder's next to go

    def take(self, spare: bool = False) -> bool:
        """A place for one more connection. Those that others have opened may use what is kept spare: closing
        them could lose an RPC that is on them already."""
        if self.used >= self.most:
            found = [victim for ask in self.eviction_sources if (victim := ask())]
            if found:
                min(found, key=lambda victim: victim[:2])[2]()
            elif not spare or self.used >= self.most + self.spare:
                return False
        self.used += 1
        return True

    def free(self) -> None:
        self.used -= 1
