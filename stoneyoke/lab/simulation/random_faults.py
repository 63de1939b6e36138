"""Random faults: each generator draws the machines and the details of one kind of fault.

The order of the draws determines the plan of a seed: a change of the order changes every plan.
"""

import random
from collections.abc import Callable, Iterator
from functools import partial

from stoneyoke.lab.simulation.plans import LEAD_S, Fault, FaultKind, Plan, controller_address, gateway_address

# Messages between machines at which a fault may be triggered.
TRIGGER_MESSAGES = (
    "PrepareRequest",
    "AcceptRequest",
    "ChosenNotice",
    "QueryRequest",
    "ValueRequest",
    "LeaseRequest",
    "PullRequest",
)
DISK_FAULTS = ("slow", "hang", "refuse")
TRIGGERED_KINDS = (FaultKind.KILL, FaultKind.POWER, FaultKind.WIPE, FaultKind.FREEZE)
MAX_SYSTEM_DOWN_S = 2.0  # maximum time for which all controllers are down at the same time

FaultGenerator = Callable[["RandomFaults", float, float], Fault]


class RandomFaults:
    """Draws faults for the machines of a plan. Each generator takes the time and the duration of a fault in seconds."""

    def __init__(self, random_source: random.Random, plan: Plan) -> None:
        """Draws from a random source."""
        self.random_source, self.plan = random_source, plan
        self.controllers = [controller_address(index) for index in range(plan.controllers)]
        self.gateways = [gateway_address(index) for index in range(plan.gateways)]
        self.machines = self.controllers + self.gateways

    def draw(self) -> Iterator[Fault]:
        """Yields the faults of a plan."""
        random_source = self.random_source
        for _ in range(random_source.choice((0, 1, 2, 3, 5, 8))):
            at = round(LEAD_S + random_source.uniform(0, self.plan.seconds), 2)
            for_s = round(random_source.choice((0.1, 0.5, 1.5, 3.0, 6.0)) * random_source.uniform(0.7, 1.3), 2)
            yield random_source.choice(FAULT_GENERATORS)(self, at, for_s)

    def sample_share(self, names: list[str], shares: tuple[float, ...]) -> tuple[str, ...]:
        """Draws a share of the names, at least one."""
        count = max(1, int(self.random_source.choice(shares) * len(names)))
        return tuple(self.random_source.sample(names, count))

    def one_machine(self, at: float, for_s: float, kind: FaultKind) -> Fault:
        """Disturbs one controller or gateway."""
        return Fault(at, kind, for_s, who=(self.random_source.choice(self.machines),))

    def one_controller(self, at: float, for_s: float, kind: FaultKind) -> Fault:
        """Disturbs one controller."""
        return Fault(at, kind, for_s, who=(self.random_source.choice(self.controllers),))

    def exchange(self, at: float, for_s: float) -> Fault:
        """Replaces one controller by a machine with an empty disk at the same address."""
        who = (self.random_source.choice(self.controllers),)
        return Fault(at, FaultKind.EXCHANGE, for_s, who, asked=self.random_source.random() < 0.5)

    def restart_gateways(self, at: float, for_s: float) -> Fault:
        """Restarts a share of the gateways."""
        return Fault(at, FaultKind.RESTART_GATEWAYS, for_s, self.sample_share(self.gateways, (0.3, 0.6, 0.8)))

    def all_controllers(self, at: float, for_s: float) -> Fault:
        """Restarts all controllers at the same time, with or without a power loss."""
        power = self.random_source.random() < 0.5
        down_s = min(for_s, MAX_SYSTEM_DOWN_S)
        return Fault(at, FaultKind.ALL_CONTROLLERS, down_s, tuple(self.controllers), power=power)

    def partition_or_hold_machine(self, at: float, for_s: float, kind: FaultKind) -> Fault:
        """Partitions one machine or holds its messages, in 30 % of the cases in one direction only."""
        who = (self.random_source.choice(self.machines),)
        return Fault(at, kind, for_s, who, one_way=self.random_source.random() < 0.3)

    def partition_controllers(self, at: float, for_s: float) -> Fault:
        """Partitions half of the controllers from all others."""
        who = tuple(self.random_source.sample(self.controllers, max(1, len(self.controllers) // 2)))
        return Fault(at, FaultKind.CUT, for_s, who, one_way=self.random_source.random() < 0.2)

    def partition_group(self, at: float, for_s: float) -> Fault:
        """Partitions a group of one controller and some gateways from all others."""
        who = (self.random_source.choice(self.controllers), *self.sample_share(self.gateways, (0.3, 0.6)))
        return Fault(at, FaultKind.CUT, for_s, who)

    def cut_gateways(self, at: float, for_s: float) -> Fault:
        """Partitions a share of the gateways from the controllers."""
        return Fault(at, FaultKind.CUT_GATEWAYS, for_s, self.sample_share(self.gateways, (0.2, 0.5, 0.8)))

    def at_message(self, at: float, for_s: float, triggered: FaultKind) -> Fault:
        """Draws a message that triggers a fault of its sender or receiver."""
        return Fault(
            at,
            FaultKind.AT_MESSAGE,
            for_s,
            how=triggered.value,
            message=self.random_source.choice(TRIGGER_MESSAGES),
            sent=self.random_source.random() < 0.5,
            count=self.random_source.choice((1, 1, 2, 3)),
        )

    def disk(self, at: float, for_s: float) -> Fault:
        """Disturbs one controller's disk."""
        who = (self.random_source.choice(self.controllers),)
        return Fault(at, FaultKind.DISK, for_s, who, how=self.random_source.choice(DISK_FAULTS))

    def late(self, at: float, for_s: float) -> Fault:
        """Delays a share of all messages, and delivers a share of them twice."""
        share = self.random_source.choice((0.01, 0.1, 0.3))
        return Fault(at, FaultKind.LATE, for_s, share=share, doubled=self.random_source.choice((0.0, 0.05)))

    def answers_lost(self, at: float, for_s: float) -> Fault:
        """Drops a share of the responses to operators and backends."""
        return Fault(at, FaultKind.ANSWERS_LOST, for_s, share=self.random_source.choice((0.3, 0.7, 1.0)))

    def after_acknowledgement(self, at: float, for_s: float, kind: FaultKind) -> Fault:
        """Draws a fault of a controller that its next acknowledgement triggers."""
        return Fault(at, kind, for_s, how=self.random_source.choice(TRIGGERED_KINDS).value)

    def shift(self, at: float, for_s: float) -> Fault:
        """Draws new weights by which tenants choose among gateways."""
        weights = tuple(self.random_source.choice((0.0, 0.2, 1.0, 5.0)) for _ in self.gateways)
        return Fault(at, FaultKind.SHIFT, for_s, weights=weights)

    def lease_holder(self, at: float, for_s: float) -> Fault:
        """Restarts the controller that allocates the quotas."""
        return Fault(at, FaultKind.LEASE_HOLDER, for_s)


KILL: FaultGenerator = partial(RandomFaults.one_machine, kind=FaultKind.KILL)
FREEZE: FaultGenerator = partial(RandomFaults.one_machine, kind=FaultKind.FREEZE)
CUT: FaultGenerator = partial(RandomFaults.partition_or_hold_machine, kind=FaultKind.CUT)
# One of these is drawn for each fault. Those that are listed twice are drawn twice as often.
FAULT_GENERATORS: tuple[FaultGenerator, ...] = (
    KILL,
    KILL,
    partial(RandomFaults.one_machine, kind=FaultKind.POWER),
    partial(RandomFaults.one_controller, kind=FaultKind.WIPE),
    partial(RandomFaults.one_controller, kind=FaultKind.SIGTERM),
    RandomFaults.restart_gateways,
    RandomFaults.all_controllers,
    CUT,
    CUT,
    RandomFaults.partition_controllers,
    RandomFaults.cut_gateways,
    RandomFaults.partition_group,
    partial(RandomFaults.partition_or_hold_machine, kind=FaultKind.HOLD),
    FREEZE,
    FREEZE,
    partial(RandomFaults.at_message, triggered=FaultKind.FREEZE),
    partial(RandomFaults.at_message, triggered=FaultKind.KILL),
    RandomFaults.disk,
    RandomFaults.late,
    RandomFaults.lease_holder,
    RandomFaults.lease_holder,
    RandomFaults.shift,
    RandomFaults.shift,
    partial(RandomFaults.after_acknowledgement, kind=FaultKind.AFTER_ACK),
    partial(RandomFaults.after_acknowledgement, kind=FaultKind.AFTER_DRAIN),
    RandomFaults.answers_lost,
    RandomFaults.exchange,
)
