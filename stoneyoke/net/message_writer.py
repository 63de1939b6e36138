"""Writes HTTP/1.1 messages, and keeps track of whether a byte of a request can have left this process."""

import asyncio
from http import HTTPStatus

END_OF_HEAD = b"\r\n"

status_lines: dict[int, bytes] = {}  # as many as there are statuses that this process answers with


def status_line(status: int) -> bytes:
    """A response's first line, with its line end."""
    if status not in status_lines:
        status_lines[status] = b"HTTP/1.1 %d %s\r\n" % (status, HTTPStatus(status).phrase.encode())
    return status_lines[status]


def write_message(writer: asyncio.StreamWriter, head: list[bytes], body: bytes) -> None:
    """Writes a message in one gathered write.

    Args:
        writer: The connection.
        head: The first line and the headers, in pieces, each line with its end.
        body: The whole body; its length is in the head.
    """
    writer.writelines((*head, END_OF_HEAD, body))


class RequestWrite:
    """A request handed to a connection, and whether a byte of it can have left this process.

    A transport offers the first send to the kernel at once and keeps what that does not take in its own buffer. So no
    byte has left in three cases: the connection was closing before; that first send was refused; or the transport is
    still open and its buffer holds as much as was handed to it. A transport that has closed meanwhile holds nothing
    any more, and that proves nothing: some bytes may have left.

    "No byte has left" stays true only if what the buffer holds never leaves. Whoever relies on it aborts the
    connection before the event loop turns again. A request of which a part has left counts as one that may run. The
    backend does not have all of it, but that a backend runs nothing before the last byte is not known here.
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        """Writes nothing yet."""
        self.writer = writer
        self.size_bytes = 0  # of the request; 0 until the first send has been offered

    def start(self, head: list[bytes], body: bytes) -> None:
        """Offers the request to the kernel, once.

        Raises:
            ConnectionResetError: The connection is closed or refuses the first send. No byte has left.
        """
        if self.writer.is_closing():
            raise ConnectionResetError("closed before the request")
        write_message(self.writer, head, body)
        if self.writer.is_closing():
            raise ConnectionResetError("the request's first send was refused")
        self.size_bytes = sum(map(len, head)) + len(END_OF_HEAD) + len(body)

    async def finish(self) -> None:
        """Returns once the kernel has taken the last byte.

        Raises:
            OSError: The connection has ended before that.
        """
        if self.writer.transport.get_write_buffer_size():
            await self.writer.drain()  # returns, too, where the connection ends without an error
        if self.writer.is_closing():
            raise ConnectionResetError("closed while the request was written")

    def may_have_been_sent(self) -> bool:
        """Whether a byte of the request can have left this process. False is a proof, true is a doubt."""
        return self.writer.transport.get_write_buffer_size() < self.size_bytes
