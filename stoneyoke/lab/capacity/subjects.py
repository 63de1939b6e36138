"""The subjects of measurement, each with its axis and its sizes."""

from collections.abc import Callable
from dataclasses import dataclass

from stoneyoke.lab.capacity.figures import Axis, Case, Figure
from stoneyoke.lab.capacity.fleet_measurements import FLEET_MEASUREMENTS
from stoneyoke.lab.capacity.hot_paths import HOT_PATHS

MEASURE_FUNCTIONS: dict[str, Callable[[int], list[Figure]]] = {**FLEET_MEASUREMENTS, **HOT_PATHS}


@dataclass(frozen=True, slots=True)
class Subject:
    """A subject of measurement.

    Attributes:
        name: The name of the subject, which is its key in MEASURE_FUNCTIONS.
        axis: The quantity that grows.
        sizes: The sizes, the largest first, so that the longest measurements start first.
        quick: Smaller sizes, with which all subjects together take less than a minute.
    """

    name: str
    axis: Axis
    sizes: tuple[int, ...]
    quick: tuple[int, ...]

    def cases(self, quick: bool) -> list[Case]:
        """Returns the cases at all sizes, or at the quick sizes only."""
        return [Case(self.name, self.axis, size) for size in (self.quick if quick else self.sizes)]


SUBJECTS: tuple[Subject, ...] = (
    Subject("fleet by gateways", Axis.GATEWAYS, (4000, 1000, 300, 100, 30, 10), (100, 50, 30, 10)),
    Subject("fleet by instances", Axis.INSTANCES, (10_000, 3000, 1000, 300, 100), (600, 300, 100, 30)),
    Subject("fleet by routes", Axis.ROUTES, (10_000, 3000, 1000, 300, 100), (800, 400, 200, 100)),
    Subject("fleet by changes", Axis.CHANGES, (60, 30, 10, 6), (20, 15, 10, 6)),
    Subject("fleet by regions", Axis.REGIONS, (8, 4, 2, 1), (8, 4, 2, 1)),
    Subject("gateway's directory", Axis.INSTANCES, (200_000, 50_000, 10_000, 1000, 100), (3000, 1000, 300, 100)),
    Subject(
        "configuration by tenants", Axis.TENANTS, (1_100_000, 100_000, 10_000, 1000, 100), (10_000, 3000, 1000, 100)
    ),
    Subject("quota allocator", Axis.TENANTS, (1_100_000, 100_000, 10_000, 1000, 10), (10_000, 1000, 100, 10)),
    Subject("configuration by routes", Axis.ROUTES, (76_000, 10_000, 1000, 100), (3000, 1000, 300, 100)),
    Subject("look-up on one host", Axis.HOST_ROUTES, (76_000, 10_000, 1000, 100), (3000, 1000, 300, 100)),
    Subject("controller's registry", Axis.INSTANCES, (200_000, 50_000, 10_000, 1000, 100), (3000, 1000, 300, 100)),
    Subject("controller's first beats", Axis.INSTANCES, (10_000, 3000, 1000, 300), (1000, 500, 300, 100)),
    Subject("gateway's upstreams", Axis.INSTANCES, (10_000, 3000, 1000, 300), (1000, 500, 300, 100)),
    Subject(
        "configuration's key check", Axis.TENANTS, (1_100_000, 100_000, 10_000, 3000, 300), (10_000, 3000, 1000, 300)
    ),
    Subject("gateway's local quotas", Axis.TENANTS, (10_000, 3000, 1000, 100), (1000, 500, 300, 100)),
    Subject("socket call", Axis.MESSAGE_BYTES, (1_000_000, 100_000, 10_000, 1000, 100), (100_000, 10_000, 1000, 100)),
)
