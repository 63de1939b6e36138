"""From a scenario and a seed to all that will be asked for: customers, arrivals, faults. Always the same."""

import hashlib

import msgspec
import numpy as np
from msgspec import Struct

from stoneyoke.lab.fault_kinds import FaultTarget, target_of
from stoneyoke.lab.scenario import Fault, Scenario, matching_processes


class Customer(Struct, frozen=True):
    """A customer: plan, gateways that it comes through, and how much of its quota it asks for."""

    account: int
    plan: int
    first: int  # the number of its first gateway
    width: int
    use: float  # of its rate that it asks for


class Arrival(Struct, frozen=True, array_like=True):
    """An RPC that a client asks for."""

    at_us: int  # since the start
    number: int
    customer: int
    method: int
    gateway: int
    wait_us: int


class Strike(Struct, frozen=True):
    """A fault as it will be carried out."""

    at_us: int
    kind: str
    begins: bool  # else it ends
    on: list[str]  # processes
    from_: str
    to: str
    fault: Fault
    number: int  # of the fault; its end has the same


class Drawn(Struct, frozen=True):
    """All that a seed makes of a scenario."""

    seed: int
    customers: list[Customer]
    arrivals: list[Arrival]
    strikes: list[Strike]

    def digest(self) -> str:
        return hashlib.sha256(msgspec.json.encode(self)).hexdigest()[:16]


def draw(scenario: Scenario, seed: int) -> Drawn:
    """The customers, arrivals and strikes of a scenario with a seed."""
    random_source = np.random.Generator(np.random.PCG64(seed))
    customers = draw_customers(scenario, random_source)
    return Drawn(
        seed, customers, draw_arrivals(scenario, customers, random_source), draw_strikes(scenario, random_source)
    )


def draw_customers(scenario: Scenario, random_source: np.random.Generator) -> list[Customer]:
    """Customers of all plans, each with its set of gateways."""
    units = sum(m.units * m.share for m in scenario.method) / sum(m.share for m in scenario.method)
    shares = sum(plan.share for plan in scenario.plan)
    count, clients, customers = scenario.gateways.count, scenario.clients, []
    for at, plan in enumerate(scenario.plan):
        left = clients.rps * units * plan.share / shares
        while left > 0:
            greedy = bool(random_source.random() < clients.greedy)
            use = clients.greed if greedy else float(random_source.uniform(0.5, 1.5)) * clients.use
            width = max(1, min(count, round(plan.spread * count)))
            customers.append(
                Customer(int(random_source.integers(1 << 33)), at, int(random_source.integers(count)), width, use)
            )
            left -= plan.rate * min(1.0, use)
    return customers


def draw_arrivals(scenario: Scenario, customers: list[Customer], random_source: np.random.Generator) -> list[Arrival]:
    """Poisson for each customer; its gateways take shares of 1 / place ** skew, in an order of its own."""
    methods, clients, rows = scenario.method, scenario.clients, []
    share = np.array([m.share for m in methods]) / sum(m.share for m in methods)
    units = float(sum(m.units * s for m, s in zip(methods, share, strict=True)))
    bursts = [f for f in scenario.fault if f.kind == "burst"]
    shifts = sorted(f.at_s for f in scenario.fault if f.kind == "shift")
    if clients.shift_s:
        shifts += list(np.arange(clients.shift_s, scenario.seconds, clients.shift_s))
    for index, customer in enumerate(customers):
        rate = customer.use * scenario.plan[customer.plan].rate / units
        peak = rate * max([1.0, *(f.factor for f in bursts)])
        n = int(random_source.poisson(peak * scenario.seconds))
        times = np.sort(random_source.uniform(0, scenario.seconds, n))
        kept = random_source.random(n)
        weights = 1 / np.arange(1, customer.width + 1) ** scenario.gateways.skew
        orders = [random_source.permutation(customer.width) for _ in range(len(shifts) + 1)]
        places = random_source.choice(customer.width, size=n, p=weights / weights.sum())
        kinds = random_source.choice(len(methods), size=n, p=share)
        for at_s, keep, place, kind in zip(times, kept, places, kinds, strict=True):
            factor = max([1.0, *(f.factor for f in bursts if f.at_s <= at_s < f.at_s + f.for_s)])
            if keep > rate * factor / peak:
                continue
            order = orders[sum(s <= at_s for s in shifts)]
            gateway = (customer.first + int(order[place])) % scenario.gateways.count
            rows.append((int(at_s * 1e6), index, int(kind), gateway))
    rows.sort()
    return [
        Arrival(at, n, customer, kind, gateway, int(methods[kind].deadline_ms * 1000))
        for n, (at, customer, kind, gateway) in enumerate(rows)
    ]


def draw_strikes(scenario: Scenario, random_source: np.random.Generator) -> list[Strike]:
    """The scenario's faults, and those drawn by chance, as strikes in the order of time."""
    faults = list(scenario.fault)
    if scenario.random:
        for _ in range(scenario.random.faults):
            kind = scenario.random.kinds[int(random_source.integers(len(scenario.random.kinds)))]
            at = round(float(random_source.uniform(0.1, 0.7)) * scenario.seconds, 2)
            long = round(float(random_source.uniform(0.2, 1.0)) * scenario.random.longest_s, 2)
            zone = scenario.zones()[int(random_source.integers(len(scenario.zones())))]
            start = f"{zone}/*" if target_of(kind) == FaultTarget.LINK else ""
            faults.append(
                Fault(
                    at_s=at,
                    kind=kind,
                    for_s=long,
                    part=scenario.random.part,
                    factor=4.0,
                    ms=50.0,
                    jitter_ms=20.0,
                    bytes_s=20_000.0,
                    from_=start,
                )
            )
    strikes = []
    for number, fault in enumerate(faults):
        begin = int(fault.at_s * 1e6)
        if target_of(fault.kind) == FaultTarget.LINK:
            strikes.append(Strike(begin, fault.kind, True, [], fault.from_ or "*", fault.to or "*", fault, number))
            if fault.for_s:
                strikes.append(
                    Strike(
                        begin + int(fault.for_s * 1e6),
                        fault.kind,
                        False,
                        [],
                        fault.from_ or "*",
                        fault.to or "*",
                        fault,
                        number,
                    )
                )
            continue
        pool = matching_processes(scenario, fault)
        few = max(1, round(len(pool) * fault.part)) if pool else 0
        struck = sorted(random_source.choice(pool, size=few, replace=False).tolist()) if few < len(pool) else pool
        for name in struck:
            at = begin + int(float(random_source.uniform(0, fault.over_s)) * 1e6) if fault.over_s else begin
            strikes.append(Strike(at, fault.kind, True, [name], "", "", fault, number))
            if fault.for_s:
                strikes.append(Strike(at + int(fault.for_s * 1e6), fault.kind, False, [name], "", "", fault, number))
    return sorted(strikes, key=lambda s: (s.at_us, s.number, s.on))
