"""Connections to one backend, and which of them may be used again."""

import asyncio
from collections import deque

from stoneyoke.net.message_reader import MessageReader
from stoneyoke.net.stream import StreamProtocol


class BackendConnection:
    """One connection to a backend. It carries one attempt at a time.

    A response belongs to the request that went out last on the same connection. With any doubt about that (bytes after
    the response, a response to another request, a cut, a malformed or an abandoned response) the connection is closed
    and never used again.

    Attributes:
        idle_since: When its last attempt ended, in microseconds.
        out_of_step: A response to another request has come on it.
    """

    def __init__(self, protocol: StreamProtocol, writer: asyncio.StreamWriter, response_max_bytes: int) -> None:
        """Takes a connection that is up, and the limit of a response's body."""
        self.protocol, self.writer = protocol, writer
        self.responses = MessageReader(protocol.reader, responses=True, body_max_bytes=response_max_bytes)
        self.idle_since = 0
        self.out_of_sync = False

    def is_reusable(self) -> bool:
        """Whether nothing but responses that were taken has come, each to its own request, and neither end closed."""
        all_taken = self.protocol.bytes_received == self.responses.bytes_parsed and not self.responses.has_input()
        closed = self.protocol.reader.at_eof() or self.writer.is_closing()
        return all_taken and not self.out_of_sync and not closed

    def ignore_events(self) -> None:
        """Ends the watch of an idle connection for bytes and the peer's close."""
        self.protocol.on_data = self.protocol.on_close = None

    def close(self) -> None:
        """Aborts the connection: what its buffer holds never leaves."""
        self.ignore_events()
        self.writer.transport.abort()


class BackendPool:
    """The connections to one backend's address.

    Attributes:
        address: Host and port.
        idle: Connections without an attempt, the last used at the right.
        busy: How many connections have an attempt on them.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        """Starts without connections."""
        self.address = address
        self.idle: deque[BackendConnection] = deque()
        self.busy = 0

    def any_open(self) -> bool:
        """Whether any connection is up, so that the backend's process is."""
        return bool(self.idle or self.busy)
