"""Without peer evidence the decisions are what they were before there was a fleet package."""

import hashlib
import random
from dataclasses import fields
from typing import get_args

from decision_bench import START, DecisionBench, plan

from stoneyoke.control.actions import Action, AddToCounter, CancelAttempt, StartAttempt
from stoneyoke.control.events import ClientGone, CounterReply, Endpoint, EndpointsChanged, PeerEvidence, TimerFired
from stoneyoke.control.parameters import AttemptOutcome, BackendState

# Digest of all actions, without the names of their classes and fields, for the events drawn below. The text before
# these names were changed (0c80eb9) gives the same one. A change of decisions on purpose takes it anew: print(replay())
# on the changed text, with the reason in its commit.
RECORDED = "e992db8b9dadba37"
ENDS = [AttemptOutcome.OK] * 12 + list(AttemptOutcome)


def content(action):
    """An action without the names of its class and fields: renaming them changes no decision."""
    values = [getattr(action, field.name) for field in fields(action) if field.repr]
    return [get_args(Action).index(type(action)), *values]


def replay(peer_evidence=None):
    """A minute of drawn events at one gateway of 60, answered as they are asked for; the digest of its
    actions."""
    random_source, digest = random.Random(18), hashlib.sha256()
    bench = DecisionBench(
        fleet=12,
        gateways=60,
        own_index=7,
        plans=(plan(), plan(40.0, 80.0), plan(20.0, 40.0, ceiling_rate=40.0, ceiling_burst=90.0)),
    )
    pending, states = [], {n: (n % 2, n % 3, 0, BackendState.READY) for n in range(12)}

    def note(actions):
        digest.update(repr((bench.now, [content(action) for action in actions])).encode())
        for action in actions:
            if isinstance(action, StartAttempt):
                n = sent[action.rpc] = sent.get(action.rpc, -1) + 1
                took = int(random_source.expovariate(1 / 80_000)) if random_source.random() < 0.97 else 3_000_000
                outcome = random_source.choice(ENDS)
                pending.append((bench.now + took, action.rpc, n, action.backend, outcome))
            elif isinstance(action, CancelAttempt):
                out = [p for p in pending if p[1:3] == (action.rpc, action.attempt)]
                for p in out:
                    pending.remove(p)
                    pending.append((bench.now + 1, *p[1:4], AttemptOutcome.CANCELLED))
            elif isinstance(action, AddToCounter) and random_source.random() < 0.95:
                totals[action.name] = totals.get(action.name, 0.0) + action.amount
                pending.append((bench.now + 6_000, action.name, totals[action.name]))

    sent, totals = {}, {}
    for step in range(1200):
        bench.now = START + step * 50_000
        if peer_evidence and step % 7 == 0:
            note(bench.tell(peer_evidence))
        for event in sorted(p for p in pending if p[0] <= bench.now):
            pending.remove(event)
            if len(event) == 3:
                note(bench.tell(CounterReply(event[1], True, event[2])))
            else:
                note(bench.end_attempt(*event[1:5]))
        note(bench.tell(TimerFired(0)))
        for _ in range(random_source.randrange(3)):
            kind = random_source.randrange(3)
            note(
                bench.arrive(
                    method=random_source.randrange(4),
                    customer=kind * 10 + random_source.randrange(5),
                    plan=kind,
                    units=random_source.choice((0.2, 0.5, 1.0)),
                    customer_gateways=60.0,
                )
            )
        if random_source.random() < 0.01:
            note(bench.tell(ClientGone(random_source.randrange(1, bench.next_rpc + 1))))
        if random_source.random() < 0.01:
            backend = random_source.randrange(12)
            zone, cell, _, _ = states[backend]
            state = random_source.choice((BackendState.READY, BackendState.READY, BackendState.DRAINING))
            states[backend] = (zone, cell, bench.now, state)
            note(bench.tell(EndpointsChanged(False, False, [Endpoint(backend, *states[backend])])))
    return digest.hexdigest()[:16]


def test_recorded_events_get_the_recorded_actions():
    assert replay() == RECORDED


def test_peer_evidence_changes_the_actions():
    assert replay(PeerEvidence(frozenset([0, 1]), frozenset())) != replay()
