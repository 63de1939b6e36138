"""Answers the RPCs of clients: reads the head, requests decisions of the decision logic, and forwards to backends."""

import asyncio
from collections.abc import Callable

from stoneyoke.control.actions import FailRpc, Reject, StartAttempt
from stoneyoke.control.parameters import AttemptOutcome
from stoneyoke.net.attempt import OutgoingRequest
from stoneyoke.net.backends import Backends
from stoneyoke.net.client_connection import ClientConnection
from stoneyoke.net.descriptor_budget import DescriptorBudget
from stoneyoke.net.errors import MalformedMessage
from stoneyoke.net.http_server import HttpServer
from stoneyoke.net.message_reader import Message
from stoneyoke.net.reply import CLIENT_GONE, Reply
from stoneyoke.runtime.pending_request import PendingRequest
from stoneyoke.runtime.runtime import Runtime
from stoneyoke.single_gateway.configuration import GatewaySettings
from stoneyoke.single_gateway.request_head import QUOTED_BYTES, is_text, read_rpc_head

# The protocol page: after SIGTERM, clients use their existing connections for as long as these stay open, and SIGKILL
# follows no earlier than KILL_MARGIN_S plus the longest deadline, which counts as DEADLINE_MIN_S if it is shorter. For
# DRAIN_S, four tenths of that time, requests are served as before, because other gateways may be shutting down as well.
# The rest of the time is left for the requests that arrive last.
KILL_MARGIN_S = 0.7
DEADLINE_MIN_S = 3.0
DRAIN_S = 1.5
# A request can cross with the close of its idle connection. The client then sends it again over a new connection, which
# the listener accepts for this long after the idle connections were closed.
LATE_CONNECTION_GRACE_S = 0.2
RESPONSE_LEAD_S = 0.2  # every RPC is answered this long before SIGKILL
EXIT_LEAD_S = 0.1  # the process exits this long before SIGKILL
SECOND_US = 1_000_000
ATTEMPT_TIMEOUT_MIN_S = 0.001  # the shortest Req-Deadline that is sent to a backend


class RpcHandler(HttpServer):
    """Serves the clients of the single gateway.

    Attributes:
        open_ids: The identifiers of the pending RPCs. Another RPC with one of them is rejected.
        endpoints_known: Set by the first response of discovery, or once the wait for it is over. No RPC is forwarded
            before that.
        longest_deadline_s: The longest deadline of any method.
    """

    def __init__(
        self, runtime: Runtime, backends: Backends, settings: GatewaySettings, descriptor_budget: DescriptorBudget
    ) -> None:
        """Starts without clients."""
        super().__init__(runtime.clock, runtime.metrics, runtime.arrival_time, descriptor_budget, settings.descriptors)
        self.runtime, self.backends = runtime, backends
        self.rpc_definitions, self.response_margin_us = settings.rpc_definitions, settings.response_margin_us
        self.open_ids: set[bytes] = set()
        self.endpoints_known = asyncio.Event()
        self.longest_deadline_s = max(method.deadline_us for method in runtime.parameters.methods) / 1_000_000

    async def handle(self, client: ClientConnection, message: Message) -> Reply:
        """Answers one RPC.

        Raises:
            MalformedMessage: The head is invalid, or another pending RPC has the same identifier (409).
        """
        head = read_rpc_head(message, self.rpc_definitions)
        if not self.endpoints_known.is_set():
            self.metrics.add("RPCs: waited for the first endpoint list")
            await self.endpoints_known.wait()
        await self.runtime.catch_up()
        if client.disconnected:
            return CLIENT_GONE
        if head.id in self.open_ids:
            raise MalformedMessage(f"{head.id[:QUOTED_BYTES]!r} is open already", 409)
        self.open_ids.add(head.id)
        deadline_us = min(client.phase_started_us + head.wait_us, self.respond_by_us)
        self.metrics.add("RPCs")
        pending = client.pending = self.runtime.open_request(head, deadline_us)
        try:
            return await self.forward(pending, message, deadline_us - self.response_margin_us)
        finally:
            client.pending = None
            self.open_ids.discard(head.id)
            self.runtime.close_request(pending)

    async def forward(self, pending: PendingRequest, message: Message, deadline_us: int) -> Reply:
        """Carries out the decisions on one RPC until one of them ends it, and returns the response.

        The decision logic decides whether another attempt is safe, from the reported outcome of each attempt (see
        Attempt.may_have_run()). This method makes no attempt that it has not decided on.

        Args:
            pending: The RPC.
            message: The client's request.
            deadline_us: The time by which the response must be ready, to reach the client before its deadline.
        """
        while True:
            decision = await pending.next_decision(deadline_us)
            if isinstance(decision, StartAttempt):
                response = await self.attempt(pending, message, decision, deadline_us)
                if response is not None:
                    return response
            elif isinstance(decision, Reject):
                return self.rejection(decision)
            elif pending.client_gone:
                return CLIENT_GONE
            else:
                # The decision logic must decide before the deadline. None means that it did not.
                self.metrics.check_invariant(isinstance(decision, FailRpc), "unexpected decision")
                self.metrics.add("RPCs: abandoned")
                return Reply(502)

    async def attempt(
        self, pending: PendingRequest, message: Message, start: StartAttempt, deadline_us: int
    ) -> Reply | None:
        """Makes one attempt and reports its outcome; returns the response if the attempt was successful, else None."""
        number, now = pending.attempts_started, self.clock.now()
        pending.attempts_started += 1
        if start.time_limit_us:
            deadline_us = min(deadline_us, now + start.time_limit_us)
        request = OutgoingRequest(
            head=forwarded_head(message, deadline_us - now), body=message.body, deadline_us=deadline_us
        )
        outcome, response = await self.backends.send_attempt(pending, number, start.backend, request)
        self.metrics.add(f"attempts: {outcome.value}")
        await self.runtime.catch_up()
        self.runtime.attempt_ended(pending, number, start.backend, outcome)
        if outcome is AttemptOutcome.OK and response and not pending.client_gone:
            self.metrics.add("RPCs: ok")
            return Reply(200, response.body, content_type_line(response))
        return None

    def rejection(self, decision: Reject) -> Reply:
        """Returns the response to an RPC over quota or over capacity, with Retry-After if the settings allow that."""
        self.metrics.add("RPCs: rejected")
        retry_after = b"Retry-After: %.3f\r\n" % (decision.retry_after_us / 1_000_000)
        return Reply(429, headers=retry_after if self.runtime.parameters.sends_retry_after else b"")

    async def drain(self, stop_listening: Callable[[], None]) -> None:
        """After SIGTERM, serves as before for DRAIN_S, closes the idle connections, and finishes the pending RPCs.

        No deadline ends after `respond_by_us`, so each RPC that is read is answered before the process exits.

        Args:
            stop_listening: Closes the listener.
        """
        sigterm_at_us = self.clock.now()
        kill_at_us = sigterm_at_us + int((max(self.longest_deadline_s, DEADLINE_MIN_S) + KILL_MARGIN_S) * SECOND_US)
        self.respond_by_us = kill_at_us - int(RESPONSE_LEAD_S * SECOND_US)
        await asyncio.sleep(DRAIN_S)
        self.close_idle_connections()
        await asyncio.sleep(LATE_CONNECTION_GRACE_S)
        stop_listening()
        await self.finish_pending(kill_at_us - int(EXIT_LEAD_S * SECOND_US))
        self.report_unanswered(sigterm_at_us)


def content_type_line(response: Message) -> bytes:
    """Returns the header line with a backend's content type; empty if there is none, or it is not printable ASCII."""
    content_type = response.headers.get(b"content-type", b"")
    return b"Content-Type: %s\r\n" % content_type if content_type and is_text(content_type) else b""


def forwarded_head(message: Message, wait_us: int) -> list[bytes]:
    """Returns the head of an attempt: the values that are forwarded unchanged, and how long this gateway waits.

    Args:
        message: The client's request.
        wait_us: How long the attempt may take, in microseconds.
    """
    headers = message.headers
    lines = [
        message.method,
        b" ",
        message.target,
        b" HTTP/1.1\r\nHost: ",
        headers.get(b"host", b"-"),
        b"\r\nReq-Id: ",
        headers[b"req-id"],
        b"\r\nReq-Deadline: %.3f\r\n" % max(ATTEMPT_TIMEOUT_MIN_S, wait_us / 1_000_000),
    ]
    if key := headers.get(b"idempotency-key"):
        lines += (b"Idempotency-Key: ", key, b"\r\n")
    if message.body or message.method != b"GET":
        lines.append(b"Content-Length: %d\r\n" % len(message.body))
    return lines
