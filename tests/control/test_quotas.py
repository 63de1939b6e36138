"""Quotas: which RPCs are admitted, the retry times in rejections, and how long customers' state is kept."""

import pytest
from decision_bench import DecisionBench, actions_of, attempts_in, counter_total, exhaust_quota, plan

from stoneyoke.control.actions import ForgetCustomer, Reject


def test_an_rpc_over_quota_is_rejected_at_once_with_the_time_until_the_bucket_holds_enough():
    bench = DecisionBench()
    wait = exhaust_quota(bench).retry_after_us
    assert len(attempts_in([a for _, a in bench.log])) == 6  # a third of the burst, and two mean RPCs
    assert 750_000 <= wait <= 1_750_000  # one unit at a third of 4 a second, and up to a second of jitter


def test_an_rpc_larger_than_the_burst_gets_the_longest_retry_time():
    rejections = actions_of(Reject, DecisionBench().arrive(units=50.0))
    assert 20_000_000 <= rejections[0].retry_after_us <= 40_000_000


def test_early_returns_first_double_the_retry_time_then_block_and_an_rpc_within_quota_is_admitted():
    bench = DecisionBench()
    exhaust_quota(bench)
    waits = [actions_of(Reject, bench.arrive())[0].retry_after_us for _ in range(40)]
    assert max(waits[-5:]) >= 5_000_000 > max(waits[:5])
    bench.pass_time(1_500_000)
    assert attempts_in(bench.arrive())


def test_a_larger_share_adds_no_units():
    bench = DecisionBench()
    exhaust_quota(bench)
    customer = bench.gateway.quotas.customers[0]
    customer.set_share(1.0, bench.now)
    assert customer.bucket.level < 1


@pytest.mark.parametrize("parameters", [plan(), plan(rate=0.0, burst=0.0, concurrency_max=9)])
def test_idle_customers_are_removed(parameters):
    bench = DecisionBench(plans=(parameters,))
    for customer in range(50):
        bench.arrive(customer=customer)
        bench.end_attempt(bench.next_rpc, 0, attempts_in([a for _, a in bench.log])[-1].backend)
    assert len(actions_of(ForgetCustomer, bench.pass_time(20_000_000))) == 50 and not bench.gateway.quotas.customers


def test_customers_with_a_low_rate_share_seen_once_are_soon_removed():
    bench = DecisionBench(gateways=100, plans=(plan(0.1, 12.0, ceiling_rate=2.0, ceiling_burst=24.0),))
    bench.pass_time(30_000_000)
    for customer in range(20):
        for out in attempts_in(bench.arrive(customer=customer, units=0.2, customer_gateways=100.0)):
            bench.end_attempt(bench.next_rpc, 0, out.backend)
    assert len(bench.gateway.quotas.customers) == 20
    bench.pass_time(75_000_000)
    assert not bench.gateway.quotas.customers


def test_a_ceiling_starts_empty_so_that_a_restart_admits_nothing_extra():
    bench = DecisionBench(plans=(plan(100.0, 100.0, ceiling_rate=3.0, ceiling_burst=30.0),))
    assert actions_of(Reject, bench.arrive())
    bench.pass_time(3_000_000)
    assert [bool(attempts_in(bench.arrive())) for _ in range(5)] == [True, True, True, False, False]


def test_the_concurrency_limit_of_a_plan_counts_attempts_here_and_estimated_ones_at_other_gateways():
    bench = DecisionBench(plans=(plan(12.0, 300.0, concurrency_max=6),))
    # Estimate for the other gateways: 8 RPCs a second, a sixth of a second each.
    assert [bool(attempts_in(bench.arrive())) for _ in range(6)] == [True] * 5 + [False]
    first = attempts_in([a for _, a in bench.log])[0]
    bench.end_attempt(1, 0, first.backend)
    assert attempts_in(bench.arrive())


def test_a_full_bucket_admits_an_rpc_that_costs_more_than_its_depth_and_goes_negative():
    bench = DecisionBench(plans=(plan(1.0, 12.0),), gateways=100, has_counter=False)
    assert (
        attempts_in(bench.arrive(units=8.0, customer_gateways=100.0))
        and bench.gateway.quotas.customers[0].bucket.level < -6
    )
    assert actions_of(Reject, bench.arrive(units=1.0, customer_gateways=100.0))


def test_the_difference_to_settled_units_is_charged_or_returned():
    bench = DecisionBench(settles_units=True)
    first = attempts_in(bench.arrive())[0]
    bench.end_attempt(1, 0, first.backend, units=7.0)
    assert bench.gateway.quotas.customers[0].bucket.level == pytest.approx(6 - 7)


def test_unreadable_costs_and_totals_do_not_corrupt_levels_and_shares():
    bench = DecisionBench()
    for units in (float("nan"), float("inf"), 0.0, -3.0):
        bench.arrive(units=units)
    bench.pass_time(2_000_000, counter_total(float("nan")))
    assert 0 <= bench.gateway.quotas.customers[0].bucket.level <= 6 and bench.gateway.quotas.customers[0].share == 1 / 3
