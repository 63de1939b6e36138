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


class Shape(NamedTuple):
    """value = base x first(size) + slope x second(size)."""

    first: Callable[[float], float]
    second: Callable[[float], float]


def always(_: float) -> float:
    return 1.0


SHAPES: dict[str, Shape] = {  # the simplest first
    "constant": Shape(always, lambda _: 0.0),
    "linear": Shape(always, lambda size: size),
    "n log n": Shape(always, lambda size: size * math.log(max(size, 2.0))),
    "square": Shape(always, lambda size: size * size),
    "linear and square": Shape(lambda size: size, lambda size: size * size),
}


@dataclass(frozen=True, slots=True)
class Fit:
    """base and slope: see Shape. residual: root mean square of the relative errors."""

    shape: str
    base: float
    slope: float
    residual: float

    def at(self, size: float) -> float:
        shape = SHAPES[self.shape]
        return max(0.0, self.base * shape.first(size) + self.slope * shape.second(size))

    def plausible(self) -> bool:
        """Costs don't fall with the size, nor does either part of a sum."""
        return self.slope >= 0 and (self.base >= 0 or self.shape != "linear and square")


class Forecast(NamedTuple):
    """What the simplest plausible fit foretells at a size, and the lowest and the highest of all that are plausible."""

    value: float
    low: float
    high: float


def fit(name: str, points: Sequence[Point]) -> Fit:
    """base and slope that keep the sum of squared relative errors least."""
    shape = SHAPES[name]
    rows = [(shape.first(x) / y, shape.second(x) / y) for x, y in points if y > 0]  # each is to come to 1
    if not rows:
        return Fit(name, 0.0, 0.0, 0.0)
    aa, ab, bb = (sum(row[i] * row[j] for row in rows) for i, j in ((0, 0), (0, 1), (1, 1)))
    a, b = sum(row[0] for row in rows), sum(row[1] for row in rows)
    spread = aa * bb - ab * ab
    slope = (aa * b - ab * a) / spread if spread > 1e-12 * aa * bb else 0.0
    base = (a - ab * slope) / aa
    errors = [base * first + slope * second - 1 for first, second in rows]
    return Fit(name, base, slope, math.sqrt(sum(error * error for error in errors) / len(errors)))


def fits(points: Sequence[Point]) -> list[Fit]:
    """The shapes that are plausible, the simplest first; none where the sizes are too few to tell shapes apart."""
    if len(points) < FEWEST_POINTS:
        return []
    found = [made for made in (fit(name, points) for name in SHAPES) if made.plausible()]
    bound = PLAUSIBLE * max(NOISE, min(made.residual for made in found))
    return [made for made in found if made.residual <= bound]


def forecast(found: Sequence[Fit], size: float) -> Forecast | None:
    """At a size that was not measured."""
    if not found:
        return None
    told = [made.at(size) for made in found]
    return Forecast(told[0], min(told), max(told))
