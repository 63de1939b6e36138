"""Plans of scenarios: which machines there are, what tenants ask for, what operators order, what goes wrong and when.
A plan is plain data: written as JSON, read back, and made smaller while it still breaks something."""

import json
from collections.abc import Callable, Iterator
from dataclasses import MISSING, asdict, dataclass, fields, replace
from typing import Any

LEAD_S = 3.0  # before the first fault
REST_S = 9.0  # after the last one ended: all has to have come together by then


@dataclass(frozen=True, slots=True)
class Fault:
    """What goes wrong: at (seconds from the start), for_s (how long). kind: one of those in faults.

    who: machines. power: their power goes, not only their processes. one_way: what they send is lost, what they get is
    not. how: of a disk's trouble, or the kind of the fault that a trigger sets off. share, doubled: of messages.
    weights: of gateways, as tenants choose among them. asked: SIGTERM comes first. successor: who takes the place.
    message, sent, count: see network.Trap."""

    at: float
    kind: str
    for_s: float = 0.1
    who: tuple[str, ...] = ()
    power: bool = False
    one_way: bool = False
    how: str = ""
    share: float = 0.0
    doubled: float = 0.0
    weights: tuple[float, ...] = ()
    asked: bool = False
    successor: str = ""
    message: str = ""
    sent: bool = True
    count: int = 1


@dataclass(frozen=True, slots=True)
class Order:
    """An operator puts a configuration. contents: different ones under this number, each by an operator of its own.
    series: so many numbers, one after the other. again: times that it is sent again after it was acknowledged.
    stale: an older number comes with it. bad: something invalid does."""

    at: float
    number: int
    contents: int = 1
    series: int = 1
    again: int = 0
    stale: bool = False
    bad: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    """asks: (from second, times the rate) in order; idle before the first."""

    label: str
    rate: float
    burst: float
    asks: tuple[tuple[float, float], ...]


@dataclass(frozen=True, slots=True)
class Plan:
    """controllers: at the start, the first three of them the seeds. spares: machines that may join. losses: of
    controllers that are to be borne at once. backends: addresses of them, with one life after another. instances: that
    come and go in a row besides. reads: whether operators read back now and then."""

    seed: int
    controllers: int = 3
    spares: int = 0
    gateways: int = 2
    losses: int = 1
    seconds: float = 8.0  # of faults; then REST_S
    tenants: tuple[Tenant, ...] = ()
    backends: int = 0
    instances: int = 0
    reads: bool = True
    orders: tuple[Order, ...] = ()
    faults: tuple[Fault, ...] = ()

    def text(self) -> str:
        given = asdict(self)
        given["faults"] = [without_defaults(fault) for fault in self.faults]
        given["orders"] = [without_defaults(order) for order in self.orders]
        return json.dumps(given, indent=1)


def without_defaults(record: Fault | Order) -> dict[str, Any]:
    """Without what stands at its default."""
    given = asdict(record)
    return {
        one.name: given[one.name]
        for one in fields(record)
        if one.default in (MISSING,) or given[one.name] != one.default
    }


def to_tuples(value: Any) -> Any:
    return tuple(to_tuples(one) for one in value) if isinstance(value, list) else value


def parse_record(kind: Any, given: dict[str, Any]) -> Any:
    return kind(**{name: to_tuples(value) for name, value in given.items()})


def read_plan(text: str) -> Plan:
    given = json.loads(text)
    kinds = {"tenants": Tenant, "orders": Order, "faults": Fault}
    for name, kind in kinds.items():
        given[name] = tuple(parse_record(kind, one) for one in given[name])
    return Plan(**given)


def controller_address(at: int) -> str:
    return f"10.0.0.{at + 1}"


def gateway_address(at: int) -> str:
    return f"10.1.0.{at + 1}"


def reduce(plan: Plan, breaks: Callable[[Plan], bool]) -> Plan:
    """A smaller plan that still breaks something: fewer faults, orders, tenants, machines, a shorter time."""
    smaller = True
    while smaller:
        smaller = False
        for other in smaller_plans(plan):
            if breaks(other):
                plan, smaller = other, True
                break
    return plan


def smaller_plans(plan: Plan) -> Iterator[Plan]:
    for name in ("faults", "orders", "tenants"):
        rows = getattr(plan, name)
        for at in range(len(rows)):
            yield replace(plan, **{name: rows[:at] + rows[at + 1 :]})
    if plan.backends:
        yield replace(plan, backends=0)
    if plan.instances:
        yield replace(plan, instances=0)
    last = max([LEAD_S, *(fault.at + fault.for_s for fault in plan.faults), *(order.at for order in plan.orders)])
    if last + 0.5 < LEAD_S + plan.seconds:
        yield replace(plan, seconds=round(max(1.0, last + 0.5 - LEAD_S), 2))
    if plan.gateways > 2 and not any(gateway_address(plan.gateways - 1) in fault.who for fault in plan.faults):
        yield replace(plan, gateways=plan.gateways - 1)
    if plan.spares and not any(fault.kind in ("join", "exchange") for fault in plan.faults):
        yield replace(plan, spares=0)
