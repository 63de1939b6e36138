"""Draws the plan of a run from its scenario and seed: customers, arrivals and fault events.

The same scenario and seed give the same plan in every process and on every machine.
"""

import hashlib
from typing import NamedTuple

import msgspec
import numpy as np
import numpy.typing as npt
from msgspec import Struct

from stoneyoke.lab.fault_kinds import FaultTarget, target_of
from stoneyoke.lab.scenario import Fault, RandomFaults, Scenario, matching_processes

CUSTOMER_ID_BITS = 33
RANDOM_FAULT_FACTOR = 4.0
RANDOM_FAULT_DELAY_MS, RANDOM_FAULT_JITTER_MS = 50.0, 20.0
RANDOM_FAULT_BYTES_S = 20_000.0


class Customer(Struct, frozen=True):
    """A customer: its plan, the gateways that it sends to, and how much of its quota it uses."""

    account: int
    plan: int
    first: int  # the number of its first gateway; its other gateways have the next numbers
    width: int  # how many gateways it sends to
    use: float  # its load as a multiple of its quota's rate


class Arrival(Struct, frozen=True, array_like=True):
    """A request that a client sends."""

    at_us: int  # since the run's start
    number: int
    customer: int
    method: int
    gateway: int
    wait_us: int  # from the first try to the request's deadline


class FaultEvent(Struct, frozen=True):
    """The start or the end of a fault."""

    at_us: int
    kind: str
    begins: bool  # false: the fault ends
    processes: list[str] = msgspec.field(name="on")
    source: str = msgspec.field(name="from_")  # glob of a link's one end; empty for other faults
    destination: str = msgspec.field(name="to")  # glob of its other end
    fault: Fault
    number: int  # identifies the fault; its start and its end have the same number


class RunPlan(Struct, frozen=True):
    """All random choices of a run, drawn with its seed."""

    seed: int
    customers: list[Customer]
    arrivals: list[Arrival]
    fault_events: list[FaultEvent] = msgspec.field(name="strikes")

    def digest(self) -> str:
        """Returns a digest that equal plans share in every process and on every machine."""
        return hashlib.sha256(msgspec.json.encode(self)).hexdigest()[:16]


def draw_plan(scenario: Scenario, seed: int) -> RunPlan:
    """Draws the customers, arrivals and fault events of a scenario."""
    random_source = np.random.Generator(np.random.PCG64(seed))
    customers = draw_customers(scenario, random_source)
    arrivals = draw_arrivals(scenario, customers, random_source)
    return RunPlan(seed, customers, arrivals, draw_fault_events(scenario, random_source))


# ---- customers and arrivals ----


def draw_customers(scenario: Scenario, random_source: np.random.Generator) -> list[Customer]:
    """Draws customers of each plan until the load inside their quotas adds up to the plan's share."""
    mean_units = sum(method.units * method.share for method in scenario.method) / sum(
        method.share for method in scenario.method
    )
    shares = sum(plan.share for plan in scenario.plan)
    gateways, clients = scenario.gateways.count, scenario.clients
    customers: list[Customer] = []
    for number, plan in enumerate(scenario.plan):
        units_left_per_s = clients.rps * mean_units * plan.share / shares
        width = max(1, min(gateways, round(plan.spread * gateways)))
        while units_left_per_s > 0:
            is_greedy = bool(random_source.random() < clients.greedy)
            use = clients.greed if is_greedy else float(random_source.uniform(0.5, 1.5)) * clients.use
            account = int(random_source.integers(1 << CUSTOMER_ID_BITS))
            customers.append(Customer(account, number, int(random_source.integers(gateways)), width, use))
            units_left_per_s -= plan.rate * min(1.0, use)
    return customers


class ArrivalRow(NamedTuple):
    """An arrival before it gets its number; numbers follow the order of time."""

    at_us: int
    customer: int
    method: int
    gateway: int


def draw_arrivals(scenario: Scenario, customers: list[Customer], random_source: np.random.Generator) -> list[Arrival]:
    """Draws Poisson arrivals of each customer. Its gateways are ranked at random and weighted by 1 / rank ** skew."""
    rows: list[ArrivalRow] = []
    for number, customer in enumerate(customers):
        rows += draw_customer_arrivals(scenario, number, customer, random_source)
    rows.sort()
    methods = scenario.method
    return [
        Arrival(row.at_us, number, row.customer, row.method, row.gateway, int(methods[row.method].deadline_ms * 1000))
        for number, row in enumerate(rows)
    ]


def draw_customer_arrivals(
    scenario: Scenario, number: int, customer: Customer, random_source: np.random.Generator
) -> list[ArrivalRow]:
    """Draws the arrivals of one customer: at the rate of its greatest burst, then drops the surplus at other times."""
    methods, shares = scenario.method, method_shares(scenario)
    units = float(sum(method.units * share for method, share in zip(methods, shares, strict=True)))
    rate_per_s = customer.use * scenario.plan[customer.plan].rate / units
    bursts = [fault for fault in scenario.fault if fault.kind == "burst"]
    peak_per_s = rate_per_s * max([1.0, *(burst.factor for burst in bursts)])
    shifts_s = gateway_shifts_s(scenario)

    count = int(random_source.poisson(peak_per_s * scenario.seconds))
    times_s = np.sort(random_source.uniform(0, scenario.seconds, count))
    keep_draws = random_source.random(count)
    weights = 1 / np.arange(1, customer.width + 1) ** scenario.gateways.skew
    gateway_permutations = [random_source.permutation(customer.width) for _ in range(len(shifts_s) + 1)]
    ranks = random_source.choice(customer.width, size=count, p=weights / weights.sum())
    method_numbers = random_source.choice(len(methods), size=count, p=shares)

    rows = []
    for at_s, keep_draw, rank, method in zip(times_s, keep_draws, ranks, method_numbers, strict=True):
        if keep_draw > rate_per_s * burst_factor(bursts, at_s) / peak_per_s:
            continue
        permutation = gateway_permutations[sum(shift_s <= at_s for shift_s in shifts_s)]
        gateway = (customer.first + int(permutation[rank])) % scenario.gateways.count
        rows.append(ArrivalRow(int(at_s * 1e6), number, int(method), gateway))
    return rows


def method_shares(scenario: Scenario) -> npt.NDArray[np.float64]:
    """Returns each method's share of the requests; the shares add up to 1."""
    shares = np.array([method.share for method in scenario.method])
    return shares / sum(method.share for method in scenario.method)


def burst_factor(bursts: list[Fault], at_s: float) -> float:
    """Returns the factor by which bursts multiply the load at a time."""
    return max([1.0, *(burst.factor for burst in bursts if burst.at_s <= at_s < burst.at_s + burst.for_s)])


def gateway_shifts_s(scenario: Scenario) -> list[float]:
    """Returns the times at which the ranks of all customers' gateways are drawn anew."""
    shifts_s = sorted(fault.at_s for fault in scenario.fault if fault.kind == "shift")
    if scenario.clients.shift_s:
        shifts_s += list(np.arange(scenario.clients.shift_s, scenario.seconds, scenario.clients.shift_s))
    return shifts_s


# ---- faults ----


def draw_fault_events(scenario: Scenario, random_source: np.random.Generator) -> list[FaultEvent]:
    """Returns the events of the scenario's own faults and of the random ones, in the order of time."""
    faults = list(scenario.fault)
    if scenario.random:
        faults += [draw_fault(scenario, scenario.random, random_source) for _ in range(scenario.random.faults)]
    events: list[FaultEvent] = []
    for number, fault in enumerate(faults):
        if target_of(fault.kind) == FaultTarget.LINK:
            events += link_fault_events(fault, number)
        else:
            events += process_fault_events(scenario, fault, number, random_source)
    return sorted(events, key=lambda event: (event.at_us, event.number, event.processes))


def draw_fault(scenario: Scenario, bounds: RandomFaults, random_source: np.random.Generator) -> Fault:
    """Draws one fault within the bounds of the scenario's random faults."""
    kind = bounds.kinds[int(random_source.integers(len(bounds.kinds)))]
    at_s = round(float(random_source.uniform(0.1, 0.7)) * scenario.seconds, 2)
    for_s = round(float(random_source.uniform(0.2, 1.0)) * bounds.longest_s, 2)
    zones = scenario.zones()
    zone = zones[int(random_source.integers(len(zones)))]
    return Fault(
        at_s=at_s,
        kind=kind,
        for_s=for_s,
        part=bounds.part,
        factor=RANDOM_FAULT_FACTOR,
        ms=RANDOM_FAULT_DELAY_MS,
        jitter_ms=RANDOM_FAULT_JITTER_MS,
        bytes_s=RANDOM_FAULT_BYTES_S,
        from_=f"{zone}/*" if target_of(kind) == FaultTarget.LINK else "",
    )


def link_fault_events(fault: Fault, number: int) -> list[FaultEvent]:
    """Returns the start of a link's fault and, unless the fault is permanent, its end."""
    begin_us = int(fault.at_s * 1e6)
    source, destination = fault.from_ or "*", fault.to or "*"
    events = [FaultEvent(begin_us, fault.kind, True, [], source, destination, fault, number)]
    if fault.for_s:
        end_us = begin_us + int(fault.for_s * 1e6)
        events.append(FaultEvent(end_us, fault.kind, False, [], source, destination, fault, number))
    return events


def process_fault_events(
    scenario: Scenario, fault: Fault, number: int, random_source: np.random.Generator
) -> list[FaultEvent]:
    """Returns the starts and the ends of a fault at each of the processes that it affects."""
    candidates = matching_processes(scenario, fault)
    count = max(1, round(len(candidates) * fault.part)) if candidates else 0
    names = candidates
    if count < len(candidates):
        names = sorted(random_source.choice(candidates, size=count, replace=False).tolist())
    events = []
    for name in names:
        begin_us = int(fault.at_s * 1e6)
        if fault.over_s:
            begin_us += int(float(random_source.uniform(0, fault.over_s)) * 1e6)
        events.append(FaultEvent(begin_us, fault.kind, True, [name], "", "", fault, number))
        if fault.for_s:
            end_us = begin_us + int(fault.for_s * 1e6)
            events.append(FaultEvent(end_us, fault.kind, False, [name], "", "", fault, number))
    return events
