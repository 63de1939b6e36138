"""Guards that the decisions without peer evidence do not change: a seeded run must give the recorded digest."""

import hashlib
import random
from dataclasses import fields
from typing import NamedTuple, get_args

from decision_bench import START, DecisionBench, plan

from stoneyoke.control.actions import Action, AddToCounter, CancelAttempt, StartAttempt
from stoneyoke.control.events import ClientGone, CounterReply, Endpoint, EndpointsChanged, PeerEvidence, TimerFired
from stoneyoke.control.parameters import AttemptOutcome, BackendState

# Digest of all actions for the events drawn below, without the names of classes and fields: the code before these were
# renamed (0c80eb9) gives the same digest. A commit that changes decisions on purpose records it again, with
# print(replay()), and states the reason.
RECORDED_DIGEST = "e992db8b9dadba37"
BACKENDS, STEPS, STEP_US = 12, 1200, 50_000
# An attempt ends as CLIENT_GONE only if it is cancelled after its client has gone.
ENDS = [AttemptOutcome.OK] * 12 + [outcome for outcome in AttemptOutcome if outcome is not AttemptOutcome.CLIENT_GONE]


def values_of(action):
    """Returns an action's index and field values, without names, so that renames don't change the digest."""
    values = [getattr(action, field.name) for field in fields(action) if field.repr]
    return [get_args(Action).index(type(action)), *values]


class PendingEnd(NamedTuple):
    """The end of an attempt, at a future time."""

    at_us: int
    rpc: int
    attempt: int
    backend: int
    outcome: AttemptOutcome


class PendingCount(NamedTuple):
    """The counter's reply, at a future time."""

    at_us: int
    counter: int
    total: float


class Replay:
    """Random events at one gateway of 60. The responses to its actions have random outcomes and delays, too."""

    def __init__(self):
        self.random_source = random.Random(18)
        self.digest = hashlib.sha256()
        self.bench = DecisionBench(
            fleet=BACKENDS,
            gateways=60,
            own_index=7,
            plans=(plan(), plan(40.0, 80.0), plan(20.0, 40.0, ceiling_rate=40.0, ceiling_burst=90.0)),
        )
        self.endpoints = {n: (n % 2, n % 3, 0, BackendState.READY) for n in range(BACKENDS)}
        self.pending = []  # of PendingEnd and PendingCount
        self.attempts = {}  # last attempt's number, by RPC
        self.totals = {}  # by counter
        self.clients_gone = set()  # RPCs

    def dispatch(self, event):
        self.record(self.bench.dispatch(event))

    def record(self, actions):
        """Adds actions to the digest, and draws the events that follow from them."""
        self.digest.update(repr((self.bench.now, [values_of(action) for action in actions])).encode())
        for action in actions:
            if isinstance(action, StartAttempt):
                self.draw_end(action)
            elif isinstance(action, CancelAttempt):
                self.cancel(action)
            elif isinstance(action, AddToCounter) and self.random_source.random() < 0.95:
                self.totals[action.name] = self.totals.get(action.name, 0.0) + action.amount
                self.pending.append(PendingCount(self.bench.now + 6_000, action.name, self.totals[action.name]))

    def draw_end(self, action):
        attempt = self.attempts[action.rpc] = self.attempts.get(action.rpc, -1) + 1
        answers = self.random_source.random() < 0.97
        took_us = int(self.random_source.expovariate(1 / 80_000)) if answers else 3_000_000
        outcome = self.random_source.choice(ENDS)
        self.pending.append(PendingEnd(self.bench.now + took_us, action.rpc, attempt, action.backend, outcome))

    def cancel(self, action):
        if action.only_unsent:  # nothing to cancel: here each attempt is sent at once
            return
        outcome = AttemptOutcome.CLIENT_GONE if action.rpc in self.clients_gone else AttemptOutcome.CANCELLED
        for end in [event for event in self.pending if event[1:3] == (action.rpc, action.attempt)]:
            self.pending.remove(end)
            self.pending.append(end._replace(at_us=self.bench.now + 1, outcome=outcome))

    def deliver_due(self):
        for event in sorted(event for event in self.pending if event.at_us <= self.bench.now):
            self.pending.remove(event)
            if isinstance(event, PendingCount):
                self.dispatch(CounterReply(event.counter, True, event.total))
            else:
                self.record(self.bench.end_attempt(*event[1:]))

    def draw_arrivals(self):
        for _ in range(self.random_source.randrange(3)):
            kind = self.random_source.randrange(3)
            actions = self.bench.arrive(
                method=self.random_source.randrange(4),
                customer=kind * 10 + self.random_source.randrange(5),
                plan=kind,
                units=self.random_source.choice((0.2, 0.5, 1.0)),
                customer_gateways=60.0,
            )
            self.record(actions)

    def draw_endpoint_change(self):
        backend = self.random_source.randrange(BACKENDS)
        zone, cell, _, _ = self.endpoints[backend]
        state = self.random_source.choice((BackendState.READY, BackendState.READY, BackendState.DRAINING))
        self.endpoints[backend] = (zone, cell, self.bench.now, state)
        self.dispatch(EndpointsChanged(False, False, [Endpoint(backend, *self.endpoints[backend])]))

    def step(self):
        self.deliver_due()
        self.dispatch(TimerFired(0))
        self.draw_arrivals()
        if self.random_source.random() < 0.01:
            rpc = self.random_source.randrange(1, self.bench.next_rpc + 1)
            self.clients_gone.add(rpc)
            self.dispatch(ClientGone(rpc))
        if self.random_source.random() < 0.01:
            self.draw_endpoint_change()


def replay(peer_evidence=None):
    """Runs one minute, with `peer_evidence`, if given, at every seventh step. Returns the digest of all actions."""
    run = Replay()
    for step in range(STEPS):
        run.bench.now = START + step * STEP_US
        if peer_evidence and step % 7 == 0:
            run.dispatch(peer_evidence)
        run.step()
    return run.digest.hexdigest()[:16]


def test_recorded_events_get_the_recorded_actions():
    assert replay() == RECORDED_DIGEST


def test_peer_evidence_changes_the_actions():
    assert replay(PeerEvidence(frozenset([0, 1]), frozenset())) != replay()
