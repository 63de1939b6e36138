"""Processes a client's request in a gateway: route, tenant, deadline, quota, backend, response.

`RequestHandler.handle` performs these steps in this order. `forwarding.py` makes the attempts at backends.
"""

import asyncio
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
from stoneyoke.gateway.upstreams import Upstreams
from stoneyoke.net.backends import Backends
from stoneyoke.net.client_connection import ClientConnection
from stoneyoke.net.descriptor_budget import DescriptorBudget
from stoneyoke.net.http_server import LATE_CONNECTION_GRACE_S, HttpServer
from stoneyoke.net.message_reader import Message
from stoneyoke.net.reply import CLIENT_GONE, Reply
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.metrics import Metrics

# The response is determined this long before the client's deadline, so that it arrives in time.
RESPONSE_MARGIN_US = 15_000
RETRY_AFTER_NO_CONFIGURATION_US = 500_000
# How long the gateway accepts new requests after SIGTERM; at most half of the grace period. The platform checks
# readiness once a second and stops sending clients to a gateway after two failed checks. Requests that were sent to
# this gateway before that may still be on their way.
DRAIN_S = 3.2
EXIT_MARGIN_S = 0.4  # all responses are sent this long before the grace period ends with SIGKILL
FINISH_MIN_S = 0.1
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
        response (RULES, LOST).

        Args:
            grace_s: The time from SIGTERM to SIGKILL, in seconds.
            stop_listening: Closes the listener.
        """
        self.draining, self.services.backends.may_cancel_attempts = True, False
        drain_s = min(DRAIN_S, 0.5 * grace_s)
        sigterm_at = self.clock.now()
        self.respond_by_us = sigterm_at + int((grace_s - EXIT_MARGIN_S) * 1_000_000)
        logger.info("SIGTERM: draining; new connections are accepted for {:.2f} s more", drain_s)
        await asyncio.sleep(drain_s)
        await self.close_idle_connections()
        stop_listening()
        closed_s = (self.clock.now() - sigterm_at) / 1_000_000
        logger.info("shutdown: no new connections are accepted from {:.2f} s after SIGTERM on", closed_s)
        await self.finish_pending(max(FINISH_MIN_S, grace_s - drain_s - LATE_CONNECTION_GRACE_S - EXIT_MARGIN_S))
        self.report_unanswered(sigterm_at)

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
