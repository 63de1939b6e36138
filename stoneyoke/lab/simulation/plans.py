"""Plans of voyages: what sails, what its tenants ask for, what goes wrong and when. A plan is plain data, made from a
seed, written as JSON, and made smaller while it still breaks something."""

import json
import random
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass, field, replace
from typing import Any

Fault = dict[str, Any]
LEAD_S = 3.0  # before the first fault
REST_S = 9.0  # after the last one ended: all has to have come together by then


@dataclass(frozen=True, slots=True)
class Tenant:
    """asks: (from second, times the rate) in order; idle before the first."""

    label: str
    rate: float
    burst: float
    asks: list[tuple[float, float]]


@dataclass(frozen=True, slots=True)
class Plan:
    """cores: machines with a disk at the start, the first three of them the seeds; losses: of them to be borne."""

    seed: int
    cores: int
    spares: int
    pilots: int
    losses: int
    seconds: float  # of faults; then REST_S
    tenants: list[Tenant]
    hulls: int
    puts: list[Fault] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)

    def text(self) -> str:
        return json.dumps(asdict(self), indent=1)


def read_plan(text: str) -> Plan:
    given = json.loads(text)
    given["tenants"] = [
        Tenant(one["label"], one["rate"], one["burst"], [tuple(ask) for ask in one["asks"]]) for one in given["tenants"]
    ]
    return Plan(**given)


def core(at: int) -> str:
    return f"10.0.0.{at + 1}"


def pilot(at: int) -> str:
    return f"10.1.0.{at + 1}"


def make_plan(seed: int) -> Plan:
    chance = random.Random(seed)
    losses = 2 if chance.random() < 0.15 else 1
    cores = 5 if losses == 2 else chance.choice((3, 3, 3, 4, 5))
    long = chance.random() < 0.06  # long enough for a lost voter to be replaced
    spares = chance.choice((1, 2)) if long or chance.random() < 0.15 else 0
    pilots = chance.choice((2, 3, 4, 6, 8, 11))
    seconds = 48.0 if long else chance.choice((8.0, 12.0, 18.0))
    tenants = []
    for at in range(chance.choice((1, 2, 3))):
        rate = chance.choice((3.0, 10.0, 30.0, 60.0))
        asks, when = [], chance.uniform(0, 2)
        while when < LEAD_S + seconds + REST_S:
            asks.append((round(when, 2), chance.choice((0.05, 0.5, 0.5, 0.9, 3.0, 10.0) if rate < 60 else (0.5, 3.0))))
            when += chance.choice((2.0, 5.0, 20.0))
        tenants.append(Tenant(f"t-{at}", rate, chance.choice((1.0, rate, 2 * rate)), asks))
    plan = Plan(seed, cores, spares, pilots, losses, seconds, tenants, chance.choice((0, 2, 5)))
    puts = list(make_puts(chance, seconds))
    faults = sorted(make_faults(chance, plan, long), key=lambda fault: fault["at"])
    return replace(plan, puts=puts, faults=faults)


def make_puts(chance: random.Random, seconds: float) -> Iterator[Fault]:
    number = 1
    for _ in range(chance.choice((1, 3, 6))):
        number += chance.choice((1, 1, 3))
        yield {
            "at": round(LEAD_S + chance.uniform(0, seconds), 2),
            "number": number,
            "race": chance.random() < 0.3,
            "stale": chance.random() < 0.2,
            "bad": chance.random() < 0.1,
        }


def make_faults(chance: random.Random, plan: Plan, long: bool) -> Iterator[Fault]:
    cores, pilots = [core(at) for at in range(plan.cores)], [pilot(at) for at in range(plan.pilots)]
    all_of = cores + pilots
    some = chance.choice((0, 1, 2, 3, 5, 8))
    for _ in range(some):
        at = round(LEAD_S + chance.uniform(0, plan.seconds), 2)
        for_s = round(chance.choice((0.1, 0.5, 1.5, 3.0, 6.0)) * chance.uniform(0.7, 1.3), 2)
        kind = chance.choice(
            (
                "kill",
                "kill",
                "power",
                "wipe",
                "herd",
                "all_cores",
                "cut",
                "cut",
                "core_cut",
                "edge_cut",
                "hold",
                "disk",
                "late",
                "keeper",
                "keeper",
                "shift",
                "shift",
                "after_ack",
                "after_drain",
            )
        )
        fault: Fault = {"at": at, "kind": kind, "for_s": for_s}
        if kind in ("kill", "power"):
            fault["who"] = [chance.choice(all_of)]
        elif kind == "wipe":
            fault["who"] = [chance.choice(cores)]
        elif kind == "herd":
            fault["who"] = chance.sample(pilots, max(1, int(chance.choice((0.3, 0.6, 0.8)) * len(pilots))))
        elif kind == "all_cores":
            fault |= {"who": cores, "power": chance.random() < 0.5, "for_s": min(for_s, 2.0)}
        elif kind in ("cut", "hold"):
            fault |= {"who": [chance.choice(all_of)], "one_way": chance.random() < 0.3}
        elif kind == "core_cut":
            fault |= {"who": chance.sample(cores, max(1, len(cores) // 2)), "one_way": chance.random() < 0.2}
        elif kind == "edge_cut":
            fault["who"] = chance.sample(pilots, max(1, int(chance.choice((0.2, 0.5, 0.8)) * len(pilots))))
        elif kind == "disk":
            fault |= {"who": [chance.choice(cores)], "how": chance.choice(("slow", "hang", "refuse"))}
        elif kind == "late":
            fault |= {"share": chance.choice((0.01, 0.1, 0.3)), "doubled": chance.choice((0.0, 0.05))}
        elif kind in ("after_ack", "after_drain"):  # the core that acknowledges the next one goes within 4 ms
            fault["how"] = chance.choice(("kill", "power", "wipe"))
        elif kind == "shift":
            fault["weights"] = [chance.choice((0.0, 0.2, 1.0, 5.0)) for _ in pilots]
        yield fault
    if plan.spares:
        for at in range(plan.spares):
            yield {
                "at": round(LEAD_S + chance.uniform(0, plan.seconds / 2), 2),
                "kind": "join",
                "for_s": 0.1,
                "who": [core(plan.cores + at)],
            }
    if long and plan.spares:
        yield {
            "at": round(LEAD_S + chance.uniform(2, 6), 2),
            "kind": "remove",
            "for_s": 0.1,
            "who": [chance.choice(cores[:3])],
            "asked": chance.random() < 0.5,
        }
    closing = chance.choice(("", "", "power_all", "wipe_one", "kill_all"))
    if closing:
        yield {
            "at": round(LEAD_S + plan.seconds, 2),
            "kind": closing,
            "for_s": chance.choice((0.2, 1.5)),
            "who": cores + pilots if closing != "wipe_one" else chance.sample(cores, plan.losses),
        }


def reduce(plan: Plan, breaks: Callable[[Plan], bool]) -> Plan:
    """A smaller plan that still breaks something: fewer faults, puts, tenants, machines, a shorter voyage."""
    smaller = True
    while smaller:
        smaller = False
        for other in shrunk(plan):
            if breaks(other):
                plan, smaller = other, True
                break
    return plan


def shrunk(plan: Plan) -> Iterator[Plan]:
    for name in ("faults", "puts", "tenants"):
        rows = getattr(plan, name)
        for at in range(len(rows)):
            yield replace(plan, **{name: rows[:at] + rows[at + 1 :]})
    if plan.hulls:
        yield replace(plan, hulls=0)
    last = max((fault["at"] + fault["for_s"] for fault in plan.faults + plan.puts if "for_s" in fault), default=LEAD_S)
    if last + 0.5 < LEAD_S + plan.seconds:
        yield replace(plan, seconds=round(max(1.0, last + 0.5 - LEAD_S), 2))
    if plan.pilots > 2 and not any(pilot(plan.pilots - 1) in fault.get("who", ()) for fault in plan.faults):
        yield replace(plan, pilots=plan.pilots - 1)
    if plan.spares and not any(fault["kind"] == "join" for fault in plan.faults):
        yield replace(plan, spares=0)
