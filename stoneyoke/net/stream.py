"""TCP connections as asyncio streams that report input immediately, and checks for unread input on their sockets."""

import asyncio
import fcntl
import select
import sys
import termios
from collections.abc import Callable, Coroutine
from typing import Any

READ_BYTES = 16_384  # per read; a stream stops reading at twice that, so that no peer can fill the memory
DISCARD_READ_BYTES = 262_144  # per read of input that is discarded; 60 MB take 240 reads

ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Coroutine[None, None, None]]


class StreamProtocol(asyncio.StreamReaderProtocol):
    """The protocol of one connection. It reports input and the peer's close before the reader's task runs.

    Attributes:
        on_data: Called when bytes have arrived, before they are passed to the reader.
        on_close: Called when the peer has closed its side, or the connection is lost.
        bytes_received: The number of bytes that were passed to the reader. A connection may be reused only if the
            reader has taken them all.
        discarding: Input is discarded instead of being passed to the reader.
    """

    def __init__(self, handler: ConnectionHandler | None = None) -> None:
        """Takes the coroutine function that serves an accepted connection; None on the connecting side."""
        self.reader = asyncio.StreamReader(READ_BYTES)
        super().__init__(self.reader, handler)
        self.on_data: Callable[[], None] | None = None
        self.on_close: Callable[[], None] | None = None
        self.bytes_received = 0
        self.discarding = False

    def discard_input(self) -> None:
        """Discards all further input. The peer can go on writing until it reads the response."""
        self.discarding, self.on_data = True, None
        self.transport.max_size = DISCARD_READ_BYTES
        self.transport.resume_reading()

    def connection_made(self, transport: Any) -> None:
        """Sets the buffer sizes.

        By default, asyncio allocates 256 KiB for each read, and drain() returns before the last byte is sent.
        """
        self.transport = transport
        transport.max_size = READ_BYTES
        transport.set_write_buffer_limits(high=0)
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Reports input, then passes it to the reader."""
        if self.on_data:
            self.on_data()
        if not self.discarding:
            self.bytes_received += len(data)
            super().data_received(data)

    def eof_received(self) -> bool | None:
        """Reports that the peer has closed its side."""
        if self.on_close:
            self.on_close()
        return super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports that the connection is closed or lost."""
        if self.on_close:
            self.on_close()
        super().connection_lost(exc)


async def connect(address: tuple[str, int], timeout_s: float) -> tuple[StreamProtocol, asyncio.StreamWriter]:
    """Opens a connection.

    Raises:
        OSError: The connection is refused or fails. A TimeoutError, which is an OSError, means that it took too long.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        transport, protocol = await loop.create_connection(StreamProtocol, *address)
    return protocol, asyncio.StreamWriter(transport, protocol, protocol.reader, loop)


def has_unread_bytes(writer: asyncio.StreamWriter) -> bool:
    """Whether bytes wait on the socket that the event loop has not read yet."""
    count = fcntl.ioctl(writer.get_extra_info("socket").fileno(), termios.FIONREAD, bytes(4))
    return int.from_bytes(count, sys.byteorder) != 0


def has_hung_up(writer: asyncio.StreamWriter) -> bool:
    """Whether the peer has closed its side, or the connection is lost, even if input before that waits unread."""
    poll = select.poll()
    poll.register(writer.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))  # poll() always reports POLLERR and POLLHUP, which a reset sets


def is_readable(writer: asyncio.StreamWriter) -> bool:
    """Whether bytes, the end of the stream or an error wait on the socket that the event loop has not read yet."""
    poll = select.poll()
    poll.register(writer.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))
