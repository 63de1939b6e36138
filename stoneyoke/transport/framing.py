"""Frames on a TCP stream: a length of four bytes, then that many bytes."""

import asyncio
import socket

from stoneyoke.transport.errors import MalformedMessage
from stoneyoke.transport.messages.codec import FRAME_BYTES_MAX, LENGTH_BYTES

SEND_TIMEOUT_MS = 5000  # the kernel closes a connection whose peer has acknowledged nothing for so long


async def read_frame(reader: asyncio.StreamReader) -> bytes | None:
    """The next frame's bytes without their length.

    Returns:
        None where the stream ends, also in the middle of a frame.

    Raises:
        MalformedMessage: The length is over FRAME_BYTES_MAX.
        OSError: The connection failed.
    """
    try:
        size = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
        if size > FRAME_BYTES_MAX:
            raise MalformedMessage(f"a frame of {size} bytes")
        return await reader.readexactly(size)
    except asyncio.IncompleteReadError:
        return None


def set_socket_options(writer: asyncio.StreamWriter) -> None:
    """Sends small frames at once, and bounds how long unacknowledged data keeps a connection open."""
    connection = writer.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SEND_TIMEOUT_MS)
