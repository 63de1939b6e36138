"""Clients' connections, and the life of one RPC."""

import asyncio
import contextlib
import sys
from functools import partial
from typing import Any, cast

from loguru import logger

from stoneyoke.control.actions import Abandon, Reject, StartAttempt
from stoneyoke.control.parameters import AttemptOutcome
from stoneyoke.net.backends import Backends
from stoneyoke.net.descriptor_budget import DescriptorBudget, EvictionCandidate
from stoneyoke.net.errors import MalformedMessage
from stoneyoke.net.message_reader import BODY_MAX_BYTES, HEAD_MAX_BYTES, Message, MessageReader
from stoneyoke.net.message_writer import status_line, write_message
from stoneyoke.net.reply import CLIENT_GONE, Reply
from stoneyoke.net.stream import StreamProtocol, has_unread_bytes
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.metrics import Metrics
from stoneyoke.runtime.pending_request import PendingRequest
from stoneyoke.runtime.runtime import Runtime
from stoneyoke.single_gateway.request_head import RpcVocabulary, is_text, read_rpc_head

# The operators' page: whoever connects is owed an error or a close within 3 s, and a connection may be closed
# 2 s after its last RPC. A message's time runs from its first byte, the first one's from the connection's.
# Those who keep one for good must not take what their front may open, a third of the descriptors.
PART_US = 2_000_000
UNTAKEN_US = 10_000_000  # for how long an answer may wait to be taken
LINGER_S = 1.0  # after a 4xx that ends a connection: for this long what still comes is thrown away
# The protocol page: after SIGTERM clients use the connections they have for as long as these stay open, and
# SIGKILL comes no earlier than KILL_S plus the longest deadline, counted as 3 s if it is shorter. Four tenths
# of that are stayed, since the gateways beside this one may be away too; what comes last still has the rest.
KILL_S, SHORTEST_S, STAY_S = 0.7, 3.0, 1.5
QUIET_LOOKS = 3  # in a row, 20 ms apart, in which nothing is owed, before all ends
IN_TRANSIT_S = 0.2  # after closing what is idle: what has crossed with that comes on new connections


class ClientConnection:
    """One client's connection."""

    def __init__(self, line: StreamProtocol, writer: asyncio.StreamWriter, now: int) -> None:
        self.line, self.writer = line, writer
        self.messages = MessageReader(line.reader, responses=False)
        self.met = now
        self.since_us = now  # when it fell idle, or when its message, or the writing of its answer, began
        self.ahead = 0  # while an answer is owed: when the first byte beyond its message came
        self.idle = True  # nothing of a message has come, nothing is owed
        self.fresh = True  # no message has come whole yet
        self.whole = False  # a message of it is, and not yet answered to the last byte
        self.over = False  # it has had its last answer; what still comes is thrown away
        self.pending: PendingRequest | None = None
        self.disconnected = False

    def owes_response(self) -> bool:
        return self.whole and not self.disconnected

    def begun(self) -> bool:
        """Something of a message has come, or waits on the socket."""
        return not (self.disconnected or self.over or self.writer.is_closing() or self.can_close_safely())

    def has_unanswered_input(self) -> bool:
        """Something beyond the message that is being answered has been read from the socket."""
        return self.messages.pending() or self.line.bytes_received != self.messages.bytes_parsed

    def can_close_safely(self) -> bool:
        """No whole message has come and no byte waits to be read: closing it loses no RPC."""
        if self.over:
            return True
        if self.whole or not self.messages.awaiting_input or self.writer.is_closing():
            return False
        return not has_unread_bytes(self.writer)


class ClientConnections:
    """Clients' connections, from accepting them to the last answer."""

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        runtime: Runtime | Any,
        backends: Backends,
        names: RpcVocabulary | Any,
        slack_us: int,
        descriptor_budget: DescriptorBudget,
        descriptors: int,
    ) -> None:
        self.clock, self.metrics, self.runtime, self.backends = clock, metrics, runtime, backends
        self.names, self.slack_us, self.descriptor_budget = names, slack_us, descriptor_budget
        # The operators' page: clients open a third of the descriptors at most for RPCs. What is kept open, by
        # fronts for later and by those who ask once for good, leaves them a quarter of that.
        self.fresh_most, self.asked_most = max(1, descriptor_budget.most // 3), max(1, descriptors // 4)
        descriptor_budget.eviction_sources.append(self.eviction_candidate)
        self.connections: dict[asyncio.StreamWriter, ClientConnection] = {}  # emptied as connections close
        self.fresh: dict[ClientConnection, None] = {}  # the oldest first; emptied by a first whole message or a close
        self.idle: dict[ClientConnection, None] = {}  # after an answer, the longest first; emptied by a byte or a close
        self.ids: set[bytes] = set()  # of RPCs that are held; emptied as they are let go
        self.endpoints_known = asyncio.Event()  # set by discovery's first word: no RPC is sent on before
        self.ending = False
        self.message_timeout_us, self.idle_timeout_us = (
            PART_US,
            PART_US,
        )  # a message's time; how long a connection may be idle
        self.head_max_bytes, self.body_max_bytes = HEAD_MAX_BYTES, BODY_MAX_BYTES
        self.longest_deadline_s = SHORTEST_S  # the longest deadline
        if isinstance(runtime, Runtime):
            self.longest_deadline_s = max(method.deadline_us for method in runtime.parameters.methods) / 1_000_000
        self.respond_by_us = sys.maxsize  # by when all must be answered; set by SIGTERM

    def line(self) -> StreamProtocol:
        """For the server: the protocol of a connection that has just been accepted."""
        return StreamProtocol(self.serve)

    async def serve(self, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """A client's connection, from its first byte to its last."""
        line = cast(StreamProtocol, writer.transport.get_protocol())
        if len(self.fresh) >= self.fresh_most:  # those that say nothing go first, whoever else is idle
            if silent := next((client for client in self.fresh if client.can_close_safely()), None):
                self.evict(silent)
        if not self.descriptor_budget.take(spare=True):
            self.metrics.add("connections of clients: no descriptor left")
            return writer.transport.abort()
        client = self.connections[writer] = ClientConnection(line, writer, self.runtime.arrival_time())
        client.messages.head_max_bytes, client.messages.body_max_bytes = self.head_max_bytes, self.body_max_bytes
        self.fresh[client] = None

        def came() -> None:
            client.messages.awaiting_input = False
            if client.idle:
                self.idle.pop(client, None)
                client.idle, client.since_us = False, self.runtime.arrival_time()
            elif client.whole and not client.ahead:
                client.ahead = self.runtime.arrival_time()

        def gone() -> None:
            client.disconnected = True
            if client.pending:
                client.pending.owner.client_gone(client.pending)

        self.metrics.add("connections of clients")
        line.on_data, line.on_close = came, gone
        try:
            while message := await client.messages.next():
                client.whole, client.fresh = True, False
                self.fresh.pop(client, None)
                await self.respond(client, message)
                if writer.transport.get_write_buffer_size():
                    client.since_us = self.clock.now()
                    await writer.drain()
                # A request of which something has been read is answered before its connection closes.
                if not message.keep_alive or writer.is_closing() or self.ending and not client.has_unanswered_input():
                    break
                client.whole, client.idle = False, not client.ahead and not client.messages.pending()
                client.since_us, client.ahead = client.ahead or self.clock.now(), 0
                if client.idle:
                    self.idle[client] = None
                    self.keep_few()
        except MalformedMessage as bad:
            await self.complain(client, bad)
        except OSError:
            self.metrics.add("connections of clients: broken")
        except asyncio.CancelledError:  # the program ends
            writer.transport.abort()
        except Exception:  # a fault here costs this one connection, never the gateway
            logger.exception("a client's connection failed")
            self.metrics.check_invariant(False, "connection failed")
        finally:
            line.on_data = line.on_close = None
            del self.connections[writer]
            self.fresh.pop(client, None)
            self.idle.pop(client, None)
            self.descriptor_budget.free()
            writer.close()

    async def complain(self, client: ClientConnection, bad: MalformedMessage) -> None:
        """A plain 4xx or 5xx. Closing at once would reset it away where more is still on its way."""
        self.metrics.report(f"bad input: {bad.status}", str(bad))
        body = str(bad).encode()[:200] + b"\n"
        more = b"Content-Type: text/plain\r\nConnection: close\r\nContent-Length: %d\r\n" % len(body)
        write_message(client.writer, [status_line(bad.status), more], body)
        client.since_us, client.over, client.whole = self.clock.now(), True, False
        self.fresh.pop(client, None)
        ended = asyncio.Event()
        client.line.on_close = ended.set
        client.line.discard_input()
        try:
            async with asyncio.timeout(LINGER_S):
                await client.writer.drain()
                client.writer.write_eof()
                if not client.disconnected:
                    await ended.wait()
        except OSError:
            client.writer.transport.abort()

    async def respond(self, client: ClientConnection, message: Message) -> None:
        if message.target == b"/healthz" and message.method == b"GET":
            self.metrics.add("health checks")
            ending = self.respond_by_us < sys.maxsize
            reply = Reply(503, b"ending\n") if ending else Reply(200, b"ok\n")
        else:
            reply = await self.handle(client, message)
            if reply is CLIENT_GONE or client.writer.is_closing():
                self.metrics.add("RPCs: client gone")
                return
        headers = reply.headers
        if not message.keep_alive or self.ending and not client.has_unanswered_input():
            message.keep_alive = False
            headers += b"Connection: close\r\n"
        head = [status_line(reply.status), headers, b"Content-Length: %d\r\n" % len(reply.body)]
        write_message(client.writer, head, reply.body)

    async def handle(self, client: ClientConnection, message: Message) -> Reply:
        """One RPC, from its head to its answer; CLIENT_GONE when nobody waits for it any more."""
        asked = read_rpc_head(message, self.names)
        if not self.endpoints_known.is_set():
            self.metrics.add("RPCs: waited for the first list")
            await self.endpoints_known.wait()
        await self.runtime.catch_up()
        if client.disconnected:
            return CLIENT_GONE
        if asked.id in self.ids:
            raise MalformedMessage(f"{asked.id[:40]!r} is open already", 409)
        self.ids.add(asked.id)
        until = min(client.since_us + asked.wait_us, self.respond_by_us)
        give_up_at = until - self.slack_us  # so that the answer is there when the client's time is up
        self.metrics.add("RPCs")
        held = client.pending = self.runtime.open_request(asked, until)
        try:
            while True:
                match await held.next_decision(give_up_at):
                    case None if held.client_gone:
                        return CLIENT_GONE
                    case Reject(_, wait_us):
                        self.metrics.add("RPCs: pushed back")
                        advice = b"Retry-After: %.3f\r\n" % (wait_us / 1_000_000)
                        return Reply(429, headers=advice if self.runtime.parameters.advises_wait else b"")
                    case StartAttempt(_, backend, limit_us):
                        n, now = held.attempts_started, self.clock.now()
                        held.attempts_started += 1
                        end = min(give_up_at, now + limit_us) if limit_us else give_up_at
                        outcome, answer = await self.backends.send_attempt(
                            held, n, backend, head(message, end - now), message.body, end
                        )
                        self.metrics.add(f"call-outs: {outcome.value}")
                        await self.runtime.catch_up()
                        self.runtime.attempt_ended(held, n, backend, outcome)
                        if outcome is AttemptOutcome.OK and answer and not held.client_gone:
                            self.metrics.add("RPCs: ok")
                            kind = answer.headers.get(b"content-type", b"")
                            more = b"Content-Type: %s\r\n" % kind if kind and is_text(kind) else b""
                            return Reply(200, answer.body, more)
                    case wish:
                        self.metrics.check_invariant(isinstance(wish, Abandon), "RPC without an answer from the module")
                        self.metrics.add("RPCs: aborted")
                        return Reply(502)
        finally:
            client.pending = None
            self.ids.discard(asked.id)
            self.runtime.close_request(held)

    def eviction_candidate(self) -> EvictionCandidate | None:
        """Done with, else idle, else half way; never one on which an answer is owed."""
        for client in sorted(self.connections.values(), key=lambda c: (not c.over, not c.idle, c.since_us)):
            if client.can_close_safely():
                return not (client.idle or client.over), client.since_us, partial(self.evict, client)
        return None

    def keep_few(self) -> None:
        """Closes those idle longest while so many are kept that clients may find none to open."""
        for client in list(self.idle)[: max(0, len(self.connections) - len(self.fresh) - self.asked_most)]:
            if client.can_close_safely():
                self.evict(client)

    def evict(self, client: ClientConnection) -> None:
        self.metrics.add("connections of clients: closed for room")
        self.fresh.pop(client, None)
        self.idle.pop(client, None)
        client.writer.transport.abort()

    def close_expired(self) -> None:
        """Ends what has been idle for long or is stuck half way: messages that don't come, answers that
        nobody takes. Called several times a second."""
        now = self.clock.now()
        for client in list(self.connections.values()):
            age = now - (client.met if client.fresh else client.since_us)
            # A head has its time; a body that comes slowly has as long as a connection may be idle.
            slow = client.idle or client.messages.partial is not None and not client.messages.in_head
            if (
                client.over
                or client.pending
                or age < (max(self.idle_timeout_us, self.message_timeout_us) if slow else self.message_timeout_us)
            ):
                continue
            if client.whole:
                if age >= UNTAKEN_US:
                    self.metrics.add("connections of clients: stuck")
                    client.writer.transport.abort()
            elif client.idle:
                if client.can_close_safely():
                    self.metrics.add("connections of clients: closed as idle")
                    client.writer.transport.abort()
            elif client.can_close_safely():
                self.metrics.add("connections of clients: stuck")
                client.line.discard_input()
                client.messages.stop(MalformedMessage("a message that does not come whole", 408))

    async def drain(self) -> None:
        """After SIGTERM: goes on as if nothing were while clients still come, then closes what is idle."""
        killed_s = max(self.longest_deadline_s, SHORTEST_S) + KILL_S
        self.respond_by_us = self.clock.now() + int((killed_s - IN_TRANSIT_S) * 1_000_000)
        await asyncio.sleep(STAY_S)
        self.ending = True
        for client in list(self.connections.values()):
            if client.idle and client.can_close_safely():
                client.writer.close()
        await asyncio.sleep(IN_TRANSIT_S)

    async def finish_pending(self) -> None:
        """Ends once nothing is owed: as none listens any more, that is the longest deadline at most. What has
        come and is not read yet is owed too, and what was accepted in this turn of the loop shows in the next
        one only. (roll+mass: of some 47,000 RPCs one that came 0.3 s before the end had no answer.)"""
        with contextlib.suppress(TimeoutError):  # what is owed still is an answer that nobody takes
            async with asyncio.timeout(self.longest_deadline_s):
                can_close_safely = 0
                while can_close_safely < QUIET_LOOKS:
                    await asyncio.sleep(0.02)
                    can_close_safely = (
                        0
                        if any(c.owes_response() or c.begun() for c in self.connections.values())
                        else can_close_safely + 1
                    )


def head(message: Message, wait_us: int) -> list[bytes]:
    """A call-out's head: what must pass on unchanged, and how long this gateway waits."""
    headers = message.headers
    lines = [
        message.method,
        b" ",
        message.target,
        b" HTTP/1.1\r\nHost: ",
        headers.get(b"host", b"-"),
        b"\r\nReq-Id: ",
        headers[b"req-id"],
        b"\r\nReq-Deadline: %.3f\r\n" % max(0.001, wait_us / 1_000_000),
    ]
    if key := headers.get(b"idempotency-key"):
        lines += (b"Idempotency-Key: ", key, b"\r\n")
    if message.body or message.method != b"GET":
        lines.append(b"Content-Length: %d\r\n" % len(message.body))
    return lines
