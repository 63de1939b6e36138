"""The arithmetics of the common store: marks, openings, epochs, and parts of a ceiling."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from stoneyoke.control.parameters import Plan
from stoneyoke.limits.common_store import EPOCH, SECOND, SharedBucket, guarded_share

PLAN = Plan(rate=4.0, burst=12.0, price=1.0, concurrency_max=0, ceiling_rate=0.0, ceiling_burst=0.0)
GUARDED = Plan(rate=20.0, burst=30.0, price=1.0, concurrency_max=0, ceiling_rate=44.0, ceiling_burst=70.0)
NOW = 1_000_000_000 * SECOND


def common(plan=PLAN, account=7):
    return SharedBucket(plan, account, 1 / 40, 1.0)


def opened(store, now, last=math.nan):
    return store.opening(last, now)


def test_a_name_without_its_mark_tells_nothing():
    store = common()
    for total in (0.0, 3.0, -5.0, store.mark / 4, math.nan, math.inf, 2 * store.mark, -store.mark):
        assert store.read(total, NOW) is None


def test_an_opened_store_is_full_and_one_under_a_ceiling_empty():
    for plan, level in ((PLAN, 12.0), (GUARDED, 0.0)):
        store = common(plan)
        assert abs(store.read(opened(store, NOW), NOW) - level) < 1e-3


@settings(derandomize=True, max_examples=200)
@given(st.floats(0, 100), st.integers(0, EPOCH - 1), st.booleans())
def test_what_is_lacking_passes_on_to_the_next_epoch(lack, into, guarded):
    store = common(GUARDED if guarded else PLAN)
    last_us = NOW // EPOCH * EPOCH + EPOCH - store.phase - 1 - into
    total = store.opening(math.nan, last_us) + lack
    level = store.read(total, last_us)
    first = NOW // EPOCH * EPOCH + EPOCH - store.phase  # of the next epoch
    assert store.name(first, 1) == store.name(last_us) != store.name(first)
    then = store.read(store.opening(total, first), first)
    assert abs(then - min(store.burst, level + store.rate * (first - last_us) / SECOND)) < 1e-2


def test_of_two_that_open_a_name_the_second_takes_its_own_back():
    store, other, total = common(), common(), 0.0
    talks = [store.open(NOW, True), other.open(NOW, True)]
    for talk in talks:
        assert next(talk)[1] == 0.0  # the look back
    adds = [talk.send((math.nan, NOW)) for talk in talks]
    totals = []
    for _, amount in adds:
        total += amount
        totals.append(total)
    assert not list_rest(talks[0], totals[0])
    ((name, back),) = list_rest(talks[1], totals[1])
    assert name == store.name(NOW) and abs(store.read(total + back, NOW) - 12.0) < 1e-3


def list_rest(talk, total):
    try:
        return [talk.send((total, NOW))]
    except StopIteration:
        return []


def test_a_short_store_is_shut_for_a_while_and_never_above_what_time_gives():
    store = common()
    store.hear(0.5, 1.0, NOW)
    assert store.shut_until > NOW and store.most(NOW) == 0.5
    assert store.most(NOW + SECOND) == 4.5 and store.most(NOW + 60 * SECOND) == 12.0


@settings(derandomize=True, max_examples=300)
@given(
    st.integers(2, 200),
    st.integers(0, 199),
    st.floats(1.8, 2.6),
    st.floats(16, 28),
    st.floats(1.4, 2.9),
    st.sampled_from([1.0, 2.0, 4.0]),
)
def test_parts_of_a_ceiling_are_what_the_common_store_leaves(width, first, factor, rate, worth, largest):
    plan = Plan(
        rate=rate,
        burst=rate * worth,
        price=1.0,
        concurrency_max=0,
        ceiling_rate=rate * factor,
        ceiling_burst=rate * worth * factor,
    )
    gateways = 200
    parts = [guarded_share(plan, 1 / width, largest, (first + i) % gateways) for i in range(width)]
    assert sum(rate for rate, _ in parts) <= plan.ceiling_rate - plan.rate + 1e-6
    assert sum(burst for _, burst in parts) <= plan.ceiling_burst - 1.25 * plan.burst + 1e-6
    assert all(burst == 0 or burst >= largest for _, burst in parts)
