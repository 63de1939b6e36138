"""Choice of a backend: endpoints, ranking, slow start, ejection."""

import pytest
from decision_bench import START, DecisionBench, actions_of, attempts_in, gateways_of_one_fleet, plan, start_rpcs

from stoneyoke.control.actions import Reject, StartAttempt, Subscribe
from stoneyoke.control.events import ClientGone, Endpoint, EndpointsChanged
from stoneyoke.control.parameters import AttemptOutcome, BackendState


def test_a_backend_missing_from_a_complete_list_is_gone():
    bench = DecisionBench()
    bench.dispatch(EndpointsChanged(True, False, [Endpoint(3, 1, 0, 0, BackendState.READY)]))
    assert all(a.backend == 3 for a in start_rpcs(bench, 3))


def test_a_draining_backend_gets_no_attempts_and_without_backends_rpcs_are_rejected():
    bench = DecisionBench(fleet=1)
    bench.dispatch(EndpointsChanged(False, False, [Endpoint(0, 0, 0, 0, BackendState.DRAINING)]))
    assert actions_of(Reject, bench.arrive())


def test_the_parts_of_many_gateways_of_a_cold_budget_sum_to_the_whole_from_the_start():
    benches = gateways_of_one_fleet(200, fleet=2, started={0: START}, plans=(plan(1e6, 1e6),))
    cold = 0
    for bench in benches:
        bench.gateway.backends.concurrency.responses_per_s = 0.1  # 20 a second over all, from the one warm backend
    for _ in range(10):  # a window of 1.5 s, in which each gateway uses its whole budget
        for bench in benches:
            bench.pass_time(150_000)
            bench.gateway.backends.concurrency.responses_per_s = 0.1
            for out in attempts_in(bench.arrive()):
                cold += out.backend == 0
                bench.end_attempt(bench.next_rpc, 0, out.backend, AttemptOutcome.CANCELLED, is_final=True)
    # The backend has a quarter of the capacity at least, and twice that may be sent: 15 attempts in 1.5 s. If each
    # gateway rounded its part up to one attempt, it would be 200.
    assert 2 <= cold <= 15


def test_a_backend_that_turns_warm_between_rankings_still_gets_one_attempt_at_most():
    bench = DecisionBench(fleet=6, started={5: START - 9_990_000}, plans=(plan(1e6, 1e6),))
    bench.now += 20_000
    assert bench.gateway.backends.order[0].index == 5
    chosen = [out.backend for i in range(14) for out in attempts_in(bench.arrive(customer=i))]
    assert chosen.count(5) <= 1 and len(chosen) == 14


def test_a_backend_that_accepted_no_connection_counts_as_cold_afterwards():
    bench = DecisionBench(fleet=2, plans=(plan(1e6, 1e6),))
    first = attempts_in(bench.arrive())[0].backend
    other = attempts_in(bench.end_attempt(1, 0, first, AttemptOutcome.NO_CONNECTION))[0].backend
    bench.end_attempt(1, 1, other)
    bench.pass_time(1_200_000)
    chosen = [out.backend for i in range(20) for out in attempts_in(bench.arrive(customer=i))]
    assert chosen.count(first) <= 1 and other in chosen


def test_cut_connections_alone_neither_make_a_backend_cold_nor_eject_it():
    bench = DecisionBench(fleet=3, plans=(plan(1e6, 1e6),))
    for turn in range(40):
        bench.pass_time(100_000)
        (out,) = attempts_in(bench.arrive(units=0.01))
        if turn % 4 == 0:
            (out,) = attempts_in(bench.end_attempt(out.rpc, 0, out.backend, AttemptOutcome.CUT))
        bench.end_attempt(out.rpc, int(turn % 4 == 0), out.backend)
    assert all(backend.is_warm and not backend.started_us for backend in bench.gateway.backends.table.by_index.values())


def test_gateways_of_a_zone_begin_at_different_backends():
    first_backends = [attempts_in(b.arrive())[0].backend for b in gateways_of_one_fleet(30, fleet=20)]
    assert len(set(first_backends)) == 10 and max(first_backends.count(f) for f in first_backends) <= 4


def test_a_backend_that_rejects_quickly_is_not_ranked_as_fast():
    bench = DecisionBench()
    for _ in range(12):
        actions = bench.arrive(customer=bench.next_rpc)
        while out := attempts_in(actions):
            n = sum(1 for _, a in bench.log if isinstance(a, StartAttempt) and a.rpc == bench.next_rpc) - 1
            bench.now += 1000 if out[0].backend == 0 else 100_000
            actions = bench.end_attempt(
                bench.next_rpc, n, out[0].backend, AttemptOutcome.REJECTED if out[0].backend == 0 else AttemptOutcome.OK
            )
    bench.pass_time(300_000)
    assert bench.gateway.backends.order[-1].index == 0 and bench.gateway.backends.table.by_index[0].latency_band > 0


def test_one_response_of_three_mean_latencies_does_not_lower_the_rank():
    bench = DecisionBench()
    out = attempts_in(bench.arrive())[0]
    bench.now += int(3 * bench.gateway.context.methods[0].mean_latency_us)
    bench.end_attempt(1, 0, out.backend)
    bench.gateway.backends.renew_order()
    assert bench.gateway.backends.table.by_index[out.backend].latency_band == 0


def test_a_backend_that_accepts_no_connection_is_ejected_at_once():
    bench = DecisionBench()
    out = attempts_in(bench.arrive())[0]
    again = attempts_in(bench.end_attempt(1, 0, out.backend, AttemptOutcome.NO_CONNECTION))[0]
    assert again.backend != out.backend
    bench.end_attempt(1, 1, again.backend)
    assert all(o.backend != out.backend for o in start_rpcs(bench, 5))


def test_the_gateway_subscribes_again_after_a_failed_discovery_query():
    bench = DecisionBench(must_subscribe=True)
    assert actions_of(Subscribe, bench.pass_time(100_000))
    bench.dispatch(EndpointsChanged(False, True))
    assert actions_of(Subscribe, bench.pass_time(2_000_000))


def shares_with_a_silent_backend(leave_us, arrivals=600):
    """Returns the share of attempts sent to backend 0 of six, which never responds. Its clients leave after a time."""
    bench, ends, chosen = DecisionBench(fleet=6, plans=(plan(0.0, 0.0),), has_counter=False, gateways=1), [], []
    for _ in range(arrivals):
        bench.pass_time(20_000)
        while ends and ends[0][0] <= bench.now:
            _, rpc, backend = ends.pop(0)
            if backend == 0:
                bench.dispatch(ClientGone(rpc))
            outcome = AttemptOutcome.OK if backend else AttemptOutcome.CLIENT_GONE
            bench.end_attempt(rpc, 0, backend, outcome, is_final=True)
        for out in attempts_in(bench.arrive()):
            chosen.append(out.backend)
            ends.append((bench.now + (leave_us if out.backend == 0 else 40_000), bench.next_rpc, out.backend))
            ends.sort()
    assert bench.gateway.backends.table.by_index[0].failure_share == 0
    return chosen.count(0) / len(chosen)


@pytest.mark.parametrize("leave_us", [30_000, 60_000, 200_000])
def test_a_backend_that_never_responds_gets_few_attempts_though_its_clients_leave_before_they_are_overdue(leave_us):
    assert shares_with_a_silent_backend(leave_us) < 0.06, "an even share is a sixth"
