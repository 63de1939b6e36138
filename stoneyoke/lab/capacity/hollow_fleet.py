"""A hollow fleet in one process: real controllers and real control clients of gateways, in simulated time.

It has no sockets, no clients and no connections to backends. Simulated time contains only the delays of messages;
computation takes none of it. The figures therefore also have the processor time of the busiest controller, which on one
core is the minimum time that an event takes.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from stoneyoke.api.calls import Acknowledged, ApiResult, Rejected
from stoneyoke.api.configuration import Configuration, Version
from stoneyoke.api.http_mapping import read_call
from stoneyoke.controlplane.controller import Controller
from stoneyoke.controlplane.instance_registry import Phase
from stoneyoke.controlplane.settings import ControllerEnvironment, ControllerSettings
from stoneyoke.gateway.control_client import ControlClient
from stoneyoke.gateway.control_settings import ControlClientSettings, ControlEnvironment
from stoneyoke.gateway.routes import RoutingTable, build_routing_table
from stoneyoke.lab.capacity.fleet_costs import Cost, FleetShape
from stoneyoke.lab.capacity.metered_network import MeteredLoop, MeteredNetwork, Traffic
from stoneyoke.lab.capacity.workloads import configuration, heartbeat, instance_name
from stoneyoke.lab.simulation.bounds import BOUNDS, HEARTBEAT_S
from stoneyoke.lab.simulation.disks import Disk

SILENCE_TIMEOUT_S = 2.4 * HEARTBEAT_S + 0.5  # after this time without a heartbeat a backend counts as silent
SWEEP_S = 0.25  # interval between two sweeps of a gateway's instance directory
POLL_S = 0.01  # interval between two checks of a condition at all gateways
REPEAT_S = 0.1  # before an operator retries a call that was not acknowledged
BETWEEN_REGIONS_S = 0.04  # one-way delay; an assumption, as the operators give no value
TIMEOUT_S = 60.0  # simulated time; the fleet fails if a write or a condition of all gateways takes longer
RANDOM_SEED = 11
ZONE, PORT = "zone", 1


class HollowGateway:
    """A gateway's control client, and the routing table of its configuration."""

    def __init__(self, name: str, seeds: tuple[str, ...], dial: Callable[[tuple[str, int]], Any]) -> None:
        """Creates a gateway whose seeds are the controllers at these addresses."""
        loop = asyncio.get_running_loop()
        self.table: RoutingTable | None = None
        settings = ControlClientSettings(name=name, ip=name, zone=ZONE, port=PORT, seeds=seeds, bounds=BOUNDS)
        environment = ControlEnvironment(clock=loop.time, dial=dial, random_source=random.Random(name))
        self.client = ControlClient(settings, self, environment)

    def on_update(self) -> None:
        """Does nothing: `has` reads the current state."""

    def apply_configuration(self, new_configuration: Configuration) -> None:
        """Builds the routing table of a configuration and puts it in force."""
        self.table = build_routing_table(new_configuration)

    def has(self, version: int) -> bool:
        """Returns whether a configuration with at least this number is in force."""
        return self.table is not None and self.table.version >= Version(version)

    async def run(self) -> None:
        """Runs the control client and sweeps the instance directory until the task is cancelled."""
        self.client.start()
        while True:
            await asyncio.sleep(SWEEP_S)
            self.client.instance_directory.sweep(self.client.clock())


class HollowFleet:
    """The controllers and gateways of one fleet, and the operators and backends that call them.

    Attributes:
        shape: The composition of the fleet.
        network: The network, which counts bytes and messages.
        seeds: Addresses of all controllers.
        controllers: The controllers, by their addresses.
        gateways: The gateways, by their names.
        version: The number of the newest configuration.
        call_seq: The sequence number of the last heartbeat.
    """

    def __init__(self, shape: FleetShape, loop: MeteredLoop, folder: str) -> None:
        """Creates a fleet whose disks are in a folder; starts nothing."""
        self.shape, self.loop, self.folder = shape, loop, Path(folder)
        self.random_source = random.Random(RANDOM_SEED)
        self.network = MeteredNetwork(self.random_source, self.region_of, BETWEEN_REGIONS_S)
        self.seeds = tuple(f"10.0.0.{index + 1}" for index in range(shape.controllers))
        self.controllers: dict[str, Controller] = {}
        self.gateways: dict[str, HollowGateway] = {}
        self.version = 0
        self.call_seq = 0

    def region_of(self, name: str) -> int:
        """Returns the region of a machine, from the number in its name, so that machines are spread evenly."""
        return int(name.rpartition(".")[2].rpartition("-")[2]) % self.shape.regions

    # ---- machines and callers ----

    async def start_controllers(self) -> None:
        """Starts the controllers one after another."""
        for name in self.seeds:
            await self.network.run_on(name, self.start_controller(name))

    async def start_controller(self, name: str) -> None:
        """Starts the controller with this address."""
        disk = Disk(str(self.folder / name), self.random_source)
        settings = ControllerSettings(
            name=name,
            ip=name,
            port=PORT,
            zone=ZONE,
            seeds=self.seeds,
            first_start=True,
            silence_timeout_s=SILENCE_TIMEOUT_S,
            bounds=BOUNDS,
            losses=(self.shape.controllers - 1) // 2,
        )
        environment = ControllerEnvironment(
            store=disk.mount(),
            clock=self.loop.time,
            dial=self.network.dialler(name),
            run_blocking=disk.blocking,
            random_source=random.Random(name),
        )
        controller = Controller(settings, environment)
        await controller.start()
        self.controllers[name] = controller
        self.network.ports[name] = controller.handle_message

    def start_gateway(self, index: int) -> None:
        """Starts the gateway with this index, from 0."""
        name = f"gateway-{index:04d}"
        gateway = self.gateways[name] = HollowGateway(name, self.seeds, self.network.dialler(name))
        self.network.run_on(name, gateway.run())

    async def call(self, name: str, method: str, target: str, body: bytes) -> bool:
        """Sends an HTTP call to a controller as a backend or an operator; returns whether it was acknowledged.

        The processor time is charged to the controller.
        """

        async def handle() -> ApiResult:
            api_call = read_call(method, target, body)
            return api_call if isinstance(api_call, Rejected) else await self.controllers[name].handle_call(api_call)

        result: ApiResult = await self.network.run_on(name, handle())
        return result == Acknowledged()

    async def write_configuration(self) -> float:
        """Writes a new configuration; returns the simulated seconds until it was acknowledged."""
        self.version += 1
        body, started_at = configuration(self.shape.routes, self.shape.tenants, self.version), self.loop.time()
        async with asyncio.timeout(TIMEOUT_S):
            while not await self.call(self.seeds[0], "POST", "/config/replace", body):  # noqa: ASYNC110 -- as an operator
                await asyncio.sleep(REPEAT_S)
        return self.loop.time() - started_at

    async def send_heartbeat(self, index: int, phase: str = "ready") -> None:
        """Sends a heartbeat of the backend with this index, from 0."""
        self.call_seq += 1
        name = self.seeds[index % len(self.seeds)]
        target = f"/instances/{instance_name(index)}/heartbeat"
        await self.call(name, "POST", target, heartbeat(index, self.call_seq, phase))

    async def send_heartbeats(self) -> None:
        """Sends the heartbeats of all backends, evenly over each interval, until the task is cancelled."""
        step = HEARTBEAT_S / max(1, self.shape.instances)
        while True:
            started_at = self.loop.time()
            for index in range(self.shape.instances):
                wait = started_at + index * step - self.loop.time()
                if wait > POLL_S:
                    await asyncio.sleep(wait)
                if index:  # the first backend is reserved for the drain, which send_heartbeat(0) sends
                    await self.send_heartbeat(index)
            await asyncio.sleep(max(POLL_S, started_at + HEARTBEAT_S - self.loop.time()))

    async def write_configurations(self) -> None:
        """Writes new configurations at the rate of the shape until the task is cancelled; returns if the rate is 0."""
        while self.shape.changes_per_minute:
            await asyncio.sleep(60 / self.shape.changes_per_minute)
            await self.write_configuration()

    async def start_gateways(self) -> None:
        """Starts all gateways, and waits until each is ready and has the newest configuration in force."""
        for index in range(self.shape.gateways):
            self.start_gateway(index)
        await self.wait_until(lambda gateway: gateway.client.config_sync.ready and gateway.has(self.version))

    # ---- measurements ----

    async def wait_until(self, condition: Callable[[HollowGateway], bool]) -> None:
        """Waits until a condition holds at every gateway.

        Raises:
            TimeoutError: If that takes longer than TIMEOUT_S of simulated time.
        """
        waiting = list(self.gateways.values())
        async with asyncio.timeout(TIMEOUT_S):
            while waiting := [one for one in waiting if not condition(one)]:  # noqa: ASYNC110 -- gateways signal no changes
                await asyncio.sleep(POLL_S)

    def knows_drain(self, gateway: HollowGateway) -> bool:
        """Returns whether a gateway knows that the first backend is draining."""
        known = gateway.client.instance_directory.instances.get(instance_name(0))
        return known is not None and known.row.phase == Phase.DRAINING

    async def measure_cost(self, work: Callable[[], Awaitable[None]], tail_s: float = 0.0) -> Cost:
        """Measures a piece of work and its consequences.

        Args:
            work: The work to measure; it returns once it is complete at all gateways.
            tail_s: Simulated seconds after the work that count as part of it.
        """
        traffic = self.network.traffic = Traffic()
        cpu_s, started_at = self.loop.cpu_s, self.loop.time()
        cpu_s.clear()
        await work()
        completed_s = self.loop.time() - started_at
        await asyncio.sleep(tail_s)
        gateways = [name for name in cpu_s | traffic.sent if name.startswith("gateway")]
        return Cost(
            seconds=self.loop.time() - started_at,
            completed_s=completed_s,
            gateways_cpu_s=sum(cpu_s[name] for name in gateways),
            busiest_controller_cpu_s=max(cpu_s[name] for name in self.seeds),
            gateways_bytes=sum(traffic.bytes_of(name) for name in gateways),
            busiest_controller_bytes=max(traffic.bytes_of(name) for name in self.seeds),
            gateway_messages=sum(traffic.messages[name] for name in gateways),
            controller_messages=max(traffic.messages[name] for name in self.seeds),
            between_regions_bytes=traffic.between_regions,
        )
