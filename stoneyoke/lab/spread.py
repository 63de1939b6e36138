"""How evenly backends were used, beside a dispatcher that sees everything. No I/O.

A dispatcher with the whole picture is given the same arrivals and the same times of work, and sends each to
the backend with the least out for its capacity: the reference that no gateway alone can reach.
"""

import heapq
import math

import numpy as np
from msgspec import Struct


class Use(Struct, frozen=True):
    """A call-out at a backend, in us: when it came, how long it was there."""

    at: int
    took: int
    backend: int


class Spread(Struct):
    """Over windows of one length. Load is taken over each backend's part of the capacity that is up."""

    window_s: float
    most: float  # the mean over windows of the fullest backend's arrivals against its part
    varies: float  # coefficient of variation of these
    idle: float  # part of the backend-windows, healthy and owed an arrival or more, without any
    jump: float  # the largest rise of one backend's arrivals from a window to the next, in its parts


def spread(uses: list[Use], speeds: list[float], healthy: "np.ndarray", window_us: int, end_us: int) -> Spread:
    """healthy: windows x backends, whether each was up all the time."""
    windows = max(1, end_us // window_us)
    counts = np.zeros((windows, len(speeds)))
    for use in uses:
        if 0 <= use.at < windows * window_us:
            counts[use.at // window_us, use.backend] += 1
    weights = np.where(healthy, np.array(speeds), 0.0)
    totals = np.where(healthy, counts, 0.0).sum(axis=1, keepdims=True)
    parts = (
        np.divide(
            weights,
            weights.sum(axis=1, keepdims=True),
            out=np.zeros_like(weights),
            where=weights.sum(axis=1, keepdims=True) > 0,
        )
        * totals
    )
    owed = parts > 0
    ratio = np.divide(counts, parts, out=np.zeros_like(counts), where=owed)
    rows = [ratio[w][owed[w]] for w in range(windows) if owed[w].any()]
    if not rows:
        return Spread(window_us / 1e6, 0.0, 0.0, 0.0, 0.0)
    due = owed & (parts >= 2.0)
    rises = [
        np.max((counts[w + 1] - counts[w])[both] / parts[w + 1][both])
        for w in range(windows - 1)
        if (both := owed[w] & owed[w + 1]).any()
    ]
    return Spread(
        window_us / 1e6,
        round(float(np.mean([row.max() for row in rows])), 3),
        round(float(np.mean([row.std() / row.mean() for row in rows if row.mean() > 0])), 3),
        round(float((counts[due] == 0).mean()) if due.any() else 0.0, 5),
        round(float(max(rises, default=0.0)), 2),
    )


def central(uses: list[Use], speeds: list[float], up: "np.ndarray", step_us: int) -> list[Use]:
    """The same work as a dispatcher with the whole picture would have placed it. up: steps x backends."""
    out, had = [0] * len(speeds), [0] * len(speeds)
    ends: list[tuple[int, int]] = []
    placed = []
    for use in sorted(uses, key=lambda one: one.at):
        while ends and ends[0][0] <= use.at:
            out[heapq.heappop(ends)[1]] -= 1
        row = up[min(len(up) - 1, max(0, use.at // step_us))]
        best, least = use.backend, (math.inf, math.inf)
        for backend, speed in enumerate(speeds):
            # Of equals the one that has had least: else the first would always be taken.
            if row[backend] and (fill := (out[backend] / speed, had[backend] / speed)) < least:
                best, least = backend, fill
        out[best] += 1
        had[best] += 1
        heapq.heappush(ends, (use.at + max(1, use.took), best))
        placed.append(Use(use.at, use.took, best))
    return placed
