"""Scripted scenarios of the quota lease and of acknowledged drains."""

from stoneyoke.lab.simulation.plans import Fault, FaultKind, Plan
from stoneyoke.lab.simulation.scripted.scripting import BEGIN_S, at_message


def lease_answers_late(one_way: bool) -> Plan:
    """The lease holder freezes while its grants are in flight, and is partitioned as it sends its next request."""
    faults = [
        fault
        for index in range(8)
        for fault in (
            at_message(BEGIN_S + 6 * index, FaultKind.FREEZE, 0.7, "LeaseRequest"),
            at_message(BEGIN_S + 6 * index + 0.5, FaultKind.SPLIT, 3.0, "LeaseRequest", one_way=one_way),
        )
    ]
    return Plan(110 + one_way, seconds=48.0, faults=tuple(faults))


def power_lost_after_drain() -> Plan:
    """The controller that acknowledges a drain loses power within milliseconds."""
    faults = tuple(Fault(BEGIN_S + 10 * index, FaultKind.AFTER_DRAIN, 0.2, how=FaultKind.POWER) for index in range(8))
    return Plan(112, gateways=3, seconds=84.0, backends=12, faults=faults)
