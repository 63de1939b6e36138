"""Fleet agents of many gateways on a simulated clock and a simulated network with faults, both seeded."""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from stoneyoke.control.events import KnownBackend
from stoneyoke.fleet.agent import TICK_INTERVAL_US, FleetAgent, FleetSettings
from stoneyoke.fleet.messages import Address, BackendReport, Member, MemberState

SECOND_US = 1_000_000
START_US = 1_700_000_000 * SECOND_US
KEY = b"a key of the tests"
OVERDUE_AFTER_US = 600_000
RESPONSE_US = 50_000
OBSERVE_INTERVAL_US = 100_000
ZONES = "abc"
PORT = 7000

Reports = list[BackendReport]


def address_of(number: int) -> Address:
    """The address of the gateway with this number."""
    return f"10.0.{number // 250}.{number % 250 + 1}", PORT


class SimulatedGateway:
    """One process of a gateway: its agent, its clock, and the figures that tests check."""

    def __init__(self, cluster: "SimulatedCluster", number: int, name: str, started_at_ms: int) -> None:
        """Starts the agent, with a seed from the cluster's random source."""
        self.cluster = cluster
        self.number = number
        self.name = name
        self.address = address_of(number)
        self.clock_offset_us = 0
        self.running = True
        self.frozen = False
        self.unread: list[bytes] = []  # datagrams that arrived while it was frozen
        self.sent_bytes = self.sent_datagrams = 0
        self.false_reports: Callable[[SimulatedGateway, int], Reports] | None = (
            None  # sent in place of its own observations
        )
        self.counts: dict[str, int] = {}
        self.changes: list[tuple[int, Member]] = []  # changed member records, each with its time
        settings = FleetSettings(
            own=Member(name, *self.address, ZONES[number % len(ZONES)], started_at_ms),
            seeds=cluster.seeds,
            keys=cluster.keys,
            overdue_after_us=OVERDUE_AFTER_US,
            seed=cluster.random_source.getrandbits(60),
        )
        self.agent = FleetAgent(settings, self.now_us(), self.count)
        self.agent.set_backends(cluster.backends)
        self.rpcs = itertools.count(1)
        self.attempts: list[tuple[int, int]] = []  # time and backend

    def count(self, name: str) -> None:
        """Increments a counter."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def now_us(self) -> int:
        """The time by this gateway's clock."""
        return self.cluster.now_us + self.clock_offset_us

    @property
    def responsive(self) -> bool:
        """Whether it runs and is not frozen."""
        return self.running and not self.frozen

    def present(self) -> set[str]:
        """Names of the other gateways that are present in its member table."""
        return {member.name for member in self.agent.membership.table.present()}

    def alive(self) -> set[str]:
        """Names of the other gateways that are alive in its member table."""
        return {member.name for member in self.agent.membership.table.alive()}

    def ejects(self, backend: int) -> bool:
        """Whether it ejects a backend, or only probes it."""
        return backend in self.agent.advice.ejected_backends | self.agent.advice.probed

    def install_false_reports(self) -> None:
        """Makes the agent send the false reports, if there are any."""
        false_reports = self.false_reports
        if false_reports:
            self.agent.evidence.reports = lambda now_us, requested=(): false_reports(self, now_us)  # type: ignore[method-assign]


def always_succeeds(_gateway: SimulatedGateway, _backend: int, _now_us: int) -> bool | None:
    """Every attempt succeeds."""
    return True


def no_partition(_sender: SimulatedGateway, _receiver: SimulatedGateway) -> bool:
    """All gateways reach one another."""
    return False


class SimulatedCluster:
    """Gateways, the network between them, and their attempts at backends, all run from one event queue."""

    def __init__(  # noqa: PLR0913 -- the parameters of a test's network, by keyword, each with a default
        self,
        count: int,
        *,
        seed: int = 1,
        seeds: int = 2,
        backends: int = 0,
        loss: float = 0.0,
        attempts_per_s: float = 0.0,
        delay_us: tuple[int, int] = (1_000, 5_000),
    ) -> None:
        """Starts `count` gateways.

        Args:
            count: Gateways at the start.
            seed: Of all random choices.
            seeds: Gateways that the others join through.
            backends: Backends that all gateways know.
            loss: Share of datagrams that are lost.
            attempts_per_s: Rate of each gateway's attempts.
            delay_us: Minimum and maximum delay of a datagram.
        """
        self.random_source = random.Random(seed)
        self.now_us = START_US
        self.events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.event_numbers = itertools.count()
        self.loss = loss
        self.duplicated = 0.0  # share of datagrams that arrive twice
        self.delay_us = delay_us
        self.attempts_per_s = attempts_per_s
        self.keys = [KEY]
        self.is_partitioned: Callable[[SimulatedGateway, SimulatedGateway], bool] = no_partition
        # The outcome of a gateway's attempt at a backend: whether it succeeds, or None for no response.
        self.backend_outcome: Callable[[SimulatedGateway, int, int], bool | None] = always_succeeds
        self.backends = [KnownBackend(index, f"b{index}", ZONES[index % len(ZONES)], 1) for index in range(backends)]
        self.gateways: list[SimulatedGateway] = []
        self.seeds = [address_of(number) for number in range(seeds)]
        self.by_address: dict[Address, SimulatedGateway] = {}
        for number in range(count):
            self.start(number)

    # ---- processes ----

    def start(self, number: int, name: str = "", started_at_ms: int = 0) -> SimulatedGateway:
        """Starts or restarts a gateway. The time of its first tick is random."""
        gateway = SimulatedGateway(self, number, name or f"g{number}", started_at_ms or self.now_us // 1000)
        self.gateways.append(gateway)
        self.by_address[gateway.address] = gateway
        self.schedule(self.random_source.randrange(TICK_INTERVAL_US), self.tick, gateway)
        if self.attempts_per_s:
            self.schedule(self.next_attempt_delay_us(), self.start_attempt, gateway)
        return gateway

    def kill(self, gateway: SimulatedGateway) -> None:
        """Kills a gateway's process: it notifies no member."""
        gateway.running = False

    def freeze(self, gateway: SimulatedGateway) -> None:
        """Suspends a gateway's process."""
        gateway.frozen = True

    def resume(self, gateway: SimulatedGateway) -> None:
        """Resumes a suspended process, which then receives the datagrams that arrived in the meantime."""
        gateway.frozen = False
        for data in gateway.unread:
            self.deliver(gateway, data)
        gateway.unread = []

    # ---- time ----

    def schedule(self, delay_us: int, work: Callable[..., None], *args: Any) -> None:
        """Calls `work` after a delay."""
        heapq.heappush(self.events, (self.now_us + delay_us, next(self.event_numbers), work, args))

    def run(self, seconds: float, observe: Callable[[], object] | None = None) -> None:
        """Runs the simulation for some time.

        Args:
            seconds: Simulated time to run.
            observe: Called every tenth of a second. A true result ends the run.
        """
        end_us = self.now_us + int(seconds * SECOND_US)
        next_observation_us = self.now_us
        while self.events and self.events[0][0] <= end_us:
            self.now_us, _, work, args = heapq.heappop(self.events)
            work(*args)
            if observe and self.now_us >= next_observation_us:
                next_observation_us = self.now_us + OBSERVE_INTERVAL_US
                if observe():
                    return
        self.now_us = end_us

    def assert_within(self, seconds: float, holds: Callable[[], bool]) -> float:
        """Runs until a condition holds, and fails if it does not hold within this time.

        Returns:
            The simulated time until the condition held, in seconds.
        """
        started_at_us = self.now_us
        fulfilled_at_us: list[int] = []

        def observe() -> bool:
            if holds():
                fulfilled_at_us.append(self.now_us)
            return bool(fulfilled_at_us)

        self.run(seconds, observe)
        assert fulfilled_at_us, f"not within {seconds} s"
        return (fulfilled_at_us[0] - started_at_us) / SECOND_US

    def tick(self, gateway: SimulatedGateway) -> None:
        """Ticks a gateway's agent periodically until the gateway is killed."""
        if not gateway.running:
            return
        if not gateway.frozen:
            self.send(gateway, gateway.agent.tick(gateway.now_us()))
            gateway.changes += [(self.now_us, member) for member in gateway.agent.take_changes()]
            gateway.install_false_reports()
        self.schedule(TICK_INTERVAL_US, self.tick, gateway)

    # ---- the network ----

    def send(self, sender: SimulatedGateway, datagrams: list[tuple[Address, bytes]]) -> None:
        """Sends datagrams, of which some are lost or arrive twice."""
        for address, data in datagrams:
            sender.sent_bytes += len(data)
            sender.sent_datagrams += 1
            receiver = self.by_address.get(address)
            if receiver is None or self.random_source.random() < self.loss or self.is_partitioned(sender, receiver):
                continue
            for _ in range(2 if self.random_source.random() < self.duplicated else 1):
                self.schedule(self.random_source.randrange(*self.delay_us), self.deliver, receiver, data)

    def deliver(self, gateway: SimulatedGateway, data: bytes) -> None:
        """Delivers a datagram. A frozen gateway receives it when it resumes, a killed one never."""
        if gateway.frozen and gateway.running:
            gateway.unread.append(data)
        elif gateway.running:
            self.send(gateway, gateway.agent.receive(data, gateway.now_us()))

    # ---- attempts at backends ----

    def next_attempt_delay_us(self) -> int:
        """Draws the time until a gateway's next attempt."""
        return int(self.random_source.expovariate(self.attempts_per_s) * SECOND_US) + 1

    def start_attempt(self, gateway: SimulatedGateway) -> None:
        """Sends an attempt to a backend that is to be probed, or else to a random one that is not ejected."""
        if not gateway.running:
            return
        self.schedule(self.next_attempt_delay_us(), self.start_attempt, gateway)
        if gateway.frozen:
            return
        advice = gateway.agent.advice
        usable = [backend.index for backend in self.backends if backend.index not in advice.ejected_backends]
        backend = min(advice.probed) if advice.probed else self.random_source.choice(usable)
        rpc = next(gateway.rpcs)
        gateway.attempts.append((self.now_us, backend))
        gateway.agent.evidence.attempt_started(rpc, backend, gateway.now_us())
        succeeded = self.backend_outcome(gateway, backend, self.now_us)
        self.schedule(
            RESPONSE_US if succeeded is not None else 2 * OVERDUE_AFTER_US, self.end_attempt, gateway, rpc, succeeded
        )

    def end_attempt(self, gateway: SimulatedGateway, rpc: int, succeeded: bool | None) -> None:
        """Ends an attempt. One without a response is cancelled, which counts as a failure."""
        if gateway.responsive:
            gateway.agent.evidence.attempt_ended(rpc, bool(succeeded), gateway.now_us())

    # ---- observations ----

    def responsive(self) -> list[SimulatedGateway]:
        """The gateways that run and are not frozen."""
        return [gateway for gateway in self.gateways if gateway.responsive]

    def converged(self) -> bool:
        """Whether each responsive gateway has exactly the other responsive ones as alive members."""
        names = {gateway.name for gateway in self.responsive()}
        return all(gateway.alive() == gateway.present() == names - {gateway.name} for gateway in self.responsive())

    def ejecting_share(self, backend: int) -> float:
        """The share of the responsive gateways that eject a backend, or only probe it."""
        gateways = self.responsive()
        return sum(gateway.ejects(backend) for gateway in gateways) / len(gateways)


def member_record(
    name: str = "x",
    state: MemberState = MemberState.ALIVE,
    started_at_ms: int = 5,
    incarnation: int = 0,
    suspected_by: str = "",
) -> Member:
    """A member's record at an address that no simulated gateway has."""
    return Member(name, "10.9.9.9", PORT, "a", started_at_ms, incarnation, state, suspected_by)
