"""Scripted scenarios in which voters are replaced, and in which a second loss follows a repair."""

from stoneyoke.lab.simulation.plans import Fault, FaultKind, Order, Plan, controller_address
from stoneyoke.lab.simulation.scripted.scripting import (
    BEGIN_S,
    C1,
    C2,
    C3,
    C4,
    C5,
    C6,
    C7,
    CATCH_UP_S,
    G1,
    REPLACEMENT_GAP_S,
    at_message,
    steady_orders,
)


def every_voter_replaced(seed: int, controllers: int, losses: int, exchanges: int, again: int = 0) -> Plan:
    """Replaces each voter permanently, catch_up_s after the successor of the previous one has started.

    The first successors have new addresses, later ones those of machines that were removed before.

    Args:
        seed: The seed of the plan.
        controllers: Number of initial voters.
        losses: Number of controllers that may be lost at the same time.
        exchanges: Number of replacements.
        again: How often each configuration is sent again.
    """
    spares = 2
    addresses = [controller_address(index) for index in range(controllers + spares)]
    present, absent, faults = addresses[:controllers], addresses[controllers:], []
    period = REPLACEMENT_GAP_S + CATCH_UP_S + 0.1
    for index in range(exchanges):
        removed, successor = present.pop(0), absent.pop(0)
        faults.append(
            Fault(
                round(BEGIN_S + index * period, 2),
                FaultKind.EXCHANGE,
                REPLACEMENT_GAP_S,
                (removed,),
                successor=successor,
            )
        )
        present.append(successor)
        absent.append(removed)
    seconds = exchanges * period + 1
    orders = steady_orders(seconds, every_s=1.0, again=again)
    return Plan(
        seed, controllers, spares, losses=losses, seconds=seconds, backends=1, orders=orders, faults=tuple(faults)
    )


def disks_replaced_in_turn() -> Plan:
    """Each voter is replaced permanently in turn; its successor starts with an empty disk at the same address."""
    period = REPLACEMENT_GAP_S + CATCH_UP_S + 0.2
    faults = tuple(
        Fault(
            round(BEGIN_S + index * period, 2), FaultKind.EXCHANGE, REPLACEMENT_GAP_S, (controller_address(index % 3),)
        )
        for index in range(9)
    )
    seconds = 9 * period + 1
    return Plan(305, seconds=seconds, orders=steady_orders(seconds, every_s=1.0), faults=faults)


def second_loss_after_exchange() -> Plan:
    """Another voter loses power for 12 s once the successor of the first must have caught up."""
    faults = (
        Fault(BEGIN_S, FaultKind.EXCHANGE, REPLACEMENT_GAP_S, (C1,), successor=C4),
        Fault(BEGIN_S + REPLACEMENT_GAP_S + CATCH_UP_S + 0.1, FaultKind.POWER, 12.0, (C2,)),
    )
    return Plan(306, spares=1, seconds=18.0, orders=steady_orders(16, every_s=1.0, again=1), faults=faults)


def sigterm_with_learner() -> Plan:
    """Each voter receives SIGTERM in turn; a learner can replace it."""
    faults = tuple(
        Fault(BEGIN_S + 7 * index, FaultKind.SIGTERM, 0.5, (controller_address(index),)) for index in range(3)
    )
    return Plan(307, 4, seconds=22.0, orders=steady_orders(20, every_s=1.0), faults=faults)


def sigterm_without_learner() -> Plan:
    """Each voter receives SIGTERM in turn; no learner can replace it."""
    faults = tuple(
        Fault(BEGIN_S + 7 * index, FaultKind.SIGTERM, 0.5, (controller_address(index),)) for index in range(3)
    )
    return Plan(308, seconds=22.0, orders=steady_orders(20, every_s=1.0), faults=faults)


def change_interrupted(sent: bool) -> Plan:
    """The sender or the receiver of each message of a change of voters restarts."""
    faults: list[Fault] = []
    voters = [C1, C2, C3]
    for index, message in enumerate(("PrepareRequest", "AcceptRequest", "ChosenNotice") * 2):
        starts_at, removed = BEGIN_S + 10 * index, voters.pop(0)
        successor = controller_address(3 + index)
        faults.append(Fault(starts_at, FaultKind.EXCHANGE, REPLACEMENT_GAP_S, (removed,), successor=successor))
        restart = at_message(starts_at + REPLACEMENT_GAP_S, FaultKind.KILL, 1.0, message, sent=sent, count=1 + index)
        faults.append(restart)
        voters.append(successor)
    return Plan(309 + sent, spares=6, seconds=62.0, faults=tuple(faults))


def successor_ends_while_it_copies() -> Plan:
    """Each successor loses its power or its disk while it copies the state."""
    faults: list[Fault] = []
    for index, after_s in enumerate((0.05, 0.3, 0.7, 1.2)):
        starts_at = BEGIN_S + 12 * index
        removed, successor = controller_address(index % 3), controller_address(3 + index)
        faults.append(Fault(starts_at, FaultKind.EXCHANGE, REPLACEMENT_GAP_S, (removed,), successor=successor))
        faults.append(
            Fault(
                starts_at + REPLACEMENT_GAP_S + after_s,
                FaultKind.POWER if index % 2 else FaultKind.WIPE,
                0.5,
                (successor,),
            )
        )
    return Plan(311, spares=4, seconds=48.0, orders=steady_orders(44), faults=tuple(faults))


def wiped_during_change() -> Plan:
    """One of five voters is removed permanently, and another one loses its disk while the successor becomes a voter."""
    faults = (
        Fault(BEGIN_S + 3, FaultKind.EXCHANGE, REPLACEMENT_GAP_S, (C1,), successor=C6),
        Fault(BEGIN_S + 3 + REPLACEMENT_GAP_S + 1.0, FaultKind.WIPE, 0.3, (C2,)),
        Fault(BEGIN_S + 15, FaultKind.EXCHANGE, REPLACEMENT_GAP_S, (C3,), successor=C7),
        Fault(BEGIN_S + 15 + REPLACEMENT_GAP_S + 0.2, FaultKind.WIPE, 0.3, (C4,)),
    )
    return Plan(312, 5, 2, losses=2, seconds=24.0, orders=steady_orders(22, every_s=1.0), faults=faults)


def former_majority_returns() -> Plan:
    """Two replaced voters restart with their old disks and reach only each other: a majority of the former voters.

    A gateway starts in the same partition.
    """
    faults = (
        Fault(BEGIN_S, FaultKind.EXCHANGE, REPLACEMENT_GAP_S, (C1,), successor=C4),
        Fault(BEGIN_S + 6, FaultKind.EXCHANGE, REPLACEMENT_GAP_S, (C2,), successor=C5),
        Fault(BEGIN_S + 13, FaultKind.CUT, 8.0, (C1, C2, G1)),
        Fault(BEGIN_S + 13.1, FaultKind.RETURN, 0.1, (C1, C2)),
        Fault(BEGIN_S + 13.2, FaultKind.KILL, 0.3, (G1,)),
    )
    return Plan(313, spares=2, seconds=24.0, orders=steady_orders(22, every_s=1.0, contents=2), faults=faults)


def former_majority_reconnects(holder: int) -> Plan:
    """A partitioned voter is replaced, another one misses that; then these two are partitioned from the others."""
    removed, misses, stays = ((C1, C2, C3), (C2, C3, C1), (C3, C1, C2), (C1, C3, C2))[holder]
    faults = (
        Fault(BEGIN_S, FaultKind.CUT, 4.0, (removed,)),
        at_message(BEGIN_S + 1.0, FaultKind.KILL, 2.2, "AcceptRequest", who=(misses,), sent=False),
        Fault(BEGIN_S + 4.0, FaultKind.CUT, 7.0, (C4, stays)),
    )
    orders = tuple(Order(BEGIN_S + 4.5 + index, 2 + index, contents=6) for index in range(5))
    return Plan(314 + holder, 4, seconds=16.0, orders=orders, faults=faults, reads=False)


def acknowledged_and_learned_by_nobody() -> Plan:
    """The controller that acknowledged a change is removed before any other one learns that the change is chosen."""
    faults = (
        at_message(BEGIN_S, FaultKind.CUT, 0.5, "ChosenNotice"),
        Fault(BEGIN_S, FaultKind.AFTER_ACK, how=FaultKind.REMOVE),
    )
    return Plan(318, seconds=14.0, orders=(Order(BEGIN_S + 0.1, 2),), faults=faults, reads=False)
