"""Scripted scenarios with late, duplicated and lost messages."""

from stoneyoke.lab.simulation.plans import Fault, FaultKind, Plan
from stoneyoke.lab.simulation.scripted.scripting import BEGIN_S, C1, C4, G1, REPLACEMENT_GAP_S, steady_orders


def late_and_doubled() -> Plan:
    """Messages are late, arrive twice, or have no response, while a gateway restarts."""
    faults = (
        Fault(BEGIN_S, FaultKind.LATE, 16.0, share=0.3, doubled=0.3),
        Fault(BEGIN_S + 2, FaultKind.ANSWERS_LOST, 14.0, share=0.4),
        Fault(BEGIN_S + 5, FaultKind.RESTART_GATEWAYS, 0.2, (G1,)),
    )
    return Plan(501, gateways=3, seconds=18.0, backends=4, orders=steady_orders(16, 0.8, 2, again=2), faults=faults)


def late_while_voters_change() -> Plan:
    """Messages are late or arrive twice while a voter is replaced and the lease holder restarts."""
    faults = (
        Fault(BEGIN_S, FaultKind.EXCHANGE, REPLACEMENT_GAP_S, (C1,), successor=C4),
        Fault(BEGIN_S + 0.6, FaultKind.LATE, 8.0, share=0.3, doubled=0.5),
        Fault(BEGIN_S + 2, FaultKind.LEASE_HOLDER, 0.5),
    )
    return Plan(502, spares=1, seconds=14.0, orders=steady_orders(12, 0.8, 2, again=2), faults=faults)
