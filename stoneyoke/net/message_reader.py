"""Reads HTTP/1.1 messages from a stream; httptools parses them in place."""

import asyncio
from collections import deque
from typing import Any

import httptools

from stoneyoke.net.errors import MalformedMessage
from stoneyoke.net.stream import READ_BYTES

BODY_MAX_BYTES = 65_536  # the protocol page's limit of a body
HEAD_MAX_BYTES = 16_384  # the largest head of the protocol page has some 500
FRAMING_FACTOR = 5  # a message with its framing may hold this many times its body's limit: chunks may be small
NO_BODY_STATUSES = (204, 304)
FIRST_FINAL_STATUS = 200  # lower ones are informational: the response follows


class Message:
    """A request or a response.

    Attributes:
        headers: The value of each header, by lower-case name; of a repeated one, the last value.
        fields: The headers as they came.
        repeated: The lower-case names of headers that came more than once.
        method: A request's method.
        target: A request's target.
        status: A response's status.
        body: The whole body.
        keep_alive: The connection can carry another message.
    """

    __slots__ = ("body", "fields", "headers", "keep_alive", "method", "repeated", "status", "target")

    def __init__(self) -> None:
        """Starts empty; the parser fills it."""
        self.headers: dict[bytes, bytes] = {}
        self.fields: list[tuple[bytes, bytes]] = []
        self.repeated: set[bytes] = set()
        self.method = self.target = self.body = b""
        self.status = 0
        self.keep_alive = True

    def add_header(self, name: bytes, value: bytes) -> None:
        """Adds a header as it came."""
        self.fields.append((name, value))
        name = name.lower()
        if name in self.headers:
            self.repeated.add(name)
        self.headers[name] = value


class MessageReader:
    """The messages that come over one connection. The methods named on_... are the parser's callbacks.

    Attributes:
        body_max_bytes: The longest body that is accepted.
        head_max_bytes: The longest head that is accepted.
        complete: Messages that have come whole and are not taken yet; as many as one read can hold.
        partial: The message of which only a part has come.
        in_head: The head of that message has not come whole.
        part_bytes: The bytes of the head, then of the body, that is being read.
        message_bytes: The bytes of that message with its framing.
        bytes_parsed: All bytes that were read from the stream.
        error: Why nothing more is read.
        awaiting_input: All that has come has been parsed and makes no further message. Whoever learns of input before
            the reader does resets it.
    """

    def __init__(self, reader: asyncio.StreamReader, *, responses: bool, body_max_bytes: int = BODY_MAX_BYTES) -> None:
        """Reads responses, or else requests."""
        self.reader, self.responses = reader, responses
        self.body_max_bytes, self.head_max_bytes = body_max_bytes, HEAD_MAX_BYTES
        parser_type = httptools.HttpResponseParser if responses else httptools.HttpRequestParser
        self.parser: Any = parser_type(self)
        self.complete: deque[Message] = deque()
        self.partial: Message | None = None
        self.in_head = False
        self.section_bytes = self.message_bytes = self.bytes_parsed = 0
        self.body_parts: list[bytes] = []
        self.error: MalformedMessage | None = None
        self.awaiting_input = False

    async def next(self) -> Message | None:
        """The next message, or None where the stream ends between two.

        Raises:
            MalformedMessage: What has come can't be used, or stop() was called.
            OSError: The connection breaks, or the stream ends within a message.
        """
        while not self.complete:
            if self.error:
                raise self.error
            self.awaiting_input = True
            data = await self.reader.read(READ_BYTES)
            self.awaiting_input = False
            if self.error:
                raise self.error
            if not data:
                if self.partial:  # a body that only the stream's end would frame may have been cut short as well
                    raise ConnectionResetError("the stream ended within a message")
                return None
            self.parse(data)
        return self.complete.popleft()

    def parse(self, data: bytes) -> None:
        """Parses input and checks the limits; a fault is kept in `error`."""
        self.bytes_parsed += len(data)
        if self.in_head or not self.partial:
            self.section_bytes += len(data)
        self.message_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # on_headers_complete() has kept it as an error
        except httptools.HttpParserError as error:
            self.error = self.error or MalformedMessage(f"no HTTP/1.1: {error}")
        if self.in_head and self.section_bytes > self.head_max_bytes:
            self.error = self.error or self.head_too_long()
        elif self.message_bytes > FRAMING_FACTOR * self.body_max_bytes:
            self.error = self.error or MalformedMessage("a message without end", 413)

    def has_input(self) -> bool:
        """Whether anything beyond the last message has come already."""
        return bool(self.complete or self.partial or self.error)

    def stop(self, error: MalformedMessage) -> None:
        """Ends the wait of next(): whoever waits for the rest of a message gets this error."""
        self.error = error
        self.reader.feed_eof()

    # ---- the parser's callbacks ----

    def on_message_begin(self) -> None:
        """A message begins."""
        self.partial, self.in_head = Message(), True

    def on_url(self, url: bytes) -> None:
        """A part of the target has come."""
        if self.partial:
            self.partial.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header has come. One that follows a chunked body counts as part of that body and has no meaning."""
        if not self.in_head:
            self.section_bytes += len(name) + len(value)
        elif self.partial:
            self.partial.add_header(name, value)

    def on_headers_complete(self) -> None:
        """The head has come whole."""
        self.in_head, self.section_bytes = False, 0
        if message := self.partial:
            self.error = self.error or self.check_head(message)

    def on_body(self, part: bytes) -> None:
        """A part of the body has come."""
        self.section_bytes += len(part)
        if self.section_bytes > self.body_max_bytes:
            self.error = self.error or MalformedMessage("a body that is too long", 413)
        elif not self.error:
            self.body_parts.append(part)

    def on_message_complete(self) -> None:
        """The message has come whole. An informational response is dropped."""
        message, self.partial, self.section_bytes = self.partial, None, 0
        if message and not self.error and (not self.responses or message.status >= FIRST_FINAL_STATUS):
            message.body = b"".join(self.body_parts)
            message.keep_alive = self.parser.should_keep_alive()
            self.complete.append(message)
            self.message_bytes = 0
        self.body_parts.clear()

    # ---- checks of a head ----

    def check_head(self, message: Message) -> MalformedMessage | None:
        """Why a message is of no use, if its head alone shows that.

        The parser itself refuses two lengths, a length beside chunks, and lengths that are no plain numbers.
        """
        coding, length = message.headers.get(b"transfer-encoding"), message.headers.get(b"content-length")
        if self.parser.should_upgrade():
            return MalformedMessage("the connection was to change its protocol")
        if coding is not None and coding.lower() != b"chunked":
            return MalformedMessage("a transfer coding that is not known", 501)
        if length is not None and int(length) > self.body_max_bytes:
            return MalformedMessage("a body that is too long", 413)
        if self.responses:
            return self.check_response(message, framed=coding is not None or length is not None)
        return self.check_request(message)

    def check_response(self, message: Message, *, framed: bool) -> MalformedMessage | None:
        """Why a response is of no use: its end must show by itself, or a cut connection would look like one."""
        message.status = self.parser.get_status_code()
        has_body = message.status >= FIRST_FINAL_STATUS and message.status not in NO_BODY_STATUSES
        return MalformedMessage("an answer without framing") if has_body and not framed else None

    def check_request(self, message: Message) -> MalformedMessage | None:
        """Why a request is of no use."""
        message.method = self.parser.get_method()
        if sum(len(name) + len(value) + 4 for name, value in message.fields) > self.head_max_bytes:
            return self.head_too_long()
        if self.parser.get_http_version() != "1.1":
            return MalformedMessage("not HTTP/1.1", 505)
        if b"expect" in message.headers:
            return MalformedMessage("no expectations are met here", 417)
        return None

    def head_too_long(self) -> MalformedMessage:
        """The error for a head over its limit."""
        return MalformedMessage(f"head over {self.head_max_bytes} bytes", 431)
