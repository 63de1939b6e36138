"""Records of measurements: figures, the measurement that they belong to, and series over an axis. No I/O."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple


class Axis(StrEnum):
    """The quantity that grows from one measurement to the next."""

    ROUTES = "routes"
    HOST_ROUTES = "routes on one host"
    TENANTS = "tenants"
    INSTANCES = "instances"
    GATEWAYS = "gateways"
    CHANGES = "changes a minute"
    REGIONS = "regions"
    MESSAGE_BYTES = "bytes of a message"


# The operators' target sizes, from the issue. 14,000 changes per day are 9.7 per minute.
TARGETS: dict[Axis, float] = {
    Axis.ROUTES: 76_000,
    Axis.HOST_ROUTES: 76_000,
    Axis.TENANTS: 1_100_000,
    Axis.INSTANCES: 200_000,
    Axis.GATEWAYS: 3_800,
    Axis.CHANGES: 14_000 / 1440,
    Axis.REGIONS: 8,
    Axis.MESSAGE_BYTES: 4_000_000,
}


class Figure(NamedTuple):
    """A measured quantity with its unit: "s", "s/s", "B", "B/s", "1/s", "MB", or "" for a number without a unit."""

    name: str
    unit: str
    value: float


@dataclass(frozen=True, slots=True)
class Case:
    """A measurement to make: a subject at one size on its axis."""

    subject: str
    axis: Axis
    size: int


@dataclass(frozen=True, slots=True)
class Measurement:
    """The result of measuring a case.

    Attributes:
        case: What was measured.
        figures: The measured quantities; empty if the case failed.
        wall_s: How long the measurement took, in seconds of wall-clock time.
        rss_mb: The peak memory of the measuring process, in MB.
        failed: Why the case failed; empty if it did not.
    """

    case: Case
    figures: tuple[Figure, ...]
    wall_s: float
    rss_mb: float
    failed: str = ""


class Point(NamedTuple):
    """The value of a figure at one size."""

    size: float
    value: float


@dataclass(frozen=True, slots=True)
class Series:
    """The values of one figure of one subject over its axis."""

    subject: str
    axis: Axis
    name: str
    unit: str
    points: tuple[Point, ...]


def series_of(measurements: Iterable[Measurement]) -> list[Series]:
    """Returns a series for each subject and figure in the order of the subjects, with the values sorted by size."""
    found: dict[tuple[str, Axis, str, str], list[Point]] = {}
    for one in measurements:
        for figure in one.figures:
            place = (one.case.subject, one.case.axis, figure.name, figure.unit)
            found.setdefault(place, []).append(Point(float(one.case.size), figure.value))
    return [Series(*place, tuple(sorted(points))) for place, points in found.items()]
