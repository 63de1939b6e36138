"""The decisions of 2 to 200 gateways around one counter: limits hold over all of them, also during faults."""

import pytest
from simulated_gateways import Customer, PlanCustomers, SimulatedGateways

from stoneyoke.control.events import Arrival
from stoneyoke.control.parameters import Plan
from stoneyoke.limits.token_bucket import SECOND

LOW_RATE_PLAN = Plan(rate=2.0, burst=8.0, price=1.0, concurrency_max=0, ceiling_rate=0.0, ceiling_burst=0.0)
CEILING_PLAN = Plan(rate=20.0, burst=30.0, price=1.0, concurrency_max=0, ceiling_rate=40.0, ceiling_burst=66.0)
CEILING_PLAN_INDEX = 1  # index of CEILING_PLAN among the plans


def is_within_quota(customer: Customer) -> bool:
    return customer.use <= 0.7


def is_over_quota(customer: Customer) -> bool:
    return customer.use > 1.5


def refused_inside(customer: Customer) -> float:
    return customer.refused_inside


def beyond(customer: Customer) -> float:
    return customer.beyond


def passed(customer: Customer) -> float:
    return customer.passed


def simulated(
    gateways: int = 60, customer_gateways: int = 40, calls_per_s: float = 5000, seed: int = 1
) -> SimulatedGateways:
    """Creates customers within their quota and some far over it: 48 of the low-rate plan, 16 of the ceiling plan."""
    uses = [0.3, 0.5, 0.7] * 4 + [3.0] * 4
    plans = [
        PlanCustomers(LOW_RATE_PLAN, customer_gateways, uses * 3),
        PlanCustomers(CEILING_PLAN, min(customer_gateways, 30), uses),
    ]
    return SimulatedGateways(gateways, plans, calls_per_s=calls_per_s, seed=seed)


@pytest.mark.parametrize("gateways, customer_gateways", [(2, 2), (12, 8), (60, 40), (200, 120)])
def test_customers_within_quota_are_served_and_others_get_their_quota(gateways: int, customer_gateways: int) -> None:
    fleet = simulated(gateways, customer_gateways).run(3)
    fleet.clear()
    fleet.run(12)
    assert fleet.share(refused_inside, is_within_quota) < 0.04
    assert fleet.share(beyond, is_within_quota) < 0.02
    for customer in filter(is_over_quota, fleet.customers):
        plan = fleet.plans[customer.plan]
        assert 0.6 * plan.rate * 12 <= customer.passed <= 1.15 * (plan.rate * 12 + plan.burst)
    assert fleet.longest_decision_us <= 160_000
    assert fleet.counter.calls < 1.6 * fleet.arrivals


def test_ceilings_hold_with_and_without_counter_replies_and_across_counter_wipes_and_gateway_restarts() -> None:
    fleet = simulated(seed=5)
    for second in range(20):
        if second % 4 == 1:
            fleet.counter.wipe(0.7)
        fleet.counter.silent = second % 10 in (4, 5, 6)
        fleet.counter.lost_ratio = 0.2 * (second % 3 == 0)
        for at in fleet.random_source.sample(range(60), 12) if second % 5 == 2 else []:
            if fleet.members[at]:
                fleet.kill(at, 0.8)
        fleet.run(1)
    slack = max(0.1 * CEILING_PLAN.ceiling_burst, 1.0) + 0.15 * CEILING_PLAN.ceiling_rate
    assert (
        min(customer.lowest_ceiling_level for customer in fleet.customers if customer.plan == CEILING_PLAN_INDEX)
        >= -slack
    )


def test_a_counter_wipe_adds_one_burst_at_most_and_none_under_a_ceiling() -> None:
    fleet = simulated().run(4)
    fleet.clear()
    fleet.counter.wipe()
    fleet.run(6)
    for customer in filter(is_over_quota, fleet.customers):
        plan = fleet.plans[customer.plan]
        created = 0.0 if plan.ceiling_rate else plan.burst
        assert customer.passed <= 1.15 * (plan.rate * 6 + plan.burst + created) + 4


def test_while_the_counter_is_silent_shares_decide_and_after_that_it_is_queried_again_at_once() -> None:
    fleet = simulated().run(4)
    fleet.counter.silent = True
    fleet.run(1)
    calls = fleet.counter.calls
    fleet.clear()
    fleet.run(4)
    assert fleet.counter.calls - calls <= 60 * 5  # one query a second per gateway, and heartbeats
    assert fleet.share(passed, is_within_quota) > 0.5
    fleet.counter.silent = False
    fleet.run(2)
    fleet.clear()
    fleet.run(5)
    assert fleet.share(refused_inside, is_within_quota) < 0.06


def test_an_overloaded_counter_is_queried_less_and_limits_hold_approximately() -> None:
    fleet = simulated(calls_per_s=250).run(8)
    calls = fleet.counter.calls
    fleet.clear()
    fleet.run(10)
    assert fleet.counter.calls - calls < 10 * 250 * 1.4
    assert fleet.share(refused_inside, is_within_quota) < 0.5
    assert fleet.share(passed, is_over_quota) < 0.75  # a third is inside, what comes late can't be told


def test_restarted_gateways_know_at_once_what_was_used() -> None:
    fleet = simulated().run(4)
    fleet.clear()
    for at in range(0, 60, 2):
        fleet.kill(at, 0.5)
    fleet.run(5)
    for customer in filter(is_over_quota, fleet.customers):
        if customer.plan != CEILING_PLAN_INDEX:
            assert customer.passed <= 1.15 * (LOW_RATE_PLAN.rate * 5 + LOW_RATE_PLAN.burst) + 3
    assert fleet.share(refused_inside, is_within_quota) < 0.08


def test_an_rpc_whose_client_waits_only_briefly_does_not_wait_for_the_counter() -> None:
    fleet = simulated()
    customer = fleet.customers[0]
    rpc = 1 << 40
    fleet.open_rpcs[rpc] = customer, fleet.now
    arrival = Arrival(
        rpc=rpc,
        method=0,
        plan=0,
        customer=99,
        customer_id=customer.customer_id,
        wait_us=SECOND // 10,
        units=1.0,
        customer_gateways=40.0,
        is_retry=False,
    )
    fleet.deliver(0, fleet.incarnations[0], arrival)
    assert rpc not in fleet.open_rpcs  # decided while the event was handled
