"""Every decision of stoneyoke: quotas, slices, pushbacks, choice of backend, overload and the five rules.

A host calls Gateway.handle(event, now) and carries out the actions it returns; events, actions and what
is given at start are in interface.py. Ordinary path (docs/design.md): a customer's slice of its quota is
its part of counted demand; over quota is pushed back at once with a store-based wait.

Mechanisms beside the design (at most six):
1. ranked order   backends by measured pace, renewed by a timer, filled from the top, each up to a limit
2. room           call-outs out at once, moved by each one's time to hold their mean well inside the soft dl
3. claims         how much of the room an RPC may fill: less when it comes too late, or is worth little
4. quiet backend  one that answers nothing sinks in the order; repeatable RPCs are called off and sent on
5. health         a backend whose share of failures is far above the fleet's median rests
6. guards         a fresh backend's cold budget, in fractions; a ceiling store that only time fills
"""

import math
from collections import deque
from collections.abc import Callable, Generator
from functools import partial
from typing import Any, NamedTuple

from stoneyoke.interface import (
    Abort, Action, AddCount, Arrival, CallOff, CallOut, CallOutEnded, ClientGone, CountAnswer, Effect, Event,
    FleetNews, Forget, Group, Hearsay, Outcome, Plan, PushBack, SetTimer, State, StreamBegun, Subscribe,
    Terms, TimerFired,
)
from stoneyoke.limits.common import LIFE, Common, Talk, guarded_part
from stoneyoke.spread.places import places, turns

SECOND = 1_000_000
BEAT = 50_000  # the one timer: 20 a second is fine enough for every look below and costs little
PROVEN_UNRUN = (Outcome.TURNED_AWAY, Outcome.NO_CONNECTION, Outcome.CUT, Outcome.NOT_SENT)
STILL_OUT = None  # what an RPC is resumed with when its call-out has been out for the asked time

Rpc = Generator[Action | int, Any, None]
Hear = Callable[[CountAnswer], None]
Held = tuple[int, float] | None  # a name of the counter and the amount that stands in it for an RPC


class Chance:
    """A linear congruential generator (Knuth's constants); the high bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = seed

    def draw(self) -> float:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % 2**64
        return (self.state >> 32) / 2**32


class Store:
    """Units that time refills up to a depth."""

    def __init__(self, rate: float, depth: float, level: float, now: int) -> None:
        self.rate, self.depth, self.level, self.at = rate, depth, level, now

    def fill(self, now: int) -> float:
        self.level = min(self.depth, self.level + self.rate * (now - self.at) / SECOND)
        self.at = now
        return self.level

    def reshape(self, rate: float, depth: float, now: int) -> None:
        """A changing slice mints nothing: what is held stays, at most up to the new depth."""
        self.level = min(self.fill(now), depth)
        self.rate, self.depth = rate, depth

    def wait_for(self, units: float, now: int) -> int:
        lack = units - self.fill(now)
        return 0 if lack <= 0 else LONGEST_WAIT if self.rate <= 0 else math.ceil(lack / self.rate * SECOND)


LONGEST_WAIT = 20 * SECOND  # the design's cap on advised wait and jitter


class Customer:
    """A customer at this gateway. Dropped by sweep() once idle and its store full, or idle for a minute."""

    def __init__(self, call: Arrival, plan: Plan, terms: Terms, lump: float, now: int, born: int) -> None:
        self.index, self.account, self.plan = call.customer, call.account, plan
        width = call.width if math.isfinite(call.width) and call.width >= 1 else terms.gateways
        self.even = 1 / min(width, terms.gateways)
        self.slice, self.lump = self.even, lump
        self.store = Store(plan.rate * self.even, self.depth(), self.depth(), now)
        # Rule 5: an earlier life may have sent all, so it starts empty with this life; time fills it.
        rate, depth = plan.ceiling_rate * self.even, plan.ceiling_burst * self.even
        self.ceiling = Store(rate, depth, min(depth, rate * (now - born) / SECOND), now)
        self.out, self.seen = 0, now
        self.demand = 0.0  # this second's, in units
        # Decayed sums over seconds, and their lengths: own demand, and what the others were counted with.
        self.own = self.own_time = self.others = self.others_time = 0.0
        self.heard = -LONGEST_WAIT
        # An even slice that refills by less than two of the largest RPCs in a second tells little of the
        # whole: then the store is the common one, and the slice decides where that is not heard. Read off
        # what is told, so that all gateways agree.
        self.common, self.period = None, 1
        if terms.has_counter and self.even < 1 and 0 < plan.rate * self.even < 2 * terms.units_top:
            self.period = 2  # where it is not asked for: thin demand shows late
            self.common = Common(plan, call.account, self.even, lump)
            rate, depth = guarded_part(plan, self.even, terms.units_top, terms.own_index)
            self.ceiling = Store(rate, depth, min(depth, rate * (now - born) / SECOND), now)
        self.counting_until = self.advised_until = self.blocked_until = 0
        self.tries = self.early = self.step = 0

    def depth(self) -> float:
        # Units come in lumps: a slice is rounded up, by two mean RPCs with few gateways (1 and 1.5 gave 0.01
        # to 0.08 less), by little over one with many, where roundings add up. Refill mints nothing.
        return min(self.plan.burst, self.plan.burst * self.slice + (1 + min(1.0, 12 * self.even)) * self.lump)

    def take_slice(self, part: float, now: int) -> None:
        self.slice = max(part, self.even / 10)
        self.store.reshape(self.plan.rate * self.slice, self.depth(), now)

    def parallel_full(self, taken: float) -> bool:
        """What the others have out: their rate times the time that an RPC takes. A part rounded to whole
        call-outs would be nothing, or one for each of a hundred gateways."""
        if self.plan.rate <= 0:
            return 0 < self.plan.parallel and self.out >= max(1, int(self.plan.parallel * self.slice + 1e-9))
        others = self.others / self.others_time if self.others_time else self.plan.rate * (1 - self.slice)
        return 0 < self.plan.parallel <= self.out + min(self.plan.rate, others) / self.lump * taken


class Backend:
    """A listed backend as this gateway has measured it. Dropped when gone and nothing is out."""

    def __init__(self, index: int) -> None:
        self.index, self.zone, self.cell, self.started, self.state = index, 0, 0, 0, State.GONE
        self.out = self.overdue = 0
        self.pace = 1.0  # time taken, in means of its methods
        self.failures = 0.0  # decayed share of call-outs that failed
        self.quiet_since = 0  # the last answer, or the first call-out after a pause
        self.band = self.place = self.rests_until = self.measured = self.sent_at = 0
        self.shown = 1.0  # the pace, or how long it has been quiet if that is more
        self.cold = Store(0.0, 1.0, 0.0, 0)  # call-outs that it may get while it is cold
        self.warm = True  # told with the order only: one that turned warm since stands first in it


class Call(NamedTuple):
    """A counter call to come; its answer is read for a customer of whom so much was told,
    and holds that part of the period's additions."""

    name: int
    amount: float
    customer: int = -1
    told: float = 0.0
    part: float = 1.0


class MethodRow:
    """What the module reads of a method, a row a method."""

    def __init__(self, soft_us: int) -> None:
        self.mean = soft_us / 6  # a first guess of the time taken; answers soon replace it
        self.seen = 0
        self.longest = 0  # the longest wait that a client's try came with: a first try's


class OpenRpc:
    """An RPC held or with call-outs out; dropped when it is ended and none is out."""

    def __init__(self, call: Arrival, now: int) -> None:
        self.call, self.begun = call, now
        self.steps: Rpc | None = None
        self.outs: dict[int, tuple[int, int]] = {}  # call-out number -> backend, time
        self.asked: AddCount | None = None  # what it waits for the counter to answer
        self.sent = self.look_at = self.slow_at = 0  # slow_at: call-outs whose slowness has been counted
        self.ended = False


class Gateway:
    def __init__(self, terms: Terms, now: int) -> None:
        self.terms, self.now, self.born = terms, now, now
        self.chance = Chance(terms.seed)
        self.methods = [MethodRow(m.soft_us) for m in terms.methods]
        self.open: dict[int, OpenRpc] = {}
        self.customers: dict[int, Customer] = {}
        self.backends: dict[int, Backend] = {}
        self.order: list[Backend] = []
        self.news, self.renewed = 0, now  # looks and answers since the order was renewed, and when it was
        self.out, self.usual_out, self.room = 0, 4.0, 16.0
        self.usual = 1.0  # the median pace of the backends measured of late
        self.counter_heard = self.counter_asked = now
        self.agenda: dict[int, list[Call]] = {}  # beat -> calls; renewed each second
        self.awaiting: dict[int, deque[tuple[int, Hear | None]]] = {}  # by name; each call is answered once
        self.beat = self.misses = 0  # misses: counter calls in a row without an answer
        # Running means: share of call-outs turned away or out of time; good answers' time in soft deadlines.
        self.swamped, self.taken = 0.0, 0.1
        self.answers = 0.0  # good answers a second from warm backends, decayed
        self.reading = 1.0  # the part of the calls that is made
        self.guards = any(plan.ceiling_rate > 0 for plan in terms.plans)
        self.usual_reading, self.counts_until = 1.0, now
        self.prompt = 20_000.0  # the shortest time in which one was answered, slowly forgotten
        self.value, self.lump = 0.0, 1.0  # running means: utility for the time taken; the RPCs' cost
        self.subscribe_at: float = now
        self.actions: list[Action] = []
        self.ticking, self.woke = False, 0
        self.hearsay = Hearsay(frozenset(), frozenset())
        self.handlers: dict[type, Callable[[Any], None]] = {
            Arrival: self.arrive, CallOutEnded: self.ended, TimerFired: self.tick, CountAnswer: self.counted,
            FleetNews: self.listed, Hearsay: self.advise, ClientGone: self.client_gone,
            StreamBegun: self.stream_begun}

    def holds(self, rpc: int) -> bool:
        return rpc in self.open

    def handle(self, event: Event, now: int) -> list[Action]:
        # A gap of four beats: this gateway stood still itself. What was out then is no measure of the fleet.
        if now - self.now > 4 * BEAT and self.ticking:
            self.woke = now
            for backend in self.backends.values():
                backend.quiet_since = now
        self.now, self.actions = now, []
        if not self.ticking:
            self.ticking = True
            self.set_beat()
        self.handlers[type(event)](event)
        return self.actions

    # ---- one RPC, from top to bottom ----

    def rpc(self, rpc: OpenRpc) -> Rpc:
        call, method = rpc.call, self.terms.methods[rpc.call.method]
        customer = self.customer(call)
        customer.demand += call.units
        wait, held = yield from self.admit(rpc, customer)
        if wait > 0:
            yield PushBack(call.rpc, self.advised(customer, wait))
            return
        unrun, home, first_at = True, None, 0
        claim, tried = self.claim(call), set[int]()
        for _ in range(self.terms.call_outs_max):
            # Rule 2: a deduplicated RPC that may have run stays in its group and within the memory.
            if not unrun and method.effect is Effect.DEDUPLICATED and self.now >= first_at + method.memory_us:
                break
            if not (backend := self.choose(tried, claim, None if unrun else home, method.group)):
                break
            if rpc.sent == 0:
                # Only from stores that refill: else one would never be full, its customer never forgotten.
                customer.store.level -= call.units if customer.plan.rate > 0 and not held else 0.0
                customer.ceiling.level -= call.units if customer.plan.ceiling_rate > 0 and not held else 0.0
            if unrun:
                home, first_at = backend if method.effect is Effect.DEDUPLICATED else None, self.now
            tried.add(backend.index)
            result: CallOutEnded = yield CallOut(call.rpc, backend.index, 0)
            while result is STILL_OUT:
                if rpc.slow_at < rpc.sent:
                    rpc.slow_at = rpc.sent
                    backend.overdue += 1
                    self.news += 4  # the order is renewed at the next look
                    if self.near(backend) and self.jammed() and rpc.outs[rpc.sent - 1][1] >= self.woke:
                        self.press(1.0)
                # Quiet backend: nothing has come back from it for as long as this call-out is out, while
                # the fleet answers: in a jam of all, sending again would only feed it.
                quiet = not self.near(backend) and (
                    self.now - backend.quiet_since >= self.patience(call.method))
                remembered = method.effect is Effect.DEDUPLICATED and self.now < first_at + method.memory_us
                if quiet and self.terms.can_call_off and (method.effect is Effect.IDEMPOTENT or remembered):
                    result = yield CallOff(call.rpc, rpc.sent - 1)
                else:
                    result = yield self.patience(call.method) // 4
            if result.outcome is Outcome.OK and not result.closed:
                break
            if result.outcome not in PROVEN_UNRUN:
                unrun = False
                if method.effect is Effect.NON_IDEMPOTENT:
                    break
            # Too late for another, or the fleet is full: going round that would only keep it so.
            if self.now >= rpc.begun + call.wait_us - method.soft_us // 8 or not unrun and self.jammed() or (
                    result.outcome is Outcome.TURNED_AWAY and self.swamped > 0.4):
                break
        if held and rpc.sent == 0:
            self.call_counter(held[0], -held[1])
        # Rule 2: a pushback says that trying again is harmless.
        harmless = unrun or method.effect is Effect.IDEMPOTENT or (
            method.effect is Effect.DEDUPLICATED and method.group is Group.ALL)
        # The pressed back end's own wait: a soft deadline, in which a full one empties.
        yield PushBack(call.rpc, self.jittered(method.soft_us)) if harmless else Abort(call.rpc)

    def patience(self, method: int) -> int:
        return self.terms.methods[method].soft_us * 3 // 5  # after which a call-out counts as slow

    def claim(self, call: Arrival) -> float:
        """The part of the room that an RPC may fill. A later try that can no longer be ok within the soft
        deadline leaves most of it to those that can; unmarked, told by a wait shorter than a first try's."""
        method, row = self.terms.methods[call.method], self.methods[call.method]
        row.longest = max(row.longest, call.wait_us)
        if call.wait_us < 0.7 * row.mean:  # it would be given up before it is answered
            return 0.1
        later = call.wait_us < 0.98 * row.longest if call.repeat is None else call.repeat
        if later and method.deadline_us - call.wait_us > 0.8 * method.soft_us:
            return 0.4  # 0.5 and 0.3 each gave up more on one kind of incident
        # Utility for the time it takes, against the running mean: the cheaper half of it leaves first.
        value = method.utility * self.terms.plans[call.plan].price * call.units / row.mean
        self.value += (value - self.value) * (0.02 if self.value else 1.0)
        return min(1.0, 0.6 + 0.5 * value / self.value) if self.value > 0 else 1.0

    # ---- quotas ----

    def customer(self, call: Arrival) -> Customer:
        if not math.isfinite(call.units) or call.units <= 0:
            call.units = max(1.0, self.terms.units_top)  # an unreadable cost counts as the dearest
        self.lump += (call.units - self.lump) * 0.05
        if not (customer := self.customers.get(call.customer)):
            customer = Customer(call, self.terms.plans[call.plan], self.terms, self.lump, self.now, self.born)
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
            return LONGEST_WAIT, None
        if common is None or not self.asks(common):
            return self.slice_wait(customer, call), None
        # Not asked about: what is surely empty, an RPC whose time may pass meanwhile, what a crowded counter
        # can't bear; a silent one is asked once a second.
        if common.most(self.now) < call.units or self.now < common.shut_until:
            return self.common_wait(common, call), None
        silent = self.misses >= 3 and self.now - self.counter_asked < SECOND
        part = min(1.0, self.reading * (3 if common.guards else 1)) if self.guards else 1.0
        if silent or call.wait_us < 4 * BEAT or self.chance.draw() >= part:
            return self.slice_wait(customer, call), None
        # What goes unasked meanwhile is made up for by the weight of what is asked.
        name, asked_at = common.name(self.now), self.now
        amount = max(call.units, min(call.units / part, 0.5 * common.burst))
        answer: CountAnswer | None = yield AddCount(name, LIFE, amount)
        if answer is None or not answer.added or not math.isfinite(answer.total) or asked_at < self.woke:
            return self.slice_wait(customer, call), None
        level = common.read(answer.total, self.now)
        if level is None or common.name(self.now) != name:
            # One just born saves the look back: all are, when there is much to open.
            self.converse(common.open(self.now, self.now - self.born > 3 * SECOND))
            return self.slice_wait(customer, call), None
        level += amount
        if spilt := common.spilt(level):
            self.call_counter(name, spilt)
        common.hear(level, call.units, self.now)
        if level >= call.units:
            return 0, (name, amount)
        self.call_counter(name, -amount)
        return self.common_wait(common, call), None

    def asks(self, common: Common) -> bool:
        return common.guards or self.now >= self.counts_until

    def common_wait(self, common: Common, call: Arrival) -> int:
        lack = call.units - common.most(self.now)
        return max(1, common.shut_until - self.now, math.ceil(lack / common.rate * SECOND))

    def converse(self, talk: Talk, answer: CountAnswer | None = None) -> None:
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
            wait = customer.store.wait_for(min(call.units, customer.store.depth), self.now)
        if plan.ceiling_rate > 0:
            wait = max(wait, customer.ceiling.wait_for(call.units, self.now))
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
        wait = min(LONGEST_WAIT, wait * (2 if customer.step else 1))
        wait = self.jittered(max(wait, customer.blocked_until - self.now))
        customer.advised_until = self.now + wait
        return wait

    def jittered(self, wait: int) -> int:
        return wait + int(self.chance.draw() * (min(LONGEST_WAIT, max(SECOND, wait)) + 1))

    # ---- slices from counted demand ----

    def close_second(self) -> None:
        """At each second's end: the demand is finished, and its counter calls are laid out: beats 1 to 8 add,
        11 to 18 read, by account."""
        second, self.agenda = self.now // SECOND, {}
        silent = self.misses >= 3 and self.counter_asked - self.counter_heard > SECOND
        for customer in list(self.customers.values()):
            if (second + customer.account) % customer.period == 0:
                told, customer.demand = customer.demand, 0.0
                customer.own = 0.6 * customer.own + told
                customer.own_time = 0.6 * customer.own_time + customer.period
                if self.now < customer.counting_until and customer.even < 1 and self.terms.has_counter:
                    self.lay_out(customer, told, second)
            if self.now - customer.heard > (2 if silent else 20) * SECOND:
                customer.others = customer.others_time = 0.0
            self.renew_slice(customer)
            self.sweep(customer)

    def lay_out(self, customer: Customer, told: float, second: int) -> None:
        name = (customer.account * 0x9E3779B97F4A7C15 + second * 0xD1B54A32D192ED03) % 2**64
        slot, part = customer.account % 8, self.reading
        if not customer.common:
            if told > 0:
                self.agenda.setdefault(1 + slot, []).append(Call(name, told))
            if self.chance.draw() < part:
                self.agenda.setdefault(11 + slot, []).append(Call(name, 0.0, customer.index, told))
        elif told > 0 and not self.asks(customer.common) and self.chance.draw() < part:
            # One call for both. What is left out while calls are turned away is made up for by its weight.
            slot, told = int(18 * self.chance.draw()), told / part
            self.agenda.setdefault(1 + slot, []).append(
                Call(name, told, customer.index, told, (slot + 0.5) / 18))

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
            self.actions.append(Forget(customer.index))

    def count(self) -> None:
        for beat in [b for b in self.agenda if b <= self.beat]:
            for call in self.agenda.pop(beat):
                hear = partial(self.read, call) if call.customer >= 0 else None
                self.call_counter(call.name, call.amount, hear)

    def call_counter(self, name: int, amount: float, hear: Hear | None = None) -> None:
        self.counter_asked = self.now
        self.awaiting.setdefault(name, deque()).append((self.now, hear))
        self.actions.append(AddCount(name, LIFE, amount))

    def counted(self, answer: CountAnswer) -> None:
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

    def read(self, call: Call, answer: CountAnswer) -> None:
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

    # ---- choice of backend ----

    def choose(self, tried: set[int], claim: float, home: Backend | None, group: Group) -> Backend | None:
        """The order is filled from the top, a call-out each per round, each backend up to its limit."""
        best, best_fill, jammed, few = None, (math.inf, 0), self.jammed(), turns(self.answers)
        filled = sum(b.out - (0 if jammed else b.overdue) for b in self.order if self.near(b))
        # Where gateways are many a room is a fraction: by chance, so that the parts sum to the whole.
        if filled + self.chance.draw() >= self.room * claim:
            return None
        limit = max(1.0, 2 * self.room / max(1, len(self.order)))
        for at, backend in enumerate(self.order):
            # Turns among some, the longest unused first: a busy gateway's first one would draw all it has.
            if best_fill[0] <= 0 and (at >= few or backend.place >= len(self.order)):
                break
            if backend.index in tried or not self.usable(backend):
                continue
            if home and (group is Group.ZONE and backend.zone != home.zone or (
                    group is Group.CELL and backend.cell != home.cell)):
                continue
            probed = backend.index in self.hearsay.probed
            fill = (-1, 0) if probed else (backend.out + backend.band, backend.sent_at)
            if fill < best_fill and backend.out < limit:
                best, best_fill = backend, fill
        return best

    def usable(self, backend: Backend) -> bool:
        """Rule 4: a cold one only within this gateway's part of its budget."""
        rests = self.now < backend.rests_until or backend.index in self.hearsay.left_out
        return not rests and (backend.warm or backend.cold.fill(self.now) >= 1.0)

    def warmth(self, backend: Backend) -> float:
        """The least share of its capacity that a backend has by now: 1 when warm."""
        age, warm_up = self.now - backend.started, self.terms.warm_up_us
        if backend.started <= 0 or age >= warm_up:
            return 1.0
        return self.terms.cold_share + (1 - self.terms.cold_share) * max(0, age) / warm_up

    def budget_cold(self, fleet: list[Backend]) -> None:
        """Each gateway grants its part, be it a fraction of a call-out: the parts sum to the whole."""
        share = self.answers / max(1, sum(b.warm for b in fleet))
        window = self.terms.push_over_us / SECOND
        for backend in fleet:
            backend.warm = (warmth := self.warmth(backend)) >= 1.0
            if not backend.warm:
                # At most half of it over time, a quarter at once, and its part of the load (twice that cost
                # 0.02 to 0.1). Two a window from all gateways at least: a fleet all cold must get going.
                rate = min(1.0, 0.5 * self.terms.push_over_factor) * warmth * share
                rate = max(rate, 2 / self.terms.gateways / window)
                backend.cold.reshape(rate, max(1.0, 0.5 * rate * window), self.now)

    def presume_started(self, backend: Backend, at: int) -> None:
        # A phase of its own: the gateways don't all grant at once.
        backend.started, backend.warm = at, False
        backend.cold = Store(0.0, 1.0, self.chance.draw(), self.now)

    def renew_order(self) -> None:
        """By bands of pace against the fleet's median, cold ones first, then a place of one's own."""
        steps, self.news, self.renewed = (self.now - self.renewed) / (5 * BEAT), 0, self.now
        ready = (b for b in self.backends.values() if b.state is State.READY)
        fleet = sorted(ready, key=lambda b: (b.zone, b.index))
        if not fleet:
            return self.order.clear()
        means, rest, fade = sum(m.mean for m in self.methods) / len(self.methods), 0.98**steps, 0.95**steps
        for backend in fleet:
            quiet = (self.now - backend.quiet_since) / means / 2 if backend.out else 0.01
            backend.shown = max(backend.pace, quiet)
            backend.pace = 1 + (backend.pace - 1) * (1 if backend.out else rest)
            backend.failures *= fade
        # Never called, one tells nothing of a jam; the 1.0 is for a single measured one, which is no norm.
        late = sorted([1.0] + [b.shown for b in fleet if b.out or self.now - b.measured < 5 * SECOND])
        self.usual = late[(len(late) - 1) // 2]
        median = sorted(b.shown for b in fleet)[len(fleet) // 2]
        failing = sorted(b.failures for b in fleet)[len(fleet) // 2]
        self.budget_cold(fleet)
        ring = places([b.zone for b in fleet], self.terms.zone, self.terms.own_index)
        for backend, backend.place in zip(fleet, ring, strict=True):
            backend.band = max(0, int(math.log(backend.shown / median) / math.log(1.5)))
            if backend.failures > failing + 0.4 and self.now >= backend.rests_until:
                backend.rests_until = self.now + SECOND
        # A cold one goes first in its band: its budget is kept, and so all parts are used.
        probed = self.hearsay.probed
        self.order = sorted(fleet, key=lambda b: (b.index not in probed, b.band, b.warm, b.place))

    # ---- events ----

    def arrive(self, call: Arrival) -> None:
        rpc = OpenRpc(call, self.now)
        self.open[call.rpc] = rpc
        rpc.steps = self.rpc(rpc)
        self.carry_out(rpc, next(rpc.steps))

    def resume(self, rpc: OpenRpc, result: CallOutEnded | CountAnswer | None) -> None:
        rpc.asked = None
        if rpc.steps and not rpc.ended:
            self.carry_out(rpc, rpc.steps.send(result))

    def carry_out(self, rpc: OpenRpc, wish: Action | int) -> None:
        if isinstance(wish, int):
            rpc.look_at = self.now + wish
            return
        if isinstance(wish, AddCount):
            # No answer within two beats is none: the slice decides.
            rpc.look_at, rpc.asked = self.now + 2 * BEAT, wish
            return self.call_counter(wish.name, wish.amount, partial(self.told, rpc, wish))
        self.actions.append(wish)
        if isinstance(wish, CallOut):
            backend = self.backends[wish.backend]
            if backend.out == 0:
                backend.quiet_since = self.now
            backend.out += 1
            backend.sent_at = self.now
            self.out += 1
            backend.cold.level -= not backend.warm
            self.customers[rpc.call.customer].out += 1
            rpc.outs[rpc.sent] = (wish.backend, self.now)
            rpc.sent += 1
            rpc.look_at = self.now + self.patience(rpc.call.method)
        elif isinstance(wish, CallOff):
            rpc.look_at = self.now + SECOND
        else:
            rpc.ended = True
            self.drop_if_done(rpc)

    def told(self, rpc: OpenRpc, asked: AddCount, answer: CountAnswer) -> None:
        if rpc.asked is asked and not rpc.ended:
            self.resume(rpc, answer)

    def drop_if_done(self, rpc: OpenRpc) -> None:
        if rpc.ended and not rpc.outs:
            self.open.pop(rpc.call.rpc, None)

    def client_gone(self, event: ClientGone) -> None:
        if rpc := self.open.get(event.rpc):
            rpc.ended = True
            self.drop_if_done(rpc)

    def stream_begun(self, event: StreamBegun) -> None:
        if rpc := self.open.get(event.rpc):
            rpc.look_at = self.now + 3600 * SECOND  # left alone from here on

    def ended(self, result: CallOutEnded) -> None:
        rpc = self.open.get(result.rpc)
        if rpc is None or result.n not in rpc.outs:
            return
        index, sent_at = rpc.outs.pop(result.n)
        backend = self.backends[index]
        backend.overdue -= rpc.slow_at == result.n + 1
        backend.out -= 1
        self.out -= 1
        customer = self.customers[rpc.call.customer]
        customer.out -= 1
        if self.terms.settles and customer.plan.rate > 0 and result.units > 0:  # told with the first ok
            customer.store.level += rpc.call.units - result.units
        if sent_at >= self.woke:
            self.measure(backend, rpc, result, sent_at)
        rpc.ended = rpc.ended or result.closed
        self.resume(rpc, result)
        self.drop_if_done(rpc)

    def measure(self, backend: Backend, rpc: OpenRpc, result: CallOutEnded, sent_at: int) -> None:
        self.news += 1
        took, row = self.now - sent_at, self.methods[rpc.call.method]
        if result.outcome in (Outcome.OK, Outcome.ERROR, Outcome.TURNED_AWAY):
            backend.quiet_since = self.now
        failed = result.outcome not in (Outcome.OK, Outcome.CALLED_OFF, Outcome.TURNED_AWAY, Outcome.NOT_SENT)
        backend.failures += (failed - backend.failures) * 0.25
        if result.outcome is Outcome.OK:
            # With a tenth lost each 250 ms: a running mean of answers a second.
            self.answers += 0.4 * backend.warm
            row.seen += 1
            row.mean += (took - row.mean) * max(0.02, 1 / (row.seen + 5))
        if result.outcome is Outcome.NO_CONNECTION:
            # Whatever takes no connection may have died, and comes back cold before any list tells.
            backend.rests_until = self.now + SECOND
            self.presume_started(backend, self.now + SECOND)
        elif result.outcome is not Outcome.NOT_SENT:
            # A quick refusal or error is no quick answer: else a backend that refuses all would draw all.
            means = took / row.mean if result.outcome is Outcome.OK else max(3.0, took / row.mean)
            backend.pace += (means - backend.pace) * 0.15  # 0.3 lost 0.17 on one incident
            backend.measured = self.now
        # A backend far off the fleet, or one that won't have this RPC, says nothing of the fleet's room.
        taken = min(1.5, took / self.terms.methods[rpc.call.method].soft_us)
        if result.outcome is Outcome.OK:
            self.taken += (taken - self.taken) * self.weight(0.4)
        swamped = result.outcome in (Outcome.TURNED_AWAY, Outcome.TIMED_OUT)
        if result.outcome is Outcome.OK or swamped:
            self.swamped += (swamped - self.swamped) * self.weight(0.4) / 2
        if result.outcome is Outcome.OK and self.near(backend):
            self.press(taken)
        elif swamped and self.swamped > 0.4 or (
                result.outcome not in PROVEN_UNRUN and self.near(backend) and self.jammed()):
            self.press(1.0)

    def near(self, backend: Backend) -> bool:
        """Not far off the others that were measured of late."""
        return backend.shown < 2.25 * self.usual

    def jammed(self) -> bool:
        """Call-outs without an answer show a jam only while answers are slow too; else they are lost."""
        return self.taken > 0.3 or self.swamped > 0.4

    def press(self, taken: float) -> None:
        """One more call-out's time, in soft deadlines. Held near 0.35: the fleet full, few answers late."""
        if taken > 0.35 or self.out + 1 >= 0.5 * self.room:
            self.room *= math.exp(self.weight(1.0) * (0.35 - taken))
        # One and a half a backend, shared by the gateways, never jam a fleet: no less than that.
        self.room = max(1.5 * len(self.order) / self.terms.gateways, self.room)

    def weight(self, seconds: float) -> float:
        """What an answer weighs in a mean over so many seconds of them (0.3 at most let jams last a day)."""
        return min(0.6, 1 / seconds / max(1.0, self.answers))

    def listed(self, news: FleetNews) -> None:
        if news.failed:
            self.subscribe_at = self.now + int((0.5 + self.chance.draw()) * SECOND)
            return
        if news.whole:
            for backend in self.backends.values():
                backend.state = State.GONE
        for entry in news.entries:
            backend = self.backends.setdefault(entry.backend, Backend(entry.backend))
            if entry.started_us > backend.started:
                self.presume_started(backend, entry.started_us)
            backend.zone, backend.cell, backend.state = entry.zone, entry.cell, entry.state
        self.renew_order()

    def advise(self, hearsay: Hearsay) -> None:
        self.hearsay = hearsay
        self.renew_order()

    def set_beat(self) -> None:
        """Each gateway beats at a place of its own: their calls don't crowd the counter at once."""
        phase = self.terms.own_index * BEAT // self.terms.gateways
        self.actions.append(SetTimer(BEAT - (self.now - phase) % BEAT, 0))

    def tick(self, _: TimerFired) -> None:
        self.set_beat()
        beat = self.now % SECOND // BEAT
        if beat < self.beat:
            self.close_second()
        self.beat = beat
        self.count()
        if beat % 5 == 0:
            # Room that is not used would let a sudden jam in unchecked.
            self.usual_out += (self.out - self.usual_out) * 0.1
            self.room = min(self.room, 3 * self.usual_out + 4)
            self.answers *= 0.9
            self.news += 1
            if self.news >= 4:  # answers, or a second: a quiet gateway has little to rank anew
                self.renew_order()
            self.backends = {i: b for i, b in self.backends.items() if b.state is not State.GONE or b.out}
        if self.terms.must_subscribe and self.now >= self.subscribe_at:
            self.subscribe_at = math.inf
            self.actions.append(Subscribe())
        for rpc in [r for r in self.open.values() if r.look_at <= self.now]:
            self.resume(rpc, STILL_OUT)
