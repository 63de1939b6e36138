"""The concurrency limit: what moves it, and which RPCs are rejected first when it is reached."""

from decision_bench import DecisionBench, actions_of, attempts_in, gateways_of_one_fleet, plan, start_rpcs

from stoneyoke.control.actions import Reject


def test_a_small_limit_grows_within_seconds_of_fast_responses():
    bench = DecisionBench(gateways=100, plans=(plan(1e6, 1e6),))
    bench.gateway.backends.concurrency.limit = 0.3
    for _ in range(30):  # three RPCs a second
        bench.pass_time(330_000)
        outs = attempts_in(bench.arrive())
        bench.pass_time(100_000)
        for out in outs:
            bench.end_attempt(bench.next_rpc, 0, out.backend)
    assert bench.gateway.backends.concurrency.limit > 1.0


def test_the_limits_of_many_gateways_are_fractions_that_sum_to_the_whole():
    benches, started = gateways_of_one_fleet(200, fleet=20, has_counter=False), 0
    for bench in benches:
        bench.gateway.backends.concurrency.limit = 0.3
        started += len(attempts_in(bench.arrive(customer_gateways=200.0)))
    assert 40 <= started <= 80


def test_at_the_limit_late_retries_and_cheap_rpcs_are_rejected_first():
    bench = DecisionBench(plans=(plan(1000.0, 3000.0), plan(1000.0, 3000.0, price=0.1)))
    bench.arrive(customer=1)
    bench.gateway.backends.concurrency.limit = 10.0
    while attempts_in(bench.arrive(wait_us=1_200_000)):
        pass  # late retries may fill only a share of the limit
    assert bench.gateway.backends.concurrency.in_flight == 4
    while attempts_in(bench.arrive(customer=2, plan=1)):
        pass
    assert 4 < bench.gateway.backends.concurrency.in_flight < 10
    assert attempts_in(bench.arrive())


def test_a_first_request_with_a_short_wait_does_not_count_as_a_retry_where_clients_mark_retries():
    bench = DecisionBench(plans=(plan(1000.0, 3000.0),))
    bench.arrive(customer=1, is_retry=True)  # waits for longer than a first request does here
    bench.gateway.backends.concurrency.limit = 10.0
    while attempts_in(bench.arrive(wait_us=1_200_000, is_retry=True)):
        pass
    assert bench.gateway.backends.concurrency.in_flight == 4 and attempts_in(
        bench.arrive(wait_us=1_200_000, is_retry=False)
    )


def test_slow_responses_lower_the_limit_and_fast_ones_raise_it():
    bench = DecisionBench()
    bench.gateway.backends.concurrency.limit = 12.0
    for first, took, grows in ((1, 900_000, False), (11, 50_000, True)):
        outs, before = start_rpcs(bench, 10), bench.gateway.backends.concurrency.limit
        bench.now += took
        for rpc, out in enumerate(outs, first):
            bench.end_attempt(rpc, 0, out.backend)
        assert (bench.gateway.backends.concurrency.limit > before) is grows


def test_lost_attempts_do_not_count_against_the_limit_while_responses_are_fast():
    bench = DecisionBench()
    start_rpcs(bench, 6, method=2, wait_us=6_000_000)
    bench.gateway.backends.concurrency.limit = 4.0
    assert actions_of(Reject, bench.arrive())
    bench.pass_time(700_000)
    assert attempts_in(bench.arrive())


def test_attempts_in_flight_during_a_stall_of_the_process_are_not_measured():
    bench = DecisionBench()
    outs = start_rpcs(bench, 6)
    bench.pass_time(100_000)
    concurrency_limit, bench.now = bench.gateway.backends.concurrency.limit, bench.now + 2_000_000
    for rpc, out in enumerate(outs, 1):
        bench.end_attempt(rpc, 0, out.backend)
    assert (
        bench.gateway.backends.concurrency.limit >= concurrency_limit
        and bench.gateway.backends.concurrency.latency < 0.2
    )
