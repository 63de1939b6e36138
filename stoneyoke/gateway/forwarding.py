"""Forwards an admitted request: makes its attempts at backends and determines the response to the client.

The decision logic chooses backends and retries (see `stoneyoke/control/gateway.py`). This module executes its decisions
and tracks whether a backend may have run any of the attempts, since the response to the client depends on that.
"""

from dataclasses import dataclass

from stoneyoke.control.actions import FailRpc, Reject, StartAttempt
from stoneyoke.control.parameters import PROVEN_NOT_RUN, AttemptOutcome
from stoneyoke.gateway.instance_directory import InstanceDirectory
from stoneyoke.gateway.local_response import local_response
from stoneyoke.gateway.request_head import Request, client_response_headers, upstream_request_head
from stoneyoke.gateway.routes import Route, Tenant
from stoneyoke.gateway.shutdown_schedule import NO_SHUTDOWN, ShutdownSchedule
from stoneyoke.gateway.upstreams import MISDIRECTED_REQUEST, RANKS_MAX, Upstream, Upstreams
from stoneyoke.net.attempt import OutgoingRequest
from stoneyoke.net.backends import Backends
from stoneyoke.net.client_connection import ClientConnection
from stoneyoke.net.message_reader import Message
from stoneyoke.net.reply import CLIENT_GONE, Reply
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.metrics import Metrics
from stoneyoke.runtime.pending_request import Decision, PendingRequest, RequestDescription

SHUTDOWN_REFUSALS = "requests: refused in the shutdown"
# A client that returns at once meets another gateway, since this one accepts no new connections then.
RETRY_AFTER_SHUTDOWN_US = 50_000


@dataclass(slots=True, kw_only=True)
class ForwardingContext:
    """The components that all forwarded requests of a gateway share.

    Attributes:
        clock: The process's clock.
        metrics: The process's counters.
        backends: The connections to backends.
        upstreams: The services, each with its decision logic.
        instance_directory: The backend instances that controllers have reported.
        schedule: Until when requests are forwarded; replaced when SIGTERM is received.
    """

    clock: Clock
    metrics: Metrics
    backends: Backends
    upstreams: Upstreams
    instance_directory: InstanceDirectory
    schedule: ShutdownSchedule = NO_SHUTDOWN

    def shutdown_response(self, request: Request) -> Reply:
        """Returns the response to a request that has not run and is not forwarded, as too little time is left."""
        self.metrics.add(SHUTDOWN_REFUSALS)
        return local_response(self.metrics, request, 503, "this gateway shuts down", RETRY_AFTER_SHUTDOWN_US)


class ForwardedRequest:
    """A request with a route, a tenant and a deadline, until its response is determined.

    Attributes:
        deadline_us: When the response must be determined, in microseconds of the clock.
        may_have_run: Whether an attempt has ended without proof that the backend did not run it. From then on no
            response says that the request did not run. The decision logic tracks the same fact for retries
            (`AttemptHistory.not_run`); this flag is a second, independent guard on the response.
        backend_error: The response of the last attempt if it reported a failure of the backend. The client gets it if
            no later attempt has a better outcome.
    """

    __slots__ = (
        "backend_error",
        "context",
        "deadline_us",
        "may_have_run",
        "message",
        "pending",
        "request",
        "route",
        "tenant",
    )

    def __init__(
        self, context: ForwardingContext, message: Message, request: Request, route: Route, tenant: Tenant
    ) -> None:
        """Accepts an admitted request; `run` forwards it."""
        self.context, self.message, self.request = context, message, request
        self.route, self.tenant = route, tenant
        self.pending: PendingRequest
        self.deadline_us = 0
        self.may_have_run = False
        self.backend_error: Message | None = None

    async def run(self, client: ClientConnection, service: str, deadline_us: int) -> Reply:
        """Makes attempts until there is a response for the client, and returns that.

        Args:
            client: The connection on which the request was received.
            service: The service that was selected among those of the route.
            deadline_us: When the response must be determined, in microseconds of the clock.
        """
        self.deadline_us = deadline_us
        upstreams = self.context.upstreams
        upstream = upstreams.get(service)
        description = RequestDescription(
            method=upstreams.method_index(upstream, self.route), plan=min(self.tenant.rank, RANKS_MAX - 1)
        )
        self.pending = client.pending = upstream.runtime.open_request(description, deadline_us)
        try:
            return await self.execute_decisions(upstream)
        finally:
            client.pending = None
            upstream.runtime.close_request(self.pending)

    async def execute_decisions(self, upstream: Upstream) -> Reply:
        """Executes one decision after another until a decision or the outcome of an attempt determines the response."""
        while True:
            decision = await self.pending.next_decision(self.deadline_us)
            if not isinstance(decision, StartAttempt):
                return self.final_response(decision)
            reply = await self.make_attempt(upstream, decision.backend)
            if reply is not None:
                return reply

    async def make_attempt(self, upstream: Upstream, backend: int) -> Reply | None:
        """Makes one attempt and reports its outcome. Returns None if the decision logic has to choose the next step."""
        attempt = self.pending.attempts_started
        self.pending.attempts_started += 1
        outcome, answer = await self.send(backend, attempt)
        if outcome not in PROVEN_NOT_RUN:
            self.may_have_run = True
        self.backend_error = answer if outcome is AttemptOutcome.ERROR else None
        upstream.runtime.attempt_ended(self.pending, attempt, backend, outcome)
        if self.pending.client_gone:
            return CLIENT_GONE
        if outcome is AttemptOutcome.OK and answer:
            return Reply(answer.status, answer.body, client_response_headers(answer))
        if outcome is AttemptOutcome.TIMED_OUT:
            return self.local_response(504, "no answer in time")
        return None

    async def send(self, backend: int, attempt: int) -> tuple[AttemptOutcome, Message | None]:
        """Sends the request to one backend and waits for its outcome."""
        context, now = self.context, self.context.clock.now()
        known_instance = context.upstreams.instances.get(backend)
        if known_instance is None or not context.schedule.may_start_attempt(now, self.deadline_us):
            return AttemptOutcome.NOT_SENT, None
        instance = known_instance.row.instance
        outgoing = OutgoingRequest(
            head=upstream_request_head(self.message, instance, self.tenant.label, self.deadline_us - now),
            body=self.message.body,
            deadline_us=self.deadline_us,
            matches_response=self.matches_response,
        )
        outcome, answer = await context.backends.send_attempt(self.pending, attempt, backend, outgoing)
        context.metrics.add(f"attempts: {outcome.value}")
        if outcome is AttemptOutcome.REJECTED and answer and answer.status == MISDIRECTED_REQUEST:
            self.remove_misdirected(instance, answer)
        return outcome, answer

    def matches_response(self, answer: Message) -> bool:
        """Whether a response has this request's attempt id. A response with two attempt ids matches no request."""
        return answer.headers.get(b"attempt-id") == self.request.id and b"attempt-id" not in answer.repeated

    def remove_misdirected(self, instance: str, answer: Message) -> None:
        """Removes an instance permanently if a different instance responded at its address."""
        answering = answer.headers.get(b"instance-id", b"").decode("latin-1")
        if answering != instance:
            self.context.instance_directory.mark_gone(instance, self.context.clock.now() / 1_000_000)
            self.context.upstreams.refresh()

    def final_response(self, decision: Decision | None) -> Reply:
        """Returns the response when no attempt has determined one and no further attempt follows.

        A 503 with a Retry-After header is returned only while every attempt is proven not to have run.

        Args:
            decision: The decision that ends the request; None if the client has disconnected or the deadline is over.
        """
        if decision is None and self.pending.client_gone:
            return CLIENT_GONE
        if not self.may_have_run:
            if not self.context.schedule.may_start_attempt(self.context.clock.now(), self.deadline_us):
                return self.context.shutdown_response(self.request)
            if decision is None:
                return self.local_response(503, "no backend in time", self.route.target_us)
            if isinstance(decision, Reject):
                self.context.metrics.add("requests: overloaded")
                return self.local_response(503, "the service is full", decision.retry_after_us)
        self.context.metrics.check_invariant(isinstance(decision, FailRpc | Reject | None), "unknown decision")
        if self.backend_error:
            answer = self.backend_error
            return Reply(answer.status, answer.body, client_response_headers(answer))
        return self.local_response(502, "it may have run, and no answer came")

    def local_response(self, status: int, reason: str, retry_after_us: int = 0) -> Reply:
        """Returns a response that this gateway generates itself."""
        return local_response(self.context.metrics, self.request, status, reason, retry_after_us)
