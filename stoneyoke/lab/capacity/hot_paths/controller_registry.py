"""Hot paths of a controller's registry of instances: heartbeats, changes and pulls."""

from stoneyoke.api.calls import Heartbeat
from stoneyoke.api.http_mapping import read_call
from stoneyoke.controlplane.instance_registry import InstanceRecord, InstanceRegistry, Phase, row_from_heartbeat
from stoneyoke.lab.capacity.figures import Figure
from stoneyoke.lab.capacity.hot_paths.pull_responses import pull_response
from stoneyoke.lab.capacity.meters import cpu_seconds, cpu_seconds_once, measure_heap, megabytes, sample_indexes
from stoneyoke.lab.capacity.workloads import heartbeat, instance_name, row
from stoneyoke.lab.simulation.bounds import HEARTBEAT_S
from stoneyoke.transport.messages import InstanceRow, pack

CALLS = 200  # number of calls that are timed together
SILENT_S = 2.4 * HEARTBEAT_S + 0.5  # after this time without a heartbeat an instance counts as silent


def filled_registry(size: int) -> InstanceRegistry:
    """Returns a registry of ready instances.

    They are added directly, because merge() searches all instances for each new one.
    """
    registry = InstanceRegistry(SILENT_S)
    for index in range(size):
        registry.records[instance_name(index)] = InstanceRecord(row(index), 0.0, 0.0, index + 1)
    registry.seq = size
    return registry


def row_of_call(call: object) -> InstanceRow:
    """Returns the row of a heartbeat."""
    assert isinstance(call, Heartbeat)
    return row_from_heartbeat(call)


def read_call_s(size: int) -> float:
    """Returns the processor time of reading the HTTP call of one heartbeat."""
    calls = [
        (f"/instances/{instance_name(index)}/heartbeat", heartbeat(index, 9)) for index in sample_indexes(size, CALLS)
    ]

    def read_calls() -> None:
        for target, body in calls:
            row_of_call(read_call("POST", target, body))

    return cpu_seconds(read_calls) / len(calls)


def registered_heartbeats(size: int) -> list[Figure]:
    """Measures a controller with this number of instances: heartbeats of all, a change, a drain, a sweep, pulls."""
    registry, registry_heap = measure_heap(lambda: filled_registry(size))
    seq = 1

    def merge_all() -> None:
        nonlocal seq
        seq += 1
        for index in range(size):
            registry.merge(row(index, seq), 1.0)

    registry.merge(row(0, 10**6, Phase.DRAINING), 1.0)
    drained = registry.changes_since(registry.seq - 1, 1.0)
    complete = pull_response(registry, registry.changes_since(0, 1.0), True)
    rows_s = cpu_seconds(lambda: [row(index, 1) for index in range(size)])
    return [
        Figure("registry held", "MB", megabytes(registry_heap.retained)),
        Figure("read one beat's call", "s", read_call_s(size)),
        Figure("all beat once, calls read already", "s", max(1e-9, cpu_seconds(merge_all) - rows_s)),
        Figure("sweep", "s", cpu_seconds(lambda: registry.sweep(1.0))),
        Figure(
            "one pull after one change: since()",
            "s",
            cpu_seconds(lambda: registry.changes_since(registry.seq - 1, 1.0)),
        ),
        Figure("one pull after one drain", "B", len(pack(1, pull_response(registry, drained, False)))),
        Figure("a first pull: pack", "s", cpu_seconds(lambda: pack(1, complete))),
        Figure("a first pull", "B", len(pack(1, complete))),
    ]


def first_heartbeats(size: int) -> list[Figure]:
    """Measures the first heartbeats of this number of instances."""
    registry, rows = InstanceRegistry(SILENT_S), [row(index) for index in range(size)]

    def merge_all() -> None:
        for one in rows:
            registry.merge(one, 0.0)

    return [Figure("all beat for the first time", "s", cpu_seconds_once(merge_all)[1])]
