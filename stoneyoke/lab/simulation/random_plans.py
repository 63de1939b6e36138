"""Plans out of a seed: machines, tenants, orders and faults by chance, inside what the operators' tolerance allows."""

import random
from collections.abc import Iterator
from dataclasses import replace

from stoneyoke.lab.simulation.plans import (
    LEAD_S,
    REST_S,
    Fault,
    Order,
    Plan,
    Tenant,
    controller_address,
    gateway_address,
)

EXCHANGE_EVERY_S = 6.0  # with catch_up_s and the successor's start between two of them
KINDS = (
    *("kill", "kill", "power", "wipe", "sigterm", "restart_gateways", "all_controllers"),
    *("cut", "cut", "cut_some", "cut_gateways", "cut_group", "hold", "freeze", "freeze", "freeze_in_step"),
    *("kill_in_step", "disk", "late", "lease_holder", "lease_holder", "shift", "shift", "after_ack", "after_drain"),
    *("answers_lost", "exchange"),
)
STEPS = (
    "PrepareRequest",
    "AcceptRequest",
    "ChosenNotice",
    "QueryRequest",
    "ValueRequest",
    "LeaseRequest",
    "PullRequest",
)


def make_plan(seed: int) -> Plan:
    chance = random.Random(seed)
    losses = 2 if chance.random() < 0.15 else 1
    controllers = 5 if losses == 2 else chance.choice((3, 3, 3, 4, 5))
    exchanges = chance.choice((1, 2, 3)) if chance.random() < 0.15 else 0
    spares = exchanges or (chance.choice((1, 2)) if chance.random() < 0.15 else 0)
    seconds = max(chance.choice((8.0, 12.0, 18.0)), 3 + EXCHANGE_EVERY_S * exchanges)
    plan = Plan(
        seed,
        controllers,
        spares,
        chance.choice((2, 3, 4, 6, 8, 11)),
        losses,
        seconds,
        tuple(make_tenants(chance, seconds)),
        chance.choice((0, 2, 5)),
    )
    faults = [*make_faults(chance, plan), *make_exchanges(chance, plan, exchanges), *make_closing(chance, plan)]
    return replace(
        plan,
        orders=tuple(make_orders(chance, seconds)),
        faults=tuple(sorted(faults, key=lambda fault: fault.at)),
    )


def make_tenants(chance: random.Random, seconds: float) -> Iterator[Tenant]:
    for at in range(chance.choice((1, 2, 3))):
        rate = chance.choice((3.0, 10.0, 30.0, 60.0))
        asks, when = [], chance.uniform(0, 2)
        while when < LEAD_S + seconds + REST_S:
            asks.append((round(when, 2), chance.choice((0.05, 0.5, 0.5, 0.9, 3.0, 10.0) if rate < 60 else (0.5, 3.0))))
            when += chance.choice((2.0, 5.0, 20.0))
        yield Tenant(f"t-{at}", rate, chance.choice((1.0, rate, 2 * rate)), tuple(asks))


def make_orders(chance: random.Random, seconds: float) -> Iterator[Order]:
    number = 1
    for _ in range(chance.choice((1, 3, 6))):
        number += chance.choice((1, 1, 3))
        yield Order(
            round(LEAD_S + chance.uniform(0, seconds), 2),
            number,
            contents=chance.choice((2, 2, 3)) if chance.random() < 0.35 else 1,
            again=chance.choice((1, 3)) if chance.random() < 0.3 else 0,
            stale=chance.random() < 0.2,
            bad=chance.random() < 0.1,
        )


def make_faults(chance: random.Random, plan: Plan) -> Iterator[Fault]:
    for _ in range(chance.choice((0, 1, 2, 3, 5, 8))):
        at = round(LEAD_S + chance.uniform(0, plan.seconds), 2)
        for_s = round(chance.choice((0.1, 0.5, 1.5, 3.0, 6.0)) * chance.uniform(0.7, 1.3), 2)
        yield make_fault(chance, plan, Fault(at, chance.choice(KINDS), for_s))


def some_of(chance: random.Random, names: list[str], shares: tuple[float, ...]) -> tuple[str, ...]:
    return tuple(chance.sample(names, max(1, int(chance.choice(shares) * len(names)))))


def make_fault(chance: random.Random, plan: Plan, fault: Fault) -> Fault:
    """The same fault, with the machines that it strikes and how."""
    controllers = [controller_address(at) for at in range(plan.controllers)]
    gateways = [gateway_address(at) for at in range(plan.gateways)]
    everyone = controllers + gateways
    match fault.kind:
        case "kill" | "power" | "freeze":
            return replace(fault, who=(chance.choice(everyone),))
        case "wipe" | "sigterm":
            return replace(fault, who=(chance.choice(controllers),))
        case "exchange":
            return replace(fault, who=(chance.choice(controllers),), asked=chance.random() < 0.5)
        case "restart_gateways":
            return replace(fault, who=some_of(chance, gateways, (0.3, 0.6, 0.8)))
        case "all_controllers":
            return replace(fault, who=tuple(controllers), power=chance.random() < 0.5, for_s=min(fault.for_s, 2.0))
        case "cut" | "hold":
            return replace(fault, who=(chance.choice(everyone),), one_way=chance.random() < 0.3)
        case "cut_some":
            who = tuple(chance.sample(controllers, max(1, len(controllers) // 2)))
            return replace(fault, kind="cut", who=who, one_way=chance.random() < 0.2)
        case "cut_group":  # one controller and some gateways together, off from all others
            who = (chance.choice(controllers), *some_of(chance, gateways, (0.3, 0.6)))
            return replace(fault, kind="cut", who=who)
        case "cut_gateways":
            return replace(fault, who=some_of(chance, gateways, (0.2, 0.5, 0.8)))
        case "freeze_in_step" | "kill_in_step":
            return replace(
                fault,
                kind="at_message",
                how=fault.kind.partition("_")[0],
                message=chance.choice(STEPS),
                sent=chance.random() < 0.5,
                count=chance.choice((1, 1, 2, 3)),
            )
        case "disk":
            return replace(fault, who=(chance.choice(controllers),), how=chance.choice(("slow", "hang", "refuse")))
        case "late":
            return replace(fault, share=chance.choice((0.01, 0.1, 0.3)), doubled=chance.choice((0.0, 0.05)))
        case "answers_lost":
            return replace(fault, share=chance.choice((0.3, 0.7, 1.0)))
        case "after_ack" | "after_drain":  # the controller that acknowledges the next one goes within 4 ms
            return replace(fault, how=chance.choice(("kill", "power", "wipe", "freeze")))
        case "shift":
            return replace(fault, weights=tuple(chance.choice((0.0, 0.2, 1.0, 5.0)) for _ in gateways))
    return fault


def make_exchanges(chance: random.Random, plan: Plan, exchanges: int) -> Iterator[Fault]:
    """Voters are exchanged for good, one after the other; spares that are not needed for that join by themselves."""
    voters = [controller_address(at) for at in range(plan.controllers)]
    for at in range(plan.spares):
        spare = controller_address(plan.controllers + at)
        if at >= exchanges:
            yield Fault(round(LEAD_S + chance.uniform(0, plan.seconds / 2), 2), "join", who=(spare,))
            continue
        gone = voters.pop(chance.randrange(min(3, len(voters))))
        when, gap = LEAD_S + 1 + EXCHANGE_EVERY_S * at, round(chance.uniform(0.2, 1.2), 2)
        yield Fault(round(when, 2), "exchange", gap, (gone,), asked=chance.random() < 0.4, successor=spare)


def make_closing(chance: random.Random, plan: Plan) -> Iterator[Fault]:
    controllers = tuple(controller_address(at) for at in range(plan.controllers))
    gateways = tuple(gateway_address(at) for at in range(plan.gateways))
    kind = chance.choice(("", "", "power_all", "wipe_some", "kill_all"))
    if kind:
        who = tuple(chance.sample(controllers, plan.losses)) if kind == "wipe_some" else controllers + gateways
        yield Fault(round(LEAD_S + plan.seconds, 2), kind, chance.choice((0.2, 1.5)), who)
