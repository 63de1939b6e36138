"""The open connections of clients: which ones are closed when, and for whose sake."""

import asyncio
from functools import partial
from typing import cast

from stoneyoke.net.client_connection import ClientConnection, Phase
from stoneyoke.net.descriptor_budget import DescriptorBudget, EvictionCandidate
from stoneyoke.net.errors import MalformedMessage
from stoneyoke.net.stream import has_hung_up
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.metrics import Metrics

# The operators' page: whoever connects is owed an error or a close within 3 s, and a connection may be closed 2 s after
# its last request. A message's time runs from its first byte, the first one's from the connection's start.
MESSAGE_TIMEOUT_US = 2_000_000
RESPONSE_TIMEOUT_US = 10_000_000  # how long a response may wait for its client to read it
# The operators' page: clients open a third of the descriptors at most for requests. Connections that are kept open,
# for later or for good, leave them a quarter of that.
SILENT_DIVISOR = 3
PERSISTENT_DIVISOR = 4


class ConnectionTable:
    """All open connections of clients, within their shares of the descriptors.

    Attributes:
        open: Every connection.
        silent: Connections on which no message has come whole yet, the oldest first.
        idle: Connections that are idle after a response, the longest idle first.
        silent_max: How many silent connections there may be before one is closed for the next.
        kept_open_max: How many connections that are not silent may be kept while some of them are idle.
        message_timeout_us: How long a message's head may take.
        idle_timeout_us: How long a connection may be idle, and a body may take.
    """

    def __init__(self, clock: Clock, metrics: Metrics, descriptor_budget: DescriptorBudget, descriptors: int) -> None:
        """Starts empty.

        Args:
            clock: The process's clock.
            metrics: Counts the connections that are closed, by reason.
            descriptor_budget: The budget that all connections share.
            descriptors: All descriptors of the process.
        """
        self.clock, self.metrics = clock, metrics
        self.open: dict[asyncio.StreamWriter, ClientConnection] = {}
        self.silent: dict[ClientConnection, None] = {}
        self.idle: dict[ClientConnection, None] = {}
        self.silent_max = max(1, descriptor_budget.limit // SILENT_DIVISOR)
        self.persistent_max = max(1, descriptors // PERSISTENT_DIVISOR)
        self.message_timeout_us = self.idle_timeout_us = MESSAGE_TIMEOUT_US
        descriptor_budget.eviction_sources.append(self.eviction_candidate)

    # ---- what happens to connections ----

    def add(self, client: ClientConnection) -> None:
        """A connection has been accepted."""
        self.open[client.writer] = client
        self.silent[client] = None

    def remove(self, client: ClientConnection) -> None:
        """A connection has ended."""
        del self.open[client.writer]
        self.remove_from_queues(client)

    def remove_from_queues(self, client: ClientConnection) -> None:
        """A connection is neither silent nor idle any more."""
        self.silent.pop(client, None)
        self.idle.pop(client, None)

    def mark_idle(self, client: ClientConnection) -> None:
        """A response has been written and nothing further has come."""
        self.idle[client] = None
        self.limit_persistent()

    # ---- closing for the sake of others ----

    def limit_silent(self) -> None:
        """At their limit, closes the oldest silent connection: a flood of them costs no other connection its place."""
        if len(self.silent) >= self.silent_max:
            oldest = next((client for client in self.silent if client.can_close_safely()), None)
            if oldest:
                self.evict(oldest)

    def limit_persistent(self) -> None:
        """Closes the longest idle connections while so many are kept open that clients may find no descriptor left."""
        surplus = max(0, len(self.open) - len(self.silent) - self.persistent_max)
        for client in list(self.idle)[:surplus]:
            if client.can_close_safely():
                self.evict(client)

    def eviction_candidate(self) -> EvictionCandidate | None:
        """The next connection to close for the descriptor budget, if there is one.

        Rejected ones come first, then idle ones, then those with a part of a message; never one that owes a response.
        """
        for client in sorted(self.open.values(), key=eviction_order):
            if client.can_close_safely():
                mid_message = client.phase not in (Phase.IDLE, Phase.REJECTED)
                return EvictionCandidate(mid_message, client.since_us, partial(self.evict, client))
        return None

    def evict(self, client: ClientConnection) -> None:
        """Closes a connection at once, for another one's sake."""
        self.metrics.add("client connections: closed for room")
        self.remove_from_queues(client)
        client.writer.transport.abort()

    def close_idle(self) -> None:
        """Closes all idle connections, as the process ends."""
        for client in list(self.open.values()):
            if client.phase is Phase.IDLE and client.can_close_safely():
                client.writer.close()

    # ---- closing for their own sake ----

    def close_expired(self) -> None:
        """Ends connections that have been idle for too long or whose message or response is stuck.

        Called several times a second.
        """
        now = self.clock.now()
        for client in list(self.open.values()):
            if client.phase is Phase.RESPONDING:
                notice_departure(client)
            age = now - (client.accepted_at if client.silent else client.since_us)
            if client.phase is Phase.REJECTED or client.pending or age < self.time_limit(client):
                continue
            self.close_overdue(client, age)

    def time_limit(self, client: ClientConnection) -> int:
        """How long a connection may stay in its phase. A slow body has as long as an idle connection."""
        if client.phase is Phase.IDLE or client.receives_body():
            return max(self.idle_timeout_us, self.message_timeout_us)
        return self.message_timeout_us

    def close_overdue(self, client: ClientConnection, age: int) -> None:
        """Ends a connection whose time is up, unless a byte has just come on it."""
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
    """Notices that a client has left whose input waits unread.

    While a response is owed, a client that has sent more than the stream's buffer holds is not read, and then the event
    loop doesn't see its close either: the attempt would run on for nobody.
    """
    transport = cast(asyncio.Transport, client.writer.transport)
    if not (client.disconnected or transport.is_closing() or transport.is_reading()) and has_hung_up(client.writer):
        client.peer_closed()


def eviction_order(client: ClientConnection) -> tuple[bool, bool, int]:
    """Rejected connections first, then idle ones, then the others; each the longest first."""
    return client.phase is not Phase.REJECTED, client.phase is not Phase.IDLE, client.since_us
