"""The open client connections, their time limits, and which are closed when too many are open."""

import asyncio
from functools import partial
from typing import cast

from stoneyoke.net.client_connection import ClientConnection, Phase
from stoneyoke.net.descriptor_budget import DescriptorBudget, EvictionCandidate
from stoneyoke.net.errors import MalformedMessage
from stoneyoke.net.stream import has_hung_up
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.metrics import Metrics

# The operators' page: a client that connects gets an error or a close within 3 s, and a connection may be closed 2 s
# after its last request. The time of a message runs from its first byte, that of the first message from the accept.
MESSAGE_TIMEOUT_US = 2_000_000
RESPONSE_TIMEOUT_US = 10_000_000  # how long a response may wait for its client to read it
# The operators' page: clients open at most a third of the descriptors for requests. Connections that are kept open may
# use a quarter of the descriptors, which leaves clients a quarter of that third.
SILENT_DIVISOR = 3  # silent connections may use the budget's limit divided by this
PERSISTENT_DIVISOR = 4  # the other connections may use the process's descriptors divided by this, if some are idle


class ConnectionTable:
    """All open client connections, within their shares of the file descriptors.

    Attributes:
        open: Every connection.
        silent: Connections on which no complete message has arrived yet, the oldest first.
        idle: Connections that are idle after a response, the one that has been idle longest first.
        silent_max: The number of silent connections at which the oldest is closed before another is accepted.
        persistent_max: The number of other connections above which idle ones are closed.
        message_timeout_us: How long the head of a message may take to arrive.
        idle_timeout_us: How long a connection may be idle, and how long the body of a message may take to arrive.
    """

    def __init__(self, clock: Clock, metrics: Metrics, descriptor_budget: DescriptorBudget, descriptors: int) -> None:
        """Starts empty.

        Args:
            clock: The process's clock.
            metrics: Counts the connections that are closed, by reason.
            descriptor_budget: The budget that all connections share.
            descriptors: The number of file descriptors that the process may use.
        """
        self.clock, self.metrics = clock, metrics
        self.open: dict[asyncio.StreamWriter, ClientConnection] = {}
        self.silent: dict[ClientConnection, None] = {}
        self.idle: dict[ClientConnection, None] = {}
        self.silent_max = max(1, descriptor_budget.limit // SILENT_DIVISOR)
        self.persistent_max = max(1, descriptors // PERSISTENT_DIVISOR)
        self.message_timeout_us = self.idle_timeout_us = MESSAGE_TIMEOUT_US
        descriptor_budget.eviction_sources.append(self.eviction_candidate)

    # ---- events of connections ----

    def add(self, client: ClientConnection) -> None:
        """Adds a newly accepted connection, as silent."""
        self.open[client.writer] = client
        self.silent[client] = None

    def remove(self, client: ClientConnection) -> None:
        """Removes a connection that is closed."""
        del self.open[client.writer]
        self.remove_from_queues(client)

    def remove_from_queues(self, client: ClientConnection) -> None:
        """Notes that a connection is neither silent nor idle any more."""
        self.silent.pop(client, None)
        self.idle.pop(client, None)

    def mark_idle(self, client: ClientConnection) -> None:
        """Notes that a response has been written and no further input has arrived."""
        self.idle[client] = None
        self.limit_persistent()

    # ---- connections closed to make room for others ----

    def limit_silent(self) -> None:
        """Closes the oldest silent connection at their limit, so that a flood of them displaces no other connection."""
        if len(self.silent) >= self.silent_max:
            oldest = next((client for client in self.silent if client.can_close_safely()), None)
            if oldest:
                self.evict(oldest)

    def limit_persistent(self) -> None:
        """Closes the connections that have been idle longest while more than persistent_max are open.

        Otherwise no descriptors could be left for new connections of clients.
        """
        surplus = max(0, len(self.open) - len(self.silent) - self.persistent_max)
        for client in list(self.idle)[:surplus]:
            if client.can_close_safely():
                self.evict(client)

    def eviction_candidate(self) -> EvictionCandidate | None:
        """Returns the connection to close next for the descriptor budget, or None.

        Rejected ones come first, then idle ones, then those with a part of a message. A connection with a pending
        response is never closed.
        """
        for client in sorted(self.open.values(), key=eviction_order):
            if client.can_close_safely():
                mid_message = client.phase not in (Phase.IDLE, Phase.REJECTED)
                return EvictionCandidate(mid_message, client.phase_started_us, partial(self.evict, client))
        return None

    def evict(self, client: ClientConnection) -> None:
        """Aborts a connection to make room for another one."""
        self.metrics.add("client connections: closed for room")
        self.remove_from_queues(client)
        client.writer.transport.abort()

    def close_idle(self) -> None:
        """Closes all idle connections at the shutdown of the process."""
        for client in list(self.open.values()):
            if client.phase is Phase.IDLE and client.can_close_safely():
                client.writer.close()

    # ---- connections closed at their time limits ----

    def close_expired(self) -> None:
        """Closes connections that have been idle for too long, or whose message or response makes no progress.

        Called several times a second.
        """
        now = self.clock.now()
        for client in list(self.open.values()):
            if client.phase is Phase.RESPONDING:
                notice_departure(client)
            age = now - (client.accepted_at if client.silent else client.phase_started_us)
            if client.phase is Phase.REJECTED or client.pending or age < self.time_limit(client):
                continue
            self.close_overdue(client, age)

    def time_limit(self, client: ClientConnection) -> int:
        """Returns how long a connection may stay in its phase; for a body, as long as for an idle connection."""
        if client.phase is Phase.IDLE or client.receives_body():
            return max(self.idle_timeout_us, self.message_timeout_us)
        return self.message_timeout_us

    def close_overdue(self, client: ClientConnection, age: int) -> None:
        """Closes a connection that has exceeded its time limit, unless input has just arrived on it."""
        if client.phase is Phase.RESPONDING:
            if age >= RESPONSE_TIMEOUT_US:
                self.metrics.add("client connections: stuck")
                client.writer.transport.abort()
        elif not client.can_close_safely():
            return
        elif client.phase is Phase.IDLE:
            self.metrics.add("client connections: closed as idle")
            client.writer.transport.abort()
        else:
            self.metrics.add("client connections: stuck")
            client.protocol.discard_input()
            client.messages.stop(MalformedMessage("a message that does not come whole", 408))


def notice_departure(client: ClientConnection) -> None:
    """Detects that a client has disconnected while input from it waits unread.

    While a response is pending, asyncio stops reading from a client that has sent more than the stream's buffer holds,
    and then does not detect its close either. Without this check, the attempt would go on for a disconnected client.
    """
    transport = cast(asyncio.Transport, client.writer.transport)
    if not (client.disconnected or transport.is_closing() or transport.is_reading()) and has_hung_up(client.writer):
        client.peer_closed()


def eviction_order(client: ClientConnection) -> tuple[bool, bool, int]:
    """Sort key: rejected connections first, then idle ones, then the others; within each, the oldest phase first."""
    return client.phase is not Phase.REJECTED, client.phase is not Phase.IDLE, client.phase_started_us
