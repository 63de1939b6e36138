"""A backend that delays each response until the test releases it, and a client that disconnects on demand."""

import asyncio
import socket
import struct
from collections.abc import Callable

from gateway_fixture import HOST, Head, ScriptedBackend, ok, read_head


class DelayingBackend(ScriptedBackend):
    """Starts to run each request, and cancels the run when the connection closes, as most backends do.

    `requests` records the requests that were received completely; `cut` and `finished` record the attempt ids of runs
    that were cancelled and completed.
    """

    def __init__(self, answer: Callable[[Head], bytes] = ok, first_part: bytes = b"") -> None:
        """`first_part` is written when a run starts, as the start of a response that then stalls."""
        super().__init__()
        self.answer, self.first_part = answer, first_part
        self.released = asyncio.Event()
        self.cut: list[bytes] = []
        self.finished: list[bytes] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                request = await read_head(reader)
                request["body"] = await reader.readexactly(int(request.get("content-length", b"0")))
                self.requests.append(request)
                writer.write(self.first_part)
                if await self.is_disconnected(reader):
                    self.cut.append(request["attempt-id"])
                    return
                writer.write(self.answer(request) or b"")
                self.finished.append(request["attempt-id"])
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    async def is_disconnected(self, reader: asyncio.StreamReader) -> bool:
        """Waits for the release or the connection's end, whichever comes first. Returns True for the end."""
        released = asyncio.ensure_future(self.released.wait())
        ended = asyncio.ensure_future(reader.read(1))
        done, pending = await asyncio.wait((released, ended), return_when=asyncio.FIRST_COMPLETED)
        for waiting in pending:
            waiting.cancel()
        await asyncio.gather(*pending, return_exceptions=True)
        return released not in done


class DisconnectingClient:
    """A client whose connection the test can end in several ways. `attempt_id` belongs to the last request sent."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection((HOST, port))
        self.sent = 0
        self.attempt_id = b""

    def send(self, path: bytes = b"/a/b/x", host: bytes = b"one.example", body: bytes = b"order") -> bytes:
        """Sends one request and returns its attempt id."""
        self.sent += 1
        self.attempt_id = b"left-%d-%d" % (self.socket.getsockname()[1], self.sent)
        self.socket.sendall(
            b"POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\nApi-Key: key-a\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (path, host, self.attempt_id, len(body), body)
        )
        return self.attempt_id

    def close(self) -> None:
        """Closes the socket, which sends a FIN."""
        self.socket.close()

    def half_close(self) -> None:
        """Shuts down the sending direction, which sends a FIN; the client could still read."""
        self.socket.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        """Resets the connection with an RST."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()
