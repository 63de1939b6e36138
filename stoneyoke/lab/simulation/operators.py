"""Operators: they put configurations, send them again until an answer is clear, race, and read back."""

import asyncio
import itertools
import json
from typing import TYPE_CHECKING

from stoneyoke.api.calls import Acknowledged, Document, ReadConfiguration, Rejected, ask
from stoneyoke.api.configuration import Version, read_configuration
from stoneyoke.controlplane.configuration_service import CONFLICT_STATUS
from stoneyoke.lab.simulation.plans import Order, Tenant, controller_address

if TYPE_CHECKING:
    from stoneyoke.lab.simulation.scenario import Scenario

FIRST_PAUSE_S, MOST_PAUSE_S, PAUSE_GROWS = 0.1, 1.0, 1.5
CONTENT_SUFFIXES = ("", "-b", "-c", "-d", "-e", "-f", "-g", "-h")  # what makes contents under one number different
NOT_FOUND = 404


def configuration_text(tenants: tuple[Tenant, ...], number: int, content_suffix: str = "") -> bytes:
    """A valid configuration; no two are alike."""
    route = {
        "label": f"r-{number}{content_suffix}",
        "path_prefix": f"/{number}/",
        "route_kind": "pure",
        "timeout_s": 2,
        "max_tries": 2,
        "target_service": "orders",
    }
    return json.dumps(
        {
            "generation": f"r{number}",
            "service_list": [{"label": "orders"}],
            "tenant_list": [
                {"label": one.label, "api_keys": [f"key-{one.label}"], "rate_per_s": one.rate, "burst_size": one.burst}
                for one in tenants
            ],
            "host_map": [{"hostname": "one.example", "path_map": [route]}],
        }
    ).encode()


class Operators:
    def __init__(self, scenario: "Scenario") -> None:
        self.scenario, self.checker, self.random_source = scenario, scenario.checker, scenario.random_source
        self.keys = itertools.count()

    def text(self, number: int, content_suffix: str = "") -> bytes:
        return configuration_text(self.scenario.plan.tenants, number, content_suffix)

    async def carry_out(self, order: Order) -> None:
        """All that stands in one order of the plan."""
        if order.bad:
            await self.put_invalid(order.number)
        for number in range(order.number, order.number + order.series):
            calls = [
                self.put(number, content_suffix, order.again) for content_suffix in CONTENT_SUFFIXES[: order.contents]
            ]
            if order.stale and number > 2:
                calls.append(self.put(1, again=0))
            await asyncio.gather(*calls)

    async def put_invalid(self, number: int) -> None:
        body = self.text(number + 50).replace(b'"target_service": "orders"', b'"target_service": "other"')
        said = await self.scenario.api_client.call(controller_address(0), ask("POST", "/config/replace", body))
        refused = isinstance(said, Rejected) and said.status != CONFLICT_STATUS
        self.checker.check(refused, self.scenario.now(), "CONFIG: something invalid was not refused")

    async def put(self, number: int, content_suffix: str = "", again: int = 0) -> None:
        """Unchanged, to one controller after the other, until it is acknowledged or its number conflicts; then as
        often again, some time later: one that was taken is never refused."""
        body = self.text(number, content_suffix)
        version = read_configuration(body).version
        self.checker.register.order(self.scenario.now(), version, body)
        taken = await self.put_until_clear(version, body)
        for _ in range(again if taken else 0):
            await asyncio.sleep(self.random_source.uniform(0.0, 4.0))
            await self.put_until_clear(version, body)

    async def put_until_clear(self, version: Version, body: bytes) -> bool:
        """Whether it was acknowledged; else its number conflicts."""
        pause, key, names = FIRST_PAUSE_S, next(self.keys), self.scenario.api_client.choices()
        self.checker.waiting[key] = (self.scenario.now(), version)
        while True:
            if not names:
                names = self.scenario.api_client.choices()
            taken = await self.put_once(names.pop(), version, body)
            if taken is not None:
                self.checker.waiting.pop(key, None)
                return taken
            await asyncio.sleep(pause)
            pause = min(MOST_PAUSE_S, pause * PAUSE_GROWS)

    async def put_once(self, name: str, version: Version, body: bytes) -> bool | None:
        """None: no clear answer."""
        scenario, checker = self.scenario, self.checker
        said = await scenario.api_client.call(name, ask("POST", "/config/replace", body))
        now = scenario.now()
        if isinstance(said, Rejected):
            checker.record(now, f"{name} rejected {version} {said.path}")
            checker.check(said.status == CONFLICT_STATUS, now, f"CONFIG: {name} refuses a valid order: {said}")
            controller = scenario.controllers[name].controller
            chosen = controller.replica.chosen if controller else None
            checker.register.conflict(now, version, name, chosen.value if chosen else None)
            scenario.events["conflicts"] += 1
            return False
        if said != Acknowledged():
            return None
        checker.record(now, f"{name} acknowledged {version}")
        checker.register.acknowledge(now, version)
        scenario.events["acknowledged"] += 1
        scenario.faults.acknowledged("after_ack", name)
        return True

    async def read_back_repeatedly(self) -> None:
        """Reads back, now and then, from any controller."""
        while True:
            await asyncio.sleep(self.random_source.uniform(0.2, 0.8))
            await self.read_back(self.random_source.choice(self.scenario.api_client.choices()))

    async def read_back(self, name: str) -> bool:
        """Whether a configuration was told."""
        scenario, asked_at = self.scenario, self.scenario.now()
        said = await scenario.api_client.call(name, ReadConfiguration())
        if isinstance(said, Document):
            scenario.events["read back"] += 1
            self.checker.register.read(asked_at, scenario.now(), name, read_configuration(said.body))
        elif isinstance(said, Rejected):
            self.checker.check(said.status == NOT_FOUND, scenario.now(), f"CONFIG: {name} refuses a read: {said}")
            self.checker.register.read_nothing(asked_at, scenario.now(), name)
        return isinstance(said, Document)
