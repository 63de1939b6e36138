"""Plans of scenarios: the machines, the load of tenants, the orders of operators, and the faults with their times.

A plan is plain data. It is written as JSON, read back, and reduced while it still fails.
"""

import json
from collections.abc import Callable, Iterator
from dataclasses import MISSING, asdict, dataclass, fields, replace
from enum import StrEnum
from typing import Any

LEAD_S = 3.0  # before the first fault
REST_S = 9.0  # after the last one ended: all has to have come together by then


class FaultKind(StrEnum):
    """What a fault does. The values stand in stored plans."""

    KILL = "kill"  # processes end and start again
    POWER = "power"  # machines lose their power: writes that are not synced may be lost
    WIPE = "wipe"  # machines lose their disks
    WIPE_SOME = "wipe_some"  # the same, at times while all other controllers lose power
    RESTART_GATEWAYS = "restart_gateways"
    ALL_CONTROLLERS = "all_controllers"
    KILL_ALL = "kill_all"
    POWER_ALL = "power_all"
    LEASE_HOLDER = "lease_holder"  # the controller that allocates the quotas ends
    SIGTERM = "sigterm"  # a controller hands over, ends and starts again
    EXCHANGE = "exchange"  # machines go for good, and empty ones take their place
    REMOVE = "remove"  # machines go for good
    RETURN = "return"  # machines that went for good start again with their old disks
    JOIN = "join"  # spare machines start
    FREEZE = "freeze"  # processes stop where they are, and continue
    CUT = "cut"  # machines are cut off from all others
    CUT_GATEWAYS = "cut_gateways"  # gateways are cut off from the controllers
    SPLIT = "split"  # controllers are cut off from the other controllers, not from gateways
    HOLD = "hold"  # messages to and from machines wait
    DISK = "disk"  # a disk is slow, stalls or refuses
    LATE = "late"  # messages are late or arrive twice
    ANSWERS_LOST = "answers_lost"  # answers to operators and backends are lost
    AT_MESSAGE = "at_message"  # a message triggers another fault
    AFTER_ACK = "after_ack"  # the acknowledgement of a configuration triggers another fault
    AFTER_DRAIN = "after_drain"  # the acknowledgement of a drain triggers another fault
    SHIFT = "shift"  # tenants choose other gateways


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of a plan. The names of the fields stand in stored plans.

    Attributes:
        at: Seconds from the start.
        kind: What it does.
        for_s: How long it lasts, in seconds.
        who: Addresses of its machines.
        power: Whether machines lose their power, not only their processes.
        one_way: Whether a cut loses only what the machines send.
        how: The state of a disk, or the kind of the fault that a trigger sets off.
        share: Share of messages that are late or lost.
        doubled: Share of messages that arrive twice.
        weights: Of gateways, as tenants choose among them.
        asked: Whether SIGTERM comes before a machine goes for good.
        successor: The address of the machine that takes the place.
        message: The type of the message that triggers a fault.
        sent: Whether the sender fails, else the receiver.
        count: Which such message triggers the fault, counted from 1.
    """

    at: float
    kind: FaultKind
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
    """Operators write configurations. The names of the fields stand in stored plans.

    Attributes:
        at: Seconds from the start.
        number: The configuration's number.
        contents: Different contents under this number, each written by an operator of its own.
        series: How many numbers follow one another.
        again: How often each is sent again after it was acknowledged.
        stale: Whether an older number is sent as well.
        bad: Whether an invalid configuration is sent first.
    """

    at: float
    number: int
    contents: int = 1
    series: int = 1
    again: int = 0
    stale: bool = False
    bad: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its load. The names of the fields stand in stored plans.

    Attributes:
        label: Its name.
        rate: Its quota in requests a second.
        burst: Requests that it may send at once.
        asks: Pairs of a second from the start and the load from then on, as a multiple of the rate; idle before.
    """

    label: str
    rate: float
    burst: float
    asks: tuple[tuple[float, float], ...]


@dataclass(frozen=True, slots=True)
class Plan:
    """The plan of a scenario. The names of the fields stand in stored plans.

    Attributes:
        seed: Of the random source.
        controllers: How many start at first; the first three are the seeds.
        spares: Machines that may join as controllers.
        gateways: How many there are.
        losses: Controllers that may be lost at once.
        seconds: How long faults happen; REST_S follow.
        tenants: The tenants.
        backends: Addresses of backends, with one incarnation after another each.
        instances: Short-lived instances that come and go besides.
        reads: Whether operators read back now and then.
        orders: What operators write.
        faults: What fails.
    """

    seed: int
    controllers: int = 3
    spares: int = 0
    gateways: int = 2
    losses: int = 1
    seconds: float = 8.0
    tenants: tuple[Tenant, ...] = ()
    backends: int = 0
    instances: int = 0
    reads: bool = True
    orders: tuple[Order, ...] = ()
    faults: tuple[Fault, ...] = ()

    def text(self) -> str:
        """Returns the plan as JSON, without fields of faults and orders that have their default."""
        given = asdict(self)
        given["faults"] = [without_defaults(fault) for fault in self.faults]
        given["orders"] = [without_defaults(order) for order in self.orders]
        return json.dumps(given, indent=1)


def without_defaults(record: Fault | Order) -> dict[str, Any]:
    """Returns the fields that differ from their default."""
    given = asdict(record)
    return {
        one.name: given[one.name]
        for one in fields(record)
        if one.default in (MISSING,) or given[one.name] != one.default
    }


def to_tuples(value: Any) -> Any:
    """Returns a JSON value with tuples in place of lists."""
    return tuple(to_tuples(one) for one in value) if isinstance(value, list) else value


def parse_record(record_type: Any, given: dict[str, Any]) -> Any:
    """Returns a tenant, an order or a fault from its JSON object."""
    return record_type(**{name: to_tuples(value) for name, value in given.items()})


def read_plan(text: str) -> Plan:
    """Returns the plan that `Plan.text` wrote."""
    given = json.loads(text)
    given["tenants"] = tuple(parse_record(Tenant, one) for one in given["tenants"])
    given["orders"] = tuple(parse_record(Order, one) for one in given["orders"])
    given["faults"] = tuple(parse_record(Fault, one | {"kind": FaultKind(one["kind"])}) for one in given["faults"])
    return Plan(**given)


def controller_address(index: int) -> str:
    """Returns the address of the controller with this index, from 0."""
    return f"10.0.0.{index + 1}"


def gateway_address(index: int) -> str:
    """Returns the address of the gateway with this index, from 0."""
    return f"10.1.0.{index + 1}"


def reduce(plan: Plan, fails: Callable[[Plan], bool]) -> Plan:
    """Reduces a plan to a smaller one that still fails.

    Args:
        plan: A plan that fails.
        fails: Whether a plan fails in the same way.

    Returns:
        A plan of which no smaller one of `smaller_plans` fails.
    """
    while True:
        smaller = next((other for other in smaller_plans(plan) if fails(other)), None)
        if smaller is None:
            return plan
        plan = smaller


def smaller_plans(plan: Plan) -> Iterator[Plan]:
    """Yields plans with one fault, order or tenant less, fewer machines or a shorter time."""
    for name in ("faults", "orders", "tenants"):
        rows = getattr(plan, name)
        for index in range(len(rows)):
            yield replace(plan, **{name: rows[:index] + rows[index + 1 :]})
    if plan.backends:
        yield replace(plan, backends=0)
    if plan.instances:
        yield replace(plan, instances=0)
    last_s = max([LEAD_S, *(fault.at + fault.for_s for fault in plan.faults), *(order.at for order in plan.orders)])
    if last_s + 0.5 < LEAD_S + plan.seconds:
        yield replace(plan, seconds=round(max(1.0, last_s + 0.5 - LEAD_S), 2))
    if plan.gateways > 2 and not any(gateway_address(plan.gateways - 1) in fault.who for fault in plan.faults):
        yield replace(plan, gateways=plan.gateways - 1)
    if plan.spares and not any(fault.kind in (FaultKind.JOIN, FaultKind.EXCHANGE) for fault in plan.faults):
        yield replace(plan, spares=0)
