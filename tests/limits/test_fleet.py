"""Two to 200 gateways of the module around one counter: limits hold for the fleet, whatever happens to it."""

import pytest
from fleet import SECOND, Fleet

from stoneyoke.control.events import Arrival
from stoneyoke.control.parameters import Plan

THIN = Plan(rate=2.0, burst=8.0, price=1.0, concurrency_max=0, ceiling_rate=0.0, ceiling_burst=0.0)
GUARDED = Plan(rate=20.0, burst=30.0, price=1.0, concurrency_max=0, ceiling_rate=40.0, ceiling_burst=66.0)


def quiet(customer):
    return customer.use <= 0.7


def greedy(customer):
    return customer.use > 1.5


def town(gateways=60, width=40, per_s=5000, seed=1, **more):
    """Twelve customers well inside their quota and four far over it, of each plan."""
    uses = [0.3, 0.5, 0.7] * 4 + [3.0] * 4
    return Fleet(gateways, [(THIN, width, uses * 3), (GUARDED, min(width, 30), uses)], per_s, seed, **more)


@pytest.mark.parametrize("gateways, width", [(2, 2), (12, 8), (60, 40), (200, 120)])
def test_who_stays_inside_is_served_and_who_does_not_gets_the_quota(gateways, width):
    fleet = town(gateways, width).run(3)
    fleet.clear()
    fleet.run(12)
    assert fleet.share("refused_inside", quiet) < 0.04
    assert fleet.share("beyond", quiet) < 0.02
    over = [c for c in fleet.customers if greedy(c)]
    for c in over:
        plan = fleet.plans[c.plan]
        assert 0.6 * plan.rate * 12 <= c.passed <= 1.15 * (plan.rate * 12 + plan.burst)
    assert fleet.longest <= 160_000 and fleet.counter.calls < 1.6 * fleet.tries


def test_ceilings_hold_with_and_without_answers_and_over_wipes_and_restarts():
    fleet = town(seed=5)
    for second in range(20):
        if second % 4 == 1:
            fleet.counter.wipe(0.7)
        fleet.counter.silent = second % 10 in (4, 5, 6)
        fleet.counter.lost = 0.2 * (second % 3 == 0)
        for at in fleet.rng.sample(range(60), 12) if second % 5 == 2 else []:
            if fleet.members[at]:
                fleet.kill(at, 0.8)
        fleet.run(1)
    slack = max(0.1 * GUARDED.ceiling_burst, 1.0) + 0.15 * GUARDED.ceiling_rate
    assert min(c.lowest for c in fleet.customers if c.plan == 1) >= -slack


def test_a_wipe_mints_one_burst_at_most_and_none_under_a_ceiling():
    fleet = town().run(4)
    fleet.clear()
    fleet.counter.wipe()
    fleet.run(6)
    for c in fleet.customers:
        if greedy(c):
            plan = fleet.plans[c.plan]
            mints = 0.0 if plan.ceiling_rate else plan.burst
            assert c.passed <= 1.15 * (plan.rate * 6 + plan.burst + mints) + 4


def test_while_the_counter_is_silent_slices_hold_and_it_is_asked_again_at_once():
    fleet = town().run(4)
    fleet.counter.silent = True
    fleet.run(1)
    calls = fleet.counter.calls
    fleet.clear()
    fleet.run(4)
    assert fleet.counter.calls - calls <= 60 * 5  # once a second a gateway, and beats
    assert fleet.share("passed", quiet) > 0.5
    fleet.counter.silent = False
    fleet.run(2)
    fleet.clear()
    fleet.run(5)
    assert fleet.share("refused_inside", quiet) < 0.06


def test_a_crowded_counter_is_spared_and_limits_stay_near():
    fleet = town(per_s=250).run(8)
    calls = fleet.counter.calls
    fleet.clear()
    fleet.run(10)
    assert fleet.counter.calls - calls < 10 * 250 * 1.4
    assert fleet.share("refused_inside", quiet) < 0.5
    assert fleet.share("passed", greedy) < 0.75  # a third is inside, what comes late can't be told


def test_restarted_gateways_know_at_once_what_was_taken():
    fleet = town().run(4)
    fleet.clear()
    for at in range(0, 60, 2):
        fleet.kill(at, 0.5)
    fleet.run(5)
    for c in fleet.customers:
        if greedy(c) and c.plan == 0:
            assert c.passed <= 1.15 * (THIN.rate * 5 + THIN.burst) + 3
    assert fleet.share("refused_inside", quiet) < 0.08


def test_an_rpc_with_little_time_left_is_not_held_for_the_counter():
    fleet = town()
    customer = fleet.customers[0]
    fleet.rpcs[1 << 40] = customer, fleet.now
    fleet.tell(
        0,
        fleet.lives[0],
        Arrival(
            rpc=1 << 40,
            method=0,
            plan=0,
            customer=99,
            customer_id=customer.account,
            wait_us=SECOND // 10,
            units=1.0,
            customer_gateways=40.0,
            is_retry=False,
        ),
    )
    assert 1 << 40 not in fleet.rpcs  # decided within the event
