"""The machines of a scenario: a controller or a gateway, while one runs, with the real logic inside."""

import asyncio
import random
from pathlib import Path
from typing import TYPE_CHECKING, Any

from stoneyoke.api.configuration import Configuration, Version
from stoneyoke.controlplane.controller import Controller
from stoneyoke.controlplane.settings import ControllerEnvironment, ControllerSettings
from stoneyoke.gateway.control_client import ControlClient
from stoneyoke.gateway.routes import Table, table_of
from stoneyoke.lab.simulation.bounds import BOUNDS, HEARTBEAT_S
from stoneyoke.lab.simulation.clock import SimulatedLoop
from stoneyoke.lab.simulation.disks import Disk
from stoneyoke.lab.simulation.network import in_creation_order

if TYPE_CHECKING:
    from stoneyoke.lab.simulation.scenario import Scenario

SILENT_S = 2.4 * HEARTBEAT_S + 0.5  # of a backend
SWEEP_S = 0.25
CLOCK_OFFSET_S = 500.0  # machines' steady clocks have nothing in common
ZONE, PORT = "east", 1


def simulated_loop() -> SimulatedLoop:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, SimulatedLoop)
    return loop


class ControllerMachine:
    """A machine with a disk, and its controller while one runs.

    lives: processes that were started. wiped: its disk was emptied since it last voted. removed: it was taken away for
    good. leaving: it was told to end. ended_at, started_at: of its last processes."""

    def __init__(self, scenario: "Scenario", name: str) -> None:
        self.scenario, self.name = scenario, name
        self.disk = Disk(str(Path(scenario.folder) / name), scenario.random_source)
        self.controller: Controller | None = None
        self.incarnations = 0
        self.wiped = self.removed = self.leaving = False
        self.started_at = 0.0
        self.seeds: tuple[str, ...] = ()  # as its settings name them

    def listed(self) -> bool:
        """Whether operators and backends know of it."""
        return self.incarnations > 0 and not self.removed

    async def start(self, first: bool) -> None:
        """Returns once it answers, or has ended before."""
        if not self.incarnations:
            self.seeds = self.scenario.first_seeds if first else self.scenario.seeds()
        self.incarnations += 1
        self.leaving = self.removed = False
        await asyncio.wait([self.scenario.network.run_on(self.name, self.run(first))])

    async def run(self, first: bool) -> None:
        scenario, loop = self.scenario, asyncio.get_running_loop()
        offset = scenario.random_source.uniform(-CLOCK_OFFSET_S, CLOCK_OFFSET_S)
        settings = ControllerSettings(
            name=self.name,
            ip=self.name,
            port=PORT,
            zone=ZONE,
            seeds=self.seeds,
            first_start=first,
            silence_timeout_s=SILENT_S,
            bounds=BOUNDS,
            losses=scenario.plan.losses,
        )
        environment = ControllerEnvironment(
            store=self.disk.mount(),
            clock=lambda: loop.time() + offset,
            dial=scenario.network.dialler(self.name),
            run_blocking=self.disk.blocking,
            random_source=random.Random(f"{scenario.plan.seed} {self.name} {self.incarnations}"),
        )
        controller = Controller(settings, environment)
        try:
            await controller.start()
        except Exception as bad:
            return scenario.checker.check(False, loop.time(), f"START: {self.name}: {type(bad).__name__}: {bad}")
        self.controller, self.started_at = controller, loop.time()
        scenario.network.ports[self.name] = controller.handle_message

    def up(self) -> bool:
        return self.controller is not None

    def end(self, power: bool) -> None:
        self.disk.end(power)
        controller, self.controller = self.controller, None
        self.scenario.network.end_machine(self.name, power)
        if controller:
            for task in in_creation_order(controller.tasks):
                task.cancel()
        simulated_loop().thaw(self.name)

    def wipe(self) -> None:
        self.disk.wipe()
        self.wiped = True


class GatewayMachine:
    """A gateway's machine, and what the gateway knows while one runs. readied: whether this life has said so."""

    def __init__(self, scenario: "Scenario", name: str) -> None:
        self.scenario, self.name = scenario, name
        self.client: ControlClient | None = None
        self.table: Table | None = None
        self.tasks: list[asyncio.Task[Any]] = []
        self.incarnations = 0
        self.started_at, self.has_been_ready = 0.0, False

    def up(self) -> bool:
        return self.client is not None

    async def start(self, first: bool = False) -> None:
        self.scenario.network.context(self.name).run(self.run)

    def run(self) -> None:
        scenario, loop = self.scenario, asyncio.get_running_loop()
        self.incarnations += 1
        offset = scenario.random_source.uniform(-CLOCK_OFFSET_S, CLOCK_OFFSET_S)
        self.table, self.started_at, self.has_been_ready = None, loop.time(), False
        self.client = ControlClient(
            self.name,
            self.name,
            ZONE,
            PORT,
            scenario.seeds(),
            BOUNDS,
            clock=lambda: loop.time() + offset,
            take=self.take,
            told=self.told,
            dial=scenario.network.dialler(self.name),
            random_source=random.Random(f"{scenario.plan.seed} {self.name} {self.incarnations}"),
        )
        self.tasks = self.client.start()
        self.tasks.append(loop.create_task(self.sweep(self.client)))

    async def sweep(self, client: ControlClient) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            client.instance_directory.sweep(client.clock())

    def take(self, configuration: Configuration) -> None:
        checker, now = self.scenario.checker, self.scenario.now()
        checker.record(now, f"{self.name} takes {configuration.version}")
        checker.register.show(now, self.name, configuration)
        newer = self.table is None or configuration.version > self.table.version
        checker.check(newer, now, f"CONFIG: {self.name} goes back")
        self.table = table_of(configuration)

    def told(self) -> None:
        """The first moment at which it serves: it has all that was acknowledged before it started."""
        if self.client is None or self.has_been_ready or not self.client.config_sync.ready:
            return
        self.has_been_ready = True
        checker, now = self.scenario.checker, self.scenario.now()
        held, needed = self.table.version.number if self.table else 0, checker.register.level(self.started_at)
        checker.check(
            held >= needed, now, f"CONFIG: {self.name} begins to serve with r{held}, r{needed} was shown before"
        )
        checker.record(now, f"{self.name} is ready")

    def version(self) -> Version:
        return self.table.version if self.table else Version()

    def end(self, power: bool) -> None:
        self.scenario.network.end_machine(self.name, power)
        client, self.client, self.table = self.client, None, None
        if client:
            client.config_sync.close()
            for task in self.tasks:
                task.cancel()
        simulated_loop().thaw(self.name)
