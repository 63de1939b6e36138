"""How a figure grows with the size: fits of a few shapes by least squares of relative errors, and their forecasts.

The relative error counts alike at each size, so that the smallest sizes matter beside the largest. Of shapes that fit
about as well the simplest is taken. A cost that falls with the size is noise: then the figure is constant.
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from stoneyoke.lab.capacity.figures import Point

FEWEST_POINTS = 4
PLAUSIBLE_RATIO = 2.0  # shapes whose residual is within this many times the best one's bound the forecast
NOISE_RESIDUAL = 0.02  # residuals under this are alike: no run repeats better


class Shape(NamedTuple):
    """The functions of a shape: a value is base x first(size) + slope x second(size)."""

    first: Callable[[float], float]
    second: Callable[[float], float]


def always(_: float) -> float:
    """Returns 1 for each size: the first function of most shapes."""
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
    """A fitted shape.

    Attributes:
        shape: Its name in SHAPES.
        base: See Shape.
        slope: See Shape.
        residual: Root mean square of the relative errors.
    """

    shape: str
    base: float
    slope: float
    residual: float

    def at(self, size: float) -> float:
        """Returns the value at a size; never below 0."""
        shape = SHAPES[self.shape]
        return max(0.0, self.base * shape.first(size) + self.slope * shape.second(size))

    def plausible(self) -> bool:
        """Returns whether the cost does not fall with the size, nor either part of a sum."""
        return self.slope >= 0 and (self.base >= 0 or self.shape != "linear and square")


class Forecast(NamedTuple):
    """The value of the simplest plausible fit at a size, and the lowest and the highest value of all plausible ones."""

    value: float
    low: float
    high: float


def fit(name: str, points: Sequence[Point]) -> Fit:
    """Returns the fit of a shape with the least sum of squared relative errors."""
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
    """Returns the plausible fits, the simplest first; none where the sizes are too few to tell shapes apart."""
    if len(points) < FEWEST_POINTS:
        return []
    found = [fitted for fitted in (fit(name, points) for name in SHAPES) if fitted.plausible()]
    bound = PLAUSIBLE_RATIO * max(NOISE_RESIDUAL, min(fitted.residual for fitted in found))
    return [fitted for fitted in found if fitted.residual <= bound]


def forecast(found: Sequence[Fit], size: float) -> Forecast | None:
    """Returns the forecast at a size that was not measured; None without a plausible fit."""
    if not found:
        return None
    values = [fitted.at(size) for fitted in found]
    return Forecast(values[0], min(values), max(values))
