"""One budget of file descriptors for all connections of a process. At the limit, it closes the longest idle one."""

from collections.abc import Callable
from typing import NamedTuple


class EvictionCandidate(NamedTuple):
    """A connection that its owner can close without losing a request.

    Attributes:
        mid_message: A part of a message has arrived on it. Idle connections are evicted before such ones.
        since_us: When it became idle, or when the message began, in microseconds.
        close: Closes the connection, which releases its descriptor.
    """

    mid_message: bool
    since_us: int
    close: Callable[[], None]


class DescriptorBudget:
    """The file descriptors that connections may use, shared by all owners of connections.

    Attributes:
        limit: The number of open connections at which one is evicted before another is opened.
        reserve: How many connections above the limit may be open if a client opened them.
        used: The number of open connections.
        eviction_sources: One function of each owner, which returns its next connection to close, or None.
    """

    def __init__(self, limit: int, reserve: int) -> None:
        """Starts with no descriptor in use."""
        self.limit, self.reserve = limit, reserve
        self.used = 0
        self.eviction_sources: list[Callable[[], EvictionCandidate | None]] = []

    def acquire(self, *, incoming: bool = False) -> bool:
        """Acquires a descriptor for one more connection; at the limit, evicts another connection.

        Args:
            incoming: A client has opened the connection. It may use the reserve, because a request may have arrived on
                it already, and closing it would lose that request.

        Returns:
            False if no descriptor is left and no connection can be evicted.
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
        """Releases the descriptor of a closed connection."""
        self.used -= 1
