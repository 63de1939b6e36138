"""Tenants: they send requests to gateways, which admit or reject them. Nothing is forwarded to backends."""

import asyncio

from stoneyoke.gateway.control_client import ControlClient
from stoneyoke.gateway.routes import RoutingTable
from stoneyoke.lab.simulation.bounds import CHECK_INTERVAL_S
from stoneyoke.lab.simulation.machines import GatewayMachine
from stoneyoke.lab.simulation.plans import Tenant
from stoneyoke.lab.simulation.simulated_cluster import SimulatedCluster
from stoneyoke.limits.token_bucket import SECOND

HALF_OF_QUOTA = 0.5  # load as a share of the quota at which an undisturbed gateway should not reject a tenant
STEADY_CHANGES = 3  # the load of a tenant is steady if it was HALF_OF_QUOTA at each of its last 3 changes
QUIET_S = 6.0  # time after the last disturbance from which on a scenario counts as quiet
LARGE_RATE = 10.0  # requests per second; at lower rates a single request is a large share of the quota
TIMEOUT_S = 2  # time-out of a request
ADMITTED = 0


class Tenants:
    """All tenants of a scenario.

    Attributes:
        weights: The weight of each gateway when tenants choose one.
        shifted_at: When the weights last changed, in the time of the event loop.
        admitted: Number of admitted requests.
        rejected: Number of rejected requests.
        requests_below_quota: Requests of tenants with a steady load of half their quota in quiet times.
        rejected_below_quota: Those of requests_below_quota that were rejected.
    """

    def __init__(self, cluster: SimulatedCluster) -> None:
        """Sends to the gateways of a cluster, initially with equal weights."""
        self.cluster, self.environment = cluster, cluster.environment
        self.weights = [1.0] * self.environment.plan.gateways
        self.shifted_at = 0.0
        self.admitted = self.rejected = self.rejected_below_quota = self.requests_below_quota = 0

    def shift(self, weights: tuple[float, ...]) -> None:
        """Changes the weights. None becomes zero, since a random choice fails if all weights are zero."""
        self.weights = [weight + 1e-9 for weight in weights]
        self.shifted_at = self.environment.now()

    async def send_requests(self) -> None:
        """Sends the requests of all tenants, for as long as the scenario lasts."""
        started_at = self.environment.now()
        names, random_source = list(self.cluster.gateways), self.environment.random_source
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for tenant in self.environment.plan.tenants:
                shares = [share for at, share in tenant.asks if at <= self.environment.now() - started_at]
                expected = tenant.rate * shares[-1] * CHECK_INTERVAL_S if shares else 0.0
                while random_source.random() < expected / (1 + expected):
                    gateway = self.cluster.gateways[random_source.choices(names, self.weights)[0]]
                    if gateway.client and gateway.table and not self.cluster.is_frozen(gateway.name):
                        is_steady = shares[-STEADY_CHANGES:] == [HALF_OF_QUOTA] * len(shares[-STEADY_CHANGES:])
                        self.request(gateway, gateway.client, gateway.table, tenant, is_steady)

    def is_quiet(self) -> bool:
        """Returns whether the last disturbance ended more than QUIET_S ago."""
        last = max(self.environment.checker.disturbances.last_end(), self.shifted_at)
        return last + QUIET_S < self.environment.now()

    def request(
        self, gateway: GatewayMachine, client: ControlClient, table: RoutingTable, tenant: Tenant, is_steady: bool
    ) -> None:
        """Sends one request of a tenant to a running gateway that has a routing table."""
        known_tenant = next(one for one in table.tenants if one.label == tenant.label)
        call = client.admission.arrival(known_tenant, TIMEOUT_S * SECOND)
        local_quota = client.admission.local_quotas[tenant.label]
        decision = client.admission.try_admit(call, local_quota, client.now_us())
        is_large = known_tenant.rate_per_s >= LARGE_RATE and known_tenant.burst >= known_tenant.rate_per_s
        is_below_quota = is_steady and is_large and self.is_quiet()

        def record_decision(decision: int) -> None:
            self.requests_below_quota += is_below_quota
            if decision == ADMITTED:
                self.admitted += 1
                now = self.environment.now()
                self.environment.checker.record_admitted(tenant.label, known_tenant.rate_per_s, known_tenant.burst, now)
            else:
                self.rejected += 1
                self.rejected_below_quota += is_below_quota

        async def decide_after_grant() -> None:
            await client.quota_client.wait_for_units(tenant.label)
            if gateway.client is client:
                record_decision(client.admission.admit_after_response(call, local_quota, client.now_us()))

        if decision is None:
            self.environment.network.run_on(gateway.name, decide_after_grant())
        else:
            record_decision(decision)
