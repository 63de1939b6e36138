"""Random plans: machines, tenants, configuration changes and faults drawn from a seed, within the plan's tolerance.

The order of the draws determines the plan of a seed: a change of the order changes every plan.
"""

import random
from collections.abc import Iterator
from dataclasses import replace

from stoneyoke.lab.simulation.plans import (
    LEAD_S,
    REST_S,
    Fault,
    FaultKind,
    Order,
    Plan,
    Tenant,
    controller_address,
    gateway_address,
)
from stoneyoke.lab.simulation.random_faults import RandomFaults

EXCHANGE_INTERVAL_S = 6.0  # includes the start of the successor and catch_up_s
HEAVY_RATE = 60  # requests per second; from here on only HEAVY_LOADS, to bound the run time of a scenario
LOADS = (0.05, 0.5, 0.5, 0.9, 3.0, 10.0)  # multiples of a tenant's rate
HEAVY_LOADS = (0.5, 3.0)


def make_plan(seed: int) -> Plan:
    """Returns the plan of a seed."""
    random_source = random.Random(seed)
    losses = 2 if random_source.random() < 0.15 else 1
    controllers = 5 if losses == 2 else random_source.choice((3, 3, 3, 4, 5))
    exchanges = random_source.choice((1, 2, 3)) if random_source.random() < 0.15 else 0
    spares = exchanges or (random_source.choice((1, 2)) if random_source.random() < 0.15 else 0)
    seconds = max(random_source.choice((8.0, 12.0, 18.0)), 3 + EXCHANGE_INTERVAL_S * exchanges)
    plan = Plan(
        seed,
        controllers,
        spares,
        gateways=random_source.choice((2, 3, 4, 6, 8, 11)),
        losses=losses,
        seconds=seconds,
        tenants=tuple(make_tenants(random_source, seconds)),
        backends=random_source.choice((0, 2, 5)),
    )
    faults = [
        *RandomFaults(random_source, plan).draw(),
        *make_exchanges(random_source, plan, exchanges),
        *make_final_fault(random_source, plan),
    ]
    return replace(
        plan,
        orders=tuple(make_orders(random_source, seconds)),
        faults=tuple(sorted(faults, key=lambda fault: fault.at)),
    )


def make_tenants(random_source: random.Random, seconds: float) -> Iterator[Tenant]:
    """Yields tenants, each with a load that changes every 2, 5 or 20 seconds."""
    for index in range(random_source.choice((1, 2, 3))):
        rate = random_source.choice((3.0, 10.0, 30.0, 60.0))
        asks, second = [], random_source.uniform(0, 2)
        while second < LEAD_S + seconds + REST_S:
            load = random_source.choice(LOADS if rate < HEAVY_RATE else HEAVY_LOADS)
            asks.append((round(second, 2), load))
            second += random_source.choice((2.0, 5.0, 20.0))
        yield Tenant(f"t-{index}", rate, random_source.choice((1.0, rate, 2 * rate)), tuple(asks))


def make_orders(random_source: random.Random, seconds: float) -> Iterator[Order]:
    """Yields configuration changes with rising numbers."""
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


def make_exchanges(random_source: random.Random, plan: Plan, exchanges: int) -> Iterator[Fault]:
    """Yields replacements of voters, one after the other. Spares without a voter to replace just join."""
    voters = [controller_address(index) for index in range(plan.controllers)]
    for index in range(plan.spares):
        spare = controller_address(plan.controllers + index)
        if index >= exchanges:
            joins_at = round(LEAD_S + random_source.uniform(0, plan.seconds / 2), 2)
            yield Fault(joins_at, FaultKind.JOIN, who=(spare,))
            continue
        removed = voters.pop(random_source.randrange(min(3, len(voters))))
        exchanged_at, gap_s = LEAD_S + 1 + EXCHANGE_INTERVAL_S * index, round(random_source.uniform(0.2, 1.2), 2)
        asked = random_source.random() < 0.4
        yield Fault(round(exchanged_at, 2), FaultKind.EXCHANGE, gap_s, (removed,), asked=asked, successor=spare)


def make_final_fault(random_source: random.Random, plan: Plan) -> Iterator[Fault]:
    """Yields a final fault of several machines, or none."""
    controllers = tuple(controller_address(index) for index in range(plan.controllers))
    gateways = tuple(gateway_address(index) for index in range(plan.gateways))
    kind = random_source.choice((None, None, FaultKind.POWER_ALL, FaultKind.WIPE_SOME, FaultKind.KILL_ALL))
    if kind is None:
        return
    who = controllers + gateways
    if kind is FaultKind.WIPE_SOME:
        who = tuple(random_source.sample(controllers, plan.losses))
    yield Fault(round(LEAD_S + plan.seconds, 2), kind, random_source.choice((0.2, 1.5)), who)
