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
    random_source = random.Random(seed)
    losses = 2 if random_source.random() < 0.15 else 1
    controllers = 5 if losses == 2 else random_source.choice((3, 3, 3, 4, 5))
    exchanges = random_source.choice((1, 2, 3)) if random_source.random() < 0.15 else 0
    spares = exchanges or (random_source.choice((1, 2)) if random_source.random() < 0.15 else 0)
    seconds = max(random_source.choice((8.0, 12.0, 18.0)), 3 + EXCHANGE_EVERY_S * exchanges)
    plan = Plan(
        seed,
        controllers,
        spares,
        random_source.choice((2, 3, 4, 6, 8, 11)),
        losses,
        seconds,
        tuple(make_tenants(random_source, seconds)),
        random_source.choice((0, 2, 5)),
    )
    faults = [
        *make_faults(random_source, plan),
        *make_exchanges(random_source, plan, exchanges),
        *make_closing(random_source, plan),
    ]
    return replace(
        plan,
        orders=tuple(make_orders(random_source, seconds)),
        faults=tuple(sorted(faults, key=lambda fault: fault.at)),
    )


def make_tenants(random_source: random.Random, seconds: float) -> Iterator[Tenant]:
    for at in range(random_source.choice((1, 2, 3))):
        rate = random_source.choice((3.0, 10.0, 30.0, 60.0))
        asks, when = [], random_source.uniform(0, 2)
        while when < LEAD_S + seconds + REST_S:
            asks.append(
                (round(when, 2), random_source.choice((0.05, 0.5, 0.5, 0.9, 3.0, 10.0) if rate < 60 else (0.5, 3.0)))
            )
            when += random_source.choice((2.0, 5.0, 20.0))
        yield Tenant(f"t-{at}", rate, random_source.choice((1.0, rate, 2 * rate)), tuple(asks))


def make_orders(random_source: random.Random, seconds: float) -> Iterator[Order]:
    number = 1
    for _ in range(random_source.choice((1, 3, 6))):
        number += random_source.choice((1, 1, 3))
        yield Order(
            round(LEAD_S + random_source.uniform(0, seconds), 2),
            number,
            contents=random_source.choice((2, 2, 3)) if random_source.random() < 0.35 else 1,
            again=random_source.choice((1, 3)) if random_source.random() < 0.3 else 0,
            stale=random_source.random() < 0.2,
            bad=random_source.random() < 0.1,
        )


def make_faults(random_source: random.Random, plan: Plan) -> Iterator[Fault]:
    for _ in range(random_source.choice((0, 1, 2, 3, 5, 8))):
        at = round(LEAD_S + random_source.uniform(0, plan.seconds), 2)
        for_s = round(random_source.choice((0.1, 0.5, 1.5, 3.0, 6.0)) * random_source.uniform(0.7, 1.3), 2)
        yield make_fault(random_source, plan, Fault(at, random_source.choice(KINDS), for_s))


def some_of(random_source: random.Random, names: list[str], shares: tuple[float, ...]) -> tuple[str, ...]:
    return tuple(random_source.sample(names, max(1, int(random_source.choice(shares) * len(names)))))


def make_fault(random_source: random.Random, plan: Plan, fault: Fault) -> Fault:
    """The same fault, with the machines that it strikes and how."""
    controllers = [controller_address(at) for at in range(plan.controllers)]
    gateways = [gateway_address(at) for at in range(plan.gateways)]
    everyone = controllers + gateways
    match fault.kind:
        case "kill" | "power" | "freeze":
            return replace(fault, who=(random_source.choice(everyone),))
        case "wipe" | "sigterm":
            return replace(fault, who=(random_source.choice(controllers),))
        case "exchange":
            return replace(fault, who=(random_source.choice(controllers),), asked=random_source.random() < 0.5)
        case "restart_gateways":
            return replace(fault, who=some_of(random_source, gateways, (0.3, 0.6, 0.8)))
        case "all_controllers":
            return replace(
                fault, who=tuple(controllers), power=random_source.random() < 0.5, for_s=min(fault.for_s, 2.0)
            )
        case "cut" | "hold":
            return replace(fault, who=(random_source.choice(everyone),), one_way=random_source.random() < 0.3)
        case "cut_some":
            who = tuple(random_source.sample(controllers, max(1, len(controllers) // 2)))
            return replace(fault, kind="cut", who=who, one_way=random_source.random() < 0.2)
        case "cut_group":  # one controller and some gateways together, off from all others
            who = (random_source.choice(controllers), *some_of(random_source, gateways, (0.3, 0.6)))
            return replace(fault, kind="cut", who=who)
        case "cut_gateways":
            return replace(fault, who=some_of(random_source, gateways, (0.2, 0.5, 0.8)))
        case "freeze_in_step" | "kill_in_step":
            return replace(
                fault,
                kind="at_message",
                how=fault.kind.partition("_")[0],
                message=random_source.choice(STEPS),
                sent=random_source.random() < 0.5,
                count=random_source.choice((1, 1, 2, 3)),
            )
        case "disk":
            return replace(
                fault, who=(random_source.choice(controllers),), how=random_source.choice(("slow", "hang", "refuse"))
            )
        case "late":
            return replace(
                fault, share=random_source.choice((0.01, 0.1, 0.3)), doubled=random_source.choice((0.0, 0.05))
            )
        case "answers_lost":
            return replace(fault, share=random_source.choice((0.3, 0.7, 1.0)))
        case "after_ack" | "after_drain":  # the controller that acknowledges the next one goes within 4 ms
            return replace(fault, how=random_source.choice(("kill", "power", "wipe", "freeze")))
        case "shift":
            return replace(fault, weights=tuple(random_source.choice((0.0, 0.2, 1.0, 5.0)) for _ in gateways))
    return fault


def make_exchanges(random_source: random.Random, plan: Plan, exchanges: int) -> Iterator[Fault]:
    """Voters are exchanged for good, one after the other; spares that are not needed for that join by themselves."""
    voters = [controller_address(at) for at in range(plan.controllers)]
    for at in range(plan.spares):
        spare = controller_address(plan.controllers + at)
        if at >= exchanges:
            yield Fault(round(LEAD_S + random_source.uniform(0, plan.seconds / 2), 2), "join", who=(spare,))
            continue
        gone = voters.pop(random_source.randrange(min(3, len(voters))))
        when, gap = LEAD_S + 1 + EXCHANGE_EVERY_S * at, round(random_source.uniform(0.2, 1.2), 2)
        yield Fault(round(when, 2), "exchange", gap, (gone,), asked=random_source.random() < 0.4, successor=spare)


def make_closing(random_source: random.Random, plan: Plan) -> Iterator[Fault]:
    controllers = tuple(controller_address(at) for at in range(plan.controllers))
    gateways = tuple(gateway_address(at) for at in range(plan.gateways))
    kind = random_source.choice(("", "", "power_all", "wipe_some", "kill_all"))
    if kind:
        who = tuple(random_source.sample(controllers, plan.losses)) if kind == "wipe_some" else controllers + gateways
        yield Fault(round(LEAD_S + plan.seconds, 2), kind, random_source.choice((0.2, 1.5)), who)
