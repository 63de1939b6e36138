"""Plans of scenarios: the machines, the load of tenants, the configuration changes of operators, and the faults.

A plan is plain data. It is stored as JSON, read back, and reduced to a smaller plan that still fails.
"""

import json
from collections.abc import Callable, Iterator
from dataclasses import MISSING, asdict, dataclass, fields, replace
from enum import StrEnum
from typing import Any

LEAD_S = 3.0  # from the start of a scenario to the earliest time of a fault
REST_S = 9.0  # from the end of the last fault to the final check, by which all machines must agree


class FaultKind(StrEnum):
    """What a fault does. Stored plans contain the values."""

    KILL = "kill"  # processes end and start again
    POWER = "power"  # machines lose power: writes that are not synced may be lost
    WIPE = "wipe"  # machines lose their disks
    WIPE_SOME = "wipe_some"  # machines lose their disks, in half of the cases while all other controllers lose power
    RESTART_GATEWAYS = "restart_gateways"
    ALL_CONTROLLERS = "all_controllers"
    KILL_ALL = "kill_all"
    POWER_ALL = "power_all"
    LEASE_HOLDER = "lease_holder"  # the controller that allocates the quotas is restarted
    SIGTERM = "sigterm"  # a controller hands over, ends and is started again
    EXCHANGE = "exchange"  # machines are removed permanently and replaced by machines with empty disks
    REMOVE = "remove"  # machines are removed permanently
    RETURN = "return"  # removed machines start again with their old disks
    JOIN = "join"  # spare machines start
    FREEZE = "freeze"  # processes are suspended at their current step, and resumed
    CUT = "cut"  # a network partition between these machines and all others
    CUT_GATEWAYS = "cut_gateways"  # a network partition between gateways and the controllers
    SPLIT = "split"  # a network partition between controllers; gateways still reach all of them
    HOLD = "hold"  # messages to and from machines wait until the fault ends
    DISK = "disk"  # a disk is slow, stalls or fails its syncs
    LATE = "late"  # messages are late or arrive twice
    ANSWERS_LOST = "answers_lost"  # responses to operators and backends are lost
    AT_MESSAGE = "at_message"  # a message triggers another fault
    AFTER_ACK = "after_ack"  # the acknowledgement of a configuration triggers another fault
    AFTER_DRAIN = "after_drain"  # the acknowledgement of a drain triggers another fault
    SHIFT = "shift"  # tenants choose gateways by new weights


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of a plan. Stored plans contain the names of the fields.

    Attributes:
        at: Seconds from the start of the scenario.
        kind: What the fault does.
        for_s: Duration of the fault in seconds.
        who: Addresses of the affected machines.
        power: Whether machines lose power, not only their processes.
        one_way: Whether a partition blocks only what these machines send.
        how: The fault of a disk, or the kind of the fault that a trigger starts.
        share: Share of messages that are late or lost.
        doubled: Share of messages that arrive twice.
        weights: The weight of each gateway when tenants choose one.
        asked: Whether a machine receives SIGTERM before it is removed permanently.
        successor: The address of the replacement; empty for the address of the removed machine.
        message: The type of the message that triggers a fault.
        sent: Whether the fault strikes the sender of the message, else its receiver.
        count: The number of the matching message that triggers the fault, counted from 1.
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
    """Configuration changes that operators send. Stored plans contain the names of the fields.

    Attributes:
        at: Seconds from the start of the scenario.
        number: The number of the configuration, or of the first one of a series.
        contents: Number of different contents under each number, each sent by its own operator at the same time.
        series: How many consecutive numbers are sent, one after the other.
        again: How often each configuration is sent again after it was acknowledged.
        stale: Whether configuration number 1 is sent as well, which is older.
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
    """A tenant and its load. Stored plans contain the names of the fields.

    Attributes:
        label: The tenant's name.
        rate: The tenant's quota in requests per second.
        burst: The burst size of the quota, in requests.
        asks: Pairs of a time in seconds from the start and the load from then on, as a multiple of the rate. The load
            is zero before the first pair.
    """

    label: str
    rate: float
    burst: float
    asks: tuple[tuple[float, float], ...]


@dataclass(frozen=True, slots=True)
class Plan:
    """The plan of a scenario. Stored plans contain the names of the fields.

    Attributes:
        seed: The seed of the random source.
        controllers: Number of controllers that start first; the first three of them are the seed addresses.
        spares: Number of machines that may join as controllers.
        gateways: Number of gateways.
        losses: Number of controllers that may be lost at the same time.
        seconds: Duration of the phase with faults; REST_S follow.
        tenants: The tenants.
        backends: Number of backend addresses; at each one incarnation follows another.
        instances: Number of additional short-lived instances.
        reads: Whether operators read the configuration back repeatedly.
        orders: The configuration changes of the operators.
        faults: The faults.
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
        """Returns the plan as JSON, without those fields of faults and orders that have their default value."""
        given = asdict(self)
        given["faults"] = [without_defaults(fault) for fault in self.faults]
        given["orders"] = [without_defaults(order) for order in self.orders]
        return json.dumps(given, indent=1)


def without_defaults(record: Fault | Order) -> dict[str, Any]:
    """Returns the fields that differ from their default value."""
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
        fails: Returns whether a plan fails in the same way.

    Returns:
        A plan for which none of the plans of `smaller_plans` fails.
    """
    while True:
        smaller = next((other for other in smaller_plans(plan) if fails(other)), None)
        if smaller is None:
            return plan
        plan = smaller


def smaller_plans(plan: Plan) -> Iterator[Plan]:
    """Yields plans with one fault, order or tenant less, fewer machines or a shorter duration."""
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
