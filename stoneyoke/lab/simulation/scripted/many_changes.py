"""Scripted scenarios in which one machine fails after many changes of configurations, instances or voters."""

from stoneyoke.lab.simulation.plans import Fault, FaultKind, Order, Plan
from stoneyoke.lab.simulation.scripted.scripting import BEGIN_S, C2, C3, steady_orders
from stoneyoke.lab.simulation.scripted.voter_changes import every_voter_replaced


def after_many_changes(how: str, series: int = 100, instances: int = 50) -> Plan:
    """Configurations and instances change many times; one controller misses all changes.

    Args:
        how: The fault because of which it misses them.
        series: Number of configurations, which are sent one after the other.
        instances: Number of short-lived instances.
    """
    orders = (Order(BEGIN_S, 2, series=series),)
    fault = {
        "restart": Fault(BEGIN_S, FaultKind.POWER, 30.0, (C2,)),
        "freeze": Fault(BEGIN_S, FaultKind.FREEZE, 30.0, (C2,)),
        "wipe": Fault(BEGIN_S + 30, FaultKind.WIPE, 0.5, (C2,)),
        "refuse": Fault(BEGIN_S, FaultKind.DISK, 30.0, (C2,), how="refuse"),
        "hang": Fault(BEGIN_S, FaultKind.DISK, 30.0, (C2,), how="hang"),
    }[how]
    return Plan(401, 4, losses=1, seconds=38.0, instances=instances, orders=orders, faults=(fault,))


def thirty_changes_of_voters() -> Plan:
    """Thirty voters are replaced permanently, one after the other."""
    return every_voter_replaced(402, 3, 1, exchanges=30)


def starts_on_a_disk_that_refuses() -> Plan:
    """A controller restarts while its disk refuses syncs; another one does so with an empty disk."""
    faults = (
        Fault(BEGIN_S, FaultKind.DISK, 4.0, (C2,), how="refuse"),
        Fault(BEGIN_S + 1, FaultKind.KILL, 0.2, (C2,)),
        Fault(BEGIN_S + 12, FaultKind.DISK, 3.0, (C3,), how="refuse"),
        Fault(BEGIN_S + 12.5, FaultKind.WIPE, 0.2, (C3,)),
    )
    return Plan(403, seconds=20.0, orders=steady_orders(16, every_s=1.0), faults=faults)
