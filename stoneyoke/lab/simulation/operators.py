"""Operators: they send configurations, concurrently too, retry until the outcome is certain, and read back."""

import asyncio
import itertools
import json
from http import HTTPStatus

from stoneyoke.api.calls import Acknowledged, Document, ReadConfiguration, Rejected
from stoneyoke.api.configuration import Version, read_configuration
from stoneyoke.api.http_mapping import read_call
from stoneyoke.lab.simulation.checker import PendingOrder
from stoneyoke.lab.simulation.control_api_client import ControlApiClient
from stoneyoke.lab.simulation.faults import FaultInjector
from stoneyoke.lab.simulation.plans import FaultKind, Order, Tenant, controller_address

FIRST_PAUSE_S, MAX_PAUSE_S, PAUSE_GROWTH = 0.1, 1.0, 1.5  # backoff between two calls for one configuration
MAX_REPEAT_PAUSE_S = 4.0  # before an acknowledged configuration is sent again
READ_PAUSE_S = (0.2, 0.8)  # range of the pause between two reads
CONTENT_SUFFIXES = ("", "-b", "-c", "-d", "-e", "-f", "-g", "-h")  # make contents under one number differ
NOT_FOUND = 404


def configuration_text(tenants: tuple[Tenant, ...], number: int, content_suffix: str = "") -> bytes:
    """Returns a valid configuration. Its text differs for each number and suffix."""
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
    """All operators of a scenario."""

    def __init__(self, client: ControlApiClient, faults: FaultInjector) -> None:
        """Calls through the client; acknowledgements may trigger faults."""
        self.client, self.faults, self.environment = client, faults, client.environment
        self.checker, self.random_source = self.environment.checker, self.environment.random_source
        self.keys = itertools.count()

    def text(self, number: int, content_suffix: str = "") -> bytes:
        """Returns a configuration with the tenants of the plan."""
        return configuration_text(self.environment.plan.tenants, number, content_suffix)

    async def carry_out(self, order: Order) -> None:
        """Sends the configurations of one order: one number after the other, all contents of a number concurrently."""
        if order.bad:
            await self.put_invalid(order.number)
        for number in range(order.number, order.number + order.series):
            calls = [self.put(number, suffix, order.again) for suffix in CONTENT_SUFFIXES[: order.contents]]
            if order.stale and number > 2:
                calls.append(self.put(1, again=0))
            await asyncio.gather(*calls)

    async def put_invalid(self, number: int) -> None:
        """Sends a configuration that names an unknown service. It must be rejected, and not as a conflict."""
        body = self.text(number + 50).replace(b'"target_service": "orders"', b'"target_service": "other"')
        received = await self.client.call(controller_address(0), read_call("POST", "/config/replace", body))
        is_rejected = isinstance(received, Rejected) and received.status != HTTPStatus.CONFLICT
        violation = "CONFIG: an invalid configuration was not rejected"
        self.checker.check(is_rejected, self.environment.now(), violation)

    async def put(self, number: int, content_suffix: str = "", again: int = 0) -> None:
        """Sends a configuration until its outcome is certain, then repeats it: it must not be rejected after that.

        Args:
            number: The configuration's number.
            content_suffix: Distinguishes this content from other contents under the same number.
            again: How often the configuration is sent again after its acknowledgement.
        """
        body = self.text(number, content_suffix)
        version = read_configuration(body).version
        self.checker.register.order(self.environment.now(), version, body)
        is_acknowledged = await self.put_until_clear(version, body)
        for _ in range(again if is_acknowledged else 0):
            await asyncio.sleep(self.random_source.uniform(0.0, MAX_REPEAT_PAUSE_S))
            await self.put_until_clear(version, body)

    async def put_until_clear(self, version: Version, body: bytes) -> bool:
        """Calls one controller after the other; returns True if one acknowledged, False if one reported a conflict."""
        pause_s, key, names = FIRST_PAUSE_S, next(self.keys), self.client.shuffled_controllers()
        self.checker.pending_orders[key] = PendingOrder(self.environment.now(), version)
        while True:
            if not names:
                names = self.client.shuffled_controllers()
            is_acknowledged = await self.put_once(names.pop(), version, body)
            if is_acknowledged is not None:
                self.checker.pending_orders.pop(key, None)
                return is_acknowledged
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_PAUSE_S, pause_s * PAUSE_GROWTH)

    async def put_once(self, name: str, version: Version, body: bytes) -> bool | None:
        """Calls one controller; returns whether it acknowledged or rejected, None if the outcome is uncertain."""
        checker = self.checker
        received = await self.client.call(name, read_call("POST", "/config/replace", body))
        now = self.environment.now()
        if isinstance(received, Rejected):
            checker.record(now, f"{name} rejected {version} {received.field}")
            is_conflict = received.status == HTTPStatus.CONFLICT
            checker.check(is_conflict, now, f"CONFIG: {name} rejects a valid configuration: {received}")
            controller = self.client.cluster.controllers[name].controller
            chosen = controller.replica.chosen if controller else None
            checker.register.conflict(now, version, name, chosen.value if chosen else None)
            self.environment.event_counts["conflicts"] += 1
            return False
        if received != Acknowledged():
            return None
        checker.record(now, f"{name} acknowledged {version}")
        checker.register.acknowledge(now, version)
        self.environment.event_counts["acknowledged"] += 1
        self.faults.on_acknowledgement(FaultKind.AFTER_ACK, name)
        return True

    async def read_back_repeatedly(self) -> None:
        """Reads the configuration from a random controller, repeatedly, for as long as the scenario lasts."""
        while True:
            await asyncio.sleep(self.random_source.uniform(*READ_PAUSE_S))
            await self.read_back(self.random_source.choice(self.client.shuffled_controllers()))

    async def read_back(self, name: str) -> bool:
        """Reads the configuration from one controller; returns whether the response contains one."""
        asked_at = self.environment.now()
        received = await self.client.call(name, ReadConfiguration())
        now, register = self.environment.now(), self.checker.register
        if isinstance(received, Document):
            self.environment.event_counts["read back"] += 1
            register.read(asked_at, now, name, read_configuration(received.body))
        elif isinstance(received, Rejected):
            self.checker.check(received.status == NOT_FOUND, now, f"CONFIG: {name} rejects a read: {received}")
            register.read_nothing(asked_at, now, name)
        return isinstance(received, Document)
