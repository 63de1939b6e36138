"""Backends: one life after another at one address. They beat, drain, leave, or just end."""

import asyncio
import json
from typing import TYPE_CHECKING

from stoneyoke.api.calls import Acknowledged, ask
from stoneyoke.lab.simulation.bounds import HEARTBEAT_S
from stoneyoke.lab.simulation.checker import AcknowledgedDrain

if TYPE_CHECKING:
    from stoneyoke.lab.simulation.scenario import Scenario

TRIES = 3
DRAIN_S = (3.0, 3.0, 9.0)  # between its drain and its end
PAUSE_S = 2.0  # between two lives


def heartbeat_text(address: str, phase: str, call_seq: int) -> bytes:
    return json.dumps(
        {
            "address": address,
            "details": {"target_service": "orders", "capacity": 2},
            "observed": {"phase": phase, "call_seq": call_seq},
        }
    ).encode()


class BackendIncarnation:
    """One life of a backend."""

    def __init__(self, scenario: "Scenario", name: str, address: str) -> None:
        self.scenario, self.name, self.address, self.call_seq = scenario, name, address, 0

    async def send_heartbeat(self, phase: str) -> bool:
        """Whether it was acknowledged."""
        names = self.scenario.api_client.choices()
        for name in (names * TRIES)[:TRIES]:
            self.call_seq += 1
            body = heartbeat_text(self.address, phase, self.call_seq)
            said = await self.scenario.api_client.call(name, ask("POST", f"/instances/{self.name}/heartbeat", body))
            if said == Acknowledged():
                if phase == "draining":
                    self.scenario.faults.acknowledged("after_drain", name)
                return True
        return False

    async def send_heartbeats_until(self, ends_at: float) -> None:
        while self.scenario.now() < ends_at:
            await self.send_heartbeat("ready")
            await asyncio.sleep(HEARTBEAT_S * self.scenario.random_source.uniform(0.9, 1.1))

    async def drain(self, then_s: float) -> None:
        scenario = self.scenario
        if await self.send_heartbeat("draining"):
            scenario.checker.drained.append(AcknowledgedDrain(scenario.now(), self.name))
            scenario.checker.record(scenario.now(), f"{self.name} drains")
            scenario.events["drains"] += 1
        await asyncio.sleep(then_s)
        name = scenario.api_client.choices()[0]
        await scenario.api_client.call(name, ask("POST", f"/instances/{self.name}/leave", b""))


async def run_backends_at(scenario: "Scenario", at: int) -> None:
    """Backends at one address, for as long as the scenario takes."""
    number = 0
    while True:
        number += 1
        incarnation = BackendIncarnation(scenario, f"i-{at}-{number}", f"10.9.0.{at + 1}:80")
        await incarnation.send_heartbeats_until(scenario.now() + scenario.random_source.uniform(3, 25))
        if scenario.random_source.random() < 0.7:
            await incarnation.drain(scenario.random_source.choice(DRAIN_S))
        await asyncio.sleep(PAUSE_S)


async def run_short_lived_instances(scenario: "Scenario", count: int, at_once: int = 20) -> None:
    """Instances that beat once, drain and leave, each with an address of its own."""

    async def several(first: int) -> None:
        for number in range(first, count, at_once):
            incarnation = BackendIncarnation(scenario, f"short-{number}", f"10.8.{number // 250}.{number % 250 + 1}:80")
            await incarnation.send_heartbeat("ready")
            await incarnation.drain(0.0)
            scenario.events["instances come and gone"] += 1

    await asyncio.gather(*(several(first) for first in range(at_once)))
