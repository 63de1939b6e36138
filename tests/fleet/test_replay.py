"""Without word of other gateways the decisions are what they were before there was a fleet part."""

import hashlib
import random

from helpers import START, Bench, plan

from stoneyoke.interface import (
    AddCount,
    CallOff,
    CallOut,
    ClientGone,
    CountAnswer,
    FleetNews,
    Hearsay,
    Listed,
    Outcome,
    State,
    TimerFired,
)

# Digest of all actions for the events drawn below. On the text before the fleet part (0753999) and on the one
# with it (6c2d412) it was a104d657ea79491c; taken anew when gateways began to take turns. A change of
# decisions on
# purpose takes it anew: print(replay()) on the changed text, with the reason in its commit.
RECORDED = "5073e74fa6c12f9e"
ENDS = [Outcome.OK] * 12 + list(Outcome)


def replay(hearsay=None):
    """A minute of drawn events at one gateway of 60, answered as they are asked for; the digest of its
    actions."""
    chance, digest = random.Random(18), hashlib.sha256()
    bench = Bench(
        fleet=12,
        gateways=60,
        own_index=7,
        plans=(plan(), plan(40.0, 80.0), plan(20.0, 40.0, ceiling_rate=40.0, ceiling_burst=90.0)),
    )
    pending, states = [], {n: (n % 2, n % 3, 0, State.READY) for n in range(12)}

    def note(actions):
        digest.update(repr((bench.now, actions)).encode())
        for action in actions:
            if isinstance(action, CallOut):
                n = sent[action.rpc] = sent.get(action.rpc, -1) + 1
                took = int(chance.expovariate(1 / 80_000)) if chance.random() < 0.97 else 3_000_000
                outcome = chance.choice(ENDS)
                pending.append((bench.now + took, action.rpc, n, action.backend, outcome))
            elif isinstance(action, CallOff):
                out = [p for p in pending if p[1:3] == (action.rpc, action.n)]
                for p in out:
                    pending.remove(p)
                    pending.append((bench.now + 1, *p[1:4], Outcome.CALLED_OFF))
            elif isinstance(action, AddCount) and chance.random() < 0.95:
                totals[action.name] = totals.get(action.name, 0.0) + action.amount
                pending.append((bench.now + 6_000, action.name, totals[action.name]))

    sent, totals = {}, {}
    for step in range(1200):
        bench.now = START + step * 50_000
        if hearsay and step % 7 == 0:
            note(bench.tell(hearsay))
        for event in sorted(p for p in pending if p[0] <= bench.now):
            pending.remove(event)
            if len(event) == 3:
                note(bench.tell(CountAnswer(event[1], True, event[2])))
            else:
                note(bench.end(*event[1:5]))
        note(bench.tell(TimerFired(0)))
        for _ in range(chance.randrange(3)):
            kind = chance.randrange(3)
            note(
                bench.arrive(
                    method=chance.randrange(4),
                    customer=kind * 10 + chance.randrange(5),
                    plan=kind,
                    units=chance.choice((0.2, 0.5, 1.0)),
                    width=60.0,
                )
            )
        if chance.random() < 0.01:
            note(bench.tell(ClientGone(chance.randrange(1, bench.next_rpc + 1))))
        if chance.random() < 0.01:
            backend = chance.randrange(12)
            zone, cell, _, _ = states[backend]
            state = chance.choice((State.READY, State.READY, State.DRAINING))
            states[backend] = (zone, cell, bench.now, state)
            note(bench.tell(FleetNews(False, False, [Listed(backend, *states[backend])])))
    return digest.hexdigest()[:16]


def test_recorded_events_are_answered_as_before():
    assert replay() == RECORDED


def test_hearsay_changes_the_answers_where_there_is_some():
    assert replay(Hearsay(frozenset([0, 1]), frozenset())) != replay()
