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
from collections.abc import Callable
from functools import partial
from typing import Any

from stoneyoke.control.actions import (
    Abandon,
    Action,
    AddToCounter,
    CancelAttempt,
    Reject,
    SetTimer,
    StartAttempt,
    Subscribe,
)
from stoneyoke.control.choice import Choice
from stoneyoke.control.events import (
    AnswerStarted,
    Arrival,
    AttemptEnded,
    ClientGone,
    CounterReply,
    EndpointsChanged,
    Event,
    ParametersChanged,
    PeerEvidence,
    TimerFired,
)
from stoneyoke.control.ground import BEAT
from stoneyoke.control.open_rpc import MethodRow, OpenRpc, Rpc
from stoneyoke.control.parameters import (
    PROVEN_NOT_RUN,
    AttemptOutcome,
    BackendState,
    DeduplicationScope,
    GatewayParameters,
    Idempotency,
)
from stoneyoke.control.quotas import Quotas
from stoneyoke.limits.token_bucket import SECOND, TokenBucket

STILL_OUT = None  # what an RPC is resumed with when its call-out has been out for the asked time


class Gateway(Quotas, Choice):
    def __init__(self, parameters: GatewayParameters, now: int) -> None:
        super().__init__(parameters, now)
        self.open: dict[int, OpenRpc] = {}
        # A new life begins with one: an earlier one may have used all.
        self.retry_budget = TokenBucket(parameters.retry_budget_per_s, parameters.retry_budget_depth, 1.0, now)
        self.value = 0.0  # running mean: utility for the time taken
        self.ticking = False
        self.handlers: dict[type, Callable[[Any], None]] = {
            Arrival: self.arrive,
            AttemptEnded: self.ended,
            TimerFired: self.tick,
            CounterReply: self.counted,
            EndpointsChanged: self.listed,
            PeerEvidence: self.advise,
            ClientGone: self.client_gone,
            AnswerStarted: self.stream_begun,
            ParametersChanged: self.renew,
        }

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
        call, method = rpc.call, self.parameters.methods[rpc.call.method]
        customer = self.customer(call)
        customer.demand += call.units
        wait, held = yield from self.admit(rpc, customer)
        if wait > 0:
            yield Reject(call.rpc, self.advised(customer, wait))
            return
        unrun, home, first_at = True, None, 0
        claim, tried, arrived = self.claim(call), set[int](), False
        self.retry_budget.level += self.parameters.retry_budget_ratio
        for _ in range(method.attempts_max or self.parameters.attempts_max):
            # The whole system's budget of further tries, in parts: what came to a backend counts.
            if arrived and self.parameters.retry_budget_depth and self.retry_budget.fill(self.now) < 1.0:
                break
            # Rule 2: a deduplicated RPC that may have run stays in its group and within the memory.
            if (
                not unrun
                and method.idempotency is Idempotency.DEDUPLICATED
                and self.now >= first_at + method.deduplication_window_us
            ):
                break
            if not (backend := self.choose(tried, claim, None if unrun else home, method.deduplication_scope)):
                break
            if rpc.sent == 0:
                # Only from stores that refill: else one would never be full, its customer never forgotten.
                customer.store.level -= call.units if customer.plan.rate > 0 and not held else 0.0
                customer.ceiling.level -= call.units if customer.plan.ceiling_rate > 0 and not held else 0.0
            if unrun:
                home, first_at = backend if method.idempotency is Idempotency.DEDUPLICATED else None, self.now
            tried.add(backend.index)
            self.retry_budget.level -= arrived
            result: AttemptEnded = yield StartAttempt(call.rpc, backend.index, 0)
            while result is STILL_OUT:
                if rpc.slow_at < rpc.sent:
                    rpc.slow_at = rpc.sent
                    backend.overdue += 1
                    self.news += 4  # the order is renewed at the next look
                    if self.near(backend) and self.jammed() and rpc.outs[rpc.sent - 1][1] >= self.woke:
                        self.press(1.0)
                # Quiet backend: nothing has come back from it for as long as this call-out is out, while
                # the fleet answers: in a jam of all, sending again would only feed it.
                quiet = not self.near(backend) and (self.now - backend.quiet_since >= self.patience(call.method))
                remembered = (
                    method.idempotency is Idempotency.DEDUPLICATED
                    and self.now < first_at + method.deduplication_window_us
                )
                if (
                    quiet
                    and self.parameters.can_cancel_attempts
                    and (method.idempotency is Idempotency.IDEMPOTENT or remembered)
                ):
                    result = yield CancelAttempt(call.rpc, rpc.sent - 1)
                else:
                    result = yield self.patience(call.method) // 4
            if result.outcome is AttemptOutcome.OK and not result.is_final:
                break
            arrived = arrived or result.outcome not in (AttemptOutcome.NO_CONNECTION, AttemptOutcome.NOT_SENT)
            if result.outcome not in PROVEN_NOT_RUN:
                unrun = False
                if method.idempotency is Idempotency.NON_IDEMPOTENT:
                    break
            # Too late for another, or the fleet is full: going round that would only keep it so.
            if (
                self.now >= rpc.begun + call.wait_us - method.soft_deadline_us // 8
                or not unrun
                and self.jammed()
                or (result.outcome is AttemptOutcome.REJECTED and self.swamped > 0.4)
            ):
                break
        if held and rpc.sent == 0:
            self.call_counter(held[0], -held[1])
        # Rule 2: a pushback says that trying again is harmless.
        harmless = (
            unrun
            or method.idempotency is Idempotency.IDEMPOTENT
            or (method.idempotency is Idempotency.DEDUPLICATED and method.deduplication_scope is DeduplicationScope.ALL)
        )
        # The pressed back end's own wait: a soft deadline, in which a full one empties.
        yield Reject(call.rpc, self.jittered(method.soft_deadline_us), True) if harmless else Abandon(call.rpc)

    def patience(self, method: int) -> int:
        return self.parameters.methods[method].soft_deadline_us * 3 // 5  # after which a call-out counts as slow

    def claim(self, call: Arrival) -> float:
        """The part of the room that an RPC may fill. A later try that can no longer be ok within the soft
        deadline leaves most of it to those that can; unmarked, told by a wait shorter than a first try's."""
        method, row = self.parameters.methods[call.method], self.methods[call.method]
        row.longest = max(row.longest, call.wait_us)
        if call.wait_us < 0.7 * row.mean:  # it would be given up before it is answered
            return 0.1
        later = call.wait_us < 0.98 * row.longest if call.is_retry is None else call.is_retry
        if later and method.deadline_us - call.wait_us > 0.8 * method.soft_deadline_us:
            return 0.4  # 0.5 and 0.3 each gave up more on one kind of incident
        # Utility for the time it takes, against the running mean: the cheaper half of it leaves first.
        value = method.utility * self.parameters.plans[call.plan].price * call.units / row.mean
        self.value += (value - self.value) * (0.02 if self.value else 1.0)
        return min(1.0, 0.6 + 0.5 * value / self.value) if self.value > 0 else 1.0

    # ---- events ----

    def renew(self, news: ParametersChanged) -> None:
        """Other gateways, or other methods: what was measured stays."""
        self.parameters = parameters = news.parameters
        self.methods += [MethodRow(method.soft_deadline_us) for method in parameters.methods[len(self.methods) :]]
        self.retry_budget.resize(parameters.retry_budget_per_s, parameters.retry_budget_depth, self.now)

    def arrive(self, call: Arrival) -> None:
        rpc = OpenRpc(call, self.now)
        self.open[call.rpc] = rpc
        rpc.steps = self.rpc(rpc)
        self.carry_out(rpc, next(rpc.steps))

    def resume(self, rpc: OpenRpc, result: AttemptEnded | CounterReply | None) -> None:
        rpc.asked = None
        if rpc.steps and not rpc.ended:
            self.carry_out(rpc, rpc.steps.send(result))

    def carry_out(self, rpc: OpenRpc, wish: Action | int) -> None:
        if isinstance(wish, int):
            rpc.look_at = self.now + wish
            return
        if isinstance(wish, AddToCounter):
            # No answer within two beats is none: the slice decides.
            rpc.look_at, rpc.asked = self.now + 2 * BEAT, wish
            return self.call_counter(wish.name, wish.amount, partial(self.told, rpc, wish))
        self.actions.append(wish)
        if isinstance(wish, StartAttempt):
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
        elif isinstance(wish, CancelAttempt):
            rpc.look_at = self.now + SECOND
        else:
            rpc.ended = True
            self.drop_if_done(rpc)

    def told(self, rpc: OpenRpc, asked: AddToCounter, answer: CounterReply) -> None:
        if rpc.asked is asked and not rpc.ended:
            self.resume(rpc, answer)

    def drop_if_done(self, rpc: OpenRpc) -> None:
        if rpc.ended and not rpc.outs:
            self.open.pop(rpc.call.rpc, None)

    def client_gone(self, event: ClientGone) -> None:
        if rpc := self.open.get(event.rpc):
            rpc.ended = True
            self.drop_if_done(rpc)

    def stream_begun(self, event: AnswerStarted) -> None:
        if rpc := self.open.get(event.rpc):
            rpc.look_at = self.now + 3600 * SECOND  # left alone from here on

    def ended(self, result: AttemptEnded) -> None:
        rpc = self.open.get(result.rpc)
        if rpc is None or result.attempt not in rpc.outs:
            return
        index, sent_at = rpc.outs.pop(result.attempt)
        backend = self.backends[index]
        backend.overdue -= rpc.slow_at == result.attempt + 1
        backend.out -= 1
        self.out -= 1
        customer = self.customers[rpc.call.customer]
        customer.out -= 1
        if (
            self.parameters.settles_units and customer.plan.rate > 0 and result.settled_units > 0
        ):  # told with the first ok
            customer.store.level += rpc.call.units - result.settled_units
        if sent_at >= self.woke:
            self.measure(backend, rpc, result, sent_at)
        rpc.ended = rpc.ended or result.is_final
        self.resume(rpc, result)
        self.drop_if_done(rpc)

    def set_beat(self) -> None:
        """Each gateway beats at a place of its own: their calls don't crowd the counter at once."""
        phase = self.parameters.own_index * BEAT // self.parameters.gateways
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
            self.concurrency_limit = min(self.concurrency_limit, 3 * self.usual_out + 4)
            self.answers *= 0.9
            self.news += 1
            if self.news >= 4:  # answers, or a second: a quiet gateway has little to rank anew
                self.renew_order()
            self.backends = {i: b for i, b in self.backends.items() if b.state is not BackendState.GONE or b.out}
        if self.parameters.must_subscribe and self.now >= self.subscribe_at:
            self.subscribe_at = math.inf
            self.actions.append(Subscribe())
        for rpc in [r for r in self.open.values() if r.look_at <= self.now]:
            self.resume(rpc, STILL_OUT)
