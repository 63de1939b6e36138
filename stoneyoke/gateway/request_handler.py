"""A request's way through a gateway: route, key, admission, a backend, its answer.

`RequestHandler.handle` tells it whole."""

import asyncio
from collections.abc import Callable

from stoneyoke.control.actions import Abandon, StartAttempt, Reject
from stoneyoke.control.parameters import AttemptOutcome
from stoneyoke.net.attempt import OutgoingRequest
from stoneyoke.net.backends import Backends
from stoneyoke.net.client_connection import ClientConnection
from stoneyoke.net.http_server import IN_TRANSIT_S, HttpServer
from stoneyoke.net.message_reader import Message
from stoneyoke.net.descriptor_budget import DescriptorBudget
from stoneyoke.net.reply import CLIENT_GONE, Reply
from stoneyoke.gateway.admission import Admission
from stoneyoke.gateway.request_head import Request, head_back, head_on
from stoneyoke.gateway.upstreams import RANKS, Upstream, Upstreams
from stoneyoke.gateway.instance_directory import InstanceDirectory
from stoneyoke.gateway.routes import Route, Table, Tenant
from stoneyoke.gateway.quota_client import QuotaClient
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.pending_request import PendingRequest, RequestDescription
from stoneyoke.runtime.metrics import Metrics

SLACK_US = 15_000  # before the client's time is up, so that the answer is there
NO_TABLE_US = 500_000
STAY_S = 3.2  # after SIGTERM, at most half of the grace: a look a second, two misses, and what was on its way
END_S = 0.4  # before the grace ends, all is answered
NONE = Tenant("", 0, 0.0, 0.0)


def answers(answer: Message, request: Request) -> bool:
    """Whether a backend's answer belongs to this request. One that names two requests belongs to neither."""
    return answer.headers.get(b"attempt-id") == request.id and b"attempt-id" not in answer.repeated


class RequestHandler(HttpServer):
    """table: the configuration in force, swapped whole; None before the first."""

    admission: Admission
    quota_client: QuotaClient
    upstreams: Upstreams
    instance_directory: InstanceDirectory
    draw: Callable[[], float]
    table: Table | None = None
    leaving = False  # after SIGTERM: answers say that their connection closes
    body_most = 1 << 24

    def __init__(
        self, clock: Clock, metrics: Metrics, descriptor_budget: DescriptorBudget, descriptors: int, backends: Backends
    ) -> None:
        super().__init__(clock, metrics, clock.now, descriptor_budget, descriptors)
        self.backends = backends

    def take(self, table: Table) -> None:
        """From here on this version decides: never an older one in this life."""
        if self.table is None or table.version > self.table.version:
            self.table = table
            self.head_max_bytes, self.connections.idle_timeout_us = table.head_top, table.idle_us
            self.connections.message_timeout_us = table.head_us
            self.body_max_bytes = min(table.body_top, self.body_most)

    async def leave(self, grace_s: float, shut: Callable[[], None]) -> None:
        """After SIGTERM: serves on while clients may still be sent here, then closes what is idle, then ends what
        is owed. The platform looks once a second and needs two misses.

        From here on no backend is called off: with no other one to take the request, this gateway would give its own
        answer in place of one that is still being worked on (RULES, LOST)."""
        self.leaving, self.backends.may_cancel_attempts = True, False
        stay_s = min(STAY_S, 0.5 * grace_s)
        self.respond_by_us = self.clock.now() + int((grace_s - END_S) * 1_000_000)
        await asyncio.sleep(stay_s)
        await self.close_idle_connections()
        shut()
        await self.finish_pending(max(0.1, grace_s - stay_s - IN_TRANSIT_S - END_S))

    async def respond(self, client: ClientConnection, message: Message) -> None:
        if self.leaving and not client.has_unanswered_input():  # what has been read of the next request is answered too
            message.keep_alive = False
        await super().respond(client, message)

    async def handle(self, client: ClientConnection, message: Message) -> Reply:
        """One request, from its head to its answer."""
        request, table = Request(message), self.table
        self.metrics.add("requests")
        if table is None:
            return self.own(503, "no configuration yet", request, NO_TABLE_US)
        route = table.find(request.host, request.path)
        if route is None:
            return self.own(404, "no such route", request)
        tenant = NONE
        if table.keys is not None:
            known = table.keys.get(request.key)
            if known is None and not route.public:
                return self.own(401, "unknown key", request)
            tenant = known or NONE
        now = self.clock.now()
        wait_us = route.timeout_us if request.wait_us is None else min(request.wait_us, route.timeout_us)
        until = client.since_us + wait_us - SLACK_US
        if until <= now:
            return self.own(503, "its time is up", request, route.target_us)
        if tenant.rate > 0 and (refused := await self.admit(tenant, until - now)):
            self.metrics.add("requests: over quota")
            return self.own(429, f"over the quota of {tenant.label}", request, refused)
        if client.disconnected:
            return CLIENT_GONE
        return await self.forward(client, message, request, route, tenant, until)

    async def admit(self, tenant: Tenant, wait_us: int) -> int:
        """0: it passes; else the wait to state."""
        call = self.admission.call(tenant, wait_us)
        local_quota = self.admission.local_quotas[tenant.label]
        verdict = self.admission.knock(call, local_quota, self.clock.now())
        if verdict is None:
            await self.quota_client.ask(tenant.label)
            verdict = self.admission.answered(call, local_quota, self.clock.now())
        return verdict

    async def forward(
        self, client: ClientConnection, message: Message, request: Request, route: Route, tenant: Tenant, until: int
    ) -> Reply:
        upstream = self.upstreams.upstream(route.service(self.draw()))
        method = self.upstreams.method(upstream, route)
        held = client.pending = upstream.runtime.open_request(
            RequestDescription(method=method, plan=min(tenant.rank, RANKS - 1)), until
        )
        last: Message | None = None  # a backend's own failure, passed on where nothing better comes
        unrun = True
        try:
            while True:
                match await held.next_decision(until):
                    case None if held.client_gone:
                        return CLIENT_GONE
                    case None if unrun:
                        return self.own(503, "no backend in time", request, route.target_us)
                    case Reject(_, wait) if unrun:
                        self.metrics.add("requests: pressed")
                        return self.own(503, "the service is full", request, wait)
                    case StartAttempt(_, backend, _):
                        n, now = held.attempts_started, self.clock.now()
                        held.attempts_started += 1
                        outcome, answer = await self.send_attempt(
                            upstream, held, n, backend, message, request, tenant, until, now
                        )
                        if outcome not in (
                            AttemptOutcome.REJECTED,
                            AttemptOutcome.NO_CONNECTION,
                            AttemptOutcome.CUT,
                            AttemptOutcome.NOT_SENT,
                        ):
                            unrun = False
                        last = answer if outcome is AttemptOutcome.ERROR else None
                        upstream.runtime.attempt_ended(held, n, backend, outcome)
                        if held.client_gone:
                            return CLIENT_GONE
                        if outcome is AttemptOutcome.OK and answer:
                            return Reply(answer.status, answer.body, head_back(answer))
                        if outcome is AttemptOutcome.TIMED_OUT:
                            return self.own(504, "no answer in time", request)
                    case wish:
                        self.metrics.check_invariant(
                            isinstance(wish, Abandon | Reject) or wish is None, "an unknown wish"
                        )
                        if last:
                            return Reply(last.status, last.body, head_back(last))
                        return self.own(502, "it may have run, and no answer came", request)
        finally:
            client.pending = None
            upstream.runtime.close_request(held)

    async def send_attempt(
        self,
        upstream: Upstream,
        held: PendingRequest,
        n: int,
        backend: int,
        message: Message,
        request: Request,
        tenant: Tenant,
        until: int,
        now: int,
    ) -> tuple[AttemptOutcome, Message | None]:
        instance_known = self.upstreams.at.get(backend)
        if instance_known is None:
            return AttemptOutcome.NOT_SENT, None
        instance = instance_known.row.instance
        outgoing = OutgoingRequest(
            head=head_on(message, instance, tenant.label, until - now),
            body=message.body,
            deadline_us=until,
            is_answered_by=lambda answer: answers(answer, request),
        )
        outcome, answer = await self.backends.send_attempt(held, n, backend, outgoing)
        self.metrics.add(f"call-outs: {outcome.value}")
        if outcome is AttemptOutcome.REJECTED and answer and answer.status == 421:
            other = answer.headers.get(b"instance-id", b"").decode("latin-1")
            if other != instance:  # somebody else lives there now
                self.instance_directory.lost(instance, self.clock.now() / 1_000_000)
                self.upstreams.renew()
        return outcome, answer

    def own(self, status: int, why: str, request: Request, wait_us: int = 0) -> Reply:
        """This system's own answer; with a wait it says when to come back."""
        self.metrics.add(f"answers: {status}")
        more = b"Content-Type: text/plain\r\nAttempt-Id: %s\r\n" % request.id
        if wait_us:
            more += b"Retry-After: %.3f\r\n" % (wait_us / 1_000_000)
        return Reply(status, why.encode() + b"\n", more)
