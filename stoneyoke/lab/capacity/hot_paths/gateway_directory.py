"""Hot paths of the instances at a gateway: pulls, changes, sweeps and the upstreams made from them."""

import asyncio

from stoneyoke.controlplane.instance_registry import InstanceRegistry, Phase
from stoneyoke.gateway.instance_directory import InstanceDirectory
from stoneyoke.gateway.upstreams import Upstreams, UpstreamSettings
from stoneyoke.lab.capacity.figures import Figure
from stoneyoke.lab.capacity.hot_paths.pull_responses import pull_response
from stoneyoke.lab.capacity.meters import cpu_seconds, cpu_seconds_once, measure_heap, megabytes
from stoneyoke.lab.capacity.workloads import row
from stoneyoke.lab.simulation.bounds import BOUNDS
from stoneyoke.net.backends import BackendLimits, Backends
from stoneyoke.net.descriptor_budget import DescriptorBudget
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.metrics import Metrics
from stoneyoke.transport.messages import InstanceRow, PullResponse, pack, unpack

CONTROLLERS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")


def directory_with(rows: list[InstanceRow]) -> InstanceDirectory:
    """Returns a directory with the same rows from each controller."""
    directory = InstanceDirectory(CONTROLLERS)
    registry = InstanceRegistry(1.0)
    for name in CONTROLLERS:
        directory.apply_pull(name, pull_response(registry, rows, True), 0.0)
    return directory


def merge_pulls(size: int) -> list[Figure]:
    """Measures a gateway that receives the rows of this number of instances from three controllers."""
    registry = InstanceRegistry(1.0)
    frame = pack(1, pull_response(registry, [row(index) for index in range(size)], True))[4:]

    def first_pulls() -> InstanceDirectory:
        known = InstanceDirectory(CONTROLLERS)
        for name in CONTROLLERS:
            response = unpack(frame)[1]
            assert isinstance(response, PullResponse)
            known.apply_pull(name, response, 0.0)
        return known

    _, first_s = cpu_seconds_once(first_pulls)
    known, directory_heap = measure_heap(first_pulls)
    seq = 1

    def one_change() -> None:
        nonlocal seq
        seq += 1
        known.apply_pull(CONTROLLERS[0], pull_response(registry, [row(0, seq)], False), 0.5)

    one_change()  # frees the memory of the first pull response, which is not part of the cost of a change
    return [
        Figure("first pulls from three controllers", "s", first_s),
        Figure("directory held", "MB", megabytes(directory_heap.retained)),
        Figure("first pulls at the peak", "MB", megabytes(directory_heap.peak)),
        Figure("one change merged", "s", cpu_seconds(one_change)),
        Figure("sweep, four a second", "s", cpu_seconds(lambda: known.sweep(0.6))),
    ]


def renew_upstreams(size: int) -> list[Figure]:
    """Measures the upstreams of this number of instances: the first renewal, and one after a drain."""

    async def renewals() -> list[Figure]:  # runs in an event loop, because the upstreams set timers
        known, clock, metrics = directory_with([row(index) for index in range(size)]), Clock(), Metrics()

        def make() -> Upstreams:
            limits = BackendLimits(connect_timeout_us=300_000, idle_timeout_us=4_000_000)
            backends = Backends(clock, metrics, DescriptorBudget(1000, 100), limits)
            settings = UpstreamSettings(zones=(), zone="zone-00", seed=5, bounds=BOUNDS)
            return Upstreams(clock, metrics, backends, known, settings)

        def make_and_refresh() -> Upstreams:
            other = make()
            other.refresh()
            return other

        upstreams = make()
        (_, first_s), upstreams_heap = cpu_seconds_once(upstreams.refresh), measure_heap(make_and_refresh)[1]
        drained = pull_response(InstanceRegistry(1.0), [row(0, 2, Phase.DRAINING)], False)
        known.apply_pull(CONTROLLERS[0], drained, 0.5)
        _, after_drain_s = cpu_seconds_once(upstreams.refresh)
        return [
            Figure("first renewal", "s", first_s),
            Figure("renewal after one drain", "s", after_drain_s),
            Figure("modules of decisions held", "MB", megabytes(upstreams_heap.retained)),
        ]

    return asyncio.run(renewals())
