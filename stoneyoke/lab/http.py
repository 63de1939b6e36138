"""HTTP/1.1 for the laboratory's stand-ins and clients: asyncio protocols, parsed by httptools."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

import httptools

Headers = dict[bytes, bytes]


class Request:
    """A complete request, and the connection for its response."""

    __slots__ = ("body", "connection", "headers", "method", "target")

    def __init__(self, connection: "ServerConnection") -> None:
        """Starts empty; the connection's parser fills it."""
        self.connection = connection
        self.method = self.target = self.body = b""
        self.headers: Headers = {}  # by name in lower case

    def respond(self, status: int, body: bytes = b"", headers: bytes = b"") -> bool:
        """Sends a response; returns false if the connection is closed. See ServerConnection.respond."""
        return self.connection.respond(status, body, headers)


class ServerConnection(asyncio.Protocol):
    """A stand-in's connection from a client. It passes each complete request to a handler.

    The methods named on_... are the parser's callbacks.
    """

    def __init__(
        self,
        handler: Callable[[Request], None],
        accept: Callable[["ServerConnection"], bool] | None = None,
        lost: Callable[["ServerConnection"], None] | None = None,
    ) -> None:
        """Waits for its connection.

        Args:
            handler: Called with each complete request.
            accept: Called when the connection opens. If it returns false, the connection is aborted.
            lost: Called when the connection has closed.
        """
        self._handler, self._accept, self._lost = handler, accept, lost
        self._parser: Any = httptools.HttpRequestParser(self)
        self._request = Request(self)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport, and aborts the connection if it is not accepted."""
        self._transport = cast(asyncio.Transport, transport)
        if self._accept and not self._accept(self):
            self._transport.abort()

    def connection_lost(self, _: Exception | None) -> None:
        """Calls the handler for the loss of the connection."""
        self._transport = None
        if self._lost:
            self._lost(self)

    def data_received(self, data: bytes) -> None:
        """Parses data; closes the connection if it is not valid HTTP."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_url(self, url: bytes) -> None:
        """Appends a piece of the target."""
        self._request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header."""
        self._request.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Appends a piece of the body."""
        self._request.body += body

    def on_message_complete(self) -> None:
        """Passes the request to the handler."""
        request, self._request = self._request, Request(self)
        request.method = self._parser.get_method()
        self._handler(request)

    def respond(self, status: int, body: bytes = b"", headers: bytes = b"") -> bool:
        """Sends a response.

        Args:
            status: HTTP status.
            body: The response's body.
            headers: The lines of additional headers, each with its line end.

        Returns:
            Whether the connection was still open.
        """
        if not self._transport or self._transport.is_closing():
            return False
        head = b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n%s\r\n" % (status, len(body), headers)
        self._transport.write(head + body)
        return True

    def abort(self) -> None:
        """Closes the connection immediately."""
        if self._transport:
            self._transport.abort()


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response."""

    status: int
    headers: Headers  # by name in lower case
    body: bytes


class ClientConnection(asyncio.Protocol):
    """A client's connection, with one request at a time. The methods named on_... are the parser's callbacks.

    Attributes:
        closed: Whether no further request can be sent over it.
    """

    def __init__(self) -> None:
        """Waits for its connection."""
        self.closed = False
        self._parser: Any = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._pending_response: asyncio.Future[Response] | None = None
        self._headers: Headers = {}
        self._body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, _: Exception | None) -> None:
        """Fails the pending request."""
        self.closed = True
        if self._pending_response and not self._pending_response.done():
            self._pending_response.set_exception(ConnectionResetError("closed under a request"))

    def data_received(self, data: bytes) -> None:
        """Parses data; closes the connection if it is not valid HTTP."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header."""
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Appends a piece of the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Completes the pending request with the response."""
        headers, body, self._headers, self._body = self._headers, self._body, {}, b""
        if headers.get(b"connection", b"").lower() == b"close":
            self.closed = True
        if self._pending_response and not self._pending_response.done():
            self._pending_response.set_result(Response(self._parser.get_status_code(), headers, body))

    async def request(self, data: bytes, timeout_s: float) -> Response:
        """Sends a request and waits for its response.

        Args:
            data: The whole request.
            timeout_s: The time limit for the whole response, in seconds.

        Raises:
            TimeoutError: The response did not arrive in time.
            ConnectionError: The connection was closed before the request or during it.
        """
        if self.closed or not self._transport:
            raise ConnectionResetError("connection is already closed")
        self._pending_response = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        async with asyncio.timeout(timeout_s):
            return await self._pending_response

    def close(self) -> None:
        """Closes the connection immediately."""
        self.closed = True
        if self._transport:
            self._transport.abort()


async def open_connection(address: tuple[str, int], timeout_s: float) -> ClientConnection:
    """Connects to a server.

    Raises:
        OSError: The connection was not established; a time-out raises its subclass TimeoutError.
    """
    async with asyncio.timeout(timeout_s):
        _, connection = await asyncio.get_running_loop().create_connection(ClientConnection, *address)
    return connection
