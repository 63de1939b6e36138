"""One budget of file descriptors for all connections of a process. At the limit, the longest idle one is closed."""

from collections.abc import Callable
from typing import NamedTuple


class EvictionCandidate(NamedTuple):
    """A connection that its holder can close without losing a request.

    Attributes:
        mid_message: A part of a message has come on it. Idle connections are evicted before such ones.
        since_us: Since when it has been idle, or the message has been coming.
        close: Closes it, which releases its descriptor.
    """

    mid_message: bool
    since_us: int
    close: Callable[[], None]


class DescriptorBudget:
    """The descriptors that connections may use, shared by all who hold connections.

    Attributes:
        limit: How many connections may be open before one is evicted for the next.
        reserve: How many more may be open that other processes have opened.
        used: How many are open.
        eviction_sources: Each holder's function that names its next connection to close, if it has one.
    """

    def __init__(self, limit: int, reserve: int) -> None:
        """Starts with nothing used."""
        self.limit, self.reserve = limit, reserve
        self.used = 0
        self.eviction_sources: list[Callable[[], EvictionCandidate | None]] = []

    def acquire(self, *, incoming: bool = False) -> bool:
        """Takes a descriptor for one more connection, and evicts another connection at the limit.

        Args:
            incoming: A client has opened the connection. It may use the reserve, since closing it could lose a request
                that is on it already.

        Returns:
            False if there is no descriptor and nothing to evict.
        """
        if self.used >= self.limit:
            candidates = [candidate for source in self.eviction_sources if (candidate := source())]
            if candidates:
                min(candidates, key=lambda candidate: candidate[:2]).close()
            elif not incoming or self.used >= self.limit + self.reserve:
                return False
        self.used += 1
        return True

    def release(self) -> None:
        """Gives a descriptor back: its connection is closed."""
        self.used -= 1
