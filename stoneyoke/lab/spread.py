"""How evenly backends were used, compared with a dispatcher that sees everything. No I/O.

The dispatcher is given the same arrivals and the same service times, and sends each to the backend with the fewest
requests at work for its speed. No gateway alone can reach that.
"""

import heapq
import math

import numpy as np
import numpy.typing as npt
from msgspec import Struct

BoolMatrix = npt.NDArray[np.bool_]
FloatMatrix = npt.NDArray[np.float64]
MIN_DUE_ARRIVALS = 2.0  # of a backend in a window, to count as idle if it gets none


class Use(Struct, frozen=True):
    """An attempt at a backend, in microseconds: when it came, and how long it was there."""

    at: int
    took: int
    backend: int


class Spread(Struct):
    """Evenness over windows of one length. A backend's load is relative to its part of the capacity that is up."""

    window_s: float
    most: float  # mean over windows of the greatest relative load
    varies: float  # coefficient of variation of the relative loads
    idle: float  # share of the windows of healthy backends that should have had arrivals and had none
    jump: float  # the greatest rise of one backend's arrivals from a window to the next, in its parts


def spread(uses: list[Use], speeds: list[float], healthy: BoolMatrix, window_us: int, end_us: int) -> Spread:
    """Measures the evenness of uses.

    Args:
        uses: In any order.
        speeds: Of the backends, about 1.
        healthy: By window and backend, whether it was up throughout.
        window_us: Length of a window.
        end_us: End of the run.
    """
    window_s = window_us / 1e6
    counts = arrivals_by_window(uses, len(speeds), window_us, end_us)
    expected = expected_arrivals(counts, speeds, healthy)
    due = expected > 0
    relative = np.divide(counts, expected, out=np.zeros_like(counts), where=due)
    windows = [row[row_due] for row, row_due in zip(relative, due, strict=True) if row_due.any()]
    if not windows:
        return Spread(window_s, 0.0, 0.0, 0.0, 0.0)
    surely_due = due & (expected >= MIN_DUE_ARRIVALS)
    return Spread(
        window_s,
        most=round(float(np.mean([row.max() for row in windows])), 3),
        varies=round(float(np.mean([row.std() / row.mean() for row in windows if row.mean() > 0])), 3),
        idle=round(float((counts[surely_due] == 0).mean()) if surely_due.any() else 0.0, 5),
        jump=round(greatest_jump(counts, expected), 2),
    )


def arrivals_by_window(uses: list[Use], backends: int, window_us: int, end_us: int) -> FloatMatrix:
    """Arrivals by window and backend."""
    windows = max(1, end_us // window_us)
    counts = np.zeros((windows, backends))
    for use in uses:
        if 0 <= use.at < windows * window_us:
            counts[use.at // window_us, use.backend] += 1
    return counts


def expected_arrivals(counts: FloatMatrix, speeds: list[float], healthy: BoolMatrix) -> FloatMatrix:
    """The arrivals of each window, divided over its healthy backends by their speeds."""
    weights = np.where(healthy, np.array(speeds), 0.0)
    window_weights = weights.sum(axis=1, keepdims=True)
    totals = np.where(healthy, counts, 0.0).sum(axis=1, keepdims=True)
    shares: FloatMatrix = np.divide(weights, window_weights, out=np.zeros_like(weights), where=window_weights > 0)
    expected: FloatMatrix = shares * totals
    return expected


def greatest_jump(counts: FloatMatrix, expected: FloatMatrix) -> float:
    """The greatest rise of a backend's arrivals from a window to the next, in expected arrivals of the latter."""
    due = expected > 0
    rises = []
    for window in range(len(counts) - 1):
        both = due[window] & due[window + 1]
        if both.any():
            rise = (counts[window + 1] - counts[window])[both] / expected[window + 1][both]
            rises.append(np.max(rise))
    return float(max(rises, default=0.0))


def central_dispatch(uses: list[Use], speeds: list[float], up: BoolMatrix, step_us: int) -> list[Use]:
    """The same work as a dispatcher that sees everything would place it.

    Args:
        uses: What the gateways did, in any order.
        speeds: Of the backends, about 1.
        up: By step and backend, whether it is up.
        step_us: Length of a step.
    """
    at_work, received = [0] * len(speeds), [0] * len(speeds)
    ends: list[tuple[int, int]] = []
    placed = []
    for use in sorted(uses, key=lambda use: use.at):
        while ends and ends[0][0] <= use.at:
            at_work[heapq.heappop(ends)[1]] -= 1
        usable = up[min(len(up) - 1, max(0, use.at // step_us))]
        best, least = use.backend, (math.inf, math.inf)
        for backend, speed in enumerate(speeds):
            # Of equals the one that has received least is taken, or the first would always be.
            load = at_work[backend] / speed, received[backend] / speed
            if usable[backend] and load < least:
                best, least = backend, load
        at_work[best] += 1
        received[best] += 1
        heapq.heappush(ends, (use.at + max(1, use.took), best))
        placed.append(Use(use.at, use.took, best))
    return placed
