"""Serves a program's metrics over HTTP on a separate listener."""

import asyncio
from collections.abc import Callable

from absl import flags
from loguru import logger

from stoneyoke.net.errors import MalformedMessage
from stoneyoke.net.message_reader import MessageReader
from stoneyoke.net.message_writer import status_line, write_message
from stoneyoke.net.stream import StreamProtocol
from stoneyoke.runtime.metrics_text import CONTENT_TYPE

METRICS_PORT = flags.DEFINE_integer(
    "metrics_port", 0, "The port that serves the metrics as text; 0: none.", lower_bound=0, upper_bound=65_535
)
METRICS_TARGET = b"/metrics"
BACKLOG = 16
IDLE_TIMEOUT_S = 10.0
CONNECTIONS_MAX = 16  # few, because file descriptors are needed for clients and backends


class MetricsServer:
    """Responds to requests for /metrics with the program's current metrics."""

    def __init__(self, render: Callable[[], str]) -> None:
        """Does not listen until `open`.

        Args:
            render: Returns all metrics as text.
        """
        self.render = render
        self.connections = 0

    async def open(self, address: tuple[str, int]) -> None:
        """Listens on an IP address and port; port 0 opens no listener.

        If the address is not available, the process runs without metrics: monitoring must not make a program fail.
        """
        if not address[1]:
            return
        loop = asyncio.get_running_loop()
        try:
            await loop.create_server(lambda: StreamProtocol(self.serve), *address, backlog=BACKLOG)
        except OSError as error:
            logger.warning("metrics: can't listen on {}:{}, metrics are not served: {}", *address, error)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection until it is closed, is idle for IDLE_TIMEOUT_S, or sends malformed HTTP."""
        if self.connections >= CONNECTIONS_MAX:
            writer.transport.abort()
            return
        self.connections += 1
        messages = MessageReader(reader, responses=False)
        try:
            keep_alive = True
            while keep_alive:
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    message = await messages.next()
                if message is None:
                    break
                keep_alive = message.keep_alive
                self.respond(writer, message.target)
        except (OSError, MalformedMessage):  # a TimeoutError is an OSError
            pass
        finally:
            self.connections -= 1
            writer.close()

    def respond(self, writer: asyncio.StreamWriter, target: bytes) -> None:
        """Writes the metrics, or a 404 for any other target."""
        found = target.partition(b"?")[0] == METRICS_TARGET
        body = self.render().encode() if found else b"no such path\n"
        headers = b"Content-Type: %s\r\nContent-Length: %d\r\n" % (CONTENT_TYPE.encode(), len(body))
        write_message(writer, [status_line(200 if found else 404), headers], body)
