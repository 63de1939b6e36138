"""Serves HTTP/1.1 to clients: connections, health checks, malformed messages and the end of the process."""

import asyncio
import contextlib
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
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.metrics import Metrics

LINGER_S = 1.0  # after the rejection of a malformed message, what still comes is discarded for this long
IN_TRANSIT_S = 0.2  # after idle connections are closed, requests that crossed with that come on new connections
# Before the end, this many looks in a row have to find that no response is owed.
IDLE_CHECKS = 3
IDLE_CHECK_S = 0.02
REASON_MAX_BYTES = 200  # of a rejection's body
HEALTH_CHECK_TARGET = b"/healthz"


class HttpServer(ABC):
    """Clients' connections, from accepting them to the last response. Subclasses answer the requests.

    Attributes:
        connections: The open connections, with their time limits.
        head_max_bytes: The longest head of a request on a connection that is accepted from now on.
        body_max_bytes: The longest body, likewise.
        respond_by_us: Until when every request must be answered; sys.maxsize before SIGTERM.
        ending: Connections are closed after the response that is being written.
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
            arrival_time: Gives the earliest time at which input that is read now may have come, in microseconds.
            descriptor_budget: The budget that all connections share.
            descriptors: All descriptors of the process.
        """
        self.clock, self.metrics, self.arrival_time = clock, metrics, arrival_time
        self.descriptor_budget = descriptor_budget
        self.connections = ConnectionTable(clock, metrics, descriptor_budget, descriptors)
        self.head_max_bytes, self.body_max_bytes = HEAD_MAX_BYTES, BODY_MAX_BYTES
        self.respond_by_us = sys.maxsize
        self.shutting_down = False

    @abstractmethod
    async def handle(self, client: ClientConnection, message: Message) -> Reply:
        """Answers one request; CLIENT_GONE if nobody waits for the answer.

        Raises:
            MalformedMessage: The request can't be used. It is rejected and its connection closed.
        """

    # ---- connections ----

    def make_protocol(self) -> StreamProtocol:
        """The protocol of a connection that has just been accepted, for asyncio's create_server()."""
        return StreamProtocol(self.serve)

    async def serve(self, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves a client's connection from its first byte to its last."""
        client = self.accept(writer)
        if client is None:
            return
        try:
            await self.serve_messages(client)
        except MalformedMessage as error:
            await self.reject(client, error)
        except OSError:
            self.metrics.add("client connections: broken")
        except asyncio.CancelledError:  # the process ends
            writer.transport.abort()
        except Exception:  # outermost guard: a fault here costs this one connection, never the gateway
            logger.exception("Serving a client's connection failed; it is closed, and the others are served on.")
            self.metrics.check_invariant(False, "connection failed")
        finally:
            client.protocol.on_data = client.protocol.on_close = None
            self.connections.remove(client)
            self.descriptor_budget.release()
            writer.close()

    def accept(self, writer: asyncio.StreamWriter) -> ClientConnection | None:
        """Enters a new connection in the table. Without a descriptor for it, it is aborted."""
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
        """Bytes have come on a connection; its reader has not seen them yet."""
        client.messages.awaiting_input = False
        if client.phase is Phase.IDLE:
            self.connections.idle.pop(client, None)
            client.message_begun(self.arrival_time())
        elif client.phase is Phase.RESPONDING and not client.next_message_at:
            client.next_message_at = self.arrival_time()

    async def serve_messages(self, client: ClientConnection) -> None:
        """Answers the requests of a connection one after another, until either end closes it."""
        writer = client.writer
        while message := await client.messages.next():
            client.message_complete()
            self.connections.silent.pop(client, None)
            await self.respond(client, message)
            if client.disconnected:  # what it has sent besides is not looked at
                return
            if writer.transport.get_write_buffer_size():
                client.since_us = self.clock.now()
                await writer.drain()
            if not message.keep_alive or writer.is_closing() or self.closes_after_response(client):
                return
            client.response_written(self.clock.now())
            if client.phase is Phase.IDLE:
                self.connections.mark_idle(client)

    def closes_after_response(self, client: ClientConnection) -> bool:
        """Whether the process's end closes a connection now. A request that has been read in part is answered first."""
        return self.shutting_down and not client.has_unanswered_input()

    # ---- responses ----

    async def respond(self, client: ClientConnection, message: Message) -> None:
        """Answers one message of a client."""
        if message.target == HEALTH_CHECK_TARGET and message.method == b"GET":
            reply = self.health()
        else:
            # Nothing is begun for a client that has left before its request was looked at.
            reply = CLIENT_GONE if client.disconnected else await self.handle(client, message)
            if reply.status == 0 or client.writer.is_closing():
                self.metrics.add("RPCs: client gone")
                return
        self.write_reply(client, message, reply)

    def write_reply(self, client: ClientConnection, message: Message, reply: Reply) -> None:
        """Writes a reply, which says so if the connection closes after it."""
        headers = reply.headers
        if not message.keep_alive or self.closes_after_response(client):
            message.keep_alive = False
            headers += b"Connection: close\r\n"
        head = [status_line(reply.status), headers, b"Content-Length: %d\r\n" % len(reply.body)]
        write_message(client.writer, head, reply.body)

    def health(self) -> Reply:
        """The reply to a health check: 503 once SIGTERM has come."""
        self.metrics.add("health checks")
        terminating = self.respond_by_us < sys.maxsize
        return Reply(503, b"ending\n") if terminating else Reply(200, b"ok\n")

    async def reject(self, client: ClientConnection, error: MalformedMessage) -> None:
        """Answers a malformed message with its status, and reads on for a moment.

        A close at once would reset the connection while more is on its way, and the client would not get to read the
        response.
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
        except OSError:  # a TimeoutError is one
            client.writer.transport.abort()

    # ---- the end of the process ----

    async def close_idle_connections(self) -> None:
        """Closes what is idle and, from now on, each connection after its response.

        Returns once requests that crossed with that have come on new connections.
        """
        self.shutting_down = True
        self.connections.close_idle()
        await asyncio.sleep(IN_TRANSIT_S)

    async def finish_pending(self, time_limit_s: float) -> None:
        """Returns once no response is owed, or at the time limit.

        A message of which a part has come, or waits on a socket, is owed a response too. A connection that is accepted
        in this turn of the event loop shows in the next turn only, hence several looks in a row. (roll+mass: of some
        47,000 RPCs, one that came 0.3 s before the end had no answer.)
        """
        with contextlib.suppress(TimeoutError):  # what is still owed is a response that nobody reads
            async with asyncio.timeout(time_limit_s):
                idle_checks = 0
                while idle_checks < IDLE_CHECKS:
                    await asyncio.sleep(IDLE_CHECK_S)
                    idle_checks = 0 if self.has_work() else idle_checks + 1

    def has_work(self) -> bool:
        """Whether a response is owed to any client, or a run is let finish that must not be broken off."""
        return any(
            client.has_pending_response() or client.pending or client.has_incomplete_message()
            for client in self.connections.open.values()
        )
