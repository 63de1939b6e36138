"""How peer evidence changes the gateway's choice of backends."""

from decision_bench import DecisionBench, attempts_in

from stoneyoke.control.events import PeerEvidence
from stoneyoke.control.parameters import AttemptOutcome


def backends_used(bench, rpcs):
    used = []
    for _ in range(rpcs):
        (attempt,) = attempts_in(bench.arrive(units=0.01))
        used.append(attempt.backend)
        bench.end_attempt(bench.next_rpc, 0, attempt.backend)
        bench.pass_time(50_000)
    return used


def test_an_ejected_backend_gets_no_attempts_until_it_is_reinstated():
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


def test_a_retry_avoids_an_ejected_backend():
    bench = DecisionBench(fleet=3)
    bench.dispatch(PeerEvidence(frozenset([0]), frozenset()))
    (attempt,) = attempts_in(bench.arrive(units=0.01))
    (retry,) = attempts_in(bench.end_attempt(bench.next_rpc, 0, attempt.backend, AttemptOutcome.CUT))
    assert {attempt.backend, retry.backend} == {1, 2}
