"""Ring positions and rotation: many gateways together load all backends evenly, though each uses only a few."""

import random

import pytest
from decision_bench import DecisionBench, attempts_in
from hypothesis import given, settings
from hypothesis import strategies as st

from stoneyoke.spread.zone_ranking import ROTATION_MAX, ROTATION_WINDOW_S, ring_positions, rotation_size


@given(st.lists(st.integers(0, 4), min_size=1, max_size=40), st.integers(0, 5), st.integers(0, 400))
@settings(derandomize=True, deadline=None)
def test_every_backend_has_a_position_of_its_own_and_one_is_the_first(zones, own_zone, own):
    positions = ring_positions(sorted(zones), own_zone, own)
    assert len(set(positions)) == len(zones) and min(positions) == 0


def test_backends_of_the_gateways_own_zone_come_first():
    positions = ring_positions([0] * 10 + [1] * 10 + [2] * 10, 1, 7)
    assert {at for at, place in enumerate(positions) if place < 10} == set(range(10, 20))


@pytest.mark.parametrize("gateways, backends", [(200, 40), (300, 60), (100, 12)])
def test_first_positions_are_spread_evenly_over_backends(gateways, backends):
    zones = sorted(b % 3 for b in range(backends))
    first_backends = [ring_positions(zones, g % 3, g).index(0) for g in range(gateways)]
    counts = [first_backends.count(b) for b in range(backends)]
    assert min(counts) >= 0.5 * gateways / backends and max(counts) <= 1.6 * gateways / backends


def test_a_backend_that_joins_moves_few_first_positions():
    before = [ring_positions([0] * 40, 0, g).index(0) for g in range(200)]
    after = [ring_positions([0] * 41, 0, g).index(0) for g in range(200)]
    assert sum(abs(a - b) <= 1 for a, b in zip(before, after, strict=True)) == 200


@pytest.mark.parametrize(
    "attempts_per_s, size",
    [(0.0, 1), (0.1, 1), (1 / ROTATION_WINDOW_S, 1), (1.1 / ROTATION_WINDOW_S, 2), (90.0, ROTATION_MAX)],
)
def test_the_rotation_grows_with_the_rate_of_attempts(attempts_per_s, size):
    assert rotation_size(attempts_per_s) == size


def attempts_by_window(gateways=60, backends=24, seconds=12, seed=3):
    """Returns the attempts by window of 3 s and backend, of gateways with uneven rates that do not communicate."""
    random_source, windows = random.Random(seed), {}
    benches = [DecisionBench(fleet=backends, gateways=gateways, own_index=g, zone=g % 2) for g in range(gateways)]
    rates = [3.0 / (1 + g) ** 0.5 * 2 for g in range(gateways)]
    for g, bench in enumerate(benches):
        step, pending = 0, []
        while step < seconds * 20:
            for when, rpc, backend in [p for p in pending if p[0] <= step]:
                pending.remove((when, rpc, backend))
                bench.end_attempt(rpc, 0, backend)
            for _ in range(random_source.random() < rates[g] / 20):
                for call in attempts_in(bench.arrive(units=0.001, customer=random_source.randrange(50))):
                    pending.append((step + 2, call.rpc, call.backend))
                    row = windows.setdefault(step // 60, [0] * backends)
                    row[call.backend] += 1
            bench.pass_time(50_000)
            step += 1
    return [row for window, row in sorted(windows.items()) if window]


def test_sixty_gateways_that_do_not_communicate_load_all_backends_evenly():
    rows = [[of / (sum(row) / len(row)) for of in row] for row in attempts_by_window()]
    assert sum(map(max, rows)) / len(rows) <= 1.8, rows  # without rotation 1.96
    assert sum(map(min, rows)) / len(rows) >= 0.38, rows  # without rotation 0.33


def test_the_rotation_takes_the_least_recently_used_backend_first_and_stays_within_the_zone():
    bench = DecisionBench(fleet=12, gateways=60, own_index=5)
    chosen = []
    for _ in range(120):
        (call,) = attempts_in(bench.arrive(units=0.001))
        chosen.append(call.backend)
        bench.pass_time(50_000)
        bench.end_attempt(bench.next_rpc, 0, call.backend)
        bench.pass_time(50_000)
    second_half = chosen[60:]
    assert {b % 2 for b in second_half} == {0} and len(set(second_half)) == ROTATION_MAX
    assert all(
        len(set(second_half[n : n + ROTATION_MAX])) == ROTATION_MAX for n in range(0, 60 - ROTATION_MAX, ROTATION_MAX)
    )
