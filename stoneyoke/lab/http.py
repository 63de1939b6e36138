"""HTTP/1.1 for stand-ins: callbacks on asyncio transports, parsed by httptools."""

import asyncio
from collections.abc import Callable
from typing import Any, cast

import httptools


class Request:
    """A request that has been read whole, and the connection to answer it on."""

    __slots__ = ("body", "headers", "method", "served", "target")

    def __init__(self) -> None:
        self.method = self.target = self.body = b""
        self.headers: dict[bytes, bytes] = {}
        self.served: Served | None = None


class Served(asyncio.Protocol):
    """A connection of a stand-in that serves; each whole request goes to its handler."""

    def __init__(
        self,
        handler: Callable[[Request], None],
        opened: Callable[["Served"], bool] | None = None,
        lost: Callable[["Served"], None] | None = None,
    ) -> None:
        self.handler, self.opened, self.lost = handler, opened, lost
        self.parser: Any = httptools.HttpRequestParser(self)
        self.request = Request()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.opened and not self.opened(self):
            self.transport.abort()

    def connection_lost(self, _: Exception | None) -> None:
        self.transport = None
        if self.lost:
            self.lost(self)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_url(self, url: bytes) -> None:
        self.request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.request.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self.request.body += body

    def on_message_complete(self) -> None:
        request, self.request = self.request, Request()
        request.method, request.served = self.parser.get_method(), self
        self.handler(request)

    def answer(self, status: int, body: bytes = b"", more: bytes = b"") -> bool:
        """Whether anybody was there to be told."""
        if not self.transport or self.transport.is_closing():
            return False
        self.transport.write(b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n%s\r\n%s" % (status, len(body), more, body))
        return True

    def abort(self) -> None:
        if self.transport:
            self.transport.abort()


class Asking(asyncio.Protocol):
    """A client's connection: one request at a time, its answer a future."""

    def __init__(self) -> None:
        self.parser: Any = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.waiter: asyncio.Future[tuple[int, dict[bytes, bytes], bytes]] | None = None
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, _: Exception | None) -> None:
        self.closed = True
        if self.waiter and not self.waiter.done():
            self.waiter.set_exception(ConnectionResetError("closed under a request"))

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        headers, body, self.headers, self.body = self.headers, self.body, {}, b""
        if headers.get(b"connection", b"").lower() == b"close":
            self.closed = True
        if self.waiter and not self.waiter.done():
            self.waiter.set_result((self.parser.get_status_code(), headers, body))

    async def ask(self, data: bytes, within_s: float) -> tuple[int, dict[bytes, bytes], bytes]:
        """Raises TimeoutError or ConnectionError."""
        if self.closed or not self.transport:
            raise ConnectionResetError("closed before")
        self.waiter = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        async with asyncio.timeout(within_s):
            return await self.waiter

    def close(self) -> None:
        self.closed = True
        if self.transport:
            self.transport.abort()


async def open_to(address: tuple[str, int], within_s: float) -> Asking:
    """Raises OSError (a TimeoutError is one)."""
    async with asyncio.timeout(within_s):
        _, asking = await asyncio.get_running_loop().create_connection(Asking, *address)
    return asking
