"""Measures how evenly the load was spread over the backends, and simulates a central dispatcher for comparison. No I/O.

The dispatcher gets the same arrivals with the same service times, and sends each to the backend with the fewest
requests in flight relative to its speed. Gateways can't reach that evenness, as none of them sees the whole load.
"""

import heapq
import math

import numpy as np
import numpy.typing as npt
from msgspec import Struct

BoolMatrix = npt.NDArray[np.bool_]
FloatMatrix = npt.NDArray[np.float64]
MIN_EXPECTED_ARRIVALS = 2.0  # a backend without arrivals counts as idle only if at least so many were expected


class AttemptSpan(Struct, frozen=True):
    """An attempt at a backend: when it arrived and how long it was in flight there, both in microseconds."""

    at_us: int
    took: int
    backend: int


class Spread(Struct):
    """Evenness over windows of one length.

    A backend's relative load in a window is its arrivals, divided by its expected arrivals: those to all healthy
    backends, shared out in proportion to their speeds.
    """

    window_s: float
    most: float  # mean over the windows of the greatest relative load
    varies: float  # mean over the windows of the relative loads' coefficient of variation
    idle: float  # share of windows without arrivals at a backend, if at least MIN_EXPECTED_ARRIVALS were expected there
    jump: float  # greatest rise of a backend's arrivals from a window to the next, in expected arrivals of the latter


def measure_spread(
    spans: list[AttemptSpan], speeds: list[float], healthy: BoolMatrix, window_us: int, end_us: int
) -> Spread:
    """Measures the evenness of attempts.

    Args:
        spans: The attempts, in any order.
        speeds: The relative speeds of the backends, about 1.
        healthy: By window and backend, whether the backend was up throughout the window.
        window_us: The length of a window.
        end_us: The end of the run.
    """
    window_s = window_us / 1e6
    counts = arrivals_by_window(spans, len(speeds), window_us, end_us)
    expected = expected_arrivals(counts, speeds, healthy)
    due = expected > 0
    relative = np.divide(counts, expected, out=np.zeros_like(counts), where=due)
    windows = [row[row_due] for row, row_due in zip(relative, due, strict=True) if row_due.any()]
    if not windows:
        return Spread(window_s, 0.0, 0.0, 0.0, 0.0)
    surely_due = due & (expected >= MIN_EXPECTED_ARRIVALS)
    return Spread(
        window_s,
        most=round(float(np.mean([row.max() for row in windows])), 3),
        varies=round(float(np.mean([row.std() / row.mean() for row in windows if row.mean() > 0])), 3),
        idle=round(float((counts[surely_due] == 0).mean()) if surely_due.any() else 0.0, 5),
        jump=round(greatest_jump(counts, expected), 2),
    )


def arrivals_by_window(spans: list[AttemptSpan], backends: int, window_us: int, end_us: int) -> FloatMatrix:
    """Counts arrivals by window and backend."""
    windows = max(1, end_us // window_us)
    counts = np.zeros((windows, backends))
    for span in spans:
        if 0 <= span.at_us < windows * window_us:
            counts[span.at_us // window_us, span.backend] += 1
    return counts


def expected_arrivals(counts: FloatMatrix, speeds: list[float], healthy: BoolMatrix) -> FloatMatrix:
    """Shares out each window's arrivals at healthy backends among these, in proportion to their speeds."""
    weights = np.where(healthy, np.array(speeds), 0.0)
    window_weights = weights.sum(axis=1, keepdims=True)
    totals = np.where(healthy, counts, 0.0).sum(axis=1, keepdims=True)
    shares: FloatMatrix = np.divide(weights, window_weights, out=np.zeros_like(weights), where=window_weights > 0)
    expected: FloatMatrix = shares * totals
    return expected


def greatest_jump(counts: FloatMatrix, expected: FloatMatrix) -> float:
    """Returns the greatest rise of a backend's arrivals to the next window, in expected arrivals of the latter."""
    due = expected > 0
    rises = []
    for window in range(len(counts) - 1):
        both = due[window] & due[window + 1]
        if both.any():
            rise = (counts[window + 1] - counts[window])[both] / expected[window + 1][both]
            rises.append(np.max(rise))
    return float(max(rises, default=0.0))


def central_dispatch(spans: list[AttemptSpan], speeds: list[float], up: BoolMatrix, step_us: int) -> list[AttemptSpan]:
    """Assigns the same attempts to backends as a dispatcher that sees the whole load would.

    Args:
        spans: The gateways' attempts, in any order.
        speeds: The relative speeds of the backends, about 1.
        up: By step and backend, whether the backend is up.
        step_us: The length of a step.
    """
    in_flight, received = [0] * len(speeds), [0] * len(speeds)
    ends: list[tuple[int, int]] = []
    dispatched = []
    for span in sorted(spans, key=lambda span: span.at_us):
        while ends and ends[0][0] <= span.at_us:
            in_flight[heapq.heappop(ends)[1]] -= 1
        usable = up[min(len(up) - 1, max(0, span.at_us // step_us))]
        best, least = span.backend, (math.inf, math.inf)
        for backend, speed in enumerate(speeds):
            # Among equally loaded backends the dispatcher takes the one that has received the fewest attempts relative
            # to its speed; otherwise it would always take the first.
            load = in_flight[backend] / speed, received[backend] / speed
            if usable[backend] and load < least:
                best, least = backend, load
        in_flight[best] += 1
        received[best] += 1
        heapq.heappush(ends, (span.at_us + max(1, span.took), best))
        dispatched.append(AttemptSpan(span.at_us, span.took, best))
    return dispatched
