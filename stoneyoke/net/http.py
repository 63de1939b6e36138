"""HTTP/1.1 heads and bodies over asyncio streams: httptools parses them in place, writes are gathered."""

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from http import HTTPStatus
from typing import Any

import httptools

BODY_TOP = 65_536  # the protocol page: a body holds no more than 64 KiB
HEAD_TOP = 16_384  # bytes of a head; the largest of the protocol page holds some 500
PIECE = 16_384  # bytes read at once; a stream stops reading at twice that, so that no peer fills the memory

Met = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Coroutine[None, None, None]]


class Malformed(Exception):
    """What came can't be used; the status is what a client is told of it."""

    def __init__(self, why: str, status: int = 400) -> None:
        super().__init__(why)
        self.status = status


class Line(asyncio.StreamReaderProtocol):
    """A stream's protocol that tells at once when bytes come or the other end has closed."""

    def __init__(self, met: Met | None = None) -> None:
        self.reader = asyncio.StreamReader(PIECE)
        super().__init__(self.reader, met)
        self.on_bytes: Callable[[], None] | None = None
        self.on_close: Callable[[], None] | None = None

    def connection_made(self, transport: Any) -> None:
        # asyncio would set aside 256 KiB for each read; drain() is to wait for the last byte to leave.
        transport.max_size = PIECE
        transport.set_write_buffer_limits(high=0)
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        if self.on_bytes:
            self.on_bytes()
        super().data_received(data)

    def eof_received(self) -> bool | None:
        if self.on_close:
            self.on_close()
        return super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.on_close:
            self.on_close()
        super().connection_lost(exc)


async def connect(address: tuple[str, int], within_s: float) -> tuple[Line, asyncio.StreamWriter]:
    """A connection that is up, or an OSError (a TimeoutError is one)."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(within_s):
        transport, line = await loop.create_connection(Line, *address)
    return line, asyncio.StreamWriter(transport, line, line.reader, loop)


class Message:
    """A message: its first line's parts, its headers by lower-case name, its body."""

    __slots__ = ("body", "headers", "keeps", "method", "repeated", "status", "target")

    def __init__(self) -> None:
        self.headers: dict[bytes, bytes] = {}
        self.repeated: tuple[bytes, ...] = ()
        self.method = self.target = self.body = b""
        self.status = 0
        self.keeps = True  # the connection can carry another


class Messages:
    """The messages that come over one connection: what clients ask, or (answers=True) answers."""

    def __init__(self, reader: asyncio.StreamReader, *, answers: bool) -> None:
        self.reader, self.answers = reader, answers
        kind = httptools.HttpResponseParser if answers else httptools.HttpRequestParser
        self.parser: Any = kind(self)
        self.whole: deque[Message] = deque()  # no more than one piece read can hold
        self.begun: Message | None = None
        self.in_head = False
        self.size = 0  # bytes of the head, then of the body, that is being read
        self.fault: Malformed | None = None
        # All that has come is taken in and makes no message yet. Whoever is told of bytes first unsets it.
        self.hungry = False

    async def next(self) -> Message | None:
        """The next message, or None where the stream ends between two. Raises Malformed, or an OSError where
        the connection breaks or the stream ends within a message."""
        while not self.whole:
            if self.fault:
                raise self.fault
            self.hungry = True
            data = await self.reader.read(PIECE)
            self.hungry = False
            if not data:
                return self.end()
            if self.in_head or not self.begun:
                self.size += len(data)
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserUpgrade:
                self.whole.pop()  # the one that asked for it
                self.fault = Malformed("the connection was to change its protocol")
            except httptools.HttpParserError as bad:
                self.fault = self.fault or Malformed(f"no HTTP/1.1: {bad}")
            if self.in_head and self.size > HEAD_TOP:
                self.fault = self.fault or Malformed("head over 16 KiB", 431)
        return self.whole.popleft()

    def pending(self) -> bool:
        """Whether anything beyond the last message has come already."""
        return bool(self.whole or self.begun or self.fault)

    def end(self) -> Message | None:
        message = self.begun
        if message is None:
            return None
        framed = b"content-length" in message.headers or b"transfer-encoding" in message.headers
        if self.in_head or framed or not self.answers:
            raise ConnectionResetError("the stream ended within a message")
        self.begun, message.keeps = None, False  # an answer without framing lasts as long as its stream
        return message

    # ---- what the parser tells ----

    def on_message_begin(self) -> None:
        self.begun, self.in_head = Message(), True

    def on_url(self, url: bytes) -> None:
        if self.begun:
            self.begun.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.begun:
            name = name.lower()
            if not self.in_head:  # after a body in chunks: counted with it
                self.size += len(name) + len(value)
            if name in self.begun.headers:
                self.begun.repeated += (name,)
            self.begun.headers[name] = value

    def on_headers_complete(self) -> None:
        self.in_head, self.size = False, 0
        if not self.begun:
            return
        if self.answers:
            self.begun.status = self.parser.get_status_code()
        else:
            self.begun.method = self.parser.get_method()
            if b"expect" in self.begun.headers:
                self.fault = self.fault or Malformed("no expectations are met here", 417)

    def on_body(self, part: bytes) -> None:
        self.size += len(part)
        if self.size > BODY_TOP:
            self.fault = self.fault or Malformed("body over 64 KiB", 413)
        elif self.begun:
            self.begun.body = self.begun.body + part if self.begun.body else part

    def on_message_complete(self) -> None:
        message, self.begun, self.size = self.begun, None, 0
        if message and not self.fault and (not self.answers or message.status >= 200):
            message.keeps = self.parser.should_keep_alive()
            self.whole.append(message)


def write_message(writer: asyncio.StreamWriter, head: list[bytes], body: bytes) -> None:
    """Head and body in one gathered write."""
    writer.writelines((*head, b"\r\n", body))


def status_line(status: int) -> bytes:
    if status not in LINES:
        LINES[status] = b"HTTP/1.1 %d %s\r\n" % (status, HTTPStatus(status).phrase.encode())
    return LINES[status]


LINES: dict[int, bytes] = {}  # as many as there are statuses that this code answers with
