"""Shares of a quota from the demand counted at the shared counter, and how much the counter is queried."""

import pytest
from decision_bench import (
    DecisionBench,
    actions_of,
    attempts_in,
    counter_total,
    exhaust_quota,
    gateways_of_one_fleet,
    plan,
    query_lost,
)

from stoneyoke.control.actions import AddToCounter
from stoneyoke.control.events import CounterReply


@pytest.mark.parametrize("total, share", [(20.0, None), (0.5, 1 / 3), (1e9, 1 / 30)])
def test_the_share_is_the_own_part_of_the_demand_with_a_floor_and_lost_counts_do_not_change_it(total, share):
    bench = DecisionBench()
    exhaust_quota(bench)
    own = bench.next_rpc
    bench.pass_time(1_950_000, counter_total(total))
    assert bench.gateway.quotas.customers[0].share == pytest.approx(share or own / total)


def test_with_a_silent_counter_the_share_returns_to_the_even_share():
    bench = DecisionBench()
    exhaust_quota(bench)
    bench.pass_time(3_000_000, counter_total(50.0))
    assert bench.gateway.quotas.customers[0].share < 0.3
    exhaust_quota(bench)
    bench.pass_time(8_000_000, query_lost)
    assert bench.gateway.quotas.customers[0].share == pytest.approx(1 / 3)


def test_single_lost_queries_do_not_make_the_counter_silent():
    bench = DecisionBench()
    exhaust_quota(bench)
    bench.pass_time(3_000_000, counter_total(50.0))
    bench.gateway.quotas.counter.last_query_at = bench.now + 2_000_000
    for action in [a for _, a in bench.log if isinstance(a, AddToCounter)][:2]:
        bench.dispatch(query_lost(action))
    bench.arrive()
    bench.pass_time(1_000_000)
    assert bench.gateway.quotas.customers[0].share < 0.3


def test_many_gateways_admit_a_new_customer_and_then_only_its_part_of_the_quota():
    # A demand of 10 units a second on a plan of 4, through 100 gateways, each of which sees a tenth of a unit a second.
    benches, attempt_seconds = gateways_of_one_fleet(100, plans=(plan(4.0, 12.0),), has_counter=False), []
    for second in range(60):
        for bench in benches[second % 10 :: 10]:
            attempt_seconds += [second] * len(attempts_in(bench.arrive(customer_gateways=100.0)))
            if second >= 10:
                bench.gateway.quotas.customers[0].others_units, bench.gateway.quotas.customers[0].others_s = (
                    9.9 * 5,
                    5.0,
                )
                bench.gateway.quotas.customers[0].others_read_at = bench.now
            for out in attempts_in([a for _, a in bench.log[-2:]]):
                bench.end_attempt(bench.next_rpc, 0, out.backend)
        for bench in benches:
            bench.pass_time(1_000_000)
    assert sum(s < 10 for s in attempt_seconds) == 100  # no RPC is rejected before the demand is known
    assert 0.25 <= sum(s >= 20 for s in attempt_seconds) / 400 <= 0.6


def test_with_an_overloaded_counter_sent_queries_are_scaled_up_for_the_skipped_ones():
    bench = DecisionBench(gateways=100)
    bench.gateway.quotas.load.periodic_until = bench.now + 60_000_000
    calls = []
    for i in range(40):
        bench.gateway.quotas.load.queried_share = 0.5
        bench.arrive(customer=i, customer_gateways=100.0)
    bench.pass_time(3_000_000, lambda a: calls.append(a) if isinstance(a, AddToCounter) else None)
    assert 8 <= len(calls) <= 32 and all(a.amount == 2.0 for a in calls)


def test_an_overloaded_counter_is_queried_less_and_a_lost_connection_does_not_count_as_overload():
    bench = DecisionBench(gateways=100, plans=(plan(4.0, 12.0, ceiling_rate=8.0, ceiling_burst=24.0),))

    def query(added, total, after=5_000):
        queries = actions_of(AddToCounter, bench.arrive(customer=bench.next_rpc, customer_gateways=100.0))
        bench.now += after
        for call in queries:
            bench.dispatch(CounterReply(call.name, added, total))

    for _ in range(30):
        query(False, float("nan"))
        query(True, 1.0)  # without replies in between the counter would be silent, which is not overload either
    assert bench.gateway.quotas.load.queried_share == 1.0
    for _ in range(20):
        query(False, 0.0)
        query(True, 1.0)
    after_failures = bench.gateway.quotas.load.queried_share
    assert after_failures < 0.7
    for _ in range(100):
        query(True, 1.0)
    assert bench.gateway.quotas.load.queried_share == 1.0
    for _ in range(40):
        query(True, 1.0, 60_000)
    assert bench.gateway.quotas.load.queried_share < 0.1  # slow replies delay RPCs, so they count as failed
