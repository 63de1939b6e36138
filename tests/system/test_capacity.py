"""Capacity measurements: fits and forecasts, reports, hot paths, and hollow fleets."""

import json
import math
from collections.abc import Callable, Iterable
from random import Random

from ward import each, test

from stoneyoke.lab.capacity import meters
from stoneyoke.lab.capacity.figures import Axis, Case, Figure, Measurement, Point, series_of
from stoneyoke.lab.capacity.fits import forecast, plausible_fits
from stoneyoke.lab.capacity.fleet_costs import FleetShape
from stoneyoke.lab.capacity.fleet_measurements import fleet_figures
from stoneyoke.lab.capacity.hot_paths.configurations import (
    check_keys,
    configuration_by_routes,
    configuration_by_tenants,
)
from stoneyoke.lab.capacity.hot_paths.controller_registry import first_heartbeats, registered_heartbeats
from stoneyoke.lab.capacity.hot_paths.gateway_directory import merge_pulls, renew_upstreams
from stoneyoke.lab.capacity.hot_paths.peer_calls import call_over_socket
from stoneyoke.lab.capacity.hot_paths.quotas import allocate_quotas, decide_requests
from stoneyoke.lab.capacity.metered_network import MeteredLoop, MeteredNetwork
from stoneyoke.lab.capacity.report import format_json, format_table, format_value, row_of
from stoneyoke.lab.capacity.runner import measure, measure_all
from stoneyoke.lab.capacity.subjects import MEASURE_FUNCTIONS, SUBJECTS
from stoneyoke.lab.capacity.workloads import configuration
from stoneyoke.transport.messages import FetchRequest, Message

SIZES = (100, 300, 1000, 3000, 10_000)
meters.MIN_MEASURED_S = 0.004  # short, as the tests check that a figure is measured, not its precision


def points(grow: Callable[[float], float], noise: float = 0.0) -> list[Point]:
    """Returns a figure at all sizes. The noise is a share of the figure, alternately added and subtracted."""
    return [Point(size, grow(size) * (1 + noise * (-1) ** at)) for at, size in enumerate(SIZES)]


def values(figures: Iterable[Figure]) -> dict[str, float]:
    """Returns figures by their names."""
    return {figure.name: figure.value for figure in figures}


# The value at each size, by the shape that must be recognized.
GROWTH: dict[str, Callable[[float], float]] = {
    "constant": lambda size: 7.0,
    "linear": lambda size: 5 + 0.3 * size,
    "n log n": lambda size: 0.3 * size * math.log(size),
    "square": lambda size: 5 + 0.002 * size * size,
    "linear and square": lambda size: 3 * size + 0.002 * size * size,
}


@test("a figure that grows as {shape} is fitted with this shape and without residual")
def _(shape=each(*GROWTH)):
    best = plausible_fits(points(GROWTH[shape]))[0]
    assert (best.shape, round(best.residual, 6)) == (shape, 0)
    assert math.isclose(best.at(200_000), GROWTH[shape](200_000), rel_tol=1e-6)


@test("a figure that only varies or falls is fitted as constant, so that noise is not extrapolated to the target")
def _():
    assert plausible_fits(points(lambda size: 7.0, noise=0.3))[0].shape == "constant"
    assert [one.shape for one in plausible_fits(points(lambda size: 7.0 - size / 10_000))] == ["constant"]


@test("a forecast spans all plausible shapes: it is exact for a clear shape and a range with noise")
def _():
    clear = forecast(plausible_fits(points(lambda size: 0.3 * size)), 76_000)
    assert math.isclose(clear.low, clear.high) and math.isclose(clear.value, 0.3 * 76_000)
    vague = forecast(plausible_fits(points(lambda size: 0.3 * size, noise=0.2)), 76_000)
    assert vague.low < vague.high and vague.low <= vague.value <= vague.high


@test("too few sizes give no fit and no forecast")
def _():
    assert plausible_fits(points(lambda size: size)[:3]) == [] and forecast([], 10) is None


@test("a forecast beyond the measured sizes is marked as extrapolated, one within is not")
def _():
    far, near = (
        row_of(series_of([Measurement(Case("x", axis, size), (Figure("f", "s", size),), 0, 0) for size in SIZES])[0])
        for axis in (Axis.ROUTES, Axis.GATEWAYS)
    )
    assert far.extrapolated() and math.isclose(far.beyond, 7.6) and not near.extrapolated()


@test("the table and the JSON contain every figure and every failure")
def _():
    done = [Measurement(Case("x", Axis.ROUTES, size), (Figure("f", "s", size / 1e6),), 0.1, 50) for size in SIZES]
    done.append(Measurement(Case("y", Axis.ROUTES, 5), (), 0.1, 50, "more than 4 GB"))
    assert "extrapolated x7.6): 76 ms" in format_table(done) and "failed: y at 5: more than 4 GB" in format_table(done)
    report = json.loads(format_json(done, 3.0))
    assert len(report["measurements"]) == 6 and report["fits"][0]["extrapolated"] is True
    assert [format_value(*one) for one in ((0.0015, "s"), (2.5e6, "B/s"), (3.0, "MB"))] == [
        "1.5 ms",
        "2.5 MB/s",
        "3 MB",
    ]


@test("a case that fails or exceeds the memory limit is reported with its reason")
def _():
    def exceed_memory(size: int) -> list[Figure]:
        raise MemoryError

    MEASURE_FUNCTIONS["broken"], MEASURE_FUNCTIONS["over"] = lambda size: 1 / 0, exceed_memory
    try:
        assert measure(Case("broken", Axis.ROUTES, 1)).failed.startswith("ZeroDivisionError")
        assert measure(Case("over", Axis.ROUTES, 1)).failed.startswith("more than")
    finally:
        del MEASURE_FUNCTIONS["broken"], MEASURE_FUNCTIONS["over"]
    assert measure(Case("configuration by routes", Axis.ROUTES, 20)).failed == ""


@test("cases are measured in their own processes, in order, within the memory limit")
def _():
    cases = [Case("configuration by routes", Axis.ROUTES, size) for size in (3000, 4000)]
    measured = list(measure_all(cases, 2, 0.04))
    assert [one.case for one in measured] == cases
    assert [one.failed for one in measured] == ["more than 0.02 GB"] * 2


@test("{subject.name}: has a measuring function, at least four sizes, and no quick size above them")
def _(subject=each(*SUBJECTS)):
    assert subject.name in MEASURE_FUNCTIONS and len(set(subject.sizes)) >= 4 and len(set(subject.quick)) >= 4
    assert max(subject.quick) <= max(subject.sizes)


@test("a configuration of a given size is valid and always has the same text")
def _():
    found = values(configuration_by_routes(60))
    assert found["text"] == len(configuration(routes=60)) and 0 < found["deflated"] < found["text"]
    assert 0 < found["one look-up, 20 routes a host"] < found["read and check"]
    assert configuration(routes=60) == configuration(routes=60) != configuration(routes=60, number=2)


@test("the cost of first heartbeats is quadratic in the instances, that of the key check linear in the tenants")
def _():
    first = {size: values(first_heartbeats(size))["all beat for the first time"] for size in (50, 800)}
    assert first[800] > 60 * first[50] > 0  # 16 times the size: the cost ratio is 256 if quadratic, 16 if linear
    checks = {size: values(check_keys(size))["read and check"] for size in (100, 2000)}
    assert (
        0 < checks[2000] < 80 * checks[100]
    )  # 20 times the size: the cost ratio is over 200 with a search for each key


# The least number of figures of each hot path.
MIN_FIGURES: dict[Callable[[int], list[Figure]], int] = {
    registered_heartbeats: 8,
    merge_pulls: 5,
    renew_upstreams: 3,
    allocate_quotas: 4,
    decide_requests: 4,
    configuration_by_tenants: 7,
    call_over_socket: 1,
}


@test("hot path {path.__name__}: has all its figures, each above 0")
def _(path=each(*MIN_FIGURES)):
    figures = path(40)
    assert len(figures) >= MIN_FIGURES[path] and all(figure.value > 0 for figure in figures)


@test("a gateway stores each instance once although all controllers send it: memory is linear in the instances")
def _():
    held = {size: values(merge_pulls(size))["directory held"] for size in (100, 400)}
    assert 3 < held[400] / held[100] < 5


@test("processor time is charged to the machine whose step it was, and to no machine for the transport of messages")
def _():
    loop, network = MeteredLoop(), MeteredNetwork(Random(1), lambda name: 0, 0.0)

    async def work(rounds: int) -> None:
        sum(range(rounds))

    async def serve(message: Message) -> Message:
        sum(range(900_000))
        return message

    async def call_from_a_to_b() -> None:
        network.ports["b"] = serve
        network.run_on("a", work(300_000))
        await network.run_on("a", network.dialler("a")(("b", 1)).call(FetchRequest(), 1.0))

    loop.run_until_complete(call_from_a_to_b())
    loop.close()
    assert 1.5 < loop.cpu_s["b"] / loop.cpu_s["a"] < 6 and loop.cpu_s[""] < 0.2 * loop.cpu_s["a"]


@test("a small fleet starts and handles a change, a drain and a new gateway in time, with the expected bytes")
def _():
    found = values(fleet_figures(FleetShape(gateways=3, instances=6, routes=20, settle_s=2.5, window_s=2.0)))
    assert 0 < found["a drain: until all have it"] < 0.1 and 0 < found["a change: until all have it"] < 0.2
    assert found["a change: until acknowledged"] < found["a change: until all have it"]
    # Per second: one pull from each of three controllers and four quota requests, which are seven calls with responses.
    assert 13 <= found["steady: a gateway's messages"] <= 18
    assert 500 < found["steady: a gateway's wire"] < 2000
    assert found["steady: between regions"] == 0
    # Each controller announces a change, but the gateway fetches the text only once.
    text = len(configuration(routes=20, number=2))
    assert 0.2 * text < found["a change: a gateway's wire"] < text


@test("with two regions, the bytes between them are counted and times include the delay between regions")
def _():
    shape = FleetShape(gateways=2, instances=2, regions=2, settle_s=2.0, window_s=1.0)
    found = values(fleet_figures(shape))
    assert found["steady: between regions"] > 0
    assert found["a drain: until all have it"] > 0.04
