"""Length-prefixed frames on a TCP stream: a length of four bytes, then that many bytes."""

import asyncio
import socket

from stoneyoke.transport.errors import MalformedMessage
from stoneyoke.transport.messages.codec import FRAME_BYTES_MAX, LENGTH_BYTES

SEND_TIMEOUT_MS = 5000  # the kernel closes a connection once sent data has been unacknowledged for this long


async def read_frame(reader: asyncio.StreamReader) -> bytes | None:
    """Reads the next frame.

    Returns:
        The frame's bytes without the length; None if the stream has ended, also in the middle of a frame.

    Raises:
        MalformedMessage: The length is over FRAME_BYTES_MAX.
        OSError: The connection failed.
    """
    try:
        size = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
        if size > FRAME_BYTES_MAX:
            raise MalformedMessage(f"frame of {size} bytes exceeds the maximum of {FRAME_BYTES_MAX}")
        return await reader.readexactly(size)
    except asyncio.IncompleteReadError:
        return None


def set_socket_options(writer: asyncio.StreamWriter) -> None:
    """Disables Nagle's algorithm, and limits how long a connection with unacknowledged data stays open."""
    connection = writer.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SEND_TIMEOUT_MS)
