"""Simulates many gateways around one counter, with a simulated clock in one process, to check what limits admit.

No backend is ever full here, so limits are the only cause of rejections. For each customer, a reference bucket that
sees every attempt shows what was within the quota; another one shows what was within the ceiling. Times are
microseconds.
"""

import bisect
import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Any, NamedTuple

from stoneyoke.control import Gateway
from stoneyoke.control.actions import AddToCounter, FailRpc, ForgetCustomer, Reject, SetTimer, StartAttempt
from stoneyoke.control.events import Arrival, AttemptEnded, CounterReply, Endpoint, EndpointsChanged, Event, TimerFired
from stoneyoke.control.parameters import (
    AttemptOutcome,
    BackendState,
    DeduplicationScope,
    GatewayParameters,
    Idempotency,
    Method,
    Plan,
)
from stoneyoke.limits.token_bucket import SECOND

START = 1_000_000_000 * SECOND
BACKENDS = 40
ZONES = 3
COUNTER_BACKLOG_US = 100_000  # the counter rejects calls while its queue is longer
COUNTER_TIMEOUT_US = 80_000
COUNTER_DELAY_US = (200, 2600)  # one way
METHODS = (
    Method(
        idempotency=Idempotency.IDEMPOTENT,
        deduplication_scope=DeduplicationScope.CELL,
        soft_deadline_us=SECOND,
        deadline_us=4 * SECOND,
        deduplication_window_us=0,
        utility=1.0,
    ),
)


class ReferenceBucket:
    """A bucket that sees every attempt; its level goes below 0 by what exceeds its limit."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst, self.level, self.filled_at = rate, burst, burst, START

    def fill(self, now: int) -> float:
        self.level = min(self.burst, self.level + self.rate * (now - self.filled_at) / SECOND)
        self.filled_at = now
        return self.level


class PlanCustomers(NamedTuple):
    """A plan and its customers: how many gateways each has, and how much of the plan's rate each uses."""

    plan: Plan
    gateways: int
    uses: Sequence[float]


@dataclass
class Customer:
    """A customer, and what happened to its units since the counts were last cleared.

    Attributes:
        customer_id: The same at all gateways.
        plan: Index of its plan.
        first_gateway: Index of the first of its gateways, which have consecutive indices.
        gateways: Number of its gateways.
        use: Its demand, as a multiple of its rate.
        quota: Reference bucket of its quota.
        ceiling: Reference bucket of its ceiling.
        cumulative_weights: Cumulative weights of its gateways, for the random choice among them.
        asked: Units that it requested.
        inside: Units forwarded within its quota.
        beyond: Units forwarded beyond its quota.
        refused_inside: Units rejected although the quota had them.
        lowest: Lowest level of the ceiling's bucket.
    """

    customer_id: int
    plan: int
    first_gateway: int
    gateways: int
    use: float
    quota: ReferenceBucket
    ceiling: ReferenceBucket
    cumulative_weights: list[float] = field(default_factory=list)
    requested: float = 0.0
    inside: float = 0.0
    beyond: float = 0.0
    refused_inside: float = 0.0
    lowest_ceiling_level: float = 0.0

    @property
    def passed(self) -> float:
        return self.inside + self.beyond


class SimulatedCounter:
    """A counter that serves one call each 1 / calls_per_s seconds in order, and rejects calls during a backlog."""

    def __init__(self, fleet: "SimulatedGateways", calls_per_s: float) -> None:
        self.fleet = fleet
        self.service_us = SECOND / calls_per_s
        self.free_at: float = START
        self.values: dict[int, tuple[float, int]] = {}  # by key: the total and when it expires
        self.calls = 0
        self.silent = False
        self.lost_ratio = 0.0  # share of the replies that are lost

    def call(self, gateway: int, incarnation: int, action: AddToCounter) -> None:
        """Simulates a gateway's call: it arrives, queues, is served, and its reply travels back."""
        fleet, timeout_at = self.fleet, self.fleet.now + COUNTER_TIMEOUT_US
        self.calls += 1

        def reply(delay_us: float, added: bool, total: float) -> None:
            fleet.after(delay_us, lambda: fleet.deliver(gateway, incarnation, CounterReply(action.name, added, total)))

        def arrive() -> None:
            if self.silent:
                reply(timeout_at - fleet.now, False, 0.0)
            elif self.free_at - fleet.now > COUNTER_BACKLOG_US:
                reply(fleet.random_source.randint(*COUNTER_DELAY_US), False, 0.0)
            else:
                self.free_at = max(fleet.now, self.free_at) + self.service_us
                fleet.after(self.free_at - fleet.now, serve)

        def serve() -> None:
            total = self.add(action)
            way_back_us = fleet.random_source.randint(*COUNTER_DELAY_US)
            left_us = timeout_at - fleet.now
            if fleet.random_source.random() < self.lost_ratio or way_back_us > left_us:
                reply(max(0, left_us), False, 0.0)
            else:
                reply(way_back_us, True, total)

        fleet.after(fleet.random_source.randint(*COUNTER_DELAY_US), arrive)

    def add(self, action: AddToCounter) -> float:
        """Adds to a key, which restarts at 0 once it has expired, and returns its total."""
        total, expires_at = self.values.get(action.name, (0.0, 0))
        if expires_at <= self.fleet.now:
            total, expires_at = 0.0, self.fleet.now + action.ttl_us
        total += action.amount
        self.values[action.name] = total, expires_at
        return total

    def wipe(self, ratio: float = 1.0) -> None:
        """Loses this share of the keys, chosen at random."""
        for key in [key for key in self.values if self.fleet.random_source.random() < ratio]:
            del self.values[key]


class SimulatedGateways:
    """Gateways, their customers' requests, and the counter, as events on one clock."""

    def __init__(  # noqa: PLR0913 -- settings of a simulation, by keyword, each with a default
        self,
        gateways: int,
        plans: Sequence[PlanCustomers],
        *,
        calls_per_s: float = 5000,
        seed: int = 1,
        units: float = 1.0,
        skew: float = 0.7,
        **parameters: Any,
    ) -> None:
        """Starts the gateways and their customers' requests.

        Args:
            gateways: Number of gateways.
            plans: The plans, each with its customers.
            calls_per_s: Calls that the counter serves in a second.
            seed: Seed of all random choices.
            units: Cost of each request.
            skew: How unevenly a customer's requests are spread over its gateways; 0 is evenly.
            parameters: Gateway parameters that differ from the defaults.
        """
        self.random_source, self.now = random.Random(seed), START
        self.events: list[tuple[int, int, Callable[[], object]]] = []  # a heap: time, sequence number, action
        self.order = itertools.count()
        self.units, self.skew = units, skew
        self.parameters = {"units_max": units, "has_counter": True} | parameters
        self.plans = tuple(one.plan for one in plans)
        self.counter = SimulatedCounter(self, calls_per_s)
        self.incarnations = [0] * gateways
        self.members: list[Gateway | None] = [None] * gateways
        self.indices: list[dict[int, int]] = [{} for _ in range(gateways)]  # customers' indices, by gateway
        self.open_rpcs: dict[int, tuple[Customer, int]] = {}  # the customer and the arrival time, by RPC
        self.rpc_numbers = itertools.count(1)
        self.arrivals = 0
        self.longest_decision_us = 0  # longest time between an arrival and its decision
        for at in range(gateways):
            self.start(at)
        self.customers: list[Customer] = []
        for plan_at, one in enumerate(plans):
            for use in one.uses:
                self.add_customer(plan_at, one, use)

    def add_customer(self, plan_at: int, plan: PlanCustomers, use: float) -> None:
        customer = Customer(
            customer_id=self.random_source.randrange(2**33),
            plan=plan_at,
            first_gateway=self.random_source.randrange(len(self.members)),
            gateways=plan.gateways,
            use=use,
            quota=ReferenceBucket(plan.plan.rate, plan.plan.burst),
            ceiling=ReferenceBucket(plan.plan.ceiling_rate, plan.plan.ceiling_burst),
        )
        self.customers.append(customer)
        self.shift_weights(customer)
        self.schedule_arrival(customer)

    # ---- time ----

    def after(self, delay_us: float, action: Callable[[], object]) -> None:
        heapq.heappush(self.events, (self.now + max(0, int(delay_us)), next(self.order), action))

    def run(self, seconds: float) -> "SimulatedGateways":
        end = self.now + int(seconds * SECOND)
        while self.events[0][0] <= end:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = end
        return self

    # ---- gateways ----

    def start(self, at: int) -> None:
        """Starts a new incarnation of a gateway."""
        self.incarnations[at] += 1
        self.indices[at] = {}
        values: dict[str, Any] = {
            "seed": self.random_source.randrange(2**63),
            "gateways": len(self.members),
            "own_index": at,
            "zone": at % ZONES,
            "methods": METHODS,
            "plans": self.plans,
            "attempts_max": 5,
            "can_cancel_attempts": True,
            "clients_mark_retries": True,
            "sends_retry_after": True,
            "settles_units": False,
            "must_subscribe": False,
            "cold_share": 0.25,
            "warm_up_us": 10 * SECOND,
            "overload_factor": 2.0,
            "overload_window_us": 1_500_000,
        }
        self.members[at] = Gateway(GatewayParameters(**(values | self.parameters)), self.now)
        endpoints = [Endpoint(i, i % ZONES, i % 5, 0, BackendState.READY) for i in range(BACKENDS)]
        self.deliver(at, self.incarnations[at], EndpointsChanged(True, False, endpoints))

    def kill(self, at: int, back_s: float) -> None:
        """Kills a gateway's process; it restarts after so many seconds."""
        self.incarnations[at] += 1
        self.members[at] = None
        self.after(back_s * SECOND, lambda: self.start(at))

    def deliver(self, at: int, incarnation: int, event: Event) -> None:
        """Passes an event to a gateway, unless that incarnation has ended, and executes the actions."""
        gateway = self.members[at]
        if self.incarnations[at] != incarnation or not gateway:
            return
        for action in gateway.handle(event, self.now):
            match action:
                case SetTimer(delay_us, token):
                    self.after(delay_us, partial(self.deliver, at, incarnation, TimerFired(token)))
                case AddToCounter():
                    self.counter.call(at, incarnation, action)
                case StartAttempt(rpc, backend, _):
                    self.forwarded(at, incarnation, rpc, backend)
                case Reject(rpc) | FailRpc(rpc):
                    self.rejected(rpc)
                case ForgetCustomer(index):
                    self.indices[at] = {a: i for a, i in self.indices[at].items() if i != index}

    # ---- clients ----

    def shift_weights(self, customer: Customer) -> None:
        """Redistributes a customer's requests over its gateways, every 8 to 19 s."""
        weights = [1 / (i + 1) ** self.skew for i in range(customer.gateways)]
        self.random_source.shuffle(weights)
        customer.cumulative_weights = list(itertools.accumulate(weights))
        self.after(self.random_source.uniform(8, 19) * SECOND, lambda: self.shift_weights(customer))

    def schedule_arrival(self, customer: Customer) -> None:
        def arrive() -> None:
            self.schedule_arrival(customer)
            self.arrive(customer)

        arrivals_per_s = max(1e-9, customer.use * self.plans[customer.plan].rate / self.units)
        self.after(self.random_source.expovariate(arrivals_per_s) * SECOND, arrive)

    def arrive(self, customer: Customer) -> None:
        """Sends a request of a customer to one of its gateways; none if that one is down."""
        weights = customer.cumulative_weights
        place = bisect.bisect(weights, self.random_source.random() * weights[-1])
        at = (customer.first_gateway + place) % len(self.members)
        if not self.members[at]:
            return
        rpc, indices = next(self.rpc_numbers), self.indices[at]
        self.open_rpcs[rpc] = customer, self.now
        self.arrivals += 1
        customer.requested += self.units
        index = indices.setdefault(customer.customer_id, max(indices.values(), default=-1) + 1)
        arrival = Arrival(
            rpc=rpc,
            method=0,
            plan=customer.plan,
            customer=index,
            customer_id=customer.customer_id,
            wait_us=4 * SECOND,
            units=self.units,
            customer_gateways=float(customer.gateways),
            is_retry=False,
        )
        self.deliver(at, self.incarnations[at], arrival)

    def end_rpc(self, rpc: int) -> Customer:
        """Ends an RPC, and returns its customer."""
        customer, arrived_at = self.open_rpcs.pop(rpc)
        self.longest_decision_us = max(self.longest_decision_us, self.now - arrived_at)
        return customer

    def forwarded(self, at: int, incarnation: int, rpc: int, backend: int) -> None:
        customer = self.end_rpc(rpc)
        if customer.quota.fill(self.now) >= self.units:
            customer.quota.level -= self.units
            customer.inside += self.units
        else:
            customer.beyond += self.units
        customer.ceiling.fill(self.now)
        customer.ceiling.level -= self.units
        customer.lowest_ceiling_level = min(customer.lowest_ceiling_level, customer.ceiling.level)
        ended = AttemptEnded(
            rpc=rpc, attempt=0, backend=backend, outcome=AttemptOutcome.OK, is_final=True, settled_units=0.0
        )
        self.after(self.random_source.uniform(0.05, 0.2) * SECOND, lambda: self.deliver(at, incarnation, ended))

    def rejected(self, rpc: int) -> None:
        customer = self.end_rpc(rpc)
        customer.refused_inside += self.units * (customer.quota.fill(self.now) >= self.units)

    # ---- results ----

    def clear(self) -> None:
        """Resets the counted units of all customers."""
        for customer in self.customers:
            customer.requested = customer.inside = customer.beyond = customer.refused_inside = 0.0

    def share(self, units: Callable[[Customer], float], among: Callable[[Customer], bool] = lambda _: True) -> float:
        """Returns units of the chosen customers, as a share of what they requested."""
        chosen = [customer for customer in self.customers if among(customer)]
        return sum(units(customer) for customer in chosen) / max(1e-9, sum(customer.requested for customer in chosen))
