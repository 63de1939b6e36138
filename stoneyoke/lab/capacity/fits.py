"""Growth of a figure with the size: fits of a few shapes by least squares of relative errors, and their forecasts.

Relative errors give all sizes the same weight; absolute errors would make the largest sizes dominate. Of the shapes
that fit about equally well, the simplest is used. A cost that falls with the size is noise, and fitted as constant.
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from stoneyoke.lab.capacity.figures import Point

MIN_POINTS = 4
PLAUSIBLE_RATIO = 2.0  # shapes with at most this many times the smallest residual bound the forecast
NOISE_RESIDUAL = 0.02  # smaller residuals count as equal: repeated runs agree no better than this


class Shape(NamedTuple):
    """The two functions of a shape: its value at a size is base x first(size) + slope x second(size)."""

    first: Callable[[float], float]
    second: Callable[[float], float]


def constant_one(_: float) -> float:
    """Returns 1 for every size: the first function of most shapes."""
    return 1.0


SHAPES: dict[str, Shape] = {  # the simplest shape first
    "constant": Shape(constant_one, lambda _: 0.0),
    "linear": Shape(constant_one, lambda size: size),
    "n log n": Shape(constant_one, lambda size: size * math.log(max(size, 2.0))),
    "square": Shape(constant_one, lambda size: size * size),
    "linear and square": Shape(lambda size: size, lambda size: size * size),
}


@dataclass(frozen=True, slots=True)
class Fit:
    """A fitted shape.

    Attributes:
        shape: The name of the shape in SHAPES.
        base: The factor of the first function; see Shape.
        slope: The factor of the second function; see Shape.
        residual: The root mean square of the relative errors.
    """

    shape: str
    base: float
    slope: float
    residual: float

    def at(self, size: float) -> float:
        """Returns the fitted value at a size, at least 0."""
        shape = SHAPES[self.shape]
        return max(0.0, self.base * shape.first(size) + self.slope * shape.second(size))

    def plausible(self) -> bool:
        """Returns whether the cost, and for a sum of two growing parts each part, does not fall with the size."""
        return self.slope >= 0 and (self.base >= 0 or self.shape != "linear and square")


class Forecast(NamedTuple):
    """The value of the simplest plausible fit at a size, and the lowest and the highest value of all plausible fits."""

    value: float
    low: float
    high: float


def fit_shape(name: str, points: Sequence[Point]) -> Fit:
    """Returns the fit of a shape that minimizes the sum of squared relative errors."""
    shape = SHAPES[name]
    rows = [(shape.first(x) / y, shape.second(x) / y) for x, y in points if y > 0]  # a perfect fit gives 1 for each row
    if not rows:
        return Fit(name, 0.0, 0.0, 0.0)
    aa, ab, bb = (sum(row[i] * row[j] for row in rows) for i, j in ((0, 0), (0, 1), (1, 1)))
    a, b = sum(row[0] for row in rows), sum(row[1] for row in rows)
    spread = aa * bb - ab * ab
    slope = (aa * b - ab * a) / spread if spread > 1e-12 * aa * bb else 0.0
    base = (a - ab * slope) / aa
    errors = [base * first + slope * second - 1 for first, second in rows]
    return Fit(name, base, slope, math.sqrt(sum(error * error for error in errors) / len(errors)))


def plausible_fits(points: Sequence[Point]) -> list[Fit]:
    """Returns the plausible fits, the simplest first; none if there are too few sizes to distinguish shapes."""
    if len(points) < MIN_POINTS:
        return []
    found = [fitted for fitted in (fit_shape(name, points) for name in SHAPES) if fitted.plausible()]
    bound = PLAUSIBLE_RATIO * max(NOISE_RESIDUAL, min(fitted.residual for fitted in found))
    return [fitted for fitted in found if fitted.residual <= bound]


def forecast(found: Sequence[Fit], size: float) -> Forecast | None:
    """Returns the forecast at a size that was not measured; None if there is no plausible fit."""
    if not found:
        return None
    values = [fitted.at(size) for fitted in found]
    return Forecast(values[0], min(values), max(values))
