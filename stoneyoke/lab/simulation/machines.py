"""The machines of a scenario. Each runs the real logic of a controller or a gateway while its process runs."""

import asyncio
import random
from pathlib import Path
from typing import Any

from stoneyoke.api.configuration import Configuration, Version
from stoneyoke.controlplane.controller import Controller
from stoneyoke.controlplane.settings import ControllerEnvironment, ControllerSettings
from stoneyoke.gateway.control_client import ControlClient
from stoneyoke.gateway.control_settings import ControlClientSettings, ControlEnvironment
from stoneyoke.gateway.routes import RoutingTable, build_routing_table
from stoneyoke.lab.simulation.bounds import BOUNDS, HEARTBEAT_S
from stoneyoke.lab.simulation.disks import Disk
from stoneyoke.lab.simulation.environment import Environment, simulated_loop
from stoneyoke.lab.simulation.network import in_creation_order

SILENT_S = 2.4 * HEARTBEAT_S + 0.5  # time without a heartbeat after which a backend counts as silent
SWEEP_S = 0.25  # interval between two sweeps of a gateway's instance directory
MAX_CLOCK_OFFSET_S = 500.0  # the monotonic clocks of two machines are unrelated
ZONE, PORT = "east", 1


class ControllerMachine:
    """A machine with a disk, and its controller while a process runs.

    Attributes:
        name: The machine's address.
        disk: The machine's disk, which outlives the processes.
        controller: The running controller; None while no process runs or until it accepts calls.
        incarnations: The number of processes that were started.
        wiped: Whether the disk was emptied since the machine was last a voter.
        removed: Whether the machine was removed permanently.
        started_at: When the last process began to accept calls, in the time of the event loop.
        seeds: The seed addresses in the machine's settings.
    """

    def __init__(self, environment: Environment, name: str) -> None:
        """Creates a machine without a process."""
        self.environment, self.name = environment, name
        self.disk = Disk(str(Path(environment.folder) / name), environment.random_source)
        self.controller: Controller | None = None
        self.incarnations = 0
        self.wiped = self.removed = False
        self.started_at = 0.0
        self.seeds: tuple[str, ...] = ()

    def is_listed(self) -> bool:
        """Returns whether operators and backends know the machine's address."""
        return self.incarnations > 0 and not self.removed

    def is_up(self) -> bool:
        """Returns whether a process runs and accepts calls."""
        return self.controller is not None

    async def start(self, seeds: tuple[str, ...], first_start: bool = False) -> None:
        """Starts a process; returns once it accepts calls or has ended.

        Args:
            seeds: The seed addresses for the machine's settings. Only the machine's first start uses them.
            first_start: Whether the whole system starts for the first time.
        """
        if not self.incarnations:
            self.seeds = seeds
        self.incarnations += 1
        self.removed = False
        await asyncio.wait([self.environment.network.run_on(self.name, self.run(first_start))])

    async def run(self, first_start: bool) -> None:
        """Runs the start of a process; called in the machine's own task."""
        environment, loop = self.environment, asyncio.get_running_loop()
        clock_offset_s = environment.random_source.uniform(-MAX_CLOCK_OFFSET_S, MAX_CLOCK_OFFSET_S)
        controller = Controller(self.settings(first_start), self.controller_environment(clock_offset_s))
        try:
            await controller.start()
        except Exception as error:  # any exception that aborts a start is reported as a violation
            violation = f"START: {self.name}: {type(error).__name__}: {error}"
            environment.checker.check(False, loop.time(), violation)
            return
        self.controller, self.started_at = controller, loop.time()
        environment.network.ports[self.name] = controller.handle_message

    def settings(self, first_start: bool) -> ControllerSettings:
        """Returns the settings of a process."""
        return ControllerSettings(
            name=self.name,
            ip=self.name,
            port=PORT,
            zone=ZONE,
            seeds=self.seeds,
            first_start=first_start,
            silence_timeout_s=SILENT_S,
            bounds=BOUNDS,
            losses=self.environment.plan.losses,
        )

    def controller_environment(self, clock_offset_s: float) -> ControllerEnvironment:
        """Returns the environment of a process: the machine's disk, clock and network, and its own random source."""
        loop, seed = asyncio.get_running_loop(), self.environment.plan.seed
        return ControllerEnvironment(
            store=self.disk.mount(),
            clock=lambda: loop.time() + clock_offset_s,
            dial=self.environment.network.dialler(self.name),
            run_blocking=self.disk.blocking,
            random_source=random.Random(f"{seed} {self.name} {self.incarnations}"),
        )

    def end(self, power: bool) -> None:
        """Ends the process, possibly during a write.

        Args:
            power: Whether the machine loses power, so that writes that are not synced may be lost.
        """
        self.disk.end(power)
        controller, self.controller = self.controller, None
        self.environment.network.end_machine(self.name, power)
        if controller:
            for task in in_creation_order(controller.tasks):
                task.cancel()
        simulated_loop().thaw(self.name)

    def wipe(self) -> None:
        """Empties the disk."""
        self.disk.wipe()
        self.wiped = True


class GatewayMachine:
    """The machine of a gateway, with the gateway's state while a process runs.

    Attributes:
        name: The machine's address.
        client: The gateway's client of the control plane; None while no process runs.
        table: The routing table in force; None until there is one.
        tasks: The tasks of the process.
        incarnations: The number of processes that were started.
        started_at: When the last process started, in the time of the event loop.
        has_been_ready: Whether this process has been ready once.
    """

    def __init__(self, environment: Environment, name: str) -> None:
        """Creates a machine without a process."""
        self.environment, self.name = environment, name
        self.client: ControlClient | None = None
        self.table: RoutingTable | None = None
        self.tasks: list[asyncio.Task[Any]] = []
        self.incarnations = 0
        self.started_at, self.has_been_ready = 0.0, False

    def is_up(self) -> bool:
        """Returns whether a process runs."""
        return self.client is not None

    async def start(self, seeds: tuple[str, ...]) -> None:
        """Starts a process with these controllers as its seed addresses."""
        self.environment.network.context(self.name).run(self.run, seeds)

    def run(self, seeds: tuple[str, ...]) -> None:
        """Runs the start of a process; called in the machine's own context."""
        environment, loop = self.environment, asyncio.get_running_loop()
        self.incarnations += 1
        clock_offset_s = environment.random_source.uniform(-MAX_CLOCK_OFFSET_S, MAX_CLOCK_OFFSET_S)
        self.table, self.started_at, self.has_been_ready = None, loop.time(), False
        settings = ControlClientSettings(name=self.name, ip=self.name, zone=ZONE, port=PORT, seeds=seeds, bounds=BOUNDS)
        control_environment = ControlEnvironment(
            clock=lambda: loop.time() + clock_offset_s,
            dial=environment.network.dialler(self.name),
            random_source=random.Random(f"{environment.plan.seed} {self.name} {self.incarnations}"),
        )
        self.client = ControlClient(settings, self, control_environment)
        self.tasks = self.client.start()
        self.tasks.append(loop.create_task(self.sweep(self.client)))

    async def sweep(self, client: ControlClient) -> None:
        """Sweeps the instance directory until the process ends."""
        while True:
            await asyncio.sleep(SWEEP_S)
            client.instance_directory.sweep(client.clock())

    def apply_configuration(self, configuration: Configuration) -> None:
        """Puts a configuration in force. It must be newer than the previous one, and an operator must have sent it."""
        checker, now = self.environment.checker, self.environment.now()
        checker.record(now, f"{self.name} takes {configuration.version}")
        checker.register.show(now, self.name, configuration)
        is_newer = self.table is None or configuration.version > self.table.version
        checker.check(is_newer, now, f"CONFIG: {self.name} applies an older configuration")
        self.table = build_routing_table(configuration)

    def on_update(self) -> None:
        """Checks, when the gateway becomes ready, that its version is not older than any shown before it started."""
        if self.client is None or self.has_been_ready or not self.client.config_sync.ready:
            return
        self.has_been_ready = True
        checker, now = self.environment.checker, self.environment.now()
        held, required = self.version().number, checker.register.level(self.started_at)
        violation = f"CONFIG: {self.name} becomes ready with r{held}, though r{required} was shown before it started"
        checker.check(held >= required, now, violation)
        checker.record(now, f"{self.name} is ready")

    def version(self) -> Version:
        """Returns the version in force; number 0 if there is none."""
        return self.table.version if self.table else Version()

    def end(self, power: bool) -> None:
        """Ends the process; `power`: whether the machine loses power, so that its peers are not notified."""
        self.environment.network.end_machine(self.name, power)
        client, self.client, self.table = self.client, None, None
        if client:
            client.config_sync.close()
            for task in self.tasks:
                task.cancel()
        simulated_loop().thaw(self.name)
