"""Scripted scenarios with several contents under one number, and with configurations that are sent again."""

from stoneyoke.lab.simulation.plans import Fault, FaultKind, Order, Plan
from stoneyoke.lab.simulation.scripted.scripting import BEGIN_S, at_message, steady_orders


def two_contents_answers_lost() -> Plan:
    """Two contents compete for each number while most responses are lost."""
    faults = tuple(Fault(BEGIN_S + 5 * index, FaultKind.ANSWERS_LOST, 3.0, share=0.8) for index in range(3))
    return Plan(201, seconds=18.0, orders=steady_orders(16, every_s=1.0, contents=2, again=3), faults=faults)


def eight_orders_at_once() -> Plan:
    """Eight numbers are sent at the same time, three times."""
    orders = tuple(Order(BEGIN_S + 4 * index, 2 + 10 * index + one, again=2) for index in range(3) for one in range(8))
    return Plan(202, seconds=14.0, orders=orders)


def eight_contents_at_once() -> Plan:
    """Eight contents compete for each number."""
    orders = tuple(Order(BEGIN_S + 2 * index, 2 + index, contents=8, again=1) for index in range(6))
    return Plan(203, seconds=14.0, orders=orders)


def proposer_dies_between_messages(message: str) -> Plan:
    """The proposer ends once it has sent its request to some of the voters only."""
    counts = (1, 2, 3, 4, 2, 3)
    faults = tuple(
        at_message(
            BEGIN_S + 4 * index - 0.05, FaultKind.POWER if index % 2 else FaultKind.KILL, 1.5, message, count=one
        )
        for index, one in enumerate(counts)
    )
    orders = tuple(Order(BEGIN_S + 4 * index, 2 + index, contents=2, again=2) for index in range(len(counts)))
    return Plan(204, seconds=26.0, orders=orders, faults=faults)


def frozen_between_phases() -> Plan:
    """The proposer freezes when it requests promises; others choose a value for the same number meanwhile."""
    faults = tuple(
        at_message(
            BEGIN_S + 4 * index - 0.05,
            FaultKind.FREEZE,
            (0.4, 1.0, 2.0, 2.6)[index % 4],
            "PrepareRequest",
        )
        for index in range(10)
    )
    orders = tuple(Order(BEGIN_S + 4 * index, 2 + index, contents=4) for index in range(10))
    return Plan(205, seconds=42.0, orders=orders, faults=faults)


def cut_between_phases() -> Plan:
    """The proposer is partitioned from the other controllers, not from the gateways, as it sends its proposal."""
    faults = tuple(at_message(BEGIN_S + 8 * index - 0.05, FaultKind.SPLIT, 5.0, "AcceptRequest") for index in range(5))
    orders = tuple(Order(BEGIN_S + 8 * index, 2 + index, contents=4) for index in range(5))
    return Plan(206, seconds=42.0, orders=orders, faults=faults)


def promise_before_restart() -> Plan:
    """A proposer freezes between its phases; a voter that has promised another proposer's ballot restarts."""
    faults = [
        fault
        for index in range(10)
        for fault in (
            at_message(BEGIN_S + 4 * index - 0.05, FaultKind.FREEZE, 0.9, "PrepareRequest"),
            at_message(BEGIN_S + 4 * index - 0.05, FaultKind.KILL, 0.1, "AcceptRequest", sent=False),
        )
    ]
    orders = tuple(Order(BEGIN_S + 4 * index, 2 + index, contents=4) for index in range(10))
    return Plan(207, seconds=42.0, orders=orders, faults=tuple(faults))
