"""The evenness of load, and the central dispatcher that it is compared with."""

import numpy as np

from stoneyoke.lab.spread import AttemptSpan, central_dispatch, measure_spread

SPEEDS = [1.0, 1.0, 0.5, 1.5]
UP = np.ones((40, 4), dtype=bool)


def even_attempts(n):
    """Returns attempts in proportion to the speeds, 10 ms apart."""
    order = [0, 1, 3, 0, 1, 3, 2, 3]
    return [AttemptSpan(i * 10_000, 5_000, order[i % 8]) for i in range(n)]


def test_load_by_speed_is_even_and_load_on_one_backend_is_not():
    even_spread = measure_spread(even_attempts(800), SPEEDS, UP[:8], 1_000_000, 8_000_000)
    assert 0.9 < even_spread.most < 1.15 and even_spread.idle == 0 and even_spread.varies < 0.1
    uneven_spread = measure_spread(
        [AttemptSpan(u.at_us, u.took, 0) for u in even_attempts(800)], SPEEDS, UP[:8], 1_000_000, 8_000_000
    )
    assert 3.9 < uneven_spread.most < 4.1 and uneven_spread.idle > 0.7


def test_a_rise_of_arrivals_from_one_window_to_the_next_is_measured():
    spans = [
        AttemptSpan(u.at_us, u.took, 2 if 4_000_000 <= u.at_us < 5_000_000 else u.backend) for u in even_attempts(800)
    ]
    assert measure_spread(spans, SPEEDS, UP[:8], 1_000_000, 8_000_000).jump > 5


def test_a_backend_that_is_down_does_not_count_as_idle():
    up = UP[:8].copy()
    up[:, 2] = False
    spans = [AttemptSpan(u.at_us, u.took, 0 if u.backend == 2 else u.backend) for u in even_attempts(800)]
    assert measure_spread(spans, SPEEDS, up, 1_000_000, 8_000_000).idle == 0


def test_the_central_dispatcher_spreads_arrivals_by_speed_over_backends_that_are_up():
    spans = [AttemptSpan(u.at_us, 2_000, 0) for u in even_attempts(800)]
    placed = central_dispatch(spans, SPEEDS, UP, 250_000)
    assert measure_spread(placed, SPEEDS, UP[:8], 1_000_000, 8_000_000).most < 1.1
    slow_attempts = central_dispatch(
        [AttemptSpan(u.at_us, 300_000, 0) for u in even_attempts(800)], SPEEDS, UP, 250_000
    )
    counts = np.bincount([u.backend for u in slow_attempts], minlength=4) / 800
    assert np.allclose(counts, np.array(SPEEDS) / 4, atol=0.03)
    up = UP.copy()
    up[:, 3] = False
    assert 3 not in {u.backend for u in central_dispatch(spans, SPEEDS, up, 250_000)}
