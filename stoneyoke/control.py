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
6. guards         cold budget per window for a fresh backend; a ceiling store that only time fills
"""

import math
from collections import deque
from collections.abc import Generator, Iterator

from stoneyoke.interface import (
    Abort, Action, AddCount, Arrival, CallOff, CallOut, CallOutEnded, ClientGone, CountAnswer, Effect, Event,
    FleetNews, Forget, Group, Outcome, Plan, PushBack, SetTimer, State, StreamBegun, Subscribe, Terms,
    TimerFired,
)

SECOND = 1_000_000
BEAT = 50_000  # the one timer: 20 a second is fine enough for every look below and costs little
PROVEN_UNRUN = (Outcome.TURNED_AWAY, Outcome.NO_CONNECTION, Outcome.NOT_SENT)
STILL_OUT = None  # what an RPC is resumed with when its call-out has been out for the asked time

Rpc = Generator[Action | int, CallOutEnded | None, None]


class Chance:
    """A linear congruential generator (Knuth's constants); the high bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = seed

    def below(self, limit: int) -> int:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % 2**64
        return (self.state >> 32) * max(0, limit) >> 32


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
        self.fill(now)
        self.rate, self.depth = rate, depth
        self.level = min(self.level, depth)

    def wait_for(self, units: float, now: int) -> int:
        lack = units - self.fill(now)
        return 0 if lack <= 0 else LONGEST_WAIT if self.rate <= 0 else math.ceil(lack / self.rate * SECOND)


LONGEST_WAIT = 20 * SECOND  # the design's cap on advised wait and jitter


class Customer:
    """A customer at this gateway. Emptied out by sweep() once its store is full and it has been idle."""

    def __init__(self, call: Arrival, plan: Plan, terms: Terms, lump: float, now: int, born: int) -> None:
        self.index, self.account, self.plan = call.customer, call.account, plan
        width = call.width if math.isfinite(call.width) and call.width >= 1 else terms.gateways
        self.even = 1 / min(width, terms.gateways)
        self.units_top = min(plan.burst, max(terms.units_top, 1))
        self.slice, self.lump = self.even, lump
        self.store = Store(plan.rate * self.even, self.depth(), self.depth(), now)
        # Rule 5: a restarted gateway can't know what its earlier life sent, so the ceiling starts empty
        # at the start of this life and only time fills it; a customer seen later finds what time has brought.
        rate, depth = plan.ceiling_rate * self.even, plan.ceiling_burst * self.even
        self.ceiling = Store(rate, depth, min(depth, rate * (now - born) / SECOND), now)
        self.out = 0
        self.seen = now
        self.demand = self.told = 0.0  # this second's and the finished second's, in units
        self.own = self.total = 0.0  # decayed sums of counted seconds
        self.heard = -LONGEST_WAIT
        # Seconds in which an even slice refills by two of the largest RPCs, 1 or 2: thin demand shows late.
        # Read off the plan alone, so that all gateways agree; a second each doubled the calls for nothing.
        fill = terms.units_top / max(plan.rate * self.even, 0.01)
        self.period = min(2, max(1, math.ceil(2 * fill)))
        self.due = False
        self.counting_until = 0
        self.advised_until = self.blocked_until = 0
        self.tries = self.early = self.step = 0

    def depth(self) -> float:
        # Units come in lumps: a slice is rounded up by two mean RPCs (1 and 1.5 gave 0.01 to 0.08 less), and
        # holds the largest, which a thinner one would shut out for good. Refill stays the slice's, so over
        # time nothing is minted.
        return min(self.plan.burst, max(self.plan.burst * self.slice + 2 * self.lump, self.units_top))

    def take_slice(self, part: float, now: int) -> None:
        self.slice = max(part, self.even / 10)
        self.store.reshape(self.plan.rate * self.slice, self.depth(), now)

    def parallel_full(self, age: float) -> bool:
        # Rounded down, so that the gateways' parts never sum above the cap (but for one each). A young life,
        # under a soft deadline of age, leaves room for what an earlier one may still have out.
        part = self.plan.parallel * self.slice * min(1.0, age)
        return self.plan.parallel > 0 and self.out >= max(1, int(part + 1e-9))


class Backend:
    """A listed backend as this gateway has measured it. Dropped when gone and nothing is out."""

    def __init__(self, index: int) -> None:
        self.index, self.zone, self.cell, self.started, self.ready = index, 0, 0, 0, False
        self.gone = False
        self.out = self.overdue = 0
        self.pace = 1.0  # time taken, in means of its methods
        self.failures = 0.0  # decayed share of call-outs that failed
        self.rests_until = 0
        self.quiet_since = 0  # the last answer, or the first call-out after a pause
        self.band = 0
        self.cold_sent: deque[int] = deque()  # send times in the window; emptied as they leave it
        self.rate = 0.0  # own call-outs a second, decayed


class MethodRow:
    """What the module reads of a method, a row a method."""

    def __init__(self, soft_us: int) -> None:
        self.mean = soft_us / 6  # a first guess of the time taken; answers soon replace it
        self.longest = 0  # the longest wait that a client's try came with: a first try's


class OpenRpc:
    """An RPC held or with call-outs out; dropped when it is ended and none is out."""

    def __init__(self, call: Arrival, now: int) -> None:
        self.call, self.begun = call, now
        self.steps: Rpc | None = None
        self.outs: dict[int, tuple[int, int]] = {}  # call-out number -> backend, time
        self.sent = 0
        self.look_at = 0
        self.slow_at = 0  # call-outs whose slowness has been counted
        self.ended = False
        self.streaming = False
        self.drawn = False


class Gateway:
    def __init__(self, terms: Terms, now: int) -> None:
        self.terms, self.now, self.born = terms, now, now
        self.chance = Chance(terms.seed)
        self.methods = [MethodRow(m.soft_us) for m in terms.methods]
        self.open: dict[int, OpenRpc] = {}
        self.customers: dict[int, Customer] = {}
        self.backends: dict[int, Backend] = {}
        self.order: list[Backend] = []
        self.out, self.usual_out, self.room = 0, 4.0, 16.0
        self.counter_heard = self.counter_asked = now
        self.reads: dict[int, tuple[int, float]] = {}  # name -> customer, own demand; until answered
        self.beat = 0
        self.taken = 0.1  # running mean of the time taken by good answers, in soft deadlines
        self.warm_rate = 0.0  # call-outs a second that a warm backend gets from this gateway, the median
        self.reading = 1.0  # the part of the reads that is made
        self.value = 0.0  # running mean of utility for the time taken
        self.lump = 1.0  # running mean of the RPCs' cost
        self.subscribe_at = now if terms.must_subscribe else 0
        self.actions: list[Action] = []
        self.ticking = False
        self.woke = 0

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
        match event:
            case Arrival():
                self.arrive(event)
            case CallOutEnded():
                self.ended(event)
            case TimerFired():
                self.tick()
            case CountAnswer():
                self.counted(event)
            case FleetNews():
                self.listed(event)
            case ClientGone():
                if rpc := self.open.get(event.rpc):
                    rpc.ended = True
                    self.drop_if_done(rpc)
            case StreamBegun():
                if rpc := self.open.get(event.rpc):
                    rpc.streaming = True
        return self.actions

    # ---- one RPC, from top to bottom ----

    def rpc(self, rpc: OpenRpc) -> Rpc:
        call, method = rpc.call, self.terms.methods[rpc.call.method]
        customer = self.customer(call)
        customer.demand += call.units
        if (wait := self.quota_wait(customer, call)) is not None:
            yield PushBack(call.rpc, wait)
            return
        unrun, home, first_at = True, None, 0
        claim = self.claim(call)
        tried: set[int] = set()
        for _ in range(self.terms.call_outs_max):
            # Rule 2: a deduplicated RPC that may have run stays in its group and within the memory.
            if not unrun and method.effect is Effect.DEDUPLICATED and self.now >= first_at + method.memory_us:
                break
            if not (backend := self.choose(tried, claim, None if unrun else home, method.group)):
                break
            if not rpc.drawn:
                rpc.drawn = True
                # Only from stores that refill: else one would never be full, its customer never forgotten.
                customer.store.level -= call.units if customer.plan.rate > 0 else 0.0
                customer.ceiling.level -= call.units if customer.plan.ceiling_rate > 0 else 0.0
            if unrun:
                home, first_at = backend, self.now
            tried.add(backend.index)
            result = yield CallOut(call.rpc, backend.index, 0)
            while result is STILL_OUT:
                if rpc.slow_at < rpc.sent:
                    rpc.slow_at = rpc.sent
                    backend.overdue += 1
                    if backend.band < 2 and self.jammed() and rpc.outs[rpc.sent - 1][1] >= self.woke:
                        self.press(1.0)
                # Quiet backend: nothing has come back from it for as long as this call-out is out, while
                # the fleet answers: in a jam of all, sending again would only feed it.
                quiet = backend.band >= 2 and self.now - backend.quiet_since >= self.patience(call.method)
                if quiet and method.effect is not Effect.NON_IDEMPOTENT and self.terms.can_call_off and (
                        self.may_repeat(method.effect, first_at + method.memory_us)):
                    result = yield CallOff(call.rpc, rpc.sent - 1)
                else:
                    result = yield self.patience(call.method) // 4
            if result.outcome is Outcome.OK and not result.closed:
                break
            if result.outcome not in PROVEN_UNRUN:
                unrun = False
                if method.effect is Effect.NON_IDEMPOTENT:
                    break
            if self.now >= rpc.begun + call.wait_us - method.soft_us // 8:
                break
        # Rule 2: a pushback says that trying again is harmless.
        harmless = unrun or method.effect is Effect.IDEMPOTENT or (
            method.effect is Effect.DEDUPLICATED and method.group is Group.ALL)
        yield PushBack(call.rpc, self.pressed_wait(call.method)) if harmless else Abort(call.rpc)

    def may_repeat(self, effect: Effect, until: int) -> bool:
        return effect is Effect.IDEMPOTENT or self.now < until

    def patience(self, method: int) -> int:
        """How long a call-out is out before it counts as slow and its backend is looked at."""
        return self.terms.methods[method].soft_us * 3 // 5

    def claim(self, call: Arrival) -> float:
        """The part of the room that an RPC may fill. A client's later try that can no longer be ok within
        the soft deadline leaves most of it to those that can; told by a wait shorter than a first try's."""
        method, row = self.terms.methods[call.method], self.methods[call.method]
        row.longest = max(row.longest, call.wait_us)
        late = method.deadline_us - call.wait_us > 0.8 * method.soft_us
        if late and call.wait_us < 0.98 * row.longest:
            return 0.4  # 0.5 and 0.3 each gave up more on one kind of incident
        # Utility for the time it takes, against the running mean: the cheaper half of it leaves first.
        value = method.utility * self.terms.plans[call.plan].price * call.units / row.mean
        self.value += (value - self.value) * (0.02 if self.value else 1.0)
        return min(1.0, 0.6 + 0.5 * value / self.value) if self.value > 0 else 1.0

    # ---- quotas ----

    def customer(self, call: Arrival) -> Customer:
        customer = self.customers.get(call.customer)
        if customer is None:
            customer = Customer(call, self.terms.plans[call.plan], self.terms, self.lump, self.now, self.born)
            self.customers[call.customer] = customer
        customer.seen, customer.lump = self.now, self.lump
        if not math.isfinite(call.units) or call.units <= 0:
            call.units = max(1.0, self.terms.units_top)  # an unreadable cost counts as the dearest
        self.lump += (call.units - self.lump) * 0.02
        return customer

    def quota_wait(self, customer: Customer, call: Arrival) -> int | None:
        """None: the store can take it. Else the advised wait, with what escalation adds."""
        plan, wait = customer.plan, 0
        if plan.rate > 0:
            wait = customer.store.wait_for(call.units, self.now)
            if call.units > customer.plan.burst:
                wait = LONGEST_WAIT
        if plan.ceiling_rate > 0:
            wait = max(wait, customer.ceiling.wait_for(call.units, self.now))
        if customer.parallel_full((self.now - self.born) / self.terms.methods[call.method].soft_us):
            wait = max(wait, int(self.methods[call.method].mean))
        customer.tries += 1
        if wait <= 0:
            self.escalate(customer)
            return None
        if self.now < customer.advised_until:
            customer.early += 1
        self.escalate(customer)
        wait = min(LONGEST_WAIT, wait * (2 if customer.step else 1))
        wait = max(wait, customer.blocked_until - self.now)
        advised = wait + self.jitter(wait)
        customer.advised_until = self.now + advised
        return advised

    def escalate(self, customer: Customer) -> None:
        """Nine early returns in ten RPCs: double the wait; nine in ten again: block. Else back to plain."""
        if customer.tries < 10:
            return
        if customer.early >= 9:
            customer.step = min(2, customer.step + 1)
            if customer.step == 2:
                customer.blocked_until = self.now + 5 * SECOND
        else:
            customer.step = 0
        customer.tries = customer.early = 0

    def jitter(self, wait: int) -> int:
        return self.chance.below(min(LONGEST_WAIT, max(SECOND, wait)) + 1)

    def pressed_wait(self, method: int) -> int:
        """The pressed back end's own wait: a soft deadline, in which a full backend empties, plus jitter."""
        wait = self.terms.methods[method].soft_us
        return wait + self.jitter(wait)

    # ---- slices from counted demand ----

    def count_name(self, customer: Customer, second: int) -> int:
        return (customer.account * 0x9E3779B97F4A7C15 + second * 0xD1B54A32D192ED03) % 2**64

    def close_second(self) -> None:
        """At each second's end: what was demanded becomes the finished second's figure."""
        second = self.now // SECOND
        for customer in list(self.customers.values()):
            customer.due = (second + customer.account) % customer.period == 0
            if customer.due:
                customer.told, customer.demand = customer.demand, 0.0
            plan = customer.plan
            if plan.rate > 0 and customer.store.fill(self.now) < 0.5 * customer.store.depth:
                customer.counting_until = self.now + (2 + customer.period) * SECOND
            stale = 2 * SECOND if self.counter_silent() else 20 * SECOND
            if self.now - customer.heard > stale and customer.slice != customer.even:
                customer.own = customer.total = 0.0
                customer.take_slice(customer.even, self.now)
            self.sweep(customer)

    def counter_silent(self) -> bool:
        return self.counter_asked - self.counter_heard > SECOND

    def sweep(self, customer: Customer) -> None:
        idle = self.now - customer.seen > 10 * SECOND and customer.out == 0
        if idle and customer.store.fill(self.now) >= customer.store.depth and (
                customer.ceiling.fill(self.now) >= customer.ceiling.depth):
            del self.customers[customer.index]
            self.actions.append(Forget(customer.index))

    def count(self) -> None:
        """Beats 1 to 8 of a second add, beats 11 to 18 read; customers are spread over them by account."""
        second, beat = self.now // SECOND, self.beat
        for customer in self.customers.values():
            if not customer.due or self.now >= customer.counting_until or customer.even == 1:
                continue
            slot, name = customer.account % 8, self.count_name(customer, second)
            if beat == 1 + slot and customer.told > 0:
                self.ask_counter(name, customer.told)
            elif beat == 11 + slot and self.chance.below(1000) < 1000 * self.reading:
                self.reads[name] = (customer.index, customer.told)
                self.ask_counter(name, 0.0)

    def ask_counter(self, name: int, amount: float) -> None:
        self.counter_asked = self.now
        self.actions.append(AddCount(name, 5 * SECOND, amount))

    def counted(self, answer: CountAnswer) -> None:
        if answer.added:
            self.counter_heard = self.now
        # A crowded counter turns calls away: fewer reads, since lost additions would mislead the others. In
        # balance at one call in six lost; slower steps (0.002, 0.02) stayed thin long after a silence.
        self.reading = min(1.0, self.reading + 0.01) if answer.added else max(0.1, self.reading - 0.05)
        if answer.name not in self.reads:
            return  # the answer to an addition
        index, own = self.reads.pop(answer.name)
        customer = self.customers.get(index)
        if customer is None or not answer.added or not math.isfinite(answer.total):
            return
        if answer.total < own * 0.999:  # lost counts: as if the counter were silent
            return
        customer.heard = self.now
        customer.own = 0.6 * customer.own + own
        customer.total = 0.6 * customer.total + answer.total
        if customer.total > 0:
            customer.take_slice(min(1.0, customer.own / customer.total), self.now)

    # ---- choice of backend ----

    def choose(self, tried: set[int], claim: float, home: Backend | None, group: Group) -> Backend | None:
        """The order is filled from the top, a call-out each per round, each backend up to its limit."""
        best, best_fill = None, math.inf
        jammed = self.jammed()
        filled = sum(b.out - (0 if jammed else b.overdue) for b in self.order if b.band < 2)
        if filled >= max(1.0, self.room * claim):
            return None
        limit = max(1.0, 2 * self.room / max(1, len(self.order)))
        for backend in self.order:
            if backend.index in tried or not self.usable(backend):
                continue
            if home and group is Group.ZONE and backend.zone != home.zone:
                continue
            if home and group is Group.CELL and backend.cell != home.cell:
                continue
            fill = backend.out + backend.band
            if fill < best_fill and backend.out < limit:
                best, best_fill = backend, fill
        return best

    def usable(self, backend: Backend) -> bool:
        return self.now >= backend.rests_until and self.cold_room(backend)

    def warmth(self, backend: Backend) -> float:
        """The least share of its capacity that a backend has by now: 1 when warm."""
        age, warm_up = self.now - backend.started, self.terms.warm_up_us
        if backend.started <= 0 or age >= warm_up:
            return 1.0
        return self.terms.cold_share + (1 - self.terms.cold_share) * max(0, age) / warm_up

    def cold_room(self, backend: Backend) -> bool:
        """Rule 4: this gateway's part of the window's budget, from what a warm peer gets of it."""
        warmth = self.warmth(backend)
        if warmth >= 1.0:
            return True
        window = self.terms.push_over_us
        while backend.cold_sent and backend.cold_sent[0] <= self.now - window:
            backend.cold_sent.popleft()
        # 0.6: the middle between losing the backend to chance and leaving it idle.
        budget = 0.6 * self.terms.push_over_factor * warmth * self.warm_rate * window / SECOND
        return len(backend.cold_sent) < max(1, int(budget))

    def renew_order(self) -> None:
        """Ranks by bands of pace against the fleet's median, then own zone, then a place of one's own."""
        fleet = sorted((b for b in self.backends.values() if b.ready), key=lambda b: b.index)
        if not fleet:
            self.order = []
            return
        means = sum(m.mean for m in self.methods) / len(self.methods)
        paces = {}
        for backend in fleet:
            quiet = (self.now - backend.quiet_since) / means / 2 if backend.out else 0
            paces[backend.index] = max(backend.pace, quiet, 0.01)
            if not backend.out:
                backend.pace += (1 - backend.pace) * 0.02
            backend.rate *= 0.9
            backend.failures *= 0.95
        median = sorted(paces.values())[len(fleet) // 2]
        failing = sorted(b.failures for b in fleet)[len(fleet) // 2]
        rates = sorted(b.rate for b in fleet if self.warmth(b) >= 1.0)
        self.warm_rate = rates[len(rates) // 2] if rates else 0.0
        shift = self.terms.own_index * len(fleet) // self.terms.gateways
        for backend in fleet:
            backend.band = max(0, int(math.log(paces[backend.index] / median) / math.log(1.5)))
            if backend.failures > failing + 0.4 and self.now >= backend.rests_until:
                backend.rests_until = self.now + SECOND
        places = {b.index: (i - shift) % len(fleet) for i, b in enumerate(fleet)}
        self.order = sorted(fleet, key=lambda b: (b.band, b.zone != self.terms.zone, places[b.index]))

    # ---- events ----

    def arrive(self, call: Arrival) -> None:
        rpc = OpenRpc(call, self.now)
        self.open[call.rpc] = rpc
        rpc.steps = self.rpc(rpc)
        self.carry_out(rpc, next(rpc.steps))

    def resume(self, rpc: OpenRpc, result: CallOutEnded | None) -> None:
        if rpc.steps and not rpc.ended:
            self.carry_out(rpc, rpc.steps.send(result))

    def carry_out(self, rpc: OpenRpc, wish: Action | int) -> None:
        if isinstance(wish, int):
            rpc.look_at = self.now + wish
            return
        self.actions.append(wish)
        if isinstance(wish, CallOut):
            backend = self.backends[wish.backend]
            if backend.out == 0:
                backend.quiet_since = self.now
            backend.out += 1
            self.out += 1
            backend.rate += 0.4  # with a tenth lost each 250 ms: a running mean of call-outs a second
            if self.warmth(backend) < 1.0:
                backend.cold_sent.append(self.now)
            self.customers[rpc.call.customer].out += 1
            rpc.outs[rpc.sent] = (wish.backend, self.now)
            rpc.sent += 1
            rpc.look_at = self.now + self.patience(rpc.call.method)
        elif isinstance(wish, CallOff):
            rpc.look_at = self.now + SECOND
        else:
            rpc.ended = True
            self.drop_if_done(rpc)

    def drop_if_done(self, rpc: OpenRpc) -> None:
        if rpc.ended and not rpc.outs:
            self.open.pop(rpc.call.rpc, None)

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
        settled = self.terms.settles and customer.plan.rate > 0 and result.outcome is Outcome.OK
        if settled and result.units > 0:
            customer.store.level += rpc.call.units - result.units
        self.measure(backend, rpc, result, sent_at)
        if result.closed:
            rpc.ended = True
        elif not rpc.ended:
            self.resume(rpc, result)
        self.drop_if_done(rpc)

    def measure(self, backend: Backend, rpc: OpenRpc, result: CallOutEnded, sent_at: int) -> None:
        took, row = self.now - sent_at, self.methods[rpc.call.method]
        if sent_at < self.woke:
            return
        if result.outcome in (Outcome.OK, Outcome.ERROR, Outcome.TURNED_AWAY):
            backend.quiet_since = self.now
        failed = result.outcome not in (Outcome.OK, Outcome.CALLED_OFF, Outcome.TURNED_AWAY, Outcome.NOT_SENT)
        backend.failures += (failed - backend.failures) * 0.25
        if result.outcome is Outcome.OK:
            row.mean += (took - row.mean) * 0.02
        if result.outcome is Outcome.NO_CONNECTION:
            backend.rests_until = self.now + SECOND
        elif result.outcome is not Outcome.NOT_SENT:
            # A quick refusal or error is no quick answer: else a backend that refuses all would draw all.
            means = took / row.mean if result.outcome is Outcome.OK else max(3.0, took / row.mean)
            backend.pace += (means - backend.pace) * 0.15
        # A backend far off the fleet, or one that won't have this RPC, says nothing of the fleet's room.
        taken = took / self.terms.methods[rpc.call.method].soft_us
        if result.outcome is Outcome.OK:
            self.taken += (min(1.5, taken) - self.taken) * 0.05
        if backend.band < 2 and (result.outcome is Outcome.OK or (
                result.outcome not in PROVEN_UNRUN and self.jammed())):
            self.press(min(1.5, taken))

    def jammed(self) -> bool:
        """Call-outs without an answer show a jam only while the answers are slow too; else they are lost, and
        what is lost must not fill the room."""
        return self.taken > 0.3

    def press(self, taken: float) -> None:
        """One more call-out's time, in soft deadlines. Held near 0.35: the fleet full, few answers late."""
        # 0.02 a call-out: with some fifty answers a second, half a second of jam takes a third off.
        if self.out >= 0.5 * self.room:
            self.room *= 1 + 0.02 * (0.35 - taken)
        # One call-out a backend, shared by the gateways, never jams a fleet: no less than that.
        self.room = max(1.0, 1.5 * len(self.order) / self.terms.gateways, self.room)

    def move_room(self) -> None:
        """Room that is not used would let a sudden jam in unchecked."""
        self.usual_out += (self.out - self.usual_out) * 0.1
        self.room = min(self.room, 3 * self.usual_out + 4)

    def listed(self, news: FleetNews) -> None:
        if news.failed:
            if self.terms.must_subscribe:  # half a second to one and a half: the list service is shared
                self.subscribe_at = self.now + SECOND // 2 + self.chance.below(SECOND)
            return
        if news.whole:
            for backend in self.backends.values():
                backend.ready, backend.gone = False, True
        for entry in news.entries:
            backend = self.backends.setdefault(entry.backend, Backend(entry.backend))
            backend.zone, backend.cell, backend.started = entry.zone, entry.cell, entry.started_us
            backend.ready, backend.gone = entry.state is State.READY, entry.state is State.GONE
        self.renew_order()

    def set_beat(self) -> None:
        """Each gateway beats at a place of its own, so that their calls don't crowd the counter at once."""
        phase = self.terms.own_index * BEAT // self.terms.gateways
        self.actions.append(SetTimer(BEAT - (self.now - phase) % BEAT, 0))

    def tick(self) -> None:
        self.set_beat()
        beat = self.now % SECOND // BEAT
        if beat < self.beat:
            self.close_second()
        self.beat = beat
        if self.terms.has_counter:
            self.count()
        if beat % 5 == 0:
            self.move_room()
            self.renew_order()
            for index in [b.index for b in self.backends.values() if b.gone and not b.out]:
                del self.backends[index]
        if self.subscribe_at and self.now >= self.subscribe_at:
            self.subscribe_at = 0
            self.actions.append(Subscribe())
        for rpc in list(self.overdue()):
            self.resume(rpc, STILL_OUT)

    def overdue(self) -> Iterator[OpenRpc]:
        for rpc in self.open.values():
            if not rpc.ended and not rpc.streaming and rpc.look_at <= self.now:
                yield rpc
