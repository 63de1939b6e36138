"""Scripted scenarios in which machines are partitioned or frozen."""

from stoneyoke.lab.simulation.plans import Fault, FaultKind, Plan
from stoneyoke.lab.simulation.scripted.scripting import (
    BEGIN_S,
    C1,
    C2,
    C3,
    G1,
    G2,
    MESSAGE_TYPES,
    at_message,
    steady_orders,
)


def cut_off_for_20_s() -> Plan:
    """A seed controller and a gateway, which restarts meanwhile, are partitioned from the others.

    Backends, configuration changes and reads continue at every controller.
    """
    faults = (
        Fault(BEGIN_S, FaultKind.CUT, 20.0, (C1, G1)),
        Fault(BEGIN_S + 2, FaultKind.KILL, 0.5, (G1,)),
        Fault(BEGIN_S + 12, FaultKind.KILL, 0.5, (G1,)),
    )
    return Plan(101, gateways=3, seconds=22.0, backends=4, orders=steady_orders(18, again=1), faults=faults)


def two_of_five_cut_off() -> Plan:
    """Two of five controllers and a gateway are partitioned together from the others."""
    faults = (Fault(BEGIN_S, FaultKind.CUT, 20.0, (C1, C2, G1)), Fault(BEGIN_S + 3, FaultKind.KILL, 0.5, (G1,)))
    return Plan(102, 5, gateways=3, losses=2, seconds=22.0, backends=4, orders=steady_orders(18), faults=faults)


def cut_off_and_restarted() -> Plan:
    """A partitioned controller restarts with its disk while the partition lasts."""
    faults = (
        Fault(BEGIN_S, FaultKind.CUT, 20.0, (C1, G1)),
        Fault(BEGIN_S + 4, FaultKind.POWER, 0.5, (C1, G1)),
        Fault(BEGIN_S + 14, FaultKind.KILL, 0.5, (C1, G1)),
    )
    return Plan(103, gateways=3, seconds=22.0, backends=2, orders=steady_orders(18), faults=faults)


def frozen_at_each_message(sent: bool) -> Plan:
    """A controller freezes as it sends, or as it receives, each kind of message of the register and the lease."""
    faults = tuple(
        at_message(BEGIN_S + 3.5 * index, FaultKind.FREEZE, for_s, message, sent=sent, count=1 + index % 2)
        for index, (message, for_s) in enumerate((step, for_s) for step in MESSAGE_TYPES for for_s in (0.6, 2.5))
    )
    orders = steady_orders(40, every_s=0.8, contents=2, again=1)
    return Plan(104 + sent, seconds=42.0, backends=3, orders=orders, faults=faults)


def frozen_for_20_s() -> Plan:
    """The first controller thaws with a stale view at the time at which gateways start."""
    faults = (
        Fault(BEGIN_S, FaultKind.FREEZE, 20.0, (C1,)),
        Fault(BEGIN_S + 19.9, FaultKind.RESTART_GATEWAYS, 0.15, (G1, G2)),
    )
    return Plan(106, gateways=3, seconds=22.0, backends=4, orders=steady_orders(20, every_s=1.0), faults=faults)


def two_frozen_in_turn() -> Plan:
    """Two of three controllers are frozen at a time, so that there is no majority; each thaws in a later term."""
    faults = (
        Fault(BEGIN_S, FaultKind.FREEZE, 6.0, (C1,)),
        Fault(BEGIN_S + 3, FaultKind.FREEZE, 6.0, (C2,)),
        Fault(BEGIN_S + 6.2, FaultKind.FREEZE, 5.0, (C3,)),
        Fault(BEGIN_S + 8.9, FaultKind.RESTART_GATEWAYS, 0.1, (G1, G2)),
    )
    return Plan(107, seconds=16.0, backends=2, orders=steady_orders(14, every_s=0.7, contents=2), faults=faults)
