"""What the decisions make of hearsay: left out, probed before others, and never all."""

from helpers import Bench, sent

from stoneyoke.control.events import PeerEvidence
from stoneyoke.control.parameters import AttemptOutcome


def served(bench, rpcs):
    took = []
    for _ in range(rpcs):
        (call,) = sent(bench.arrive(units=0.01))
        took.append(call.backend)
        bench.end(bench.next_rpc, 0, call.backend)
        bench.pass_time(50_000)
    return took


def test_what_is_left_out_gets_nothing_and_is_used_again_after():
    bench = Bench()
    first = served(bench, 1)[0]
    bench.tell(PeerEvidence(frozenset([first]), frozenset()))
    assert first not in served(bench, 20)
    bench.tell(PeerEvidence(frozenset(), frozenset()))
    assert first in served(bench, 20)


def test_what_is_probed_gets_the_next_rpc_however_it_is_ranked():
    bench = Bench()
    usual = set(served(bench, 10))
    other = next(b for b in range(6) if b not in usual)
    bench.tell(PeerEvidence(frozenset(), frozenset([other])))
    assert served(bench, 1) == [other]
    bench.tell(PeerEvidence(frozenset([other]), frozenset()))
    assert other not in served(bench, 10)


def test_an_rpc_goes_on_past_what_is_left_out():
    bench = Bench(fleet=3)
    bench.tell(PeerEvidence(frozenset([0]), frozenset()))
    (call,) = sent(bench.arrive(units=0.01))
    (again,) = sent(bench.end(bench.next_rpc, 0, call.backend, AttemptOutcome.CUT))
    assert {call.backend, again.backend} == {1, 2}
