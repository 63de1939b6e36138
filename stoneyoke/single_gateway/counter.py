"""Queries to the counter service: pipelined, answered in order, given up after the settings' time-out."""

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

# Of the 32 that the protocol page has the counter service hold. A query goes where none is under way, if it can:
# whatever ends a connection takes all queries on it along.
CONNECTIONS_MAX = 6
IDLE_MAX_US = 5_000_000  # the protocol page: closed after 10 s or less, so none is written to beyond this
SILENT_MAX_US = 1_000_000  # a connection whose oldest query has waited for this long is closed
HTTP_OK = 200
QUOTED_BYTES = 40  # of a total that can't be read, in an error message

is_number = re.compile(rb"-?[0-9]{1,20}(\.[0-9]{1,20})?([eE][+-]?[0-9]{1,2})?").fullmatch


class CounterListener(Protocol):
    """Who receives the counter service's replies."""

    def counter_replied(self, name: int, added: bool, total: float) -> None:
        """A query has ended (see CounterReply)."""


class CounterQuery:
    """A query that is not answered yet, or that is given up on and still to be answered in its turn."""

    __slots__ = ("done", "name", "sent_at")

    def __init__(self, name: int, sent_at: int) -> None:
        """Takes the counter's name and the time in microseconds."""
        self.name, self.sent_at, self.done = name, sent_at, False


class CounterConnection:
    """A connection to the counter service with its queries in order. The task that reads it ends with it.

    Attributes:
        queries: Those that are not answered, the oldest first.
        writer: None while it connects.
        unsent: What is to be written once it is up; as many queries as their time-out lets come.
        used_at: When the last query was sent.
        closed: Nothing is sent over it any more.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        """Takes the address to connect to."""
        self.address = address
        self.queries: deque[CounterQuery] = deque()
        self.writer: asyncio.StreamWriter | None = None
        self.unsent: list[bytes] = []
        self.used_at = 0
        self.closed = False

    def is_expired(self, now: int) -> bool:
        """Whether it is near the service's idle time-out, or it has not answered its oldest query for too long."""
        if self.queries:
            return now - self.queries[0].sent_at > SILENT_MAX_US
        return now - self.used_at > IDLE_MAX_US

    def write(self, *parts: bytes) -> None:
        """Writes a query, now or once the connection is up."""
        if self.writer:
            self.writer.writelines(parts)
        else:
            self.unsent += parts


class CounterClient:
    """Adds to counters over a few connections, and reports the totals.

    Attributes:
        connections: Those to where the service is now.
        tasks: One reader for each connection, also for those that only finish after a move.
    """

    def __init__(
        self, clock: Clock, metrics: Metrics, listener: CounterListener, address: tuple[str, int], timeout_us: int
    ) -> None:
        """Connects with the first query.

        Args:
            clock: The process's clock.
            metrics: Counts the queries by their end.
            listener: Receives each reply once.
            address: Where the service is.
            timeout_us: How long to wait for a reply.
        """
        self.clock, self.metrics, self.listener, self.timeout_us = clock, metrics, listener, timeout_us
        self.connections: list[CounterConnection] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.set_address(address)

    def set_address(self, address: tuple[str, int]) -> None:
        """Sends queries to another address from now on. Those under way elsewhere may still be answered there."""
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
        """A connection without queries, else a new one.

        At the limit, one whose queries are not overdue, or else a new one in place of the one that has been silent
        longest.
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
        """A connection that is being made; queries are kept until it is up."""
        connection = CounterConnection(self.address)
        self.connections.append(connection)
        task = asyncio.get_running_loop().create_task(self.serve(connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return connection

    def close(self, connection: CounterConnection) -> None:
        """Closes a connection. Its queries end as its reader does."""
        if not connection.closed:
            connection.closed = True
            if connection in self.connections:
                self.connections.remove(connection)
            if connection.writer:
                connection.writer.transport.abort()

    async def serve(self, connection: CounterConnection) -> None:
        """Connects, and reads replies until the connection ends; then its last queries are lost."""
        try:
            responses = await self.connect(connection)
            if responses is not None:
                await self.read_replies(connection, responses)
        except OSError:
            self.metrics.add("counter: connections lost")
        except MalformedMessage as error:
            self.metrics.report("counter: malformed responses", str(error))
            if connection.queries:  # the amount was added, and the total can't be read
                self.finish(connection.queries.popleft(), "total unreadable", added=True, total=math.nan)
        finally:
            self.close(connection)
            # If it never came up, the service got nothing; else what it has added is not known.
            lost_total = math.nan if connection.writer else 0.0
            for query in connection.queries:
                self.finish(query, "connection lost", added=False, total=lost_total)

    async def connect(self, connection: CounterConnection) -> MessageReader | None:
        """Opens a connection and writes the queries that wait for it; None if it was closed meanwhile."""
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
        """Matches replies to queries, in order, until the connection ends or has nothing left to do."""
        while response := await responses.next():
            if not connection.queries:
                raise MalformedMessage("an answer to no call")
            self.process_reply(connection.queries, response)
            moved = connection not in self.connections
            if not response.keep_alive or (moved and not connection.queries):
                return

    def process_reply(self, queries: deque[CounterQuery], response: Message) -> None:
        """Ends the oldest query with its reply."""
        if response.status != HTTP_OK:
            self.finish(queries.popleft(), "rejected", added=False)
            return
        if not is_number(response.body):
            raise MalformedMessage(f"a total that is no number: {response.body[:QUOTED_BYTES]!r}")
        self.finish(queries.popleft(), "answered", added=True, total=float(response.body))

    def give_up(self, query: CounterQuery) -> None:
        """Ends a query at its time-out; its reply may still come and then finds nobody."""
        self.finish(query, "no answer in time", added=False)

    def finish(self, query: CounterQuery, outcome: str, *, added: bool, total: float = 0.0) -> None:
        """Reports a query's end, once.

        Args:
            query: The query.
            outcome: How it ended, for the name of the counter in the metrics.
            added: The service has added the amount.
            total: The counter's total after the addition. NaN: with `added`, the total is not known; without, the
                query was lost with its connection, which says nothing of the service.
        """
        if not query.done:
            query.done = True
            self.metrics.add(f"counter calls: {outcome}")
            self.listener.counter_replied(query.name, added, total)
