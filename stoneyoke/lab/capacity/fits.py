"""How a figure grows with the size: least squares of relative errors over a few shapes, and what they foretell.

The relative error counts at each size alike, so that the smallest sizes are not lost beside the largest. Of shapes
that fit about as well the simplest is taken. One that falls with the size is noise: then the figure is constant."""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from stoneyoke.lab.capacity.figures import Point

FEWEST_POINTS = 4
PLAUSIBLE = 2.0  # shapes whose residual is within this many times the best one's bound what is foretold
NOISE = 0.02  # residuals under this are alike: no run repeats better

SHAPES: dict[str, Callable[[float], float]] = {  # the simplest first
    "constant": lambda _: 0.0,
    "linear": lambda size: size,
    "n log n": lambda size: size * math.log(max(size, 2.0)),
    "square": lambda size: size * size,
}


@dataclass(frozen=True, slots=True)
class Fit:
    """value = base + slope x shape(size). residual: root mean square of the relative errors."""

    shape: str
    base: float
    slope: float
    residual: float

    def at(self, size: float) -> float:
        return max(0.0, self.base + self.slope * SHAPES[self.shape](size))


class Forecast(NamedTuple):
    """What the simplest plausible fit foretells at a size, and the lowest and the highest of all that are plausible."""

    value: float
    low: float
    high: float


def fit(shape: str, points: Sequence[Point]) -> Fit:
    """base and slope that keep the sum of squared relative errors least."""
    grow = SHAPES[shape]
    kept = [point for point in points if point.value > 0]
    if not kept:
        return Fit(shape, 0.0, 0.0, 0.0)
    weights = [1.0 / point.value**2 for point in kept]
    xs, ys = [grow(point.size) for point in kept], [point.value for point in kept]
    total = sum(weights)
    mean_x = sum(w * x for w, x in zip(weights, xs, strict=True)) / total
    mean_y = sum(w * y for w, y in zip(weights, ys, strict=True)) / total
    spread = sum(w * (x - mean_x) ** 2 for w, x in zip(weights, xs, strict=True))
    cross = sum(w * (x - mean_x) * (y - mean_y) for w, x, y in zip(weights, xs, ys, strict=True))
    slope = cross / spread if spread > 0 else 0.0
    base = mean_y - slope * mean_x
    errors = [(base + slope * x - y) / y for x, y in zip(xs, ys, strict=True)]
    return Fit(shape, base, slope, math.sqrt(sum(error * error for error in errors) / len(errors)))


def fits(points: Sequence[Point]) -> list[Fit]:
    """The shapes that are plausible, the simplest first; none where the sizes are too few to tell shapes apart."""
    if len(points) < FEWEST_POINTS:
        return []
    found = [one for one in (fit(shape, points) for shape in SHAPES) if one.slope >= 0]
    bound = PLAUSIBLE * max(NOISE, min(one.residual for one in found))
    return [one for one in found if one.residual <= bound]


def forecast(found: Sequence[Fit], size: float) -> Forecast | None:
    """At a size that was not measured."""
    if not found:
        return None
    told = [one.at(size) for one in found]
    return Forecast(told[0], min(told), max(told))
