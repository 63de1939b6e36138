"""One soak: starts the system, sends traffic under the faults of a seed, and checks the observations."""

import asyncio
import contextlib
import random
from dataclasses import dataclass
from pathlib import Path

from stoneyoke.lab.addresses import LinkAddresses
from stoneyoke.lab.cluster.processes import FRONT_PORT, GRACE_S, ClusterProcesses
from stoneyoke.lab.cluster.requests import SERVICES
from stoneyoke.lab.cluster.stand_in_backend import SERVICE_PORT
from stoneyoke.lab.cluster.traffic_ledger import Rule, Violation
from stoneyoke.lab.links import Link
from stoneyoke.lab.soak.backend import SoakBackend
from stoneyoke.lab.soak.client import SoakClient
from stoneyoke.lab.soak.entry import Entry
from stoneyoke.lab.soak.faults import FaultInjector, FaultTargets
from stoneyoke.lab.soak.judge import BACKEND_LINK, CLIENT_LINK, RuleChecker
from stoneyoke.lab.soak.kept_connections import KeptConnections
from stoneyoke.lab.soak.ledger import RunEnd, SoakLedger
from stoneyoke.lab.soak.operator import Operator
from stoneyoke.lab.soak.schedule import ScheduledFault, Targets, draw_rolls, draw_schedule
from stoneyoke.lab.soak.watch import ProcessWatch

BACKENDS = 4
READY_S = 20.0  # time within which all gateways must become ready
IDLE_S = 8.0  # time after the traffic for gateways to become idle: longer than idle client connections stay open
READ_BACK_S = 10.0  # time within which each controller must return the configuration at the end
GRACES_S = (2.0, 3.0, 4.0, 6.0, 9.0)
FAULTS_BESIDE_ROLLS = 3
MIN_SERVED_SHARE = 0.3  # minimum share of served requests; a run with fewer proves nothing


@dataclass(frozen=True, slots=True, kw_only=True)
class SoakSettings:
    """The settings of a soak.

    Attributes:
        seed: Seed of the schedule, of the client and of the operator.
        seconds: Duration of the traffic.
        gateways: Number of gateways.
        rate_per_s: Requests per second.
        address_block: See ClusterProcesses.
        rolls: Whether gateways are restarted in series that overlap, under clients that keep their connections; the
            other faults then come in one seed of FAULTS_BESIDE_ROLLS.
        kept_connections: The number of those clients.
        defect: The defect that is seeded into the gateways; "" for none.
    """

    seed: int
    seconds: float
    gateways: int = 3
    rate_per_s: float = 40.0
    address_block: int = 0
    rolls: bool = False
    kept_connections: int = 12
    defect: str = ""

    @property
    def grace_s(self) -> float:
        """The grace period of all processes, in seconds."""
        return random.Random(f"grace {self.seed}").choice(GRACES_S) if self.rolls else GRACE_S

    @property
    def has_episodes(self) -> bool:
        """Whether faults come in episodes."""
        return not self.rolls or self.seed % FAULTS_BESIDE_ROLLS == 0


@dataclass(frozen=True, slots=True, kw_only=True)
class SoakResult:
    """The result of a soak."""

    schedule: tuple[ScheduledFault, ...]
    ledger: SoakLedger
    violations: list[Violation]
    served: int
    given_up: int
    left: int

    def __str__(self) -> str:
        """Returns a summary in one line."""
        ends = [run.end for run in self.ledger.runs]
        return (
            f"{len(self.schedule)} faults, {len(self.ledger.tries)} tries, {self.left} left, {self.served} served, "
            f"{self.given_up} given up; {len(ends)} runs, {ends.count(RunEnd.CLOSED)} of them cut; "
            f"{len(self.violations)} rules broken"
        )


class Soak:
    """The parts of one soak. All are made anew for each seed."""

    def __init__(self, settings: SoakSettings, folder: Path) -> None:
        """Prepares a soak; nothing runs before `run`. `folder` is for settings, data and log files."""
        self.settings = settings
        self.ledger = SoakLedger()
        self.cluster = ClusterProcesses(folder, settings.gateways, settings.address_block, keeps_logs=True)
        self.cluster.grace_s = settings.grace_s
        if settings.defect:
            self.cluster.gateway_module = "stoneyoke.lab.soak.defects"
            self.cluster.gateway_arguments = (settings.defect,)
        block = settings.address_block
        self.entries = {name: (f"127.{block}.4.{n}", FRONT_PORT) for n, name in enumerate(self.cluster.gateways, 1)}
        self.backends = {backend.instance: backend for backend in map(self.make_backend, range(1, BACKENDS + 1))}
        self.links = {link.addresses.destination: link for link in self.make_links()}
        draw = random.Random(f"clients {settings.seed}")
        self.client = SoakClient(self.cluster, self.ledger, draw, self.entries)
        self.entry = Entry(self.cluster)
        kept_draw = random.Random(f"kept connections {settings.seed}")
        self.kept_connections = KeptConnections(self.cluster, self.ledger, self.entry, kept_draw)
        self.operator = Operator(self.cluster, self.ledger, random.Random(f"operator {settings.seed}"))

    def make_backend(self, number: int) -> SoakBackend:
        """Returns a backend behind a link of its own."""
        entry = (f"127.{self.settings.address_block}.5.{number}", SERVICE_PORT)
        return SoakBackend(SERVICES[number % len(SERVICES)], number, self.ledger, self.cluster, entry)

    def make_links(self) -> list[Link]:
        """Returns the links from the clients to each gateway, and from all gateways to each backend."""
        links = [
            Link(LinkAddresses("clients", CLIENT_LINK.format(name), self.entries[name], (ip, FRONT_PORT)))
            for name, ip in self.cluster.gateways.items()
        ]
        for instance, backend in self.backends.items():
            host, _, port = backend.address.rpartition(":")
            exit_address = (backend.ip, SERVICE_PORT)
            links.append(
                Link(LinkAddresses("gateways", BACKEND_LINK.format(instance), (host, int(port)), exit_address))
            )
        return links

    def schedule(self) -> tuple[ScheduledFault, ...]:
        """Returns the faults of the seed."""
        targets = Targets(
            controllers=tuple(self.cluster.controllers),
            gateways=tuple(self.cluster.gateways),
            links=tuple(self.links),
            backends=tuple(self.backends),
        )
        seed, seconds = self.settings.seed, self.settings.seconds
        episodes = draw_schedule(seed, seconds, targets) if self.settings.has_episodes else ()
        rolls = draw_rolls(seed, seconds, targets.gateways) if self.settings.rolls else ()
        return episodes + rolls

    async def run(self) -> SoakResult:
        """Runs the soak to its end, and ends all its processes."""
        backend_tasks = [asyncio.create_task(backend.run()) for backend in self.backends.values()]
        try:
            await self.start_system()
            for task in backend_tasks:
                if task.done():  # most likely its address is in use
                    await task
            ended_s = await self.soak()
        finally:
            await self.cluster.close()
            for task in backend_tasks:
                task.cancel()
            for link in self.links.values():
                link.close()
                link.reset_connections()
        return self.result(ended_s)

    async def start_system(self) -> None:
        """Starts all processes, sends the first configuration and waits until the gateways are ready."""
        for link in self.links.values():
            link.listen()
        for name in (*self.cluster.controllers, *self.cluster.gateways):
            await self.cluster.start(name)
        await self.cluster.replace_configuration(self.operator.number)
        await self.wait_until_ready()

    async def wait_until_ready(self) -> None:
        """Waits until all gateways are ready; violates a rule if one is not ready within READY_S."""
        try:
            async with asyncio.timeout(READY_S):
                await asyncio.gather(*(self.cluster.wait_until_ready(name) for name in self.cluster.gateways))
        except TimeoutError:
            self.ledger.report(Rule.STAYS_UP, f"a gateway was not ready within {READY_S} s")

    async def soak(self) -> float:
        """Sends traffic under faults, then checks all processes; returns when the gateways were ready after it."""
        settings = self.settings
        targets = FaultTargets(cluster=self.cluster, client=self.client, links=self.links, backends=self.backends)
        injector = FaultInjector(targets, self.ledger)
        watch = ProcessWatch(self.cluster, self.ledger, injector.down)
        watch_task = asyncio.create_task(watch.run())
        entry_task = asyncio.create_task(self.entry.run())
        try:
            async with asyncio.TaskGroup() as work:
                work.create_task(self.client.send_traffic(settings.seconds, settings.rate_per_s))
                work.create_task(self.operator.run(settings.seconds))
                work.create_task(injector.run(self.schedule()))
                if settings.rolls:
                    work.create_task(self.kept_connections.run(settings.seconds, settings.kept_connections))
            await self.wait_until_ready()
            ended_s = asyncio.get_running_loop().time()
            await asyncio.gather(watch.expect_all_idle(IDLE_S), self.operator.read_back(READ_BACK_S))
            await watch.look()
        finally:
            for task in (watch_task, entry_task):
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
        return ended_s

    def result(self, ended_s: float) -> SoakResult:
        """Checks the observations against the rules and returns the result."""
        violations = self.ledger.violations() + RuleChecker(self.ledger, ended_s).violations()
        served = self.client.served + self.kept_connections.served
        given_up = self.client.given_up + self.kept_connections.given_up
        if served < MIN_SERVED_SHARE * max(1, served + given_up):
            violations.append(Violation(Rule.ANSWERED, f"only {served} requests were served, {given_up} failed"))
        return SoakResult(
            schedule=self.schedule(),
            ledger=self.ledger,
            violations=violations,
            served=served,
            given_up=given_up,
            left=self.client.left,
        )
