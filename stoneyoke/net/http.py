"""HTTP/1.1 heads and bodies over asyncio streams: httptools parses them in place, writes are gathered."""

import asyncio
import fcntl
import select
import sys
import termios
from collections import deque
from collections.abc import Callable, Coroutine
from http import HTTPStatus
from typing import Any

import httptools

BODY_MAX_BYTES = 65_536  # the protocol page: a body holds no more than 64 KiB
HEAD_MAX_BYTES = 16_384  # bytes of a head; the largest of the protocol page holds some 500
FRAMED = 5  # times its body's limit a message may hold with its framing: chunks may be small, not without end
PIECE = 16_384  # bytes read at once; a stream stops reading at twice that, so that no peer fills the memory
END_OF_HEAD = b"\r\n"
WASTE = 262_144  # the same for what is only thrown away: 60 MB in 240 reads

Met = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Coroutine[None, None, None]]


class MalformedMessage(Exception):
    """What came can't be used; the status is what a client is told of it."""

    def __init__(self, why: str, status: int = 400) -> None:
        super().__init__(why)
        self.status = status


class StreamProtocol(asyncio.StreamReaderProtocol):
    """A stream's protocol that tells at once when bytes come or the other end has closed."""

    def __init__(self, met: Met | None = None) -> None:
        self.reader = asyncio.StreamReader(PIECE)
        super().__init__(self.reader, met)
        self.on_bytes: Callable[[], None] | None = None
        self.on_close: Callable[[], None] | None = None
        self.received = 0  # bytes given to the reader; a connection is clean only once all of them were taken
        self.deaf = False  # what comes is thrown away

    def discard_input(self) -> None:
        self.deaf, self.on_bytes = True, None
        self.transport.max_size = WASTE
        self.transport.resume_reading()

    def connection_made(self, transport: Any) -> None:
        # asyncio would set aside 256 KiB for each read; drain() is to wait for the last byte to leave.
        self.transport = transport
        transport.max_size = PIECE
        transport.set_write_buffer_limits(high=0)
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        if self.on_bytes:
            self.on_bytes()
        if not self.deaf:
            self.received += len(data)
            super().data_received(data)

    def eof_received(self) -> bool | None:
        if self.on_close:
            self.on_close()
        return super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.on_close:
            self.on_close()
        super().connection_lost(exc)


async def connect(address: tuple[str, int], within_s: float) -> tuple[StreamProtocol, asyncio.StreamWriter]:
    """A connection that is up, or an OSError (a TimeoutError is one)."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(within_s):
        transport, line = await loop.create_connection(StreamProtocol, *address)
    return line, asyncio.StreamWriter(transport, line, line.reader, loop)


def unread(writer: asyncio.StreamWriter) -> bool:
    """Whether bytes wait on the socket that the loop has not seen yet."""
    count = fcntl.ioctl(writer.get_extra_info("socket").fileno(), termios.FIONREAD, bytes(4))
    return int.from_bytes(count, sys.byteorder) != 0


def readable(writer: asyncio.StreamWriter) -> bool:
    """Whether bytes, the stream's end or an error wait on the socket that the loop has not seen yet."""
    poll = select.poll()
    poll.register(writer.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


class Message:
    """A message: its first line's parts, its headers by lower-case name, its body."""

    __slots__ = ("body", "fields", "headers", "keep_alive", "method", "repeated", "status", "target")

    def __init__(self) -> None:
        self.headers: dict[bytes, bytes] = {}
        self.fields: list[tuple[bytes, bytes]] = []  # the headers as they came
        self.repeated: set[bytes] = set()
        self.method = self.target = self.body = b""
        self.status = 0
        self.keep_alive = True  # the connection can carry another


class MessageReader:
    """The messages that come over one connection: what clients ask, or (responses=True) answers."""

    def __init__(self, reader: asyncio.StreamReader, *, responses: bool, body_max_bytes: int = BODY_MAX_BYTES) -> None:
        self.reader, self.responses, self.body_max_bytes, self.head_max_bytes = (
            reader,
            responses,
            body_max_bytes,
            HEAD_MAX_BYTES,
        )
        kind = httptools.HttpResponseParser if responses else httptools.HttpRequestParser
        self.parser: Any = kind(self)
        self.whole: deque[Message] = deque()  # no more than one piece read can hold
        self.begun: Message | None = None
        self.in_head = False
        self.size = self.raw = 0  # bytes of the head, then of the body, that is being read; and of it all
        self.taken = 0  # bytes read from the stream, in all
        self.parts: list[bytes] = []  # of that body
        self.fault: MalformedMessage | None = None
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
            if self.fault:
                raise self.fault
            if not data:
                if self.begun:  # what only this end would frame may have been cut short as well
                    raise ConnectionResetError("the stream ended within a message")
                return None
            self.taken += len(data)
            if self.in_head or not self.begun:
                self.size += len(data)
            self.raw += len(data)
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserUpgrade:
                pass  # on_headers_complete() has made it a fault
            except httptools.HttpParserError as bad:
                self.fault = self.fault or MalformedMessage(f"no HTTP/1.1: {bad}")
            if self.in_head and self.size > self.head_max_bytes:
                self.fault = self.fault or MalformedMessage(f"head over {self.head_max_bytes} bytes", 431)
            elif self.raw > FRAMED * self.body_max_bytes:
                self.fault = self.fault or MalformedMessage("a message without end", 413)
        return self.whole.popleft()

    def pending(self) -> bool:
        """Whether anything beyond the last message has come already."""
        return bool(self.whole or self.begun or self.fault)

    def stop(self, fault: MalformedMessage) -> None:
        """Whoever waits for the rest of a message waits no longer."""
        self.fault = fault
        self.reader.feed_eof()

    # ---- what the parser tells ----

    def on_message_begin(self) -> None:
        self.begun, self.in_head = Message(), True

    def on_url(self, url: bytes) -> None:
        if self.begun:
            self.begun.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.in_head:  # after a body in chunks: counted with it, and of no meaning here
            self.size += len(name) + len(value)
        elif self.begun:
            self.begun.fields.append((name, value))
            name = name.lower()
            if name in self.begun.headers:
                self.begun.repeated.add(name)
            self.begun.headers[name] = value

    def on_headers_complete(self) -> None:
        self.in_head, self.size = False, 0
        if message := self.begun:
            self.fault = self.fault or self.check(message)

    def check(self, message: Message) -> MalformedMessage | None:
        """A head alone can show that its message is of no use. Two lengths, a length beside chunks, and
        lengths that are no plain numbers are the parser's to refuse."""
        coding, length = (message.headers.get(name) for name in (b"transfer-encoding", b"content-length"))
        if self.parser.should_upgrade():
            return MalformedMessage("the connection was to change its protocol")
        if coding is not None and coding.lower() != b"chunked":
            return MalformedMessage("a transfer coding that is not known", 501)
        if length is not None and int(length) > self.body_max_bytes:
            return MalformedMessage("a body that is too long", 413)
        if self.responses:
            message.status = self.parser.get_status_code()
            if coding is length is None and message.status >= 200 and message.status not in (204, 304):
                return MalformedMessage("an answer without framing")
        else:
            message.method = self.parser.get_method()
            if sum(len(name) + len(value) + 4 for name, value in message.fields) > self.head_max_bytes:
                return MalformedMessage(f"head over {self.head_max_bytes} bytes", 431)
            if self.parser.get_http_version() != "1.1":
                return MalformedMessage("not HTTP/1.1", 505)
            if b"expect" in message.headers:
                return MalformedMessage("no expectations are met here", 417)
        return None

    def on_body(self, part: bytes) -> None:
        self.size += len(part)
        if self.size > self.body_max_bytes:
            self.fault = self.fault or MalformedMessage("a body that is too long", 413)
        elif not self.fault:
            self.parts.append(part)

    def on_message_complete(self) -> None:
        message, self.begun, self.size = self.begun, None, 0
        if message and not self.fault and (not self.responses or message.status >= 200):
            message.body = b"".join(self.parts)
            message.keep_alive = self.parser.should_keep_alive()
            self.whole.append(message)
            self.raw = 0
        self.parts.clear()


class RequestWrite:
    """A request handed to a connection, and whether a byte of it can have left this process.

    A transport offers the first send to the kernel at once and keeps what that does not take in its own buffer. So no
    byte has left where the connection was closing before, where that first send was refused, or where the transport is
    still open and its buffer holds as much as was handed to it. A transport that has closed meanwhile holds nothing any
    more, and that tells nothing: some bytes may have left.

    "None has left" stays true only if what the buffer holds never leaves: whoever relies on it aborts the connection
    before the event loop turns again. A request of which a part has left counts as one that may run. It is not whole
    at the backend, but that a backend runs nothing before the last byte is the backend's matter, not known here."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer, self.size = writer, 0  # its bytes; 0 until the first send has been offered

    def start(self, head: list[bytes], body: bytes) -> None:
        """Raises ConnectionResetError where the connection is closed or refuses the first send: no byte has left."""
        if self.writer.is_closing():
            raise ConnectionResetError("closed before the request")
        write_message(self.writer, head, body)
        if self.writer.is_closing():
            raise ConnectionResetError("the request's first send was refused")
        self.size = sum(map(len, head)) + len(END_OF_HEAD) + len(body)

    async def finish(self) -> None:
        """Returns once the kernel has taken the last byte. Raises an OSError where the connection ends before."""
        if self.writer.transport.get_write_buffer_size():
            await self.writer.drain()  # returns, too, where the connection ends without an error
        if self.writer.is_closing():
            raise ConnectionResetError("closed while the request was written")

    def may_have_left(self) -> bool:
        return self.writer.transport.get_write_buffer_size() < self.size


def write_message(writer: asyncio.StreamWriter, head: list[bytes], body: bytes) -> None:
    """Head and body in one gathered write."""
    writer.writelines((*head, END_OF_HEAD, body))


def status_line(status: int) -> bytes:
    if status not in LINES:
        LINES[status] = b"HTTP/1.1 %d %s\r\n" % (status, HTTPStatus(status).phrase.encode())
    return LINES[status]


LINES: dict[int, bytes] = {}  # as many as there are statuses that this code answers with
