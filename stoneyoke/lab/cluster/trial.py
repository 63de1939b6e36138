"""A trial of the whole system: traffic, a configuration change, and a controller and a gateway killed and restarted."""

import asyncio
import json
import random
import tempfile
from dataclasses import dataclass
from pathlib import Path

from stoneyoke.lab.cluster.client import Client
from stoneyoke.lab.cluster.processes import ClusterProcesses
from stoneyoke.lab.cluster.requests import SERVICES, send_request
from stoneyoke.lab.cluster.stand_in_backend import StandInBackend
from stoneyoke.lab.cluster.traffic_ledger import Rule, TrafficLedger

BACKEND_COUNT = 4
MAX_DOWNTIME_S = 1.5  # upper limit of the time from a kill to the restart
FIRST_GENERATION, SECOND_GENERATION = 1, 2


@dataclass(frozen=True, slots=True, kw_only=True)
class TrialSettings:
    """The parameters of a trial."""

    seconds: float  # for how long new requests are sent
    gateways: int
    rate_per_s: float  # requests
    seed: int  # of the client's random choices and of the choice of processes to kill
    address_block: int = 0  # see ClusterProcesses


async def bring_up(cluster: ClusterProcesses, ledger: TrafficLedger) -> list[asyncio.Task[None]]:
    """Starts controllers, gateways and backends, sends the first configuration and waits until the gateways are ready.

    Returns:
        The tasks that run the backends. The caller cancels them.
    """
    for name in (*cluster.controllers, *cluster.gateways):
        await cluster.start(name)
    backends = [
        StandInBackend(SERVICES[index % len(SERVICES)], index + 1, ledger, cluster) for index in range(BACKEND_COUNT)
    ]
    tasks = [asyncio.create_task(backend.run(), name=backend.instance) for backend in backends]
    await cluster.replace_configuration(FIRST_GENERATION)
    await asyncio.gather(*(cluster.wait_until_ready(name) for name in cluster.gateways))
    return tasks


async def run_trial(settings: TrialSettings) -> tuple[TrafficLedger, Client]:
    """Runs a trial, and kills all its processes at the end.

    Returns:
        The ledger, and the client with its counts.
    """
    ledger = TrafficLedger()
    random_source = random.Random(settings.seed)
    with tempfile.TemporaryDirectory() as folder:
        cluster = ClusterProcesses(Path(folder), settings.gateways, settings.address_block)
        client = Client(cluster, ledger, random_source)
        backend_tasks: list[asyncio.Task[None]] = []
        try:
            backend_tasks = await bring_up(cluster, ledger)
            traffic = asyncio.create_task(client.send_traffic(settings.seconds, settings.rate_per_s))
            await asyncio.sleep(settings.seconds / 5)
            await cluster.replace_configuration(SECOND_GENERATION)
            await _kill_and_restart(cluster, random_source, settings.seconds)
            await traffic
            await _check_configuration(cluster, ledger)
        finally:
            for task in backend_tasks:
                task.cancel()
            await cluster.close()
    return ledger, client


async def _kill_and_restart(cluster: ClusterProcesses, random_source: random.Random, seconds: float) -> None:
    """Kills and restarts a random controller, then a random gateway."""
    controller = random_source.choice(list(cluster.controllers))
    gateway = random_source.choice(list(cluster.gateways))
    for name in (controller, gateway):
        await asyncio.sleep(seconds / 10)
        await cluster.kill(name)
        await asyncio.sleep(min(MAX_DOWNTIME_S, seconds / 10))
        await cluster.start(name)


async def _check_configuration(cluster: ClusterProcesses, ledger: TrafficLedger) -> None:
    """Reports a violation unless a controller returns the last acknowledged configuration."""
    address = cluster.control_addresses()[0]
    response = await send_request(address, b"GET /config/read HTTP/1.1\r\nHost: control\r\n")
    generation = json.loads(response.body or b"{}").get("generation") if response else None
    if generation != f"r{SECOND_GENERATION}":
        ledger.report(Rule.DURABLE_CONFIGURATION, "a controller did not return the acknowledged configuration")
