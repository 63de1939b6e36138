"""The arithmetic of the shared bucket: markers, openings, epochs, and shares of a ceiling."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stoneyoke.control.parameters import Plan
from stoneyoke.limits.shared_bucket import EPOCH_US, CounterExchange, SharedBucket, ceiling_share
from stoneyoke.limits.token_bucket import SECOND

PLAN = Plan(rate=4.0, burst=12.0, price=1.0, concurrency_max=0, ceiling_rate=0.0, ceiling_burst=0.0)
CEILING_PLAN = Plan(rate=20.0, burst=30.0, price=1.0, concurrency_max=0, ceiling_rate=44.0, ceiling_burst=70.0)
NOW = 1_000_000_000 * SECOND


def shared_bucket(plan: Plan = PLAN) -> SharedBucket:
    return SharedBucket(plan, customer_id=7, even_share=1 / 40, mean_units=1.0)


def total_without_marker(kind: str, marker: float) -> float:
    totals = {
        "nothing": 0.0,
        "units": 3.0,
        "units given back": -5.0,
        "a part of a marker": marker / 4,
        "no answer": math.nan,
        "infinite": math.inf,
        "two markers": 2 * marker,
        "a marker taken back": -marker,
    }
    return totals[kind]


@pytest.mark.parametrize(
    "kind",
    [
        "nothing",
        "units",
        "units given back",
        "a part of a marker",
        "no answer",
        "infinite",
        "two markers",
        "a marker taken back",
    ],
)
def test_a_total_without_exactly_one_marker_gives_no_level(kind: str) -> None:
    bucket = shared_bucket()
    assert bucket.level_from_total(total_without_marker(kind, bucket.marker), NOW) is None


@pytest.mark.parametrize("plan, expected_level", [(PLAN, 12.0), (CEILING_PLAN, 0.0)], ids=["plain", "under a ceiling"])
def test_a_newly_opened_bucket_is_full_and_under_a_ceiling_empty(plan: Plan, expected_level: float) -> None:
    bucket = shared_bucket(plan)
    level = bucket.level_from_total(bucket.opening_amount(math.nan, NOW), NOW)
    assert level is not None
    assert abs(level - expected_level) < 1e-3


@settings(derandomize=True, max_examples=200)
@given(st.floats(0, 100), st.integers(0, EPOCH_US - 1), st.booleans())
def test_what_is_lacking_passes_on_to_the_next_epoch(lack: float, before_end_us: int, has_ceiling: bool) -> None:
    bucket = shared_bucket(CEILING_PLAN if has_ceiling else PLAN)
    next_epoch_at = NOW // EPOCH_US * EPOCH_US + EPOCH_US - bucket.epoch_offset_us
    last_us = next_epoch_at - 1 - before_end_us
    total = bucket.opening_amount(math.nan, last_us) + lack
    level = bucket.level_from_total(total, last_us)
    assert level is not None
    assert bucket.counter_key(next_epoch_at, 1) == bucket.counter_key(last_us)
    assert bucket.counter_key(last_us) != bucket.counter_key(next_epoch_at)
    next_level = bucket.level_from_total(bucket.opening_amount(total, next_epoch_at), next_epoch_at)
    assert next_level is not None
    refilled = level + bucket.rate * (next_epoch_at - last_us) / SECOND
    assert abs(next_level - min(bucket.burst, refilled)) < 1e-2


def test_of_two_gateways_that_open_a_key_at_once_the_second_subtracts_its_marker() -> None:
    bucket, other, total = shared_bucket(), shared_bucket(), 0.0
    exchanges = [bucket.open_epoch(NOW, True), other.open_epoch(NOW, True)]
    for exchange in exchanges:
        assert next(exchange)[1] == 0.0  # reads the last epoch's total
    openings = [exchange.send((math.nan, NOW)) for exchange in exchanges]
    totals = []
    for _, amount in openings:
        total += amount
        totals.append(total)
    assert calls_after(exchanges[0], totals[0]) == []
    ((key, amount_back),) = calls_after(exchanges[1], totals[1])
    assert key == bucket.counter_key(NOW)
    level = bucket.level_from_total(total + amount_back, NOW)
    assert level is not None
    assert abs(level - 12.0) < 1e-3


def calls_after(exchange: CounterExchange, total: float) -> list[tuple[int, float]]:
    """Returns the counter calls that an exchange makes after it has received a total: one or none."""
    try:
        return [exchange.send((total, NOW))]
    except StopIteration:
        return []


def test_a_bucket_found_too_low_is_not_queried_for_a_while_and_never_assumed_above_its_refill() -> None:
    bucket = shared_bucket()
    bucket.record_level(0.5, 1.0, NOW)
    assert bucket.next_query_at > NOW
    assert bucket.max_level(NOW) == 0.5
    assert bucket.max_level(NOW + SECOND) == 4.5
    assert bucket.max_level(NOW + 60 * SECOND) == 12.0


@settings(derandomize=True, max_examples=300)
@given(
    st.integers(2, 200),
    st.integers(0, 199),
    st.floats(1.8, 2.6),
    st.floats(16, 28),
    st.floats(1.4, 2.9),
    st.sampled_from([1.0, 2.0, 4.0]),
)
def test_shares_of_a_ceiling_add_up_to_what_the_shared_bucket_leaves(  # noqa: PLR0913 -- drawn values
    gateways: int, first_index: int, ceiling_factor: float, rate: float, burst_s: float, largest_units: float
) -> None:
    plan = Plan(
        rate=rate,
        burst=rate * burst_s,
        price=1.0,
        concurrency_max=0,
        ceiling_rate=rate * ceiling_factor,
        ceiling_burst=rate * burst_s * ceiling_factor,
    )
    indices = [(first_index + i) % 200 for i in range(gateways)]
    shares = [ceiling_share(plan, 1 / gateways, largest_units, index) for index in indices]
    assert sum(share.rate for share in shares) <= plan.ceiling_rate - plan.rate + 1e-6
    assert sum(share.burst for share in shares) <= plan.ceiling_burst - 1.25 * plan.burst + 1e-6
    assert all(share.burst == 0 or share.burst >= largest_units for share in shares)
