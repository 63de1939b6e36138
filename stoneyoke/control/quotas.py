"""Quotas: stores, waits, early returns, slices by counted demand (docs/design.md, the ordinary path)."""

import math
from collections import deque
from collections.abc import Callable, Generator
from functools import partial
from typing import Any

from stoneyoke.control.actions import Action, AddToCounter, ForgetCustomer
from stoneyoke.control.events import Arrival, CounterReply
from stoneyoke.control.ground import BEAT, Ground
from stoneyoke.control.open_rpc import Call, OpenRpc
from stoneyoke.control.parameters import GatewayParameters, Plan
from stoneyoke.limits.shared_bucket import KEY_TTL_US, CounterDialogue, SharedBucket, ceiling_share
from stoneyoke.limits.token_bucket import MAX_WAIT_US, SECOND, TokenBucket

Hear = Callable[[CounterReply], None]
Held = tuple[int, float] | None  # a name of the counter and the amount that stands in it for an RPC


class Customer:
    """A customer at this gateway. Dropped by sweep() once idle and its store full, or idle for a minute."""

    def __init__(
        self, call: Arrival, plan: Plan, parameters: GatewayParameters, lump: float, now: int, born: int
    ) -> None:
        self.index, self.customer_id, self.plan = call.customer, call.customer_id, plan
        width = (
            call.customer_gateways
            if math.isfinite(call.customer_gateways) and call.customer_gateways >= 1
            else parameters.gateways
        )
        self.even = 1 / min(width, parameters.gateways)
        self.slice, self.lump = self.even, lump
        self.store = TokenBucket(plan.rate * self.even, self.depth(), self.depth(), now)
        # Rule 5: an earlier life may have sent all, so it starts empty with this life; time fills it.
        rate, depth = plan.ceiling_rate * self.even, plan.ceiling_burst * self.even
        self.ceiling = TokenBucket(rate, depth, min(depth, rate * (now - born) / SECOND), now)
        self.out, self.seen = 0, now
        self.demand = 0.0  # this second's, in units
        # Decayed sums over seconds, and their lengths: own demand, and what the others were counted with.
        self.own = self.own_time = self.others = self.others_time = 0.0
        self.heard = -MAX_WAIT_US
        # An even slice that refills by less than two of the largest RPCs in a second tells little of the
        # whole: then the store is the common one, and the slice decides where that is not heard. Read off
        # what is told, so that all gateways agree.
        self.common, self.period = None, 1
        if parameters.has_counter and self.even < 1 and 0 < plan.rate * self.even < 2 * parameters.units_max:
            self.period = 2  # where it is not asked for: thin demand shows late
            self.common = SharedBucket(plan, call.customer_id, self.even, lump)
            rate, depth = ceiling_share(plan, self.even, parameters.units_max, parameters.own_index)
            self.ceiling = TokenBucket(rate, depth, min(depth, rate * (now - born) / SECOND), now)
        self.counting_until = self.advised_until = self.blocked_until = 0
        self.tries = self.early = self.step = 0

    def depth(self) -> float:
        # Units come in lumps: a slice is rounded up, by two mean RPCs with few gateways (1 and 1.5 gave 0.01
        # to 0.08 less), by little over one with many, where roundings add up. Refill mints nothing.
        return min(self.plan.burst, self.plan.burst * self.slice + (1 + min(1.0, 12 * self.even)) * self.lump)

    def take_slice(self, part: float, now: int) -> None:
        self.slice = max(part, self.even / 10)
        self.store.resize(self.plan.rate * self.slice, self.depth(), now)

    def parallel_full(self, taken: float) -> bool:
        """What the others have out: their rate times the time that an RPC takes. A part rounded to whole
        call-outs would be nothing, or one for each of a hundred gateways."""
        if self.plan.rate <= 0:
            return 0 < self.plan.concurrency_max and self.out >= max(
                1, int(self.plan.concurrency_max * self.slice + 1e-9)
            )
        others = self.others / self.others_time if self.others_time else self.plan.rate * (1 - self.slice)
        return 0 < self.plan.concurrency_max <= self.out + min(self.plan.rate, others) / self.lump * taken


class Quotas(Ground):
    def __init__(self, parameters: GatewayParameters, now: int) -> None:
        super().__init__(parameters, now)
        self.customers: dict[int, Customer] = {}
        self.counter_heard = self.counter_asked = now
        self.agenda: dict[int, list[Call]] = {}  # beat -> calls; renewed each second
        self.awaiting: dict[int, deque[tuple[int, Hear | None]]] = {}  # by name; each call is answered once
        self.beat = self.misses = 0  # misses: counter calls in a row without an answer
        self.reading = 1.0  # the part of the calls that is made
        self.guards = any(plan.ceiling_rate > 0 for plan in parameters.plans)
        self.usual_reading, self.counts_until = 1.0, now
        self.prompt = 20_000.0  # the shortest time in which one was answered, slowly forgotten
        self.lump = 1.0  # running mean of the RPCs' cost

    def customer(self, call: Arrival) -> Customer:
        if not math.isfinite(call.units) or call.units <= 0:
            call.units = max(1.0, self.parameters.units_max)  # an unreadable cost counts as the dearest
        self.lump += (call.units - self.lump) * 0.05
        if not (customer := self.customers.get(call.customer)):
            customer = Customer(call, self.parameters.plans[call.plan], self.parameters, self.lump, self.now, self.born)
            self.customers[call.customer] = customer
        customer.seen, customer.lump = self.now, self.lump
        return customer

    def admit(self, rpc: OpenRpc, customer: Customer) -> Generator[Action | int, Any, tuple[int, Held]]:
        """How long till the customer's store can take it, 0 if it does now; and what the common store holds
        for it, if that took it."""
        call, common = rpc.call, customer.common
        customer.tries += 1
        if customer.parallel_full(self.methods[call.method].mean / SECOND):
            return int(self.methods[call.method].mean), None
        if call.units > customer.plan.burst and customer.plan.rate > 0:
            return MAX_WAIT_US, None
        if common is None or not self.asks(common):
            return self.slice_wait(customer, call), None
        # Not asked about: what is surely empty, an RPC whose time may pass meanwhile, what a crowded counter
        # can't bear; a silent one is asked once a second.
        if common.max_level(self.now) < call.units or self.now < common.closed_until:
            return self.common_wait(common, call), None
        silent = self.misses >= 3 and self.now - self.counter_asked < SECOND
        part = min(1.0, self.reading * (3 if common.has_ceiling else 1)) if self.guards else 1.0
        if silent or call.wait_us < 4 * BEAT or self.random_source.draw() >= part:
            return self.slice_wait(customer, call), None
        # What goes unasked meanwhile is made up for by the weight of what is asked.
        name, asked_at = common.counter_key(self.now), self.now
        amount = max(call.units, min(call.units / part, 0.5 * common.burst))
        answer: CounterReply | None = yield AddToCounter(name, KEY_TTL_US, amount)
        if answer is None or not answer.added or not math.isfinite(answer.total) or asked_at < self.woke:
            return self.slice_wait(customer, call), None
        level = common.level_from(answer.total, self.now)
        if level is None or common.counter_key(self.now) != name:
            # One just born saves the look back: all are, when there is much to open.
            self.converse(common.open_epoch(self.now, self.now - self.born > 3 * SECOND))
            return self.slice_wait(customer, call), None
        level += amount
        if spilt := common.overflow(level):
            self.call_counter(name, spilt)
        common.record_level(level, call.units, self.now)
        if level >= call.units:
            return 0, (name, amount)
        self.call_counter(name, -amount)
        return self.common_wait(common, call), None

    def asks(self, common: SharedBucket) -> bool:
        return common.has_ceiling or self.now >= self.counts_until

    def common_wait(self, common: SharedBucket, call: Arrival) -> int:
        lack = call.units - common.max_level(self.now)
        return max(1, common.closed_until - self.now, math.ceil(lack / common.rate * SECOND))

    def converse(self, talk: CounterDialogue, answer: CounterReply | None = None) -> None:
        """Calls the counter as the talk wants, which is told each answer's total (nan: none) and the time."""
        total = answer.total if answer and answer.added else math.nan
        try:
            name, amount = talk.send((total, self.now)) if answer else next(talk)
        except StopIteration:
            return
        self.call_counter(name, amount, partial(self.converse, talk))

    def slice_wait(self, customer: Customer, call: Arrival) -> int:
        """Until the stores of this gateway's slice can take it; 0: they can."""
        plan, wait = customer.plan, 0
        if plan.rate > 0:
            if customer.store.fill(self.now) - call.units < 0.5 * customer.store.depth:
                customer.counting_until = self.now + (2 + customer.period) * SECOND
            # A full store takes an RPC dearer than it holds, and owes the rest: else that is shut out.
            wait = customer.store.wait_us(min(call.units, customer.store.depth), self.now)
        if plan.ceiling_rate > 0:
            wait = max(wait, customer.ceiling.wait_us(call.units, self.now))
        return wait

    def advised(self, customer: Customer, wait: int) -> int:
        """The wait that a pushback states: jittered, with what escalation adds."""
        customer.early += self.now < customer.advised_until
        # Nine early returns in ten RPCs: double the wait; nine in ten again: block. Else back to plain.
        if customer.tries >= 10:
            customer.step = min(2, customer.step + 1) if customer.early >= 9 else 0
            if customer.step == 2:
                customer.blocked_until = self.now + 5 * SECOND
            customer.tries = customer.early = 0
        wait = min(MAX_WAIT_US, wait * (2 if customer.step else 1))
        wait = self.jittered(max(wait, customer.blocked_until - self.now))
        customer.advised_until = self.now + wait
        return wait

    def jittered(self, wait: int) -> int:
        return wait + int(self.random_source.draw() * (min(MAX_WAIT_US, max(SECOND, wait)) + 1))

    # ---- slices from counted demand ----

    def close_second(self) -> None:
        """At each second's end: the demand is finished, and its counter calls are laid out: beats 1 to 8 add,
        11 to 18 read, by account."""
        second, self.agenda = self.now // SECOND, {}
        silent = self.misses >= 3 and self.counter_asked - self.counter_heard > SECOND
        for customer in list(self.customers.values()):
            if (second + customer.customer_id) % customer.period == 0:
                told, customer.demand = customer.demand, 0.0
                customer.own = 0.6 * customer.own + told
                customer.own_time = 0.6 * customer.own_time + customer.period
                if self.now < customer.counting_until and customer.even < 1 and self.parameters.has_counter:
                    self.lay_out(customer, told, second)
            if self.now - customer.heard > (2 if silent else 20) * SECOND:
                customer.others = customer.others_time = 0.0
            self.renew_slice(customer)
            self.sweep(customer)

    def lay_out(self, customer: Customer, told: float, second: int) -> None:
        name = (customer.customer_id * 0x9E3779B97F4A7C15 + second * 0xD1B54A32D192ED03) % 2**64
        slot, part = customer.customer_id % 8, self.reading
        if not customer.common:
            if told > 0:
                self.agenda.setdefault(1 + slot, []).append(Call(name, told))
            if self.random_source.draw() < part:
                self.agenda.setdefault(11 + slot, []).append(Call(name, 0.0, customer.index, told))
        elif told > 0 and not self.asks(customer.common) and self.random_source.draw() < part:
            # One call for both. What is left out while calls are turned away is made up for by its weight.
            slot, told = int(18 * self.random_source.draw()), told / part
            self.agenda.setdefault(1 + slot, []).append(Call(name, told, customer.index, told, (slot + 0.5) / 18))

    def renew_slice(self, customer: Customer) -> None:
        """Own part of the counted demand; even while nothing is known of the others."""
        own = customer.own / max(customer.own_time, 1)
        demand = own + customer.others / max(customer.others_time, 0.01)
        customer.take_slice(own / demand if demand > 0 < customer.others_time else customer.even, self.now)

    def sweep(self, customer: Customer) -> None:
        idle, store, ceiling = self.now - customer.seen, customer.store, customer.ceiling
        # A thin slice earns an RPC back in a minute or so: customers seen once must not stay for longer.
        full = idle > 60 * SECOND or store.fill(self.now) >= store.depth
        if idle > 10 * SECOND and not customer.out and full and ceiling.fill(self.now) >= ceiling.depth:
            del self.customers[customer.index]
            self.actions.append(ForgetCustomer(customer.index))

    def count(self) -> None:
        for beat in [b for b in self.agenda if b <= self.beat]:
            for call in self.agenda.pop(beat):
                hear = partial(self.read, call) if call.customer >= 0 else None
                self.call_counter(call.name, call.amount, hear)

    def call_counter(self, name: int, amount: float, hear: Hear | None = None) -> None:
        self.counter_asked = self.now
        self.awaiting.setdefault(name, deque()).append((self.now, hear))
        self.actions.append(AddToCounter(name, KEY_TTL_US, amount))

    def counted(self, answer: CounterReply) -> None:
        if not (line := self.awaiting.get(answer.name)):
            return
        asked_at, hear = line.popleft()
        if not line:
            del self.awaiting[answer.name]
        self.misses = 0 if answer.added else self.misses + 1
        self.counter_heard = self.now if answer.added else self.counter_heard
        # No sign of a crowded counter: a call lost with its link (nan), a silent counter, an own stop.
        if asked_at >= self.woke and self.misses < 3 and not math.isnan(answer.total):
            self.weigh_counter(answer.added, self.now - asked_at)
        if hear:
            hear(answer)

    def weigh_counter(self, added: bool, took: int) -> None:
        """A crowded counter: fewer calls, in balance at one failed in five. Where RPCs wait for answers a
        slow one counts as failed. If for seconds not half of them can be asked about, all but those under
        a ceiling are counted by the period, in fewer calls: both at once did worse than either."""
        if added:
            self.prompt = min(1.002 * self.prompt, took)
        asking = self.now >= self.counts_until
        failed = not added or (asking or self.guards) and took > 2 * self.prompt + 5_000
        self.reading = max(0.05, min(1.0, 0.9 * self.reading if failed else 1.03 * self.reading + 0.01))
        self.usual_reading += (self.reading - self.usual_reading) * 0.04
        if asking and self.guards and self.usual_reading < 0.45:
            self.counts_until, self.reading, self.usual_reading = self.now + 30 * SECOND, 1.0, 1.0

    def read(self, call: Call, answer: CounterReply) -> None:
        customer = self.customers.get(call.customer)
        if not customer or not answer.added or not math.isfinite(answer.total):
            return
        if answer.total < call.told * 0.999:  # lost counts: as if the counter were silent
            return
        fade = 0.6 ** min(20.0, (self.now - customer.heard) / SECOND / customer.period)
        customer.heard = self.now
        customer.others = fade * customer.others + answer.total - call.told
        customer.others_time = fade * customer.others_time + call.part * customer.period
        self.renew_slice(customer)
