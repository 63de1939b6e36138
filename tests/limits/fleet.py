"""Many gateways of the module around one counter, on a simulated clock in one process: limits.

No backend is ever full here: what is refused is refused by limits. A reference store per customer, which sees
all that is sent on, tells what was inside the quota; another one the ceiling.
"""

import bisect
import heapq
import itertools
import random
from dataclasses import dataclass, field

from stoneyoke.control import Gateway
from stoneyoke.control.actions import Abandon, AddToCounter, ForgetCustomer, Reject, SetTimer, StartAttempt
from stoneyoke.control.events import Arrival, AttemptEnded, CounterReply, Endpoint, EndpointsChanged, TimerFired
from stoneyoke.control.parameters import (
    AttemptOutcome,
    BackendState,
    DeduplicationScope,
    GatewayParameters,
    Idempotency,
    Method,
)

SECOND = 1_000_000
START = 1_000_000_000 * SECOND
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


class Reference:
    """A store that sees everything; level may fall below 0 by what is beyond."""

    def __init__(self, rate, burst):
        self.rate, self.burst, self.level, self.at = rate, burst, burst, START

    def fill(self, now):
        self.level = min(self.burst, self.level + self.rate * (now - self.at) / SECOND)
        self.at = now
        return self.level


@dataclass
class Customer:
    account: int
    plan: int
    first: int
    width: int
    use: float  # of its rate
    quota: Reference
    ceiling: Reference
    weights: list = field(default_factory=list)  # cumulated, of its gateways
    asked: float = 0.0
    inside: float = 0.0
    beyond: float = 0.0
    refused_inside: float = 0.0  # units refused while the quota held them
    lowest: float = 0.0  # of the ceiling's store

    @property
    def passed(self):
        return self.inside + self.beyond


class Counter:
    """Adds in turn, a call each 1 / per_s seconds; a line longer than 0.1 s is turned away. All in us."""

    def __init__(self, fleet, per_s, limit=80_000, way=(200, 2600)):
        self.fleet, self.each, self.limit, self.way = fleet, SECOND / per_s, limit, way
        self.free, self.values, self.calls = START, {}, 0
        self.silent = False
        self.lost = 0.0  # the part of the answers that get lost on their way

    def call(self, gateway, life, action):
        fleet, sent, rng = self.fleet, self.fleet.now, self.fleet.rng
        self.calls += 1

        def tell(after, added, total):
            fleet.after(after, lambda: fleet.tell(gateway, life, CounterReply(action.name, added, total)))

        def come():
            late = sent + self.limit - fleet.now
            if self.silent:
                return tell(late, False, 0.0)
            if self.free - fleet.now > 100_000:
                return tell(rng.randint(*self.way), False, 0.0)
            self.free = max(fleet.now, self.free) + self.each
            fleet.after(self.free - fleet.now, serve)
            return None

        def serve():
            value, dies = self.values.get(action.name, (0.0, 0))
            if dies <= fleet.now:
                value, dies = 0.0, fleet.now + action.ttl_us
            self.values[action.name] = value + action.amount, dies
            back = rng.randint(*self.way)
            late = sent + self.limit - fleet.now
            if rng.random() < self.lost or back > late:
                return tell(max(0, late), False, 0.0)
            tell(back, True, value + action.amount)
            return None

        fleet.after(rng.randint(*self.way), come)

    def wipe(self, part=1.0):
        for name in [name for name in self.values if self.fleet.rng.random() < part]:
            del self.values[name]


class Fleet:
    """plans: (plan, gateways of each customer, uses of its customers, as parts of the rate) for each plan."""

    def __init__(self, gateways, plans, per_s=5000, seed=1, units=1.0, skew=0.7, **parameters):
        self.rng, self.now, self.heap, self.order = random.Random(seed), START, [], itertools.count()
        self.units, self.skew = units, skew
        self.parameters = {"units_max": units, "has_counter": True} | parameters
        self.plans = tuple(plan for plan, _, _ in plans)
        self.counter = Counter(self, per_s)
        self.lives, self.members = [0] * gateways, [None] * gateways
        self.indices = [{} for _ in range(gateways)]
        self.rpcs, self.numbers, self.tries, self.longest = {}, itertools.count(1), 0, 0
        for at in range(gateways):
            self.start(at)
        self.customers = []
        for at, (plan, width, uses) in enumerate(plans):
            for use in uses:
                customer = Customer(
                    self.rng.randrange(2**33),
                    at,
                    self.rng.randrange(gateways),
                    width,
                    use,
                    Reference(plan.rate, plan.burst),
                    Reference(plan.ceiling_rate, plan.ceiling_burst),
                )
                self.customers.append(customer)
                self.shift(customer)
                self.arrive_next(customer)

    def after(self, us, then):
        heapq.heappush(self.heap, (self.now + max(0, int(us)), next(self.order), then))

    def run(self, seconds):
        end = self.now + int(seconds * SECOND)
        while self.heap[0][0] <= end:
            self.now, _, then = heapq.heappop(self.heap)
            then()
        self.now = end
        return self

    def start(self, at):
        self.lives[at] += 1
        self.indices[at] = {}
        values = {
            "seed": self.rng.randrange(2**63),
            "gateways": len(self.lives),
            "own_index": at,
            "zone": at % 3,
            "methods": METHODS,
            "plans": self.plans,
            "attempts_max": 5,
            "can_cancel_attempts": True,
            "clients_mark_retries": True,
            "advises_wait": True,
            "settles_units": False,
            "must_subscribe": False,
            "cold_share": 0.25,
            "warm_up_us": 10 * SECOND,
            "overload_factor": 2.0,
            "overload_window_us": 1_500_000,
        }
        self.members[at] = Gateway(GatewayParameters(**(values | self.parameters)), self.now)
        self.tell(
            at,
            self.lives[at],
            EndpointsChanged(True, False, [Endpoint(i, i % 3, i % 5, 0, BackendState.READY) for i in range(40)]),
        )

    def kill(self, at, back_s):
        self.lives[at] += 1
        self.members[at] = None
        self.after(back_s * SECOND, lambda: self.start(at))

    def tell(self, at, life, event):
        if self.lives[at] != life or not self.members[at]:
            return
        for action in self.members[at].handle(event, self.now):
            match action:
                case SetTimer(delay, token):
                    self.after(delay, lambda t=token: self.tell(at, life, TimerFired(t)))
                case AddToCounter():
                    self.counter.call(at, life, action)
                case StartAttempt(rpc, backend, _):
                    self.sent(at, life, rpc, backend)
                case Reject(rpc) | Abandon(rpc):
                    self.refused(rpc)
                case ForgetCustomer(index):
                    self.indices[at] = {a: i for a, i in self.indices[at].items() if i != index}

    # ---- clients ----

    def shift(self, customer):
        weights = [1 / (i + 1) ** self.skew for i in range(customer.width)]
        self.rng.shuffle(weights)
        customer.weights = list(itertools.accumulate(weights))
        self.after(self.rng.uniform(8, 19) * SECOND, lambda: self.shift(customer))

    def arrive_next(self, customer):
        def fire():
            self.arrive_next(customer)
            self.arrive(customer)

        pace = max(1e-9, customer.use * self.plans[customer.plan].rate / self.units)
        self.after(self.rng.expovariate(pace) * SECOND, fire)

    def arrive(self, customer):
        place = bisect.bisect(customer.weights, self.rng.random() * customer.weights[-1])
        at = (customer.first + place) % len(self.lives)
        if not self.members[at]:
            return
        rpc, indices = next(self.numbers), self.indices[at]
        self.rpcs[rpc] = customer, self.now
        self.tries += 1
        customer.asked += self.units
        index = indices.setdefault(customer.account, max(indices.values(), default=-1) + 1)
        self.tell(
            at,
            self.lives[at],
            Arrival(
                rpc=rpc,
                method=0,
                plan=customer.plan,
                customer=index,
                customer_id=customer.account,
                wait_us=4 * SECOND,
                units=self.units,
                customer_gateways=float(customer.width),
                is_retry=False,
            ),
        )

    def sent(self, at, life, rpc, backend):
        customer, came = self.rpcs.pop(rpc)
        self.longest = max(self.longest, self.now - came)
        if customer.quota.fill(self.now) >= self.units:
            customer.quota.level -= self.units
            customer.inside += self.units
        else:
            customer.beyond += self.units
        customer.ceiling.fill(self.now)
        customer.ceiling.level -= self.units
        customer.lowest = min(customer.lowest, customer.ceiling.level)
        self.after(
            self.rng.uniform(0.05, 0.2) * SECOND,
            lambda: self.tell(
                at,
                life,
                AttemptEnded(
                    rpc=rpc, attempt=0, backend=backend, outcome=AttemptOutcome.OK, is_final=True, settled_units=0.0
                ),
            ),
        )

    def refused(self, rpc):
        customer, came = self.rpcs.pop(rpc)
        self.longest = max(self.longest, self.now - came)
        customer.refused_inside += self.units * (customer.quota.fill(self.now) >= self.units)

    # ---- what came of it ----

    def clear(self):
        for customer in self.customers:
            customer.asked = customer.inside = customer.beyond = customer.refused_inside = 0.0

    def share(self, what, among=lambda customer: True):
        """A sum over customers, in what they asked for."""
        chosen = [c for c in self.customers if among(c)]
        return sum(getattr(c, what) for c in chosen) / max(1e-9, sum(c.asked for c in chosen))
