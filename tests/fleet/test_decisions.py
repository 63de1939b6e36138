"""What the gateway's decisions make of peer evidence: which backends get attempts."""

from decision_bench import DecisionBench, attempts_in

from stoneyoke.control.events import PeerEvidence
from stoneyoke.control.parameters import AttemptOutcome


def backends_used(bench, rpcs):
    took = []
    for _ in range(rpcs):
        (call,) = attempts_in(bench.arrive(units=0.01))
        took.append(call.backend)
        bench.end_attempt(bench.next_rpc, 0, call.backend)
        bench.pass_time(50_000)
    return took


def test_a_backend_left_out_gets_no_attempts_until_it_is_reinstated():
    bench = DecisionBench()
    first = backends_used(bench, 1)[0]
    bench.dispatch(PeerEvidence(frozenset([first]), frozenset()))
    assert first not in backends_used(bench, 20)
    bench.dispatch(PeerEvidence(frozenset(), frozenset()))
    assert first in backends_used(bench, 20)


def test_a_backend_to_probe_gets_the_next_rpc_whatever_its_rank():
    bench = DecisionBench()
    usual = set(backends_used(bench, 10))
    other = next(b for b in range(6) if b not in usual)
    bench.dispatch(PeerEvidence(frozenset(), frozenset([other])))
    assert backends_used(bench, 1) == [other]
    bench.dispatch(PeerEvidence(frozenset([other]), frozenset()))
    assert other not in backends_used(bench, 10)


def test_a_retry_avoids_a_backend_left_out():
    bench = DecisionBench(fleet=3)
    bench.dispatch(PeerEvidence(frozenset([0]), frozenset()))
    (call,) = attempts_in(bench.arrive(units=0.01))
    (again,) = attempts_in(bench.end_attempt(bench.next_rpc, 0, call.backend, AttemptOutcome.CUT))
    assert {call.backend, again.backend} == {1, 2}
