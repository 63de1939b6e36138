"""The HTTP/1.1 server for the calls of instances and operators."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import cast

from loguru import logger

from stoneyoke.api.calls import ApiCall, ApiResult, Rejected, Unavailable
from stoneyoke.api.http_mapping import read_call, to_http_response
from stoneyoke.net.errors import MalformedMessage
from stoneyoke.net.message_reader import Message, MessageReader
from stoneyoke.net.message_writer import status_line, write_message
from stoneyoke.net.stream import StreamProtocol

IDLE_TIMEOUT_S = 30.0
REJECT_LINGER_S = 0.2  # closing at once after a rejection would reset the connection before the client reads it
ACCEPT_BACKLOG = 512


class HttpApi:
    """Reads HTTP requests, passes them to a handler as calls, and writes the responses.

    Attributes:
        calls_in_flight: The number of calls that have been read and have no response yet.
        call_ended: Set when a call gets its response.
        shutting_down: Whether each connection is closed after its next response.
    """

    def __init__(self, handle: Callable[[ApiCall], Awaitable[ApiResult]], max_body_bytes: int) -> None:
        """Makes a server that does not listen yet.

        Args:
            handle: executes a call and returns its result.
            max_body_bytes: requests with a longer body are rejected.
        """
        self.handle, self.max_body_bytes = handle, max_body_bytes
        self.calls_in_flight = 0
        self.call_ended = asyncio.Event()
        self.shutting_down = False

    async def open(self, address: tuple[str, int]) -> None:
        """Listens at an IP address and port.

        Raises:
            OSError: the address can't be used.
        """
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: StreamProtocol(self.serve), *address, backlog=ACCEPT_BACKLOG)

    async def shut_down(self, time_limit_s: float) -> None:
        """Stops accepting connections and waits until each call that has been read has its response.

        Args:
            time_limit_s: the method returns after this many seconds at the latest.
        """
        self.shutting_down = True
        self.server.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(time_limit_s):
                while self.calls_in_flight:
                    self.call_ended.clear()
                    await self.call_ended.wait()
        logger.info("the API for instances and operators is closed; {} calls have no response", self.calls_in_flight)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection until it is closed, is idle for IDLE_TIMEOUT_S seconds, or sends malformed HTTP."""
        messages = MessageReader(reader, responses=False, body_max_bytes=self.max_body_bytes)
        try:
            await self._serve_calls(messages, writer)
        except MalformedMessage as error:
            self._write(writer, Rejected(HTTPStatus(error.status), "message", str(error)), keep_alive=False)
            cast(StreamProtocol, writer.transport.get_protocol()).discard_input()
            await asyncio.sleep(REJECT_LINGER_S)
        except (OSError, asyncio.CancelledError):  # a TimeoutError is an OSError
            pass
        finally:
            writer.close()

    async def _serve_calls(self, messages: MessageReader, writer: asyncio.StreamWriter) -> None:
        while True:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                message = await messages.next()
            if message is None:
                return
            if not await self._respond(message, writer):
                return
            await writer.drain()

    async def _respond(self, message: Message, writer: asyncio.StreamWriter) -> bool:
        """Handles one request and writes its response; returns whether the connection stays open."""
        self.calls_in_flight += 1
        try:
            result = await self._handle_request(message)
            keep_alive = message.keep_alive and not self.shutting_down
            self._write(writer, result, keep_alive=keep_alive)
        finally:
            self.calls_in_flight -= 1
            self.call_ended.set()
        return keep_alive

    async def _handle_request(self, message: Message) -> ApiResult:
        try:
            call = read_call(message.method.decode("ascii"), message.target.decode("ascii"), message.body)
            return call if isinstance(call, Rejected) else await self.handle(call)
        except UnicodeDecodeError:
            return Rejected(HTTPStatus.BAD_REQUEST, "path", "characters that are not ASCII")
        except Exception:  # outermost handler: a fault fails this one call, not the process
            logger.exception("a call of an instance or operator failed and is rejected with status 503")
            return Unavailable("failed here")

    def _write(self, writer: asyncio.StreamWriter, result: ApiResult, *, keep_alive: bool) -> None:
        status, body = to_http_response(result)
        connection = b"" if keep_alive else b"Connection: close\r\n"
        content = b"Content-Type: application/json\r\nContent-Length: %d\r\n" % len(body)
        write_message(writer, [status_line(status), connection, content], body)
