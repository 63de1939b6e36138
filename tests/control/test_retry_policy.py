"""Retries: when an RPC is retried, cancelled, rejected or failed."""

import pytest
from decision_bench import METHODS, DecisionBench, actions_of, attempts_in, counter_total, plan

from stoneyoke.control.actions import CancelAttempt, FailRpc, Reject, StartAttempt
from stoneyoke.control.events import Arrival, ClientGone, CounterReply, ResponseStarted
from stoneyoke.control.parameters import AttemptOutcome


@pytest.mark.parametrize(
    "method, outcome, answer",
    [
        (2, AttemptOutcome.ERROR, FailRpc),
        (2, AttemptOutcome.TIMED_OUT, FailRpc),
        (2, AttemptOutcome.NO_CONNECTION, StartAttempt),
        (0, AttemptOutcome.ERROR, StartAttempt),
        (1, AttemptOutcome.BROKEN, StartAttempt),
        (3, AttemptOutcome.CANCELLED, StartAttempt),
    ],
)
def test_the_action_after_a_failed_attempt(method, outcome, answer):
    bench = DecisionBench()
    first = attempts_in(bench.arrive(method=method))[0]
    after = bench.end_attempt(1, 0, first.backend, outcome)
    assert isinstance(after[0], answer)
    if method == 1:
        assert after[0].backend % 2 == first.backend % 2  # the same zone


@pytest.mark.parametrize("method, answer", [(1, FailRpc), (3, Reject)])
def test_a_deduplicated_rpc_is_not_retried_after_its_window_and_rejected_only_if_all_recognise_repeats(method, answer):
    bench = DecisionBench()
    first = attempts_in(bench.arrive(method=method, wait_us=6_000_000))[0]
    bench.now += METHODS[method].deduplication_window_us
    assert isinstance(bench.end_attempt(1, 0, first.backend, AttemptOutcome.ERROR)[0], answer)


@pytest.mark.parametrize("fleet, answer", [(2, FailRpc), (3, StartAttempt)])  # backends in zones 0, 1; in 0, 1, 0
def test_a_deduplicated_rpc_that_may_have_run_stays_in_its_scope(fleet, answer):
    bench = DecisionBench(fleet=fleet)
    first = attempts_in(bench.arrive(method=1))[0]
    assert isinstance(bench.end_attempt(1, 0, first.backend, AttemptOutcome.ERROR)[0], answer)


def test_an_idempotent_rpc_that_may_have_run_is_retried_at_any_backend_but_not_in_an_overload():
    bench = DecisionBench(fleet=6)
    (out,) = attempts_in(bench.arrive())
    for n in range(4):  # a cell has only two backends, so the retries leave the first one's cell
        (out,) = attempts_in(bench.end_attempt(out.rpc, n, out.backend, AttemptOutcome.BROKEN))
    (out,) = attempts_in(bench.arrive())
    bench.gateway.backends.concurrency.latency = 0.4  # an overload, which retries would only add to
    assert actions_of(Reject, bench.end_attempt(out.rpc, 0, out.backend, AttemptOutcome.BROKEN))


@pytest.mark.parametrize("method, answer", [(2, FailRpc), (0, Reject)])
def test_an_rpc_timed_out_at_its_deadline_still_gets_a_final_response(method, answer):
    bench = DecisionBench()
    first = attempts_in(bench.arrive(method=method))[0]
    bench.now += 2_500_000
    after = bench.end_attempt(1, 0, first.backend, AttemptOutcome.TIMED_OUT, is_final=False)
    assert actions_of(answer, after) and not attempts_in(after)


def test_in_a_fleet_that_rejects_most_attempts_rpcs_are_not_retried():
    bench = DecisionBench(fleet=20, plans=(plan(1e6, 1e6),))
    attempt_counts = []
    for _ in range(12):
        actions, n = bench.arrive(), 0
        while out := attempts_in(actions):
            actions, n = bench.end_attempt(bench.next_rpc, n, out[0].backend, AttemptOutcome.REJECTED), n + 1
        attempt_counts.append(n)
    assert attempt_counts[0] > 1 and attempt_counts[-1] <= 1 and bench.gateway.backends.concurrency.limit < 16


def test_an_idempotent_rpc_at_a_silent_backend_is_cancelled_and_retried():
    bench = DecisionBench()
    first = attempts_in(bench.arrive())[0]
    cancellations = actions_of(CancelAttempt, bench.pass_time(1_500_000))
    assert cancellations and cancellations[0].attempt == 0
    retries = attempts_in(bench.end_attempt(1, 0, first.backend, AttemptOutcome.CANCELLED))
    assert retries and retries[0].backend != first.backend


def test_late_events_on_ended_rpcs_are_ignored():
    bench = DecisionBench()
    first = attempts_in(bench.arrive())[0]
    bench.end_attempt(1, 0, first.backend)
    assert not bench.end_attempt(1, 0, first.backend) and not bench.dispatch(CounterReply(5, True, 1.0))


def test_the_same_events_give_the_same_actions():
    logs = []
    for _ in range(2):
        bench = DecisionBench()
        for i in range(60):
            bench.dispatch(
                Arrival(
                    rpc=i,
                    method=i % 4,
                    plan=0,
                    customer=i % 3,
                    customer_id=i % 3,
                    wait_us=2_500_000,
                    units=1.0,
                    customer_gateways=3.0,
                )
            )
        bench.pass_time(3_000_000, counter_total(9.0))
        logs.append(bench.log)
    assert logs[0] == logs[1]


def test_an_attempt_whose_response_has_begun_is_not_cancelled_and_its_end_releases_the_rpc():
    bench = DecisionBench()
    first = attempts_in(bench.arrive())[0]
    bench.dispatch(ResponseStarted(1))
    later = bench.pass_time(5_000_000)
    assert not actions_of(CancelAttempt, later) and not attempts_in(later) and bench.gateway.is_open_rpc(1)
    bench.end_attempt(1, 0, first.backend)
    assert not bench.gateway.is_open_rpc(1)


@pytest.mark.parametrize(
    ("method", "can_cancel", "only_unsent"), [(0, True, False), (0, False, True), (1, True, True), (2, True, True)]
)
def test_the_attempt_of_a_client_that_leaves_is_cancelled_even_a_sent_one_if_it_may_be_interrupted(
    method, can_cancel, only_unsent
):
    bench = DecisionBench(can_cancel_attempts=can_cancel)
    first = attempts_in(bench.arrive(method=method))[0]
    assert bench.dispatch(ClientGone(1)) == [CancelAttempt(1, 0, only_unsent)]
    assert bench.gateway.is_open_rpc(1) and not attempts_in(bench.pass_time(3_000_000))
    assert not bench.end_attempt(1, 0, first.backend, AttemptOutcome.CLIENT_GONE)
    assert not bench.gateway.is_open_rpc(1) and not bench.dispatch(ClientGone(1))


def test_when_a_client_leaves_only_its_attempt_in_flight_is_cancelled_not_one_that_has_ended():
    bench = DecisionBench()
    first = attempts_in(bench.arrive())[0]
    assert attempts_in(bench.end_attempt(1, 0, first.backend, AttemptOutcome.BROKEN))
    assert bench.dispatch(ClientGone(1)) == [CancelAttempt(1, 1, False)]
