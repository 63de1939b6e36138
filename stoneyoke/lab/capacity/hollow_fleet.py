"""A fleet of hollow instances in one process: real controllers and gateways' control clients, without sockets,
clients or backends' connections, in simulated time.

Simulated time counts the network's way alone: work takes none of it. So beside each time until all have a change
stands the processor time that it cost the busiest controller, which on one core is the least that it takes."""

import asyncio
import random
import shutil
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from loguru import logger

from stoneyoke.api.calls import Acknowledged, ApiResult, Rejected
from stoneyoke.api.configuration import Configuration, Version
from stoneyoke.api.http_mapping import read_call
from stoneyoke.controlplane.controller import Controller
from stoneyoke.controlplane.instance_registry import Phase
from stoneyoke.controlplane.settings import ControllerEnvironment, ControllerSettings
from stoneyoke.gateway.control_client import ControlClient
from stoneyoke.gateway.routes import Table, table_of
from stoneyoke.lab.capacity.figures import Figure
from stoneyoke.lab.capacity.metered_network import MeteredLoop, MeteredNetwork, Traffic
from stoneyoke.lab.capacity.meters import rss_mb
from stoneyoke.lab.capacity.workloads import BOUNDS, configuration, heartbeat, instance_name
from stoneyoke.lab.simulation.disks import Disk

BEAT_S = 1.5
POLL_S = 0.01
TAIL_S = 0.5  # after all have an event's news: what it still sets off is counted to it
SETTLE_S = 3.5  # after the first load; by then rolls, votes and the quotas' duty stand
LARGE = 2000  # gateways; such a fleet is played for two seconds only, without events
SHORT_S = 1.0  # a pull is held for as long: the shortest window that sees each once
NOISE_PART = 0.2  # of the steady load; an event that costs less processor time than that is not told from it
FAR_S = 0.04  # one way between regions; an assumption, the operators name none
PATIENCE_S = 60.0  # simulated; a fleet that is not ready by then has failed
CONTROLLERS = 3


@dataclass(frozen=True, slots=True)
class Shape:
    """What the fleet is made of. window_s: of simulated time, in which the steady load is counted."""

    gateways: int = 10
    controllers: int = CONTROLLERS
    instances: int = 30
    routes: int = 20
    tenants: int = 8
    changes_per_minute: int = 0
    regions: int = 1
    settle_s: float = SETTLE_S
    window_s: float = 4.0
    events: bool = True


@dataclass(frozen=True, slots=True)
class Cost:
    """What a span of simulated time cost: processor time, bytes. had_s: until all had what they waited for."""

    seconds: float
    had_s: float
    of_gateways: float  # processor seconds, all gateways
    of_busiest_controller: float
    to_gateways: int  # bytes in and out of all gateways
    of_controllers: int  # bytes in and out of the busiest controller
    gateway_messages: int
    controller_messages: int
    between_regions: int


class HollowGateway:
    """A gateway's control client and the table it takes; no clients, no backends' connections."""

    def __init__(self, fleet: "HollowFleet", name: str) -> None:
        loop = asyncio.get_running_loop()
        self.table: Table | None = None
        self.client = ControlClient(
            name,
            name,
            "zone",
            1,
            fleet.seeds,
            BOUNDS,
            clock=loop.time,
            take=self.take,
            told=lambda: None,
            dial=fleet.network.dialler(name),
            random_source=random.Random(name),
        )

    def take(self, chart: Configuration) -> None:
        self.table = table_of(chart)

    def has(self, version: int) -> bool:
        return self.table is not None and self.table.version >= Version(version)

    async def run(self) -> None:
        self.client.start()
        while True:
            await asyncio.sleep(0.25)
            self.client.instance_directory.sweep(self.client.clock())


class HollowFleet:
    """Controllers, gateways and backends' calls of one shape."""

    def __init__(self, shape: Shape, loop: MeteredLoop, folder: str) -> None:
        self.shape, self.loop, self.folder = shape, loop, Path(folder)
        self.random_source = random.Random(11)
        self.network = MeteredNetwork(self.random_source, self.region_of, FAR_S)
        self.seeds = tuple(f"10.0.0.{at + 1}" for at in range(shape.controllers))
        self.controllers: dict[str, Controller] = {}
        self.gateways: dict[str, HollowGateway] = {}
        self.version = 0
        self.call_seq = 0

    def region_of(self, name: str) -> int:
        """Machines are spread evenly over regions by their number."""
        return int(name.rpartition(".")[2].rpartition("-")[2]) % self.shape.regions

    # ---- parts ----

    async def start_controllers(self) -> None:
        for name in self.seeds:
            await self.network.run_on(name, self.start_controller(name))

    async def start_controller(self, name: str) -> None:
        disk = Disk(str(self.folder / name), self.random_source)
        settings = ControllerSettings(
            name=name,
            ip=name,
            port=1,
            zone="zone",
            seeds=self.seeds,
            first_start=True,
            silence_timeout_s=2.4 * BEAT_S + 0.5,
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

    def start_gateway(self, at: int) -> None:
        name = f"gateway-{at:04d}"
        gateway = self.gateways[name] = HollowGateway(self, name)
        self.network.run_on(name, gateway.run())

    async def call(self, name: str, method: str, target: str, body: bytes) -> bool:
        """As a backend or the operator, at one controller; charged to that."""

        async def meet() -> ApiResult:
            asked = read_call(method, target, body)
            return asked if isinstance(asked, Rejected) else await self.controllers[name].handle_call(asked)

        said: ApiResult = await self.network.run_on(name, meet())
        return said == Acknowledged()

    async def put(self) -> float:
        """One change of configuration; how long until it was acknowledged."""
        self.version += 1
        body, begun = configuration(self.shape.routes, self.shape.tenants, self.version), self.loop.time()
        async with asyncio.timeout(PATIENCE_S):
            while not await self.call(self.seeds[0], "POST", "/config/replace", body):  # noqa: ASYNC110 -- as an operator
                await asyncio.sleep(0.1)
        return self.loop.time() - begun

    async def beat(self, at: int, phase: str = "ready") -> None:
        self.call_seq += 1
        name = self.seeds[at % len(self.seeds)]
        target = f"/instances/{instance_name(at)}/heartbeat"
        await self.call(name, "POST", target, heartbeat(at, self.call_seq, phase))

    async def beat_often(self) -> None:
        """Every backend, evenly over beat_s."""
        step = BEAT_S / max(1, self.shape.instances)
        while True:
            begun = self.loop.time()
            for at in range(self.shape.instances):
                wait = begun + at * step - self.loop.time()
                if wait > POLL_S:
                    await asyncio.sleep(wait)
                if at:  # the first one is kept for the drain
                    await self.beat(at)
            await asyncio.sleep(max(0.01, begun + BEAT_S - self.loop.time()))

    async def change_often(self) -> None:
        while self.shape.changes_per_minute:
            await asyncio.sleep(60 / self.shape.changes_per_minute)
            await self.put()

    # ---- what is waited for ----

    async def until(self, holds: Callable[[HollowGateway], bool]) -> None:
        waiting = list(self.gateways.values())
        async with asyncio.timeout(PATIENCE_S):
            while waiting := [one for one in waiting if not holds(one)]:  # noqa: ASYNC110 -- nothing tells of it
                await asyncio.sleep(POLL_S)

    def knows_drain(self, gateway: HollowGateway) -> bool:
        known = gateway.client.instance_directory.known.get(instance_name(0))
        return known is not None and known.row.phase == Phase.DRAINING

    # ---- what is counted ----

    async def cost(self, work: Callable[[], Any], tail_s: float = 0.0) -> Cost:
        """Of this work and of what it sets off within tail_s."""
        traffic = self.network.traffic = Traffic()
        spent, begun = self.loop.spent, self.loop.time()
        spent.clear()
        await work()
        had_s = self.loop.time() - begun
        await asyncio.sleep(tail_s)
        gateways = [name for name in spent | traffic.sent if name.startswith("gateway")]
        return Cost(
            self.loop.time() - begun,
            had_s,
            sum(spent[name] for name in gateways),
            max(spent[name] for name in self.seeds),
            sum(traffic.sent[name] + traffic.received[name] for name in gateways),
            max(traffic.sent[name] + traffic.received[name] for name in self.seeds),
            sum(traffic.messages[name] for name in gateways),
            max(traffic.messages[name] for name in self.seeds),
            traffic.between_regions,
        )

    async def play(self) -> list[Figure]:
        """First load, a steady window, a change of everything, a drain, one more gateway."""
        shape, before = self.shape, rss_mb()
        await self.start_controllers()
        await asyncio.sleep(0.5)
        await self.put()
        self.network.run_on("", self.beat_often())
        await asyncio.sleep(BEAT_S)
        await self.beat(0)
        first = await self.cost(self.first_load, shape.settle_s)
        self.network.run_on("", self.change_often())
        steady = await self.cost(lambda: asyncio.sleep(shape.window_s))
        figures = [*self.event_figures("all gateways start", first, None), *self.steady_figures(steady)]
        figures.append(Figure("all in one process: memory", "MB", rss_mb() - before))
        if not shape.events:
            return figures
        acknowledged_s = 0.0

        async def change() -> None:
            nonlocal acknowledged_s
            acknowledged_s = await self.put()
            await self.until(lambda one: one.has(self.version))

        async def drain() -> None:
            await self.beat(0, "draining")
            await self.until(self.knows_drain)

        async def join() -> None:
            self.start_gateway(shape.gateways)
            await self.until(lambda one: one.client.config_sync.ready)

        figures += self.event_figures("a change", await self.cost(change, TAIL_S), steady)
        figures.append(Figure("a change: until acknowledged", "s", acknowledged_s))
        figures += self.event_figures("a drain", await self.cost(drain, TAIL_S), steady)
        return figures + self.event_figures("one gateway joins", await self.cost(join, 2 * TAIL_S), steady)

    async def first_load(self) -> None:
        for at in range(self.shape.gateways):
            self.start_gateway(at)
        await self.until(lambda one: one.client.config_sync.ready and one.has(self.version))

    def steady_figures(self, cost: Cost) -> list[Figure]:
        gateways, seconds = self.shape.gateways, cost.seconds
        return [
            Figure("steady: a gateway's wire", "B/s", cost.to_gateways / gateways / seconds),
            Figure("steady: a gateway's messages", "1/s", cost.gateway_messages / gateways / seconds),
            Figure("steady: a gateway's processor", "s/s", cost.of_gateways / gateways / seconds),
            Figure("steady: busiest controller's wire", "B/s", cost.of_controllers / seconds),
            Figure("steady: busiest controller's messages", "1/s", cost.controller_messages / seconds),
            Figure("steady: busiest controller's processor", "s/s", cost.of_busiest_controller / seconds),
            Figure("steady: between regions", "B/s", cost.between_regions / seconds),
        ]

    def event_figures(self, what: str, cost: Cost, steady: Cost | None) -> list[Figure]:
        """What an event cost beyond the steady load, which is not known before the first load."""
        gateways, same = len(self.gateways), cost.seconds / steady.seconds if steady else 0.0
        usual = steady or cost
        figures = [
            Figure(f"{what}: until all have it", "s", cost.had_s),
            Figure(f"{what}: a gateway's wire", "B", max(0.0, cost.to_gateways - same * usual.to_gateways) / gateways),
            Figure(
                f"{what}: busiest controller's wire", "B", max(0.0, cost.of_controllers - same * usual.of_controllers)
            ),
        ]
        of_gateways = cost.of_gateways - same * usual.of_gateways
        if of_gateways > NOISE_PART * same * usual.of_gateways:
            figures.append(Figure(f"{what}: a gateway's processor", "s", of_gateways / gateways))
        of_controller = cost.of_busiest_controller - same * usual.of_busiest_controller
        if of_controller > NOISE_PART * same * usual.of_busiest_controller:
            figures.append(Figure(f"{what}: busiest controller's processor", "s", of_controller))
        return figures


def fleet_figures(shape: Shape) -> list[Figure]:
    """Plays one fleet from its start to its end."""
    folder, loop = tempfile.mkdtemp(prefix="capacity-"), MeteredLoop()
    logger.disable("stoneyoke")

    async def whole() -> list[Figure]:
        try:
            return await HollowFleet(shape, loop, folder).play()
        finally:
            for one in asyncio.all_tasks() - {asyncio.current_task()}:
                one.cancel()
            await asyncio.sleep(0)

    try:
        return loop.run_until_complete(whole())
    finally:
        loop.close()
        logger.enable("stoneyoke")
        shutil.rmtree(folder, ignore_errors=True)


def by_gateways(size: int) -> list[Figure]:
    if size >= LARGE:
        return fleet_figures(Shape(gateways=size, settle_s=SHORT_S, window_s=SHORT_S, events=False))
    return fleet_figures(Shape(gateways=size, window_s=2.0))


def by_instances(size: int) -> list[Figure]:
    return fleet_figures(Shape(instances=size))


def by_routes(size: int) -> list[Figure]:
    return fleet_figures(Shape(routes=size))


def by_changes(size: int) -> list[Figure]:
    return fleet_figures(Shape(gateways=30, routes=300, changes_per_minute=size, window_s=30.0, events=False))


def by_regions(size: int) -> list[Figure]:
    return fleet_figures(Shape(gateways=40, controllers=5, regions=size))


FLEETS: dict[str, Callable[[int], list[Figure]]] = {
    "fleet by gateways": by_gateways,
    "fleet by instances": by_instances,
    "fleet by routes": by_routes,
    "fleet by changes": by_changes,
    "fleet by regions": by_regions,
}
