"""Queries to the counter service: pipelined, answered in order, and abandoned after the time-out of the settings."""

import asyncio
import math
import re
from collections import deque
from typing import Protocol

from stoneyoke.control.actions import AddToCounter
from stoneyoke.net.errors import MalformedMessage
from stoneyoke.net.message_reader import Message, MessageReader
from stoneyoke.net.stream import connect
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.metrics import Metrics

# Of the 32 connections that the protocol page has the counter service accept. If possible, a query is sent over a
# connection without other pending queries, because all pending queries of a connection are lost when it closes.
CONNECTIONS_MAX = 6
# The protocol page: the service closes an idle connection after 10 s or less. A connection that has been idle for more
# than this time is therefore not used any more.
IDLE_MAX_US = 5_000_000
SILENT_MAX_US = 1_000_000  # a connection is closed once its oldest query has waited for longer than this
HTTP_OK = 200
QUOTED_BYTES = 40  # of an unreadable total, in an error message

is_number = re.compile(rb"-?[0-9]{1,20}(\.[0-9]{1,20})?([eE][+-]?[0-9]{1,2})?").fullmatch


class CounterListener(Protocol):
    """Receives the counter service's replies."""

    def counter_replied(self, name: int, added: bool, total: float) -> None:
        """Receives the result of a query (see CounterReply)."""


class CounterQuery:
    """A query whose reply is pending. After its time-out, it stays in the queue until its reply arrives in its turn."""

    __slots__ = ("done", "name", "sent_at")

    def __init__(self, name: int, sent_at: int) -> None:
        """Takes the counter's name and the time of sending, in microseconds."""
        self.name, self.sent_at, self.done = name, sent_at, False


class CounterConnection:
    """A connection to the counter service, with its queries in order. The task that reads it ends when it closes.

    Attributes:
        queries: The queries without a reply, the oldest first.
        writer: Writes to the connection; None while it is being established.
        unsent: The queries to write once the connection is established. Their number is bounded because a connection
            attempt lasts no longer than their time-out.
        used_at: When the last query was sent, in microseconds.
        closed: The connection is closed; nothing is sent over it any more.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        """Takes the address to connect to; the connection is not established yet."""
        self.address = address
        self.queries: deque[CounterQuery] = deque()
        self.writer: asyncio.StreamWriter | None = None
        self.unsent: list[bytes] = []
        self.used_at = 0
        self.closed = False

    def is_expired(self, now: int) -> bool:
        """Whether the connection is near the service's idle time-out, or its oldest query has waited for too long."""
        if self.queries:
            return now - self.queries[0].sent_at > SILENT_MAX_US
        return now - self.used_at > IDLE_MAX_US

    def write(self, *parts: bytes) -> None:
        """Writes a query, immediately or once the connection is established."""
        if self.writer:
            self.writer.writelines(parts)
        else:
            self.unsent += parts


class CounterClient:
    """Adds to counters over a few connections, and reports the totals.

    Attributes:
        connections: The connections to the service's current address.
        tasks: The task of each connection; also of connections to a former address that still have queries.
    """

    def __init__(
        self, clock: Clock, metrics: Metrics, listener: CounterListener, address: tuple[str, int], timeout_us: int
    ) -> None:
        """Starts without connections; the first query opens one.

        Args:
            clock: The process's clock.
            metrics: Counts the queries by outcome.
            listener: Receives the result of each query once.
            address: The address of the service.
            timeout_us: How long to wait for a reply.
        """
        self.clock, self.metrics, self.listener, self.timeout_us = clock, metrics, listener, timeout_us
        self.connections: list[CounterConnection] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.set_address(address)

    def set_address(self, address: tuple[str, int]) -> None:
        """Sets the service's address for further queries. Pending queries to a former address may still be answered."""
        self.address, self.host = address, b"Host: %s:%d\r\n\r\n" % (address[0].encode(), address[1])
        for connection in [candidate for candidate in self.connections if candidate.address != address]:
            self.connections.remove(connection)
            if connection.queries:
                asyncio.get_running_loop().call_later(SILENT_MAX_US / 1_000_000, self.close, connection)
            else:
                self.close(connection)

    def add(self, action: AddToCounter) -> None:
        """Sends a query that adds an amount to a counter."""
        now = self.clock.now()
        query = CounterQuery(action.name, now)
        connection = self.pick_connection(now)
        head = b"POST /counters/%016x?by=%s&expire_ms=%d HTTP/1.1\r\n" % (
            action.name,
            b"%.6f" % action.amount,
            max(1, action.ttl_us // 1000),
        )
        connection.queries.append(query)
        connection.used_at = now
        connection.write(head, b"Content-Length: 0\r\n", self.host)
        self.metrics.add("counter calls")
        asyncio.get_running_loop().call_later(self.timeout_us / 1_000_000, self.give_up, query)

    # ---- connections ----

    def pick_connection(self, now: int) -> CounterConnection:
        """Returns a connection without pending queries if there is one, else a new one.

        At the limit of connections, returns the one with the fewest queries of those whose oldest query has not timed
        out. If all have timed out, closes the one with the oldest query, and returns a new one.
        """
        for connection in list(self.connections):
            if connection.is_expired(now):
                self.close(connection)
        least_used = min(self.connections, key=lambda candidate: len(candidate.queries), default=None)
        if least_used and not least_used.queries:
            return least_used
        if len(self.connections) >= CONNECTIONS_MAX:
            responsive = [
                candidate for candidate in self.connections if now - candidate.queries[0].sent_at <= self.timeout_us
            ]
            if responsive:
                return min(responsive, key=lambda candidate: len(candidate.queries))
            self.close(min(self.connections, key=lambda candidate: candidate.queries[0].sent_at))
        return self.open_connection()

    def open_connection(self) -> CounterConnection:
        """Starts to open a connection, and returns it; queries are stored in it until it is established."""
        connection = CounterConnection(self.address)
        self.connections.append(connection)
        task = asyncio.get_running_loop().create_task(self.serve(connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return connection

    def close(self, connection: CounterConnection) -> None:
        """Closes a connection. The task that reads it then ends its queries."""
        if not connection.closed:
            connection.closed = True
            if connection in self.connections:
                self.connections.remove(connection)
            if connection.writer:
                connection.writer.transport.abort()

    async def serve(self, connection: CounterConnection) -> None:
        """Connects, and reads replies until the connection closes; queries that are pending then are lost."""
        try:
            responses = await self.connect(connection)
            if responses is not None:
                await self.read_replies(connection, responses)
        except OSError:
            self.metrics.add("counter: connections lost")
        except MalformedMessage as error:
            self.metrics.report("counter: malformed responses", str(error))
            if connection.queries:  # the amount was added, but the total is not known
                self.finish(connection.queries.popleft(), "total unreadable", added=True, total=math.nan)
        finally:
            self.close(connection)
            # If the connection was never established, the service has added nothing; else, it is not known whether it
            # has added the amounts.
            lost_total = math.nan if connection.writer else 0.0
            for query in connection.queries:
                self.finish(query, "connection lost", added=False, total=lost_total)

    async def connect(self, connection: CounterConnection) -> MessageReader | None:
        """Opens a connection and writes the queries that wait for it.

        Returns:
            The reader of its replies; None if the connection was closed in the meantime.

        Raises:
            OSError: The connection is refused, fails, or takes too long.
        """
        protocol, writer = await connect(connection.address, self.timeout_us / 1_000_000)
        if connection.closed:
            writer.transport.abort()
            return None
        connection.writer = writer
        writer.writelines(connection.unsent)
        connection.unsent = []
        return MessageReader(protocol.reader, responses=True)

    # ---- replies ----

    async def read_replies(self, connection: CounterConnection, responses: MessageReader) -> None:
        """Matches replies to queries, in order.

        Returns once the connection is closed, or once it has no pending queries after a change of the address.

        Raises:
            MalformedMessage: A reply is malformed, or belongs to no query.
            OSError: The connection breaks.
        """
        while response := await responses.next():
            if not connection.queries:
                raise MalformedMessage("reply without a pending query")
            self.process_reply(connection.queries, response)
            moved = connection not in self.connections
            if not response.keep_alive or (moved and not connection.queries):
                return

    def process_reply(self, queries: deque[CounterQuery], response: Message) -> None:
        """Ends the oldest query with its reply.

        Raises:
            MalformedMessage: The body is not a number.
        """
        if response.status != HTTP_OK:
            self.finish(queries.popleft(), "rejected", added=False)
            return
        if not is_number(response.body):
            raise MalformedMessage(f"total is not a number: {response.body[:QUOTED_BYTES]!r}")
        self.finish(queries.popleft(), "answered", added=True, total=float(response.body))

    def give_up(self, query: CounterQuery) -> None:
        """Ends a query at its time-out. Its reply may still arrive, and is then ignored."""
        self.finish(query, "no answer in time", added=False)

    def finish(self, query: CounterQuery, outcome: str, *, added: bool, total: float = 0.0) -> None:
        """Reports the result of a query, once.

        Args:
            query: The query.
            outcome: How it ended, for the name of its counter in the metrics.
            added: Whether the service has added the amount, as far as is known.
            total: The counter's total after the addition. NaN means, if `added`, that the total is not known; else,
                that the query was lost with its connection, which is no evidence against the service.
        """
        if not query.done:
            query.done = True
            self.metrics.add(f"counter calls: {outcome}")
            self.listener.counter_replied(query.name, added, total)
