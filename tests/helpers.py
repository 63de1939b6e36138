"""One gateway under test, with the terms and events that most tests share."""

from stoneyoke.control import Gateway
from stoneyoke.interface import (
    Arrival, CallOut, CallOutEnded, Effect, FleetNews, Group, Listed, Method, Outcome, Plan, State,
    Terms, TimerFired,
)

START = 1_000_000_000_000
METHODS = (
    Method(Effect.IDEMPOTENT, Group.CELL, 1_000_000, 2_500_000, 0, 1.0),
    Method(Effect.DEDUPLICATED, Group.ZONE, 1_000_000, 2_500_000, 2_000_000, 1.0),
    Method(Effect.NON_IDEMPOTENT, Group.CELL, 1_000_000, 2_500_000, 0, 1.0),
    Method(Effect.DEDUPLICATED, Group.ALL, 1_000_000, 2_500_000, 2_000_000, 1.0),
)


def plan(rate=4.0, burst=12.0, parallel=0, ceiling_rate=0.0, ceiling_burst=0.0, price=1.0):
    return Plan(rate, burst, price, parallel, ceiling_rate, ceiling_burst)


def terms(plans=None, **changes):
    values = dict(
        seed=7, gateways=3, own_index=0, zone=0, methods=METHODS, plans=plans or (plan(),), call_outs_max=5,
        can_call_off=True, has_counter=True, settles=False, must_subscribe=False,
       
        units_top=1.0, cold_share=0.25, warm_up_us=10_000_000, push_over_factor=2.0, push_over_us=1_500_000,
    )
    return Terms(**(values | changes))


class Bench:
    """Drives one gateway and keeps every action with its time."""

    def __init__(self, fleet=6, started=None, **changes):
        self.now, self.next_rpc, self.log = START, 0, []
        self.gateway = Gateway(terms(**changes), START)
        started = started or {}
        self.tell(FleetNews(True, False, [
            Listed(i, i % 2, i % 3, started.get(i, 0), State.READY) for i in range(fleet)]))

    def tell(self, event):
        actions = self.gateway.handle(event, self.now)
        self.log += [(self.now, action) for action in actions]
        return actions

    def arrive(self, method=0, customer=0, units=1.0, width=3.0, wait=2_500_000, plan=0):
        self.next_rpc += 1
        return self.tell(Arrival(
            self.next_rpc, method, plan, customer, 1000 + customer, wait, units, width))

    def end(self, rpc, n, backend, outcome=Outcome.OK, closed=None, units=0.0):
        closed = outcome is Outcome.OK if closed is None else closed
        return self.tell(CallOutEnded(rpc, n, backend, outcome, closed, units))

    def pass_time(self, microseconds, answer=None):
        """Beats on the way; answer(action) may return an event for an action."""
        until, out = self.now + microseconds, []
        while self.now < until:
            self.now = min(until, self.now + 50_000 - self.now % 50_000)
            actions = self.tell(TimerFired(0))
            out += actions
            for action in actions:
                if answer and (event := answer(action)):
                    self.tell(event)
        return out


def of(kind, actions):
    return [a for a in actions if isinstance(a, kind)]


def sent(actions):
    return of(CallOut, actions)
