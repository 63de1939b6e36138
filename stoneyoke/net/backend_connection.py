"""Connections to one backend, and the check whether a connection can be reused."""

import asyncio
from collections import deque

from stoneyoke.net.message_reader import MessageReader
from stoneyoke.net.stream import StreamProtocol


class BackendConnection:
    """One connection to a backend. It carries one attempt at a time.

    A response belongs to the request that was sent last on the same connection. If that is in doubt (after bytes that
    follow the response, a response to another request, a broken connection, or a malformed or abandoned response), the
    connection is closed and never reused.

    Attributes:
        idle_since: When its last attempt ended, in microseconds.
        out_of_sync: A response to another request has arrived on it.
    """

    def __init__(self, protocol: StreamProtocol, writer: asyncio.StreamWriter, response_max_bytes: int) -> None:
        """Wraps an established connection; a response with a longer body than `response_max_bytes` is malformed."""
        self.protocol, self.writer = protocol, writer
        self.responses = MessageReader(protocol.reader, responses=True, body_max_bytes=response_max_bytes)
        self.idle_since = 0
        self.out_of_sync = False

    def is_reusable(self) -> bool:
        """Whether all input was responses that were taken, each to its own request, and neither side has closed it."""
        all_taken = self.protocol.bytes_received == self.responses.bytes_parsed and not self.responses.has_input()
        closed = self.protocol.reader.at_eof() or self.writer.is_closing()
        return all_taken and not self.out_of_sync and not closed

    def ignore_events(self) -> None:
        """Stops the reports of input and of the peer's close, which an idle connection has."""
        self.protocol.on_data = self.protocol.on_close = None

    def close(self) -> None:
        """Aborts the connection; bytes that are still in its write buffer are never sent."""
        self.ignore_events()
        self.writer.transport.abort()


class BackendPool:
    """The connections to one backend's address.

    Attributes:
        address: Host and port.
        idle: Connections without an attempt, the most recently used at the right.
        busy: The number of connections with an attempt.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        """Starts without connections."""
        self.address = address
        self.idle: deque[BackendConnection] = deque()
        self.busy = 0

    def any_open(self) -> bool:
        """Whether any connection is open, which shows that the backend's process runs."""
        return bool(self.idle or self.busy)
