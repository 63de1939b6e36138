"""Processes a client's request in a gateway: route, tenant, deadline, quota, backend, response.

`RequestHandler.handle` performs these steps in this order. `forwarding.py` makes the attempts at backends.
"""

from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from stoneyoke.gateway.admission import ADMITTED, Admission
from stoneyoke.gateway.forwarding import ForwardedRequest, ForwardingContext
from stoneyoke.gateway.instance_directory import InstanceDirectory
from stoneyoke.gateway.local_response import local_response
from stoneyoke.gateway.quota_client import QuotaClient
from stoneyoke.gateway.request_head import Request
from stoneyoke.gateway.routes import Route, RoutingTable, Tenant
from stoneyoke.gateway.shutdown_schedule import ShutdownSchedule
from stoneyoke.gateway.upstreams import Upstreams
from stoneyoke.net.backends import Backends
from stoneyoke.net.client_connection import ClientConnection
from stoneyoke.net.descriptor_budget import DescriptorBudget
from stoneyoke.net.http_server import HttpServer
from stoneyoke.net.message_reader import Message
from stoneyoke.net.reply import CLIENT_GONE, Reply
from stoneyoke.net.unanswered import UnansweredRequest, UnansweredState
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.metrics import Metrics

# The response is determined this long before the client's deadline, so that it arrives in time.
RESPONSE_MARGIN_US = 15_000
RETRY_AFTER_NO_CONFIGURATION_US = 500_000
ATTEMPTS_CUT = "requests: cut at the end of the grace period"
LATE_REQUEST_CUT = "request forwarded too late for the shutdown"
UNANSWERED = "request unanswered at the exit"
NO_TENANT = Tenant("", 0, 0.0, 0.0)


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestServices:
    """The components that process a request.

    Attributes:
        admission: Admits or rejects requests by their tenant's quota.
        quota_client: Requests units from the lease holder when this gateway has none left for a tenant.
        backends: The connections to backends.
        upstreams: The services, each with its decision logic.
        instance_directory: The backend instances that controllers have reported.
        random_point: Draws a number from 0 to 1, which selects one of a route's services.
        body_limit_bytes: The maximum body size that the process's memory allows; a configuration can only lower it.
    """

    admission: Admission
    quota_client: QuotaClient
    backends: Backends
    upstreams: Upstreams
    instance_directory: InstanceDirectory
    random_point: Callable[[], float]
    body_limit_bytes: int = 1 << 24


class RequestHandler(HttpServer):
    """Serves clients' connections according to the configuration in force.

    Attributes:
        table: The routing table in force, replaced as a whole; None before the first configuration.
        draining: Whether SIGTERM was received. Each connection is then closed after a response that announces it.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        descriptor_budget: DescriptorBudget,
        descriptors: int,
        services: RequestServices,
    ) -> None:
        """Starts without a configuration.

        Args:
            clock: The process's clock.
            metrics: The process's counters.
            descriptor_budget: The file descriptor budget that connections to clients and backends share.
            descriptors: The number of file descriptors that connections may use.
            services: The components that process a request.
        """
        super().__init__(clock, metrics, clock.now, descriptor_budget, descriptors)
        self.services = services
        self.forwarding = ForwardingContext(
            clock=clock,
            metrics=metrics,
            backends=services.backends,
            upstreams=services.upstreams,
            instance_directory=services.instance_directory,
        )
        self.table: RoutingTable | None = None
        self.draining = False

    def install(self, table: RoutingTable) -> None:
        """Puts a newer configuration in force. An older one is ignored: a process never reverts to an older version."""
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        self.head_max_bytes = table.head_max_bytes
        self.body_max_bytes = min(table.body_max_bytes, self.services.body_limit_bytes)
        self.connections.idle_timeout_us = table.idle_timeout_us
        self.connections.message_timeout_us = table.head_timeout_us

    async def drain(self, grace_s: float, stop_listening: Callable[[], None]) -> None:
        """Drains after SIGTERM: accepts requests while clients may still be sent here, then completes pending ones.

        From this call on, no attempt is cancelled because its backend is silent. There may be no other backend to
        retry at, and this gateway would respond with an error of its own although the backend is still producing the
        response (RULES, LOST). A request that is read too late for that is not forwarded (`ShutdownSchedule`): its
        client is told that it has not run, and sends it to another gateway.

        Args:
            grace_s: The time from SIGTERM to SIGKILL, in seconds.
            stop_listening: Closes the listener.
        """
        sigterm_at_us = self.clock.now()
        self.draining, self.services.backends.may_cancel_attempts = True, False
        schedule = self.forwarding.schedule = ShutdownSchedule.after_sigterm(sigterm_at_us, grace_s)
        self.respond_by_us = schedule.respond_by_us
        logger.info("SIGTERM: draining, the grace period is {} s", grace_s)
        await self.wait_until(schedule.close_idle_at_us)
        self.close_idle_connections()
        await self.wait_until(schedule.accept_until_us)
        stop_listening()
        logger.info("shutdown: no new connections are accepted; {} are open", len(self.connections.open))
        if not await self.finish_pending(schedule.respond_by_us):
            self.end_attempts()
            await self.finish_pending(schedule.exit_by_us)
        self.check_answered(self.report_unanswered(sigterm_at_us))

    def end_attempts(self) -> None:
        """Cancels the attempts in flight near the end of the grace period, so that each client gets a response.

        Without it, the exit would close their connections, and requests behind them on the same connection would not
        even learn that they have not run.
        """
        clients = [one for one in self.connections.open.values() if one.pending and one.pending.has_attempt()]
        self.services.backends.may_cancel_attempts = True
        for upstream in self.services.upstreams.upstreams.values():
            upstream.runtime.cancel_attempts()
        for client in clients:
            self.metrics.add(ATTEMPTS_CUT)
            in_time = client.completed_at < self.forwarding.schedule.accept_until_us
            self.metrics.check_invariant(in_time, LATE_REQUEST_CUT)

    def check_answered(self, unanswered: list[UnansweredRequest]) -> None:
        """Checks that each request has been answered, though its client may not have read all of the response."""
        for request in unanswered:
            self.metrics.check_invariant(request.state is UnansweredState.RESPONSE_UNREAD, UNANSWERED)

    async def respond(self, client: ClientConnection, message: Message) -> None:
        """Responds to one message of a connection, and closes the connection after it while the gateway drains."""
        # The connection stays open if part of a further request has been read: that request gets a response first.
        if self.draining and not client.has_unanswered_input():
            message.keep_alive = False
        await super().respond(client, message)

    async def handle(self, client: ClientConnection, message: Message) -> Reply:
        """Processes one request, from its head to its response."""
        request, table = Request(message), self.table
        self.metrics.add("requests")
        if table is None:
            return local_response(self.metrics, request, 503, "no configuration yet", RETRY_AFTER_NO_CONFIGURATION_US)
        route = table.find_route(request.host, request.path)
        if route is None:
            return local_response(self.metrics, request, 404, "no such route")
        tenant = identify_tenant(table, route, request)
        if tenant is None:
            return local_response(self.metrics, request, 401, "unknown key")
        return await self.admit_and_forward(client, message, request, route, tenant)

    async def admit_and_forward(
        self, client: ClientConnection, message: Message, request: Request, route: Route, tenant: Tenant
    ) -> Reply:
        """Checks the deadline and the quota of a request with a route and a tenant, then forwards it."""
        now, deadline_us = self.clock.now(), response_deadline_us(client, request, route)
        if deadline_us <= now:
            return local_response(self.metrics, request, 503, "its time is up", route.target_us)
        if not self.forwarding.schedule.may_forward(now, deadline_us):
            return self.forwarding.shutdown_response(request)
        if tenant.rate_per_s > 0:
            retry_after_us = await self.check_quota(client, tenant, deadline_us - now)
            if retry_after_us:
                self.metrics.add("requests: over quota")
                reason = f"over the quota of {tenant.label}"
                return local_response(self.metrics, request, 429, reason, retry_after_us)
        if client.disconnected:
            return CLIENT_GONE
        service = route.choose_service(self.services.random_point())
        forwarded = ForwardedRequest(self.forwarding, message, request, route, tenant)
        return await forwarded.run(client, service, deadline_us)

    async def check_quota(self, client: ClientConnection, tenant: Tenant, remaining_us: int) -> int:
        """Takes a unit of the tenant's quota, unless the client disconnects meanwhile.

        Returns:
            0 if the request is admitted or its client has disconnected, else the time after which to retry, in
            microseconds.
        """
        admission = self.services.admission
        arrival = admission.arrival(tenant, remaining_us)
        local_quota = admission.local_quotas[tenant.label]
        retry_after_us = admission.try_admit(arrival, local_quota, self.clock.now())
        if retry_after_us is None:
            await self.services.quota_client.wait_for_units(tenant.label)
            if client.disconnected:
                return ADMITTED
            retry_after_us = admission.admit_after_response(arrival, local_quota, self.clock.now())
        return retry_after_us


def identify_tenant(table: RoutingTable, route: Route, request: Request) -> Tenant | None:
    """Returns the tenant of the request's API key, NO_TENANT where no key is needed, or None for an unknown key."""
    if table.tenants_by_key is None:
        return NO_TENANT
    tenant = table.tenants_by_key.get(request.key)
    if tenant is None and route.is_public:
        return NO_TENANT
    return tenant


def response_deadline_us(client: ClientConnection, request: Request, route: Route) -> int:
    """Returns when the response must be determined: by the client's or the route's time-out, whichever is shorter."""
    timeout_us = route.timeout_us if request.wait_us is None else min(request.wait_us, route.timeout_us)
    return client.phase_started_us + timeout_us - RESPONSE_MARGIN_US
