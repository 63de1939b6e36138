"""Backends: consecutive incarnations at one address, which send heartbeats and then drain and leave, or just end."""

import asyncio
import json

from stoneyoke.api.calls import Acknowledged
from stoneyoke.api.http_mapping import read_call
from stoneyoke.lab.simulation.bounds import HEARTBEAT_S
from stoneyoke.lab.simulation.checker import AcknowledgedDrain
from stoneyoke.lab.simulation.control_api_client import ControlApiClient
from stoneyoke.lab.simulation.faults import FaultInjector
from stoneyoke.lab.simulation.plans import FaultKind

MAX_CALLS = 3  # maximum number of calls for one heartbeat
INCARNATION_S = (3, 25)  # range of the time for which an incarnation is ready
DRAIN_S = (3.0, 3.0, 9.0)  # time between the drain of an incarnation and its end, one of these
DRAIN_PROBABILITY = 0.7  # otherwise the incarnation ends without a drain
PAUSE_S = 2.0  # time between two incarnations at an address
PARALLEL_INSTANCES = 20  # number of short-lived instances at the same time


def heartbeat_text(address: str, phase: str, call_seq: int) -> bytes:
    """Returns the body of a heartbeat."""
    return json.dumps(
        {
            "address": address,
            "details": {"target_service": "orders", "capacity": 2},
            "observed": {"phase": phase, "call_seq": call_seq},
        }
    ).encode()


class BackendIncarnation:
    """One incarnation of a backend. `call_seq` numbers its heartbeat calls."""

    def __init__(self, client: ControlApiClient, faults: FaultInjector, name: str, address: str) -> None:
        """Sends heartbeats for an instance at an address; acknowledged drains may trigger faults."""
        self.client, self.faults, self.environment = client, faults, client.environment
        self.name, self.address, self.call_seq = name, address, 0

    async def send_heartbeat(self, phase: str) -> bool:
        """Calls up to MAX_CALLS controllers until one acknowledges; returns whether one did."""
        names = self.client.shuffled_controllers()
        for name in (names * MAX_CALLS)[:MAX_CALLS]:
            self.call_seq += 1
            body = heartbeat_text(self.address, phase, self.call_seq)
            received = await self.client.call(name, read_call("POST", f"/instances/{self.name}/heartbeat", body))
            if received == Acknowledged():
                if phase == "draining":
                    self.faults.on_acknowledgement(FaultKind.AFTER_DRAIN, name)
                return True
        return False

    async def send_heartbeats_until(self, ends_at: float) -> None:
        """Sends heartbeats every HEARTBEAT_S, with a jitter of 10 %, until a time."""
        while self.environment.now() < ends_at:
            await self.send_heartbeat("ready")
            await asyncio.sleep(HEARTBEAT_S * self.environment.random_source.uniform(0.9, 1.1))

    async def drain(self, then_s: float) -> None:
        """Drains the instance, and sends its leave call after `then_s` seconds."""
        environment = self.environment
        if await self.send_heartbeat("draining"):
            environment.checker.drains.append(AcknowledgedDrain(environment.now(), self.name))
            environment.checker.record(environment.now(), f"{self.name} drains")
            environment.event_counts["drains"] += 1
        await asyncio.sleep(then_s)
        name = self.client.shuffled_controllers()[0]
        await self.client.call(name, read_call("POST", f"/instances/{self.name}/leave", b""))


async def run_backends_at(client: ControlApiClient, faults: FaultInjector, index: int) -> None:
    """Runs consecutive incarnations at the address of this index, for as long as the scenario lasts."""
    environment, random_source = client.environment, client.environment.random_source
    number = 0
    while True:
        number += 1
        incarnation = BackendIncarnation(client, faults, f"i-{index}-{number}", f"10.9.0.{index + 1}:80")
        await incarnation.send_heartbeats_until(environment.now() + random_source.uniform(*INCARNATION_S))
        if random_source.random() < DRAIN_PROBABILITY:
            await incarnation.drain(random_source.choice(DRAIN_S))
        await asyncio.sleep(PAUSE_S)


async def run_short_lived_instances(client: ControlApiClient, faults: FaultInjector, count: int) -> None:
    """Runs instances that send one heartbeat, drain and leave, each at its own address, several at a time."""

    async def run_every_nth(first: int) -> None:
        for number in range(first, count, PARALLEL_INSTANCES):
            address = f"10.8.{number // 250}.{number % 250 + 1}:80"
            incarnation = BackendIncarnation(client, faults, f"short-{number}", address)
            await incarnation.send_heartbeat("ready")
            await incarnation.drain(0.0)
            client.environment.event_counts["instances come and gone"] += 1

    await asyncio.gather(*(run_every_nth(first) for first in range(PARALLEL_INSTANCES)))
