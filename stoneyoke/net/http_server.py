"""Serves HTTP/1.1 to clients: connections, health checks, malformed messages and the shutdown."""

import asyncio
import sys
from abc import ABC, abstractmethod
from collections.abc import Callable
from functools import partial
from typing import cast

from loguru import logger

from stoneyoke.net.client_connection import ClientConnection, Phase
from stoneyoke.net.connection_table import ConnectionTable
from stoneyoke.net.descriptor_budget import DescriptorBudget
from stoneyoke.net.errors import MalformedMessage
from stoneyoke.net.message_reader import BODY_MAX_BYTES, HEAD_MAX_BYTES, Message
from stoneyoke.net.message_writer import status_line, write_message
from stoneyoke.net.reply import CLIENT_GONE, Reply
from stoneyoke.net.stream import StreamProtocol
from stoneyoke.net.unanswered import UNANSWERED_AT_EXIT, UnansweredRequest, unanswered_requests
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.metrics import Metrics

LINGER_S = 1.0  # how long input is discarded after a malformed message was rejected, before the connection is closed
# The server shuts down after this many successive checks, IDLE_CHECK_INTERVAL_S apart, that found no request in flight.
IDLE_CHECKS = 3
IDLE_CHECK_INTERVAL_S = 0.02
REASON_MAX_BYTES = 200  # the longest reason in the body of a rejection
HEALTH_CHECK_TARGET = b"/healthz"


class HttpServer(ABC):
    """Serves the clients' connections, from accepting them to the last response. Subclasses answer the requests.

    Attributes:
        connections: The open connections, with their time limits.
        head_max_bytes: The longest head of a request; applies to connections that are accepted after it was set.
        body_max_bytes: The longest body of a request; applies likewise.
        respond_by_us: The time by which every request must be answered; sys.maxsize before SIGTERM.
        shutting_down: Whether each connection is closed after its next response.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        arrival_time: Callable[[], int],
        descriptor_budget: DescriptorBudget,
        descriptors: int,
    ) -> None:
        """Starts without connections.

        Args:
            clock: The process's clock.
            metrics: The process's counters.
            arrival_time: Returns the earliest time, in microseconds, at which input that is read now can have arrived.
            descriptor_budget: The budget that all connections share.
            descriptors: The number of file descriptors that the process may use.
        """
        self.clock, self.metrics, self.arrival_time = clock, metrics, arrival_time
        self.descriptor_budget = descriptor_budget
        self.connections = ConnectionTable(clock, metrics, descriptor_budget, descriptors)
        self.head_max_bytes, self.body_max_bytes = HEAD_MAX_BYTES, BODY_MAX_BYTES
        self.respond_by_us = sys.maxsize
        self.shutting_down = False

    @abstractmethod
    async def handle(self, client: ClientConnection, message: Message) -> Reply:
        """Returns the response to one request; CLIENT_GONE if the client has disconnected.

        Raises:
            MalformedMessage: The request is invalid. It is rejected and its connection closed.
        """

    # ---- connections ----

    def make_protocol(self) -> StreamProtocol:
        """Returns the protocol of a newly accepted connection, for asyncio's create_server()."""
        return StreamProtocol(self.serve)

    async def serve(self, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves a client's connection until it is closed."""
        client = self.accept(writer)
        if client is None:
            return
        try:
            await self.serve_messages(client)
        except MalformedMessage as error:
            await self.reject(client, error)
        except OSError:
            self.metrics.add("client connections: broken")
        except asyncio.CancelledError:  # the process exits
            writer.transport.abort()
        except Exception:  # outermost guard: an error here closes this connection and must not stop the gateway
            logger.exception(
                "Serving a client connection failed; it is closed, the other connections are not affected."
            )
            self.metrics.check_invariant(False, "connection failed")
        finally:
            client.protocol.on_data = client.protocol.on_close = None
            self.connections.remove(client)
            self.descriptor_budget.release()
            writer.close()

    def accept(self, writer: asyncio.StreamWriter) -> ClientConnection | None:
        """Adds a new connection to the table, or aborts it if no file descriptor is available for it.

        Returns:
            The connection; None if it was aborted.
        """
        self.connections.limit_silent()
        if not self.descriptor_budget.acquire(incoming=True):
            self.metrics.add("client connections: no descriptor left")
            writer.transport.abort()
            return None
        protocol = cast(StreamProtocol, writer.transport.get_protocol())
        client = ClientConnection(protocol, writer, self.arrival_time())
        client.messages.head_max_bytes, client.messages.body_max_bytes = self.head_max_bytes, self.body_max_bytes
        self.connections.add(client)
        self.metrics.add("client connections")
        protocol.on_data, protocol.on_close = partial(self.input_arrived, client), client.peer_closed
        return client

    def input_arrived(self, client: ClientConnection) -> None:
        """Notes that bytes have arrived on a connection. Its reader has not received them yet."""
        client.messages.awaiting_input = False
        if client.phase is Phase.IDLE:
            self.connections.idle.pop(client, None)
            client.message_begun(self.arrival_time())
        elif client.phase is Phase.RESPONDING and not client.next_message_at:
            client.next_message_at = self.arrival_time()

    async def serve_messages(self, client: ClientConnection) -> None:
        """Answers the requests of a connection one after another, until either side closes it."""
        writer = client.writer
        while message := await client.messages.next():
            client.message_complete(message, self.clock.now())
            self.connections.silent.pop(client, None)
            await self.respond(client, message)
            if client.disconnected:  # further requests that it has sent are not answered
                return
            if writer.transport.get_write_buffer_size():
                client.phase_started_us = self.clock.now()
                await writer.drain()
            if not message.keep_alive or writer.is_closing() or self.closes_after_response(client):
                return
            client.response_written(self.clock.now())
            if client.phase is Phase.IDLE:
                self.connections.mark_idle(client)

    def closes_after_response(self, client: ClientConnection) -> bool:
        """Whether the shutdown closes a connection after this response.

        A connection on which a part of the next request has been read stays open until that request is answered.
        """
        return self.shutting_down and not client.has_unanswered_input()

    # ---- responses ----

    async def respond(self, client: ClientConnection, message: Message) -> None:
        """Answers one message of a client."""
        if message.target == HEALTH_CHECK_TARGET and message.method == b"GET":
            response = self.health()
        else:
            # The request of a client that has already disconnected is not handled.
            response = CLIENT_GONE if client.disconnected else await self.handle(client, message)
            if response.status == 0 or client.writer.is_closing():
                self.metrics.add("RPCs: client gone")
                return
        self.write_response(client, message, response)

    def write_response(self, client: ClientConnection, message: Message, response: Reply) -> None:
        """Writes a response, with "Connection: close" if the connection is closed after it."""
        headers, client.response_started = response.headers, True
        if not message.keep_alive or self.closes_after_response(client):
            message.keep_alive = False
            headers += b"Connection: close\r\n"
        head = [status_line(response.status), headers, b"Content-Length: %d\r\n" % len(response.body)]
        write_message(client.writer, head, response.body)

    def health(self) -> Reply:
        """Returns the response to a health check: 503 once the process has received SIGTERM, else 200."""
        self.metrics.add("health checks")
        terminating = self.respond_by_us < sys.maxsize
        return Reply(503, b"ending\n") if terminating else Reply(200, b"ok\n")

    async def reject(self, client: ClientConnection, error: MalformedMessage) -> None:
        """Answers a malformed message with its status, and discards further input for up to LINGER_S.

        If the connection were closed immediately, input still in flight would make the kernel reset it, and the client
        could lose the response.
        """
        self.metrics.report(f"bad input: {error.status}", str(error))
        body = str(error).encode()[:REASON_MAX_BYTES] + b"\n"
        headers = b"Content-Type: text/plain\r\nConnection: close\r\nContent-Length: %d\r\n" % len(body)
        write_message(client.writer, [status_line(error.status), headers], body)
        client.rejected(self.clock.now())
        self.connections.silent.pop(client, None)
        peer_closed = asyncio.Event()
        client.protocol.on_close = peer_closed.set
        client.protocol.discard_input()
        try:
            async with asyncio.timeout(LINGER_S):
                await client.writer.drain()
                client.writer.write_eof()
                if not client.disconnected:
                    await peer_closed.wait()
        except OSError:  # includes TimeoutError
            client.writer.transport.abort()

    # ---- shutdown ----

    def report_unanswered(self, sigterm_at_us: int) -> list[UnansweredRequest]:
        """Logs and counts the requests that are unanswered now, when the process exits, and returns them.

        Args:
            sigterm_at_us: When SIGTERM was received, in microseconds of the clock.
        """
        unanswered = unanswered_requests(self.connections.open.values())
        logger.info(
            "shutdown: exiting {:.2f} s after SIGTERM, {} connections open, {} requests unanswered",
            (self.clock.now() - sigterm_at_us) / 1_000_000,
            len(self.connections.open),
            len(unanswered),
        )
        for request in unanswered:
            read_s = (request.completed_at - sigterm_at_us) / 1_000_000
            detail = f"{request.target!r}, read {read_s:.2f} s after SIGTERM: {request.state.value}"
            self.metrics.report(UNANSWERED_AT_EXIT, detail)
        return unanswered

    def close_idle_connections(self) -> None:
        """Closes the idle connections and, from now on, each other connection after its response.

        A request can cross with the close. Its client sends it again over a new connection, so the listener stays open
        for a while longer.
        """
        self.shutting_down = True
        self.connections.close_idle()

    async def wait_until(self, time_us: int) -> None:
        """Waits until a time, in microseconds of the clock."""
        await asyncio.sleep(max(0, time_us - self.clock.now()) / 1_000_000)

    async def finish_pending(self, until_us: int) -> bool:
        """Waits until no request is in flight, at most until `until_us`, in microseconds of the clock.

        A message that has arrived in part, or waits on a socket, counts as in flight too. A connection that is accepted
        in this iteration of the event loop is visible only in the next one, hence several successive checks.

        Returns:
            Whether no request is in flight.
        """
        try:
            async with asyncio.timeout_at(self.clock.loop_time(until_us)):
                idle_checks = 0
                while idle_checks < IDLE_CHECKS:
                    await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
                    idle_checks = 0 if self.has_work() else idle_checks + 1
        except TimeoutError:
            return False
        return True

    def has_work(self) -> bool:
        """Whether a client waits for a response, or a disconnected client's attempt runs that must not be cancelled."""
        return any(
            client.has_pending_response() or client.pending or client.has_incomplete_message()
            for client in self.connections.open.values()
        )
