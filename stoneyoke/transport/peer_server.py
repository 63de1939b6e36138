"""The answering end of connections between the system's own processes."""

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger

from stoneyoke.transport.errors import MalformedMessage
from stoneyoke.transport.framing import read_frame, set_socket_options
from stoneyoke.transport.messages import RESPONSES, Message, pack, unpack

ACCEPT_BACKLOG = 256

RequestHandler = Callable[[Message], Awaitable[Message | None]]


class PeerServer:
    """Accepts connections of peers and answers their requests, each in a task of its own."""

    def __init__(self, handle_request: RequestHandler) -> None:
        """Listens nowhere yet.

        Args:
            handle_request: Returns the response to a request, or None: then none is sent and the call times out.
        """
        self.handle_request = handle_request
        self.server: asyncio.Server
        self.answering: set[asyncio.Task[None]] = set()  # kept until they are done

    async def open(self, address: tuple[str, int]) -> None:
        """Listens on this host and port. Raises OSError if they can't be used."""
        self.server = await asyncio.start_server(self.serve_connection, *address, backlog=ACCEPT_BACKLOG)

    def bound_address(self) -> tuple[str, int]:
        """Host and port on which it listens: the port is the kernel's choice where 0 was asked for."""
        host, port = self.server.sockets[0].getsockname()[:2]
        return host, port

    def close(self) -> None:
        """Stops listening, and cancels the requests that are not answered yet."""
        self.server.close()
        for task in self.answering:
            task.cancel()

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Reads requests until the stream ends or holds a malformed one; then closes the connection."""
        set_socket_options(writer)
        try:
            await self.read_requests(reader, writer)
        except MalformedMessage as error:
            logger.warning("closed a peer's connection for a malformed request: {}", error)
        except (OSError, asyncio.CancelledError):
            pass  # the peer's end or this process's: the connection is closed either way
        finally:
            writer.transport.abort()

    async def read_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Starts an answer to each request.

        Raises:
            MalformedMessage: A call's number does not rise, or the message is not a request.
        """
        last_number = 0
        while (body := await read_frame(reader)) is not None:
            number, request = unpack(body)
            if number <= last_number or type(request) not in RESPONSES:
                raise MalformedMessage(f"call {number} after {last_number}: {type(request).__name__}")
            last_number = number
            task = asyncio.get_running_loop().create_task(self.answer(writer, number, request))
            self.answering.add(task)
            task.add_done_callback(self.answering.discard)

    async def answer(self, writer: asyncio.StreamWriter, number: int, request: Message) -> None:
        """Sends the response to one request, if there is one and the peer is still there."""
        try:
            response = await self.handle_request(request)
        except Exception:  # outermost guard of one request: a fault costs one response, never the process
            logger.exception("a {} of a peer got no response: its handler failed", type(request).__name__)
            return
        if response is not None and not writer.is_closing():
            writer.write(pack(number, response))
