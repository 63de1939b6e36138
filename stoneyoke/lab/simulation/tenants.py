"""The tenants' requests, at gateways by weight: a request is admitted or not, backends are not reached."""

import asyncio
from typing import TYPE_CHECKING

from stoneyoke.gateway.control_client import ControlClient
from stoneyoke.gateway.routes import Table
from stoneyoke.lab.simulation.bounds import CHECK_INTERVAL_S
from stoneyoke.lab.simulation.machines import GatewayMachine
from stoneyoke.limits.token_bucket import SECOND

if TYPE_CHECKING:
    from stoneyoke.lab.simulation.scenario import Scenario

HALF = 0.5  # of its quota: a tenant that asks for so much is not refused in quiet times
QUIET_S = 6.0  # after the last trouble
LARGE_RATE = 10.0


class Tenants:
    """sent, refused: requests. asked_inside, refused_inside: those of tenants at half their quota in quiet times.
    weights: of gateways, as tenants choose among them."""

    def __init__(self, scenario: "Scenario") -> None:
        self.scenario = scenario
        self.weights = [1.0] * scenario.plan.gateways
        self.shifted_at = 0.0
        self.sent = self.refused = self.rejected_below_quota = self.requests_below_quota = 0

    def shift(self, weights: tuple[float, ...]) -> None:
        self.weights = [one + 1e-9 for one in weights]
        self.shifted_at = self.scenario.now()

    async def send_requests(self) -> None:
        scenario, begun = self.scenario, self.scenario.now()
        names, random_source = list(scenario.gateways), scenario.random_source
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for tenant in scenario.plan.tenants:
                times = [share for at, share in tenant.asks if at <= scenario.now() - begun]
                rate = tenant.rate * times[-1] * CHECK_INTERVAL_S if times else 0.0
                while random_source.random() < rate / (1 + rate):
                    gateway = scenario.gateways[random_source.choices(names, self.weights)[0]]
                    if gateway.client and gateway.table and not scenario.frozen(gateway.name):
                        self.request(gateway, gateway.client, gateway.table, tenant.label, times)

    def is_quiet(self) -> bool:
        checker = self.scenario.checker
        last = max(
            [
                checker.controllers_disturbed_until,
                checker.links_disturbed_until,
                self.shifted_at,
                *checker.gateways_disturbed_until.values(),
            ]
        )
        return last + QUIET_S < self.scenario.now()

    def request(
        self, gateway: GatewayMachine, client: ControlClient, table: Table, label: str, times: list[float]
    ) -> None:
        tenant = next(one for one in table.tenants if one.label == label)
        call = client.admission.call(tenant, 2 * SECOND)
        local_quota = client.admission.local_quotas[label]
        verdict = client.admission.knock(call, local_quota, client.micros())
        steady = times[-3:] == [HALF] * len(times[-3:])
        inside = steady and tenant.rate >= LARGE_RATE and tenant.burst >= tenant.rate and self.is_quiet()

        def settle(verdict: int) -> None:
            self.requests_below_quota += inside
            if verdict == 0:
                self.sent += 1
                self.scenario.checker.send(label, tenant.rate, tenant.burst, self.scenario.now())
            else:
                self.refused += 1
                self.rejected_below_quota += inside

        async def waits() -> None:
            await client.quota_client.ask(label)
            if gateway.client is client:
                settle(client.admission.answered(call, local_quota, client.micros()))

        if verdict is None:
            self.scenario.network.run_on(gateway.name, waits())
        else:
            settle(verdict)
