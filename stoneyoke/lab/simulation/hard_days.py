"""The days that operators have named, each as a plan that brings its point about (docs/design/control-safety.md)."""

from stoneyoke.lab.simulation.bounds import BOUNDS
from stoneyoke.lab.simulation.plans import Fault, Order, Plan, controller_address, gateway_address

C1, C2, C3, C4, C5, C6, C7 = (controller_address(at) for at in range(7))
G1, G2, G3 = (gateway_address(at) for at in range(3))
CATCH_UP_S = BOUNDS.catch_up_s
GAP_S = 0.5  # between the end of a machine and its successor's start
BEGIN_S = 4.0  # by then a system that starts for the first time has settled
STEPS = ("PrepareRequest", "AcceptRequest", "ChosenNotice", "QueryRequest", "ValueRequest", "LeaseRequest")


def steady_orders(seconds: float, every_s: float = 2.0, contents: int = 1, again: int = 0) -> tuple[Order, ...]:
    """One number after the other, from the first fault on."""
    times = range(int(seconds / every_s))
    return tuple(Order(round(BEGIN_S + every_s * at, 2), 2 + at, contents=contents, again=again) for at in times)


# ---- 1: cut off, frozen ----


def cut_off_for_20_s() -> Plan:
    """A seed and a gateway that starts again behind the cut. Backends, orders and reads go on at every controller."""
    faults = (
        Fault(BEGIN_S, "cut", 20.0, (C1, G1)),
        Fault(BEGIN_S + 2, "kill", 0.5, (G1,)),
        Fault(BEGIN_S + 12, "kill", 0.5, (G1,)),
    )
    return Plan(101, gateways=3, seconds=22.0, backends=4, orders=steady_orders(18, again=1), faults=faults)


def two_of_five_cut_off() -> Plan:
    faults = (Fault(BEGIN_S, "cut", 20.0, (C1, C2, G1)), Fault(BEGIN_S + 3, "kill", 0.5, (G1,)))
    return Plan(102, 5, gateways=3, losses=2, seconds=22.0, backends=4, orders=steady_orders(18), faults=faults)


def cut_off_and_restarted() -> Plan:
    """The controller that is cut off starts again behind the cut, with its disk."""
    faults = (
        Fault(BEGIN_S, "cut", 20.0, (C1, G1)),
        Fault(BEGIN_S + 4, "power", 0.5, (C1, G1)),
        Fault(BEGIN_S + 14, "kill", 0.5, (C1, G1)),
    )
    return Plan(103, gateways=3, seconds=22.0, backends=2, orders=steady_orders(18), faults=faults)


def frozen_in_each_step(sent: bool) -> Plan:
    """A controller stands still between a check and its answer, or between a message and what follows from it."""
    faults = tuple(
        Fault(BEGIN_S + 3.5 * at, "at_message", for_s, how="freeze", message=message, sent=sent, count=1 + at % 2)
        for at, (message, for_s) in enumerate((step, for_s) for step in STEPS for for_s in (0.6, 2.5))
    )
    orders = steady_orders(40, every_s=0.8, contents=2, again=1)
    return Plan(104 + sent, seconds=42.0, backends=3, orders=orders, faults=faults)


def frozen_for_20_s() -> Plan:
    """The machine with the lease among others; it comes back with an old view, and gateways start at that moment."""
    faults = (
        Fault(BEGIN_S, "freeze", 20.0, (C1,)),
        Fault(BEGIN_S + 19.9, "restart_gateways", 0.15, (G1, G2)),
    )
    return Plan(106, gateways=3, seconds=22.0, backends=4, orders=steady_orders(20, every_s=1.0), faults=faults)


def two_frozen_in_turn() -> Plan:
    """No majority while two stand still; each is thawed into another time."""
    faults = (
        Fault(BEGIN_S, "freeze", 6.0, (C1,)),
        Fault(BEGIN_S + 3, "freeze", 6.0, (C2,)),
        Fault(BEGIN_S + 6.2, "freeze", 5.0, (C3,)),
        Fault(BEGIN_S + 8.9, "restart_gateways", 0.1, (G1, G2)),
    )
    return Plan(107, seconds=16.0, backends=2, orders=steady_orders(14, every_s=0.7, contents=2), faults=faults)


# ---- 2: one number, two contents; an order sent again ----


def two_contents_answers_lost() -> Plan:
    faults = tuple(Fault(BEGIN_S + 5 * at, "answers_lost", 3.0, share=0.8) for at in range(3))
    return Plan(201, seconds=18.0, orders=steady_orders(16, every_s=1.0, contents=2, again=3), faults=faults)


def eight_orders_at_once() -> Plan:
    orders = tuple(Order(BEGIN_S + 4 * at, 2 + 10 * at + one, again=2) for at in range(3) for one in range(8))
    return Plan(202, seconds=14.0, orders=orders)


def eight_contents_at_once() -> Plan:
    orders = tuple(Order(BEGIN_S + 2 * at, 2 + at, contents=8, again=1) for at in range(6))
    return Plan(203, seconds=14.0, orders=orders)


def proposer_dies_half_way(message: str) -> Plan:
    """The proposer of an order ends once some voters have its question and others have not."""
    counts = (1, 2, 3, 4, 2, 3)
    faults = tuple(
        Fault(BEGIN_S + 4 * at - 0.05, "at_message", 1.5, how="power" if at % 2 else "kill", message=message, count=one)
        for at, one in enumerate(counts)
    )
    orders = tuple(Order(BEGIN_S + 4 * at, 2 + at, contents=2, again=2) for at in range(len(counts)))
    return Plan(204, seconds=26.0, orders=orders, faults=faults)


def frozen_between_phases() -> Plan:
    """The proposer stands still once it has asked for promises; others decide the same number meanwhile."""
    faults = tuple(
        Fault(
            BEGIN_S + 4 * at - 0.05, "at_message", (0.4, 1.0, 2.0, 2.6)[at % 4], how="freeze", message="PrepareRequest"
        )
        for at in range(10)
    )
    orders = tuple(Order(BEGIN_S + 4 * at, 2 + at, contents=4) for at in range(10))
    return Plan(205, seconds=42.0, orders=orders, faults=faults)


def cut_between_phases() -> Plan:
    """The proposer is cut off from the other controllers, not from the gateways, as its proposal leaves."""
    faults = tuple(
        Fault(BEGIN_S + 8 * at - 0.05, "at_message", 5.0, how="split", message="AcceptRequest") for at in range(5)
    )
    orders = tuple(Order(BEGIN_S + 8 * at, 2 + at, contents=4) for at in range(5))
    return Plan(206, seconds=42.0, orders=orders, faults=faults)


def promise_before_restart() -> Plan:
    """One proposer stands still between its phases; a voter that has promised another one's ballot starts again."""
    faults = [
        fault
        for at in range(10)
        for fault in (
            Fault(BEGIN_S + 4 * at - 0.05, "at_message", 0.9, how="freeze", message="PrepareRequest"),
            Fault(BEGIN_S + 4 * at - 0.05, "at_message", 0.1, how="kill", message="AcceptRequest", sent=False),
        )
    ]
    orders = tuple(Order(BEGIN_S + 4 * at, 2 + at, contents=4) for at in range(10))
    return Plan(207, seconds=42.0, orders=orders, faults=tuple(faults))


# ---- 3: a second loss after a repair ----


def every_voter_replaced(seed: int, controllers: int, losses: int, exchanges: int, again: int = 0) -> Plan:
    """One voter after the other goes for good, each catch_up_s after the successor of the one before has started. The
    first successors have addresses of their own; later ones those of machines that went before."""
    spares = 2
    addresses = [controller_address(at) for at in range(controllers + spares)]
    present, absent, faults = addresses[:controllers], addresses[controllers:], []
    period = GAP_S + CATCH_UP_S + 0.1
    for at in range(exchanges):
        gone, successor = present.pop(0), absent.pop(0)
        faults.append(Fault(round(BEGIN_S + at * period, 2), "exchange", GAP_S, (gone,), successor=successor))
        present.append(successor)
        absent.append(gone)
    seconds = exchanges * period + 1
    orders = steady_orders(seconds, every_s=1.0, again=again)
    return Plan(
        seed, controllers, spares, losses=losses, seconds=seconds, backends=1, orders=orders, faults=tuple(faults)
    )


def emptied_in_turn() -> Plan:
    """The same at the same addresses, with empty disks."""
    period = GAP_S + CATCH_UP_S + 0.2
    faults = tuple(
        Fault(round(BEGIN_S + at * period, 2), "exchange", GAP_S, (controller_address(at % 3),)) for at in range(9)
    )
    seconds = 9 * period + 1
    return Plan(305, seconds=seconds, orders=steady_orders(seconds, every_s=1.0), faults=faults)


def second_loss_after_exchange() -> Plan:
    """catch_up_s after the successor's start another voter goes down for long."""
    faults = (
        Fault(BEGIN_S, "exchange", GAP_S, (C1,), successor=C4),
        Fault(BEGIN_S + GAP_S + CATCH_UP_S + 0.1, "power", 12.0, (C2,)),
    )
    return Plan(306, spares=1, seconds=18.0, orders=steady_orders(16, every_s=1.0, again=1), faults=faults)


def sigterm_with_learner() -> Plan:
    faults = tuple(Fault(BEGIN_S + 7 * at, "sigterm", 0.5, (controller_address(at),)) for at in range(3))
    return Plan(307, 4, seconds=22.0, orders=steady_orders(20, every_s=1.0), faults=faults)


def sigterm_without_learner() -> Plan:
    faults = tuple(Fault(BEGIN_S + 7 * at, "sigterm", 0.5, (controller_address(at),)) for at in range(3))
    return Plan(308, seconds=22.0, orders=steady_orders(20, every_s=1.0), faults=faults)


def change_left_half_way(sent: bool) -> Plan:
    """Voters change, and at each message of that the machine that sends or gets it ends and starts again."""
    faults: list[Fault] = []
    places = [C1, C2, C3]
    for at, message in enumerate(("PrepareRequest", "AcceptRequest", "ChosenNotice") * 2):
        when, gone = BEGIN_S + 10 * at, places.pop(0)
        successor = controller_address(3 + at)
        faults.append(Fault(when, "exchange", GAP_S, (gone,), successor=successor))
        inject = Fault(when + GAP_S, "at_message", 1.0, how="kill", message=message, sent=sent, count=1 + at)
        faults.append(inject)
        places.append(successor)
    return Plan(309 + sent, spares=6, seconds=62.0, faults=tuple(faults))


def successor_ends_while_it_copies() -> Plan:
    faults: list[Fault] = []
    for at, after_s in enumerate((0.05, 0.3, 0.7, 1.2)):
        when = BEGIN_S + 12 * at
        gone, successor = controller_address(at % 3), controller_address(3 + at)
        faults.append(Fault(when, "exchange", GAP_S, (gone,), successor=successor))
        faults.append(Fault(when + GAP_S + after_s, "power" if at % 2 else "wipe", 0.5, (successor,)))
    return Plan(311, spares=4, seconds=48.0, orders=steady_orders(44), faults=tuple(faults))


def wiped_during_change() -> Plan:
    """Of five voters one goes for good, another loses its disk while its successor takes the place."""
    faults = (
        Fault(BEGIN_S + 3, "exchange", GAP_S, (C1,), successor=C6),
        Fault(BEGIN_S + 3 + GAP_S + 1.0, "wipe", 0.3, (C2,)),
        Fault(BEGIN_S + 15, "exchange", GAP_S, (C3,), successor=C7),
        Fault(BEGIN_S + 15 + GAP_S + 0.2, "wipe", 0.3, (C4,)),
    )
    return Plan(312, 5, 2, losses=2, seconds=24.0, orders=steady_orders(22, every_s=1.0), faults=faults)


def old_friends() -> Plan:
    """Two of three voters are replaced. Both come back with their old disks, meet only each other and a gateway that
    starts there: a majority of what once was."""
    faults = (
        Fault(BEGIN_S, "exchange", GAP_S, (C1,), successor=C4),
        Fault(BEGIN_S + 6, "exchange", GAP_S, (C2,), successor=C5),
        Fault(BEGIN_S + 13, "cut", 8.0, (C1, C2, G1)),
        Fault(BEGIN_S + 13.1, "return", 0.1, (C1, C2)),
        Fault(BEGIN_S + 13.2, "kill", 0.3, (G1,)),
    )
    return Plan(313, spares=2, seconds=24.0, orders=steady_orders(22, every_s=1.0, contents=2), faults=faults)


def old_majority_meets_again(holder: int) -> Plan:
    """One voter is replaced while it is cut off and another one misses that; then the old ones meet, and the new."""
    gone, misses, stays = ((C1, C2, C3), (C2, C3, C1), (C3, C1, C2), (C1, C3, C2))[holder]
    faults = (
        Fault(BEGIN_S, "cut", 4.0, (gone,)),
        Fault(BEGIN_S + 1.0, "at_message", 2.2, (misses,), how="kill", message="AcceptRequest", sent=False),
        Fault(BEGIN_S + 4.0, "cut", 7.0, (C4, stays)),
    )
    orders = tuple(Order(BEGIN_S + 4.5 + at, 2 + at, contents=6) for at in range(5))
    return Plan(314 + holder, 4, seconds=16.0, orders=orders, faults=faults, reads=False)


def acknowledged_and_told_to_nobody() -> Plan:
    """Whoever has confirmed an order goes for good before any other controller has heard that it is decided."""
    faults = (
        Fault(BEGIN_S, "at_message", 0.5, how="cut", message="ChosenNotice"),
        Fault(BEGIN_S, "after_ack", how="remove"),
    )
    return Plan(318, seconds=14.0, orders=(Order(BEGIN_S + 0.1, 2),), faults=faults, reads=False)


# ---- 4: after hundreds of changes ----


def after_many_changes(how: str, series: int = 100, instances: int = 50) -> Plan:
    """Configurations and instances come and go; one machine misses it all."""
    orders = (Order(BEGIN_S, 2, series=series),)
    away = {
        "restart": Fault(BEGIN_S, "power", 30.0, (C2,)),
        "freeze": Fault(BEGIN_S, "freeze", 30.0, (C2,)),
        "wipe": Fault(BEGIN_S + 30, "wipe", 0.5, (C2,)),
        "refuse": Fault(BEGIN_S, "disk", 30.0, (C2,), how="refuse"),
        "hang": Fault(BEGIN_S, "disk", 30.0, (C2,), how="hang"),
    }[how]
    return Plan(401, 4, losses=1, seconds=38.0, instances=instances, orders=orders, faults=(away,))


def thirty_changes_of_voters() -> Plan:
    return every_voter_replaced(402, 3, 1, exchanges=30)


def starts_on_a_disk_that_refuses() -> Plan:
    """Its process begins while its disk can be neither read nor written, and again on an empty one."""
    faults = (
        Fault(BEGIN_S, "disk", 4.0, (C2,), how="refuse"),
        Fault(BEGIN_S + 1, "kill", 0.2, (C2,)),
        Fault(BEGIN_S + 12, "disk", 3.0, (C3,), how="refuse"),
        Fault(BEGIN_S + 12.5, "wipe", 0.2, (C3,)),
    )
    return Plan(403, seconds=20.0, orders=steady_orders(16, every_s=1.0), faults=faults)


# ---- the lease, drains ----


def lease_answers_late(one_way: bool) -> Plan:
    """The holder stands still while its grants are on their way, and is cut off as it asks next."""
    faults = [
        fault
        for at in range(8)
        for fault in (
            Fault(BEGIN_S + 6 * at, "at_message", 0.7, how="freeze", message="LeaseRequest"),
            Fault(BEGIN_S + 6 * at + 0.5, "at_message", 3.0, how="split", message="LeaseRequest", one_way=one_way),
        )
    ]
    return Plan(110 + one_way, seconds=48.0, faults=tuple(faults))


def drained_then_lost() -> Plan:
    """Whoever has acknowledged a drain loses its power within milliseconds."""
    faults = tuple(Fault(BEGIN_S + 10 * at, "after_drain", 0.2, how="power") for at in range(8))
    return Plan(112, gateways=3, seconds=84.0, backends=12, faults=faults)


# ---- 5: late, doubled and lost answers ----


def late_and_doubled() -> Plan:
    faults = (
        Fault(BEGIN_S, "late", 16.0, share=0.3, doubled=0.3),
        Fault(BEGIN_S + 2, "answers_lost", 14.0, share=0.4),
        Fault(BEGIN_S + 5, "restart_gateways", 0.2, (G1,)),
    )
    return Plan(501, gateways=3, seconds=18.0, backends=4, orders=steady_orders(16, 0.8, 2, again=2), faults=faults)


def late_while_voters_change() -> Plan:
    faults = (
        Fault(BEGIN_S, "exchange", GAP_S, (C1,), successor=C4),
        Fault(BEGIN_S + 0.6, "late", 8.0, share=0.3, doubled=0.5),
        Fault(BEGIN_S + 2, "lease_holder", 0.5),
    )
    return Plan(502, spares=1, seconds=14.0, orders=steady_orders(12, 0.8, 2, again=2), faults=faults)


SCRIPTED_SCENARIOS: dict[str, Plan] = {
    "cut_off_for_20_s": cut_off_for_20_s(),
    "two_of_five_cut_off": two_of_five_cut_off(),
    "cut_off_and_restarted": cut_off_and_restarted(),
    "frozen_in_each_step_sent": frozen_in_each_step(True),
    "frozen_in_each_step_got": frozen_in_each_step(False),
    "frozen_for_20_s": frozen_for_20_s(),
    "two_frozen_in_turn": two_frozen_in_turn(),
    "two_contents_answers_lost": two_contents_answers_lost(),
    "eight_orders_at_once": eight_orders_at_once(),
    "eight_contents_at_once": eight_contents_at_once(),
    "proposer_dies_preparing": proposer_dies_half_way("PrepareRequest"),
    "proposer_dies_accepting": proposer_dies_half_way("AcceptRequest"),
    "proposer_dies_telling": proposer_dies_half_way("ChosenNotice"),
    "frozen_between_phases": frozen_between_phases(),
    "cut_between_phases": cut_between_phases(),
    "promise_before_restart": promise_before_restart(),
    "old_majority_meets_again_1": old_majority_meets_again(0),
    "old_majority_meets_again_2": old_majority_meets_again(1),
    "old_majority_meets_again_3": old_majority_meets_again(2),
    "old_majority_meets_again_4": old_majority_meets_again(3),
    "acknowledged_and_told_to_nobody": acknowledged_and_told_to_nobody(),
    "starts_on_a_disk_that_refuses": starts_on_a_disk_that_refuses(),
    "lease_answers_late": lease_answers_late(False),
    "lease_answers_late_one_way": lease_answers_late(True),
    "drained_then_lost": drained_then_lost(),
    "every_voter_replaced_of_3": every_voter_replaced(301, 3, 1, 10, again=1),
    "every_voter_replaced_of_4": every_voter_replaced(302, 4, 1, 10),
    "every_voter_replaced_of_5": every_voter_replaced(303, 5, 1, 10),
    "every_voter_replaced_of_5_tolerance_2": every_voter_replaced(304, 5, 2, 10),
    "emptied_in_turn": emptied_in_turn(),
    "second_loss_after_exchange": second_loss_after_exchange(),
    "sigterm_with_learner": sigterm_with_learner(),
    "sigterm_without_learner": sigterm_without_learner(),
    "change_left_half_way_sent": change_left_half_way(True),
    "change_left_half_way_got": change_left_half_way(False),
    "successor_ends_while_it_copies": successor_ends_while_it_copies(),
    "wiped_during_change": wiped_during_change(),
    "old_friends": old_friends(),
    "many_changes_then_restart": after_many_changes("restart", 500, 500),
    "many_changes_frozen": after_many_changes("freeze"),
    "many_changes_then_wipe": after_many_changes("wipe"),
    "many_changes_disk_full": after_many_changes("refuse"),
    "many_changes_disk_stalls": after_many_changes("hang"),
    "thirty_changes_of_voters": thirty_changes_of_voters(),
    "late_and_doubled": late_and_doubled(),
    "late_while_voters_change": late_while_voters_change(),
}
