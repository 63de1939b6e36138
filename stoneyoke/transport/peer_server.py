"""The server side of connections between the system's own processes."""

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger

from stoneyoke.transport.errors import MalformedMessage
from stoneyoke.transport.framing import read_frame, set_socket_options
from stoneyoke.transport.messages import RESPONSES, Message, pack, unpack

ACCEPT_BACKLOG = 256

RequestHandler = Callable[[Message], Awaitable[Message | None]]


class PeerServer:
    """Accepts connections of peers and handles each of their requests in a separate task."""

    def __init__(self, handle_request: RequestHandler) -> None:
        """Does not listen until `open`.

        Args:
            handle_request: Returns the response to a request, or None: then none is sent and the call times out.
        """
        self.handle_request = handle_request
        self.server: asyncio.Server
        self.request_tasks: set[asyncio.Task[None]] = set()  # keeps a reference to each task until it is done

    async def open(self, address: tuple[str, int]) -> None:
        """Listens on a host and port. Raises OSError if that is not possible."""
        self.server = await asyncio.start_server(self.serve_connection, *address, backlog=ACCEPT_BACKLOG)

    def bound_address(self) -> tuple[str, int]:
        """Returns the host and port on which the server listens; if port 0 was opened, the kernel chose the port."""
        host, port = self.server.sockets[0].getsockname()[:2]
        return host, port

    def close(self) -> None:
        """Stops listening, and cancels the requests without a response."""
        self.server.close()
        for task in self.request_tasks:
            task.cancel()

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Reads requests until the stream ends or a request is malformed, then closes the connection."""
        set_socket_options(writer)
        try:
            await self.read_requests(reader, writer)
        except MalformedMessage as error:
            logger.warning("closed the connection of a peer after a malformed request: {}", error)
        except (OSError, asyncio.CancelledError):
            pass  # the peer has disconnected, or this process shuts down: the connection is closed either way
        finally:
            writer.transport.abort()

    async def read_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Starts a task for each request.

        Raises:
            MalformedMessage: A call's number is not higher than the previous one, or the message is not a request.
        """
        last_number = 0
        while (body := await read_frame(reader)) is not None:
            number, request = unpack(body)
            if number <= last_number or type(request) not in RESPONSES:
                raise MalformedMessage(f"unexpected {type(request).__name__} as call {number} after call {last_number}")
            last_number = number
            task = asyncio.get_running_loop().create_task(self.answer(writer, number, request))
            self.request_tasks.add(task)
            task.add_done_callback(self.request_tasks.discard)

    async def answer(self, writer: asyncio.StreamWriter, number: int, request: Message) -> None:
        """Handles one request, and sends its response if there is one and the connection is still open."""
        try:
            response = await self.handle_request(request)
        except Exception:  # an unexpected failure must cost only this response, not the process
            logger.exception("the handler of a {} failed: the peer gets no response", type(request).__name__)
            return
        if response is not None and not writer.is_closing():
            writer.write(pack(number, response))
