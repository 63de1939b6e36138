"""The faults of a soak and their times. They depend on the seed only: the same seed gives the same schedule."""

import random
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class FaultKind(Enum):
    """The kinds of faults."""

    KILL = "kill"  # SIGKILL to a process, which is restarted afterwards
    TERMINATE = "terminate"  # SIGTERM to a process, which is restarted afterwards
    PAUSE = "pause"  # SIGSTOP to a process, then SIGCONT
    RELOAD = "reload"  # SIGHUP to a process, several times
    CUT = "cut"  # a link forwards nothing in both directions
    CUT_THERE = "cut_there"  # a link forwards nothing from the side that connects
    CUT_BACK = "cut_back"  # a link forwards nothing to the side that connects
    REFUSE = "refuse"  # a link refuses new connections
    DELAY = "delay"  # a link delays what it forwards
    RESET = "reset"  # all open connections over a link are reset, once
    LOSE_ANSWERS = "lose answers"  # a backend closes the connection instead of sending a response
    STALL = "stall"  # a backend sends the beginning of its responses and withholds the rest
    LEAVE = "leave"  # clients abandon most requests before the response


PLANNED_FAULTS = (FaultKind.TERMINATE, FaultKind.RELOAD)  # planned work, which excuses less than a fault
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
# Each entry is drawn about equally often. LEAVE is added to most episodes separately, since the system must withstand
# abandoned requests together with the other faults.
GROUPS = (PROCESS_FAULTS, PROCESS_FAULTS, LINK_FAULTS, LINK_FAULTS, BACKEND_FAULTS)
EPISODE_S, EPISODE_PAUSE_S = 1.6, 1.2  # faults of one episode overlap; the pause lets the system settle
FAULTS_MIN, FAULTS_MAX = 2, 3  # number of faults of an episode, not counting LEAVE
MIN_FAULT_S, MAX_FAULT_S = 0.3, 1.5  # duration of a fault
LEAVE_FAULT_SHARE = 0.8  # share of the episodes with a LEAVE fault
ROLL_GAP_MIN_S, ROLL_GAP_MAX_S = 0.3, 2.0  # between two stops of a series
AT_ONCE_SHARE = 0.3  # share of the stops that come together with the next one
RELOAD_SHARE = 0.2  # share of the stops of a series that are a reload instead
QUIET_S = 1.0  # time without faults at the beginning


class Targets(NamedTuple):
    """The names of the targets from which a schedule draws."""

    controllers: tuple[str, ...]
    gateways: tuple[str, ...]
    links: tuple[str, ...]
    backends: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ScheduledFault:
    """One fault.

    Attributes:
        number: The index of the fault in the schedule.
        kind: What the fault does.
        target: Name of the target; "" for the clients.
        at_s: Start of the fault, in seconds from the start of the traffic.
        for_s: Duration of the fault, or of the downtime of a process, in seconds.
    """

    number: int
    kind: FaultKind
    target: str
    at_s: float
    for_s: float

    def __str__(self) -> str:
        """Returns the fault and its times in one line."""
        return f"{self.at_s:7.3f} s to {self.at_s + self.for_s:7.3f} s  {self.kind.value} {self.target}".rstrip()


def draw_schedule(seed: int, seconds: float, targets: Targets) -> tuple[ScheduledFault, ...]:
    """Draws episodes of faults that overlap in time.

    At most one controller is down or suspended at a time, so that a majority runs; gateways have no such bound.

    Args:
        seed: The seed of all draws.
        seconds: Duration of the traffic; the last episode ends before that.
        targets: The targets that faults may affect.
    """
    draw, faults = random.Random(f"soak {seed}"), list[ScheduledFault]()
    start_s = QUIET_S
    while start_s + EPISODE_S + MAX_FAULT_S <= seconds:
        targeted: set[str] = set()
        for _ in range(draw.randint(FAULTS_MIN, FAULTS_MAX)):
            kind, target = draw_fault(draw, targets, targeted)
            faults.append(make_fault(draw, len(faults), kind, target, start_s))
        if draw.random() < LEAVE_FAULT_SHARE:
            faults.append(make_fault(draw, len(faults), FaultKind.LEAVE, "", start_s))
        start_s += EPISODE_S + MAX_FAULT_S + EPISODE_PAUSE_S
    return tuple(faults)


def draw_rolls(seed: int, seconds: float, gateways: tuple[str, ...]) -> tuple[ScheduledFault, ...]:
    """Draws series of planned restarts: gateways are stopped one after another, at times two at once, and reloaded.

    A series begins before the one before it has ended, and gateways are stopped while others still shut down.

    Args:
        seed: The seed of all draws.
        seconds: Duration of the traffic; no gateway is stopped after that.
        gateways: The names of the gateways.
    """
    draw, faults, at_s = random.Random(f"rolls {seed}"), list[ScheduledFault](), QUIET_S
    while at_s < seconds:
        order = draw.sample(gateways, len(gateways))
        gap_s = draw.uniform(ROLL_GAP_MIN_S, ROLL_GAP_MAX_S)
        for gateway in order:
            kind = FaultKind.RELOAD if draw.random() < RELOAD_SHARE else FaultKind.TERMINATE
            if at_s < seconds:
                for_s = round(draw.uniform(MIN_FAULT_S, MAX_FAULT_S), 3)
                faults.append(
                    ScheduledFault(number=len(faults), kind=kind, target=gateway, at_s=round(at_s, 3), for_s=for_s)
                )
            at_s += 0.0 if draw.random() < AT_ONCE_SHARE else gap_s
        at_s += gap_s
    return tuple(faults)


def draw_fault(draw: random.Random, targets: Targets, targeted: set[str]) -> tuple[FaultKind, str]:
    """Draws a kind and a target without a fault in this episode. A fault of one controller excludes the others."""
    while True:
        kind = draw.choice(draw.choice(GROUPS))
        candidates = [name for name in targets_of(kind, targets) if name not in targeted]
        if candidates:
            break
    target = draw.choice(candidates)
    targeted.update(targets.controllers if target in targets.controllers else [target])
    return kind, target


def targets_of(kind: FaultKind, targets: Targets) -> tuple[str, ...]:
    """Returns the possible targets of a kind of fault."""
    if kind in PROCESS_FAULTS:
        return targets.gateways + targets.controllers
    return targets.links if kind in LINK_FAULTS else targets.backends


def make_fault(draw: random.Random, number: int, kind: FaultKind, target: str, episode_s: float) -> ScheduledFault:
    """Returns a fault at a random time in the first half of an episode, so that the faults of an episode overlap."""
    at_s = round(episode_s + draw.uniform(0.0, EPISODE_S / 2), 3)
    for_s = round(draw.uniform(MIN_FAULT_S, MAX_FAULT_S), 3)
    return ScheduledFault(number=number, kind=kind, target=target, at_s=at_s, for_s=for_s)
