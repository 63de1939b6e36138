"""Writes HTTP/1.1 messages, and tracks whether a byte of a request may have been sent."""

import asyncio
from http import HTTPStatus

END_OF_HEAD = b"\r\n"

status_lines: dict[int, bytes] = {}  # a cache, bounded by the number of statuses that this process sends


def status_line(status: int) -> bytes:
    """Returns the first line of a response, with its line end."""
    if status not in status_lines:
        status_lines[status] = b"HTTP/1.1 %d %s\r\n" % (status, HTTPStatus(status).phrase.encode())
    return status_lines[status]


def write_message(writer: asyncio.StreamWriter, head: list[bytes], body: bytes) -> None:
    """Writes a message in one gathered write.

    Args:
        writer: The connection.
        head: The first line and the headers, in pieces, each line with its line end.
        body: The whole body; the head states its length.
    """
    writer.writelines((*head, END_OF_HEAD, body))


class RequestWrite:
    """A request written to a connection, and whether a byte of it may have been sent.

    A transport attempts the first send immediately and buffers the bytes that the kernel does not accept. Therefore, no
    byte has been sent in three cases: the connection was already closing; the first send failed; or the transport is
    still open and its buffer holds the whole request. The buffer of a transport that has closed in the meantime is
    empty, which proves nothing: some bytes may have been sent.

    "No byte has been sent" stays true only if the buffered bytes are never sent. A caller that relies on it must abort
    the connection before the next iteration of the event loop. A request of which a part has been sent counts as one
    that may run: the backend has not received all of it, but may run a request before its last byte.
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        """Prepares a write to a connection; nothing is written yet."""
        self.writer = writer
        self.size_bytes = 0  # of the request; 0 until the first send has been attempted

    def start(self, head: list[bytes], body: bytes) -> None:
        """Writes the request to the connection, once.

        Raises:
            ConnectionResetError: The connection is closed, or the first send fails. No byte has been sent.
        """
        if self.writer.is_closing():
            raise ConnectionResetError("connection closed before the request was written")
        write_message(self.writer, head, body)
        if self.writer.is_closing():
            raise ConnectionResetError("connection failed on the first send of the request")
        self.size_bytes = sum(map(len, head)) + len(END_OF_HEAD) + len(body)

    async def finish(self) -> None:
        """Returns once the kernel has accepted the last byte.

        Raises:
            OSError: The connection was closed before that.
        """
        if self.writer.transport.get_write_buffer_size():
            await self.writer.drain()  # also returns if the connection is closed without an error
        if self.writer.is_closing():
            raise ConnectionResetError("connection closed while the request was written")

    def may_have_been_sent(self) -> bool:
        """Whether a byte of the request may have been sent. False is certain; true means that it can't be excluded."""
        return self.writer.transport.get_write_buffer_size() < self.size_bytes
