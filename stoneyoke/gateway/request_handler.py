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
from stoneyoke.gateway.request_head import Request, client_answer_headers, upstream_request_head
from stoneyoke.gateway.upstreams import RANKS_MAX, Upstream, Upstreams
from stoneyoke.gateway.instance_directory import InstanceDirectory
from stoneyoke.gateway.routes import Route, RoutingTable, Tenant
from stoneyoke.gateway.quota_client import QuotaClient
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.pending_request import PendingRequest, RequestDescription
from stoneyoke.runtime.metrics import Metrics

ANSWER_MARGIN_US = 15_000  # before the client's time is up, so that the answer is there
RETRY_AFTER_NO_CONFIGURATION_US = 500_000
DRAIN_S = 3.2  # after SIGTERM, at most half of the grace: a look a second, two misses, and what was on its way
EXIT_MARGIN_S = 0.4  # before the grace ends, all is answered
NO_TENANT = Tenant("", 0, 0.0, 0.0)


def belongs_to(answer: Message, request: Request) -> bool:
    """Whether a backend's answer belongs to this request. One that names two requests belongs to neither."""
    return answer.headers.get(b"attempt-id") == request.id and b"attempt-id" not in answer.repeated


class RequestHandler(HttpServer):
    """table: the configuration in force, swapped whole; None before the first."""

    admission: Admission
    quota_client: QuotaClient
    upstreams: Upstreams
    instance_directory: InstanceDirectory
    draw: Callable[[], float]
    table: RoutingTable | None = None
    leaving = False  # after SIGTERM: answers say that their connection closes
    body_most = 1 << 24

    def __init__(
        self, clock: Clock, metrics: Metrics, descriptor_budget: DescriptorBudget, descriptors: int, backends: Backends
    ) -> None:
        super().__init__(clock, metrics, clock.now, descriptor_budget, descriptors)
        self.backends = backends

    def install(self, table: RoutingTable) -> None:
        """From here on this version decides: never an older one in this life."""
        if self.table is None or table.version > self.table.version:
            self.table = table
            self.head_max_bytes, self.connections.idle_timeout_us = table.head_max_bytes, table.idle_timeout_us
            self.connections.message_timeout_us = table.head_timeout_us
            self.body_max_bytes = min(table.body_max_bytes, self.body_most)

    async def leave(self, grace_s: float, shut: Callable[[], None]) -> None:
        """After SIGTERM: serves on while clients may still be sent here, then closes what is idle, then ends what
        is owed. The platform looks once a second and needs two misses.

        From here on no backend is called off: with no other one to take the request, this gateway would give its own
        answer in place of one that is still being worked on (RULES, LOST)."""
        self.leaving, self.backends.may_cancel_attempts = True, False
        stay_s = min(DRAIN_S, 0.5 * grace_s)
        self.respond_by_us = self.clock.now() + int((grace_s - EXIT_MARGIN_S) * 1_000_000)
        await asyncio.sleep(stay_s)
        await self.close_idle_connections()
        shut()
        await self.finish_pending(max(0.1, grace_s - stay_s - IN_TRANSIT_S - EXIT_MARGIN_S))

    async def respond(self, client: ClientConnection, message: Message) -> None:
        if self.leaving and not client.has_unanswered_input():  # what has been read of the next request is answered too
            message.keep_alive = False
        await super().respond(client, message)

    async def handle(self, client: ClientConnection, message: Message) -> Reply:
        """One request, from its head to its answer."""
        request, table = Request(message), self.table
        self.metrics.add("requests")
        if table is None:
            return self.own_answer(503, "no configuration yet", request, RETRY_AFTER_NO_CONFIGURATION_US)
        route = table.find_route(request.host, request.path)
        if route is None:
            return self.own_answer(404, "no such route", request)
        tenant = NO_TENANT
        if table.tenants_by_key is not None:
            known = table.tenants_by_key.get(request.key)
            if known is None and not route.is_public:
                return self.own_answer(401, "unknown key", request)
            tenant = known or NO_TENANT
        now = self.clock.now()
        wait_us = route.timeout_us if request.wait_us is None else min(request.wait_us, route.timeout_us)
        until = client.since_us + wait_us - ANSWER_MARGIN_US
        if until <= now:
            return self.own_answer(503, "its time is up", request, route.target_us)
        if tenant.rate_per_s > 0 and (refused := await self.wait_for_admission(tenant, until - now)):
            self.metrics.add("requests: over quota")
            return self.own_answer(429, f"over the quota of {tenant.label}", request, refused)
        if client.disconnected:
            return CLIENT_GONE
        return await self.forward(client, message, request, route, tenant, until)

    async def wait_for_admission(self, tenant: Tenant, wait_us: int) -> int:
        """0: it passes; else the wait to state."""
        call = self.admission.arrival(tenant, wait_us)
        local_quota = self.admission.local_quotas[tenant.label]
        verdict = self.admission.try_admit(call, local_quota, self.clock.now())
        if verdict is None:
            await self.quota_client.wait_for_units(tenant.label)
            verdict = self.admission.admit_after_reply(call, local_quota, self.clock.now())
        return verdict

    async def forward(
        self, client: ClientConnection, message: Message, request: Request, route: Route, tenant: Tenant, until: int
    ) -> Reply:
        upstream = self.upstreams.get(route.choose_service(self.draw()))
        method = self.upstreams.method_number(upstream, route)
        held = client.pending = upstream.runtime.open_request(
            RequestDescription(method=method, plan=min(tenant.rank, RANKS_MAX - 1)), until
        )
        last: Message | None = None  # a backend's own failure, passed on where nothing better comes
        unrun = True
        try:
            while True:
                match await held.next_decision(until):
                    case None if held.client_gone:
                        return CLIENT_GONE
                    case None if unrun:
                        return self.own_answer(503, "no backend in time", request, route.target_us)
                    case Reject(_, wait) if unrun:
                        self.metrics.add("requests: pressed")
                        return self.own_answer(503, "the service is full", request, wait)
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
                            return Reply(answer.status, answer.body, client_answer_headers(answer))
                        if outcome is AttemptOutcome.TIMED_OUT:
                            return self.own_answer(504, "no answer in time", request)
                    case wish:
                        self.metrics.check_invariant(
                            isinstance(wish, Abandon | Reject) or wish is None, "an unknown wish"
                        )
                        if last:
                            return Reply(last.status, last.body, client_answer_headers(last))
                        return self.own_answer(502, "it may have run, and no answer came", request)
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
        instance_known = self.upstreams.instances.get(backend)
        if instance_known is None:
            return AttemptOutcome.NOT_SENT, None
        instance = instance_known.row.instance
        outgoing = OutgoingRequest(
            head=upstream_request_head(message, instance, tenant.label, until - now),
            body=message.body,
            deadline_us=until,
            is_answered_by=lambda answer: belongs_to(answer, request),
        )
        outcome, answer = await self.backends.send_attempt(held, n, backend, outgoing)
        self.metrics.add(f"call-outs: {outcome.value}")
        if outcome is AttemptOutcome.REJECTED and answer and answer.status == 421:
            other = answer.headers.get(b"instance-id", b"").decode("latin-1")
            if other != instance:  # somebody else lives there now
                self.instance_directory.mark_gone(instance, self.clock.now() / 1_000_000)
                self.upstreams.refresh()
        return outcome, answer

    def own_answer(self, status: int, why: str, request: Request, wait_us: int = 0) -> Reply:
        """This system's own answer; with a wait it says when to come back."""
        self.metrics.add(f"answers: {status}")
        more = b"Content-Type: text/plain\r\nAttempt-Id: %s\r\n" % request.id
        if wait_us:
            more += b"Retry-After: %.3f\r\n" % (wait_us / 1_000_000)
        return Reply(status, why.encode() + b"\n", more)
