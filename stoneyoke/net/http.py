"""HTTP/1.1 heads and bodies over asyncio streams: h11 parses them, writers gather them."""

import asyncio
from collections.abc import Callable, Coroutine
from http import HTTPStatus

import h11

BODY_TOP = 65_536  # the protocol page: a body holds no more than 64 KiB
HEAD_TOP = 16_384  # bytes of a head; the largest of the protocol page holds some 500
PIECE = 65_536  # bytes read at once


class Malformed(Exception):
    """What came can't be used; the status is what a client is told of it."""

    def __init__(self, why: str, status: int = 400) -> None:
        super().__init__(why)
        self.status = status


Met = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Coroutine[None, None, None]]


class Line(asyncio.StreamReaderProtocol):
    """A stream's protocol that tells at once when bytes come or the other end has closed."""

    def __init__(self, met: Met | None = None) -> None:
        self.reader = asyncio.StreamReader(PIECE)
        super().__init__(self.reader, met)
        self.on_bytes: Callable[[], None] | None = None
        self.on_close: Callable[[], None] | None = None

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


class Message:
    """A whole message: its first line's parts, its headers by lower-case name, its body."""

    __slots__ = ("body", "headers", "keeps", "method", "rest", "status", "target")

    def __init__(self, headers: dict[bytes, bytes]) -> None:
        self.headers = headers
        self.method = self.target = self.rest = b""
        self.status = 0
        self.body: bytes = b""
        self.keeps = True  # the connection can carry another


async def read_message(reader: asyncio.StreamReader, rest: bytes, *, client: bool) -> Message | None:
    """The next request (client: the next answer), or None where the stream ends between two. What of the
    following one has come already is its rest. Raises Malformed; OSError is the caller's."""
    conn = h11.Connection(h11.CLIENT if client else h11.SERVER, max_incomplete_event_size=HEAD_TOP)
    if rest:
        conn.receive_data(rest)
    message, body, size = None, [], 0
    try:
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await reader.read(PIECE))
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > BODY_TOP:
                    raise Malformed("body over 64 KiB", 413)
                body.append(bytes(event.data))
            elif isinstance(event, h11.Request | h11.Response):
                message = Message(dict(event.headers))
                if len(message.headers) != len(event.headers):
                    raise Malformed("a header comes twice")
                if isinstance(event, h11.Request):
                    message.method, message.target = event.method, event.target
                    if b"expect" in message.headers:
                        raise Malformed("no expectations are met here", 417)
                else:
                    message.status = event.status_code
            elif isinstance(event, h11.EndOfMessage) and message:
                message.body = body[0] if len(body) == 1 else b"".join(body)
                message.rest = conn.trailing_data[0]
                message.keeps = conn.their_state is h11.DONE and not conn.trailing_data[1]
                return message
            elif isinstance(event, h11.ConnectionClosed):
                return None
            elif event is h11.PAUSED:
                raise Malformed("the connection was to change its protocol")
    except h11.RemoteProtocolError as bad:
        raise Malformed(str(bad), bad.error_status_hint) from bad


def write_message(writer: asyncio.StreamWriter, head: list[bytes], body: bytes) -> None:
    """Head and body in one gathered write."""
    head.append(b"\r\n")
    writer.writelines((*head, body) if body else head)


def status_line(status: int) -> bytes:
    if status not in LINES:
        LINES[status] = b"HTTP/1.1 %d %s\r\n" % (status, HTTPStatus(status).phrase.encode())
    return LINES[status]


LINES: dict[int, bytes] = {}  # as many as this code answers with
