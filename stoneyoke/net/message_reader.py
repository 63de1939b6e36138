"""Reads HTTP/1.1 messages from a stream, with the parser of httptools."""

import asyncio
from collections import deque
from typing import Any

import httptools

from stoneyoke.net.errors import MalformedMessage
from stoneyoke.net.stream import READ_BYTES

BODY_MAX_BYTES = 65_536  # the protocol page's limit of a body
HEAD_MAX_BYTES = 16_384  # the largest head of the protocol page has some 500 bytes
FRAMING_FACTOR = 5  # a message with its framing may have this many times the limit of a body, since chunks can be small
NO_BODY_STATUSES = (204, 304)
FIRST_FINAL_STATUS = 200  # a response with a lower status is informational, and the final response follows it


class Message:
    """A request or a response.

    Attributes:
        headers: The value of each header, by lower-case name; the last value of a repeated header.
        fields: The headers as they were received.
        repeated: The lower-case names of headers that occur more than once.
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
        """Adds a header as it was received."""
        self.fields.append((name, value))
        name = name.lower()
        if name in self.headers:
            self.repeated.add(name)
        self.headers[name] = value


class MessageReader:
    """Reads the messages that arrive on one connection. The methods named on_... are the parser's callbacks.

    Attributes:
        body_max_bytes: The longest body that is accepted.
        head_max_bytes: The longest head that is accepted.
        complete: Complete messages that are not taken yet; one read can hold several.
        partial: The message of which only a part has arrived; None if there is none.
        in_head: The head of that message is not complete.
        section_bytes: The number of bytes of the section that is being read: of the head, then of the body.
        message_bytes: The number of bytes of that message, with its framing.
        bytes_parsed: The number of all bytes that were read from the stream.
        error: Why no further message is read; None while messages can be read.
        awaiting_input: All input has been parsed and holds no further message. Code that is notified of input before
            the reader resets it.
    """

    def __init__(self, reader: asyncio.StreamReader, *, responses: bool, body_max_bytes: int = BODY_MAX_BYTES) -> None:
        """Reads responses if `responses` is true, else requests."""
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
        """Returns the next message; None if the stream ends between two messages.

        Raises:
            MalformedMessage: The input is not a valid message, or stop() was called.
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
                if self.partial:  # even a body that the end of the stream delimits may be truncated
                    raise ConnectionResetError("the stream ended within a message")
                return None
            self.parse(data)
        return self.complete.popleft()

    def parse(self, data: bytes) -> None:
        """Parses input and checks the limits; stores a failure in `error`."""
        self.bytes_parsed += len(data)
        if self.in_head or not self.partial:
            self.section_bytes += len(data)
        self.message_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # on_headers_complete() has stored it in `error`
        except httptools.HttpParserError as error:
            self.error = self.error or MalformedMessage(f"no HTTP/1.1: {error}")
        if self.in_head and self.section_bytes > self.head_max_bytes:
            self.error = self.error or self.head_too_long()
        elif self.message_bytes > FRAMING_FACTOR * self.body_max_bytes:
            self.error = self.error or MalformedMessage("a message without end", 413)

    def has_input(self) -> bool:
        """Whether input beyond the last message that was taken has been read, or an error was stored."""
        return bool(self.complete or self.partial or self.error)

    def stop(self, error: MalformedMessage) -> None:
        """Makes next() raise this error, also if it is waiting for the rest of a message."""
        self.error = error
        self.reader.feed_eof()

    # ---- the parser's callbacks ----

    def on_message_begin(self) -> None:
        """Starts a new message."""
        self.partial, self.in_head = Message(), True

    def on_url(self, url: bytes) -> None:
        """Appends a part of the target."""
        if self.partial:
            self.partial.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header. A trailer, which follows a chunked body, only counts towards the size of that body."""
        if not self.in_head:
            self.section_bytes += len(name) + len(value)
        elif self.partial:
            self.partial.add_header(name, value)

    def on_headers_complete(self) -> None:
        """Checks the head, which is complete."""
        self.in_head, self.section_bytes = False, 0
        if message := self.partial:
            self.error = self.error or self.check_head(message)

    def on_body(self, part: bytes) -> None:
        """Appends a part of the body."""
        self.section_bytes += len(part)
        if self.section_bytes > self.body_max_bytes:
            self.error = self.error or MalformedMessage("a body that is too long", 413)
        elif not self.error:
            self.body_parts.append(part)

    def on_message_complete(self) -> None:
        """Completes the message. An informational response is dropped."""
        message, self.partial, self.section_bytes = self.partial, None, 0
        if message and not self.error and (not self.responses or message.status >= FIRST_FINAL_STATUS):
            message.body = b"".join(self.body_parts)
            message.keep_alive = self.parser.should_keep_alive()
            self.complete.append(message)
            self.message_bytes = 0
        self.body_parts.clear()

    # ---- checks of a head ----

    def check_head(self, message: Message) -> MalformedMessage | None:
        """Returns why a message is rejected by its head; None if the head is valid.

        The parser itself rejects two Content-Length headers, a Content-Length beside chunked coding, and a
        Content-Length that is not a plain number.
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
        """Returns why a response is rejected: without framing, a broken connection would look like a complete body."""
        message.status = self.parser.get_status_code()
        has_body = message.status >= FIRST_FINAL_STATUS and message.status not in NO_BODY_STATUSES
        return (
            MalformedMessage("response without Content-Length or chunked coding") if has_body and not framed else None
        )

    def check_request(self, message: Message) -> MalformedMessage | None:
        """Returns why a request is rejected; None if its head is valid."""
        message.method = self.parser.get_method()
        if sum(len(name) + len(value) + 4 for name, value in message.fields) > self.head_max_bytes:
            return self.head_too_long()
        if self.parser.get_http_version() != "1.1":
            return MalformedMessage("not HTTP/1.1", 505)
        if b"expect" in message.headers:
            return MalformedMessage("no expectations are met here", 417)
        return None

    def head_too_long(self) -> MalformedMessage:
        """Returns the error for a head that exceeds its limit."""
        return MalformedMessage(f"head over {self.head_max_bytes} bytes", 431)
