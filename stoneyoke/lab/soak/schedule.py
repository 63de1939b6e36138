"""What goes wrong during a soak, and when. Drawn from the seed alone: the same seed gives the same schedule."""

import random
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class FaultKind(Enum):
    """What is done to a target."""

    KILL = "kill"  # SIGKILL to a process, which starts again afterwards
    TERMINATE = "terminate"  # SIGTERM, likewise
    PAUSE = "pause"  # SIGSTOP, then SIGCONT
    CUT = "cut"  # a link is silent in both directions
    CUT_THERE = "cut_there"  # a link carries nothing away from where it is entered
    CUT_BACK = "cut_back"  # a link carries nothing back
    REFUSE = "refuse"  # a link refuses new connections
    DELAY = "delay"  # a link holds up what it carries
    RESET = "reset"  # all open connections over a link are reset, once
    LOSE_ANSWERS = "lose answers"  # a backend closes in place of an answer to what it ran
    STALL = "stall"  # a backend begins its answers and holds the rest back
    LEAVE = "leave"  # most clients leave before they have an answer


PROCESS_FAULTS = (FaultKind.KILL, FaultKind.TERMINATE, FaultKind.PAUSE)
LINK_FAULTS = (
    FaultKind.CUT,
    FaultKind.CUT_THERE,
    FaultKind.CUT_BACK,
    FaultKind.REFUSE,
    FaultKind.DELAY,
    FaultKind.RESET,
)
BACKEND_FAULTS = (FaultKind.LOSE_ANSWERS, FaultKind.STALL)
# A drawn fault is of each group about as often; clients leave in most episodes, since that is what the rest must bear.
GROUPS = (PROCESS_FAULTS, PROCESS_FAULTS, LINK_FAULTS, LINK_FAULTS, BACKEND_FAULTS)
EPISODE_S, EPISODE_PAUSE_S = 1.6, 1.2  # faults of one episode overlap; the pause lets the system settle
FAULTS_MIN, FAULTS_MAX = 2, 3  # of an episode, beside clients that leave
SHORTEST_S, LONGEST_S = 0.3, 1.5
LEAVE_SHARE = 0.8  # of the episodes
QUIET_S = 1.0  # at the beginning


class Targets(NamedTuple):
    """The names that a schedule draws from."""

    controllers: tuple[str, ...]
    gateways: tuple[str, ...]
    links: tuple[str, ...]
    backends: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ScheduledFault:
    """One fault.

    Attributes:
        number: Its place in the schedule.
        kind: What is done.
        target: To whom, by name; "" for the clients.
        at_s: From the start of the traffic.
        for_s: How long it lasts, or how long a process is down.
    """

    number: int
    kind: FaultKind
    target: str
    at_s: float
    for_s: float

    def __str__(self) -> str:
        """One line for people."""
        return f"{self.at_s:7.3f} s to {self.at_s + self.for_s:7.3f} s  {self.kind.value} {self.target}".rstrip()


def draw_schedule(seed: int, seconds: float, targets: Targets) -> tuple[ScheduledFault, ...]:
    """Draws episodes of faults that overlap in time.

    Of the controllers at most one is down or stopped at a time, so that a majority runs; gateways have no such bound.

    Args:
        seed: Of all draws.
        seconds: How long the traffic lasts; the last episode ends before that.
        targets: Whom faults may strike.
    """
    draw, faults = random.Random(f"soak {seed}"), list[ScheduledFault]()
    start_s = QUIET_S
    while start_s + EPISODE_S + LONGEST_S <= seconds:
        struck: set[str] = set()
        for _ in range(draw.randint(FAULTS_MIN, FAULTS_MAX)):
            kind, target = draw_fault(draw, targets, struck)
            faults.append(placed(draw, len(faults), kind, target, start_s))
        if draw.random() < LEAVE_SHARE:
            faults.append(placed(draw, len(faults), FaultKind.LEAVE, "", start_s))
        start_s += EPISODE_S + LONGEST_S + EPISODE_PAUSE_S
    return tuple(faults)


def draw_fault(draw: random.Random, targets: Targets, struck: set[str]) -> tuple[FaultKind, str]:
    """A kind and a target that the episode has not struck yet; one controller strikes all of them."""
    while True:
        kind = draw.choice(draw.choice(GROUPS))
        candidates = [name for name in fitting(kind, targets) if name not in struck]
        if candidates:
            break
    target = draw.choice(candidates)
    struck.update(targets.controllers if target in targets.controllers else [target])
    return kind, target


def fitting(kind: FaultKind, targets: Targets) -> tuple[str, ...]:
    """The targets of a kind of fault."""
    if kind in PROCESS_FAULTS:
        return targets.gateways + targets.controllers
    return targets.links if kind in LINK_FAULTS else targets.backends


def placed(draw: random.Random, number: int, kind: FaultKind, target: str, episode_s: float) -> ScheduledFault:
    """A fault at a drawn time of an episode. Each begins in its first half, so that they overlap."""
    at_s = round(episode_s + draw.uniform(0.0, EPISODE_S / 2), 3)
    for_s = round(draw.uniform(SHORTEST_S, LONGEST_S), 3)
    return ScheduledFault(number=number, kind=kind, target=target, at_s=at_s, for_s=for_s)
