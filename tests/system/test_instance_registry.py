"""A controller's records of backends: which row wins, when a tombstone expires, and how many records there are."""

import itertools
import random

from ward import test

from stoneyoke.controlplane import instance_registry
from stoneyoke.controlplane.instance_registry import (
    MAX_ENDED_RECORDS,
    RECORD_TTL_S,
    TOMBSTONE_TTL_S,
    InstanceRegistry,
    Phase,
)
from stoneyoke.gateway import instance_directory
from stoneyoke.gateway.instance_directory import InstanceDirectory
from stoneyoke.lab.simulation.defects.in_scenarios import seeded
from stoneyoke.transport.messages import InstanceRow

SILENT_S = 5.0


def row(instance="i-1", call_seq=1, phase=Phase.READY, address="10.0.0.9:80", service="tide"):
    return InstanceRow(instance, address, service, "east", "v1", 2, int(phase), call_seq, 0.0)


def phase(registry, instance="i-1"):
    record = registry.records.get(instance)
    return record and Phase(record.row.phase)


@test("rows of one instance merge to the same row in every order; a drain wins over a ready row with a higher call_seq")
def _():
    rows = [row(call_seq=5), row(call_seq=7, phase=Phase.DRAINING), row(call_seq=9)]
    for order in itertools.permutations(rows):
        registry = InstanceRegistry(SILENT_S)
        for at, one in enumerate(order):
            registry.merge(one, float(at))
        record = registry.records["i-1"]
        assert (record.row.phase, record.row.call_seq) == (Phase.DRAINING, 9), order


@test("a drain that arrives with the call_seq of a later heartbeat is a change for a controller that didn't receive it")
def _():
    knows, missed = InstanceRegistry(SILENT_S), InstanceRegistry(SILENT_S)
    for registry in (knows, missed):
        registry.merge(row(call_seq=5), 0.0)
    knows.merge(row(call_seq=7, phase=Phase.DRAINING), 1.0)
    knows.merge(row(call_seq=9, phase=Phase.DRAINING), 2.0)
    # It received the refresh of the next heartbeat, but not the row of the drain.
    assert not missed.refresh("i-1", 9, 2.0)
    seq = missed.seq
    assert [missed.merge(one, 2.1) for one in knows.changes_since(0, 2.1)] == [True]
    assert [one.phase for one in missed.changes_since(seq, 2.2)] == [Phase.DRAINING]


@test("a late heartbeat, row or refresh does not restore an instance that left")
def _():
    registry = InstanceRegistry(SILENT_S)
    registry.merge(row(call_seq=5), 0.0)
    registry.leave("i-1", 1.0)
    for at in (1.1, 20.0, RECORD_TTL_S + 1.5, TOMBSTONE_TTL_S):
        registry.sweep(at)
        assert not registry.merge(row(call_seq=9), at) and not registry.refresh("i-1", 10, at)
        assert phase(registry) == Phase.GONE
    registry.sweep(1.0 + TOMBSTONE_TTL_S + 0.1)
    assert phase(registry) is None


@test("a leave that arrives before its instance's heartbeats is not undone by them")
def _():
    registry = InstanceRegistry(SILENT_S)
    registry.merge(row("i-2"), 0.0)
    assert registry.leave("i-1", 0.0).phase == Phase.GONE
    assert not registry.merge(row(call_seq=3), 0.1) and phase(registry) == Phase.GONE
    assert phase(registry, "i-2") == Phase.READY


@test("a controller that was suspended sends no instance as ready if it has received no heartbeat of it since")
def _():
    for suspended_s, expected in ((1.0, [Phase.READY]), (SILENT_S + 2.0, [Phase.SILENT]), (RECORD_TTL_S + 1.0, [])):
        registry = InstanceRegistry(SILENT_S)
        registry.merge(row(), 0.0)
        registry.sweep(0.1)
        assert [one.phase for one in registry.changes_since(0, suspended_s)] == expected


@test("rows that controllers send each other don't outlive the tombstone: the silence of a silent row counts as past")
def _():
    first, second = InstanceRegistry(SILENT_S), InstanceRegistry(SILENT_S)
    first.merge(row(), 0.0)
    for sent in first.changes_since(0, RECORD_TTL_S - 1.0):
        second.merge(sent, RECORD_TTL_S - 1.0)
    assert phase(second) == Phase.SILENT
    second.sweep(2 * RECORD_TTL_S - SILENT_S)
    assert not second.records


@test("an instance at a used address makes the previous one silent; gone or silent rows with that address don't")
def _():
    registry = InstanceRegistry(SILENT_S)
    registry.merge(row("i-1", 9), 0.0)
    registry.merge(row("i-2", 1, service="quay"), 1.0)
    assert (phase(registry, "i-1"), phase(registry, "i-2")) == (Phase.SILENT, Phase.READY)
    registry.merge(row("i-0", 4, Phase.GONE), 1.1)
    registry.merge(row("i-00", 4, Phase.SILENT), 1.2)
    assert phase(registry, "i-2") == Phase.READY
    registry.leave("i-1", 1.3)
    assert phase(registry, "i-2") == Phase.READY


@test("after 10,000 instances came and went the registry is bounded, and the last of them are known as gone")
def _():
    registry = InstanceRegistry(SILENT_S)
    for at in range(10_000):
        now = at * 0.002
        registry.merge(row(f"i-{at}", address=f"10.0.{at % 200}.9:80"), now)
        if at % 3:
            registry.leave(f"i-{at}", now + 0.001)
        if at % 100 == 0:
            registry.sweep(now)
    registry.sweep(20.0 + SILENT_S)
    assert len(registry.records) == MAX_ENDED_RECORDS
    assert phase(registry, "i-9998") == Phase.GONE and not registry.merge(row("i-9998", 7), 26.0)
    assert len(registry.changes_since(0, 26.0)) == MAX_ENDED_RECORDS
    registry.sweep(30.0 + TOMBSTONE_TTL_S)
    assert not registry.records


@test("instances with heartbeats stay, however many have ended")
def _():
    registry = InstanceRegistry(SILENT_S)
    registry.merge(row("here", address="10.0.9.9:80"), 0.0)
    for at in range(MAX_ENDED_RECORDS + 50):
        registry.leave(f"i-{at}", 1.0 + at * 0.0001)
    registry.sweep(2.0)
    assert phase(registry, "here") == Phase.READY and len(registry.records) == MAX_ENDED_RECORDS + 1
    assert phase(registry, "i-0") is None and phase(registry, f"i-{MAX_ENDED_RECORDS}") == Phase.GONE


@test("a gateway has tombstones for at least as many instances as a controller, the last ones, and for longer")
def _():
    assert instance_directory.GONE_MAX >= instance_registry.MAX_ENDED_RECORDS
    assert instance_directory.GONE_TTL_S > instance_registry.TOMBSTONE_TTL_S
    directory = InstanceDirectory(())
    for at in range(10_000):
        directory.merge_row(row(f"i-{at}"), at * 0.002)
        directory.merge_row(row(f"i-{at}", phase=Phase.GONE), at * 0.002)
    directory.sweep(20.0)
    assert len(directory.gone_at) == instance_directory.GONE_MAX
    directory.merge_row(row("i-9999", 9), 20.1)
    assert not directory.instances
    directory.sweep(21.0 + instance_directory.GONE_TTL_S)
    assert not directory.gone_at


@test("the order of heartbeats does not matter, and an instance that is gone stays gone")
def _():
    rows = [row(call_seq=1), row(call_seq=2), row(call_seq=3, phase=Phase.DRAINING), row(call_seq=3, phase=Phase.GONE)]
    for seed in range(50):
        registry, mixed = InstanceRegistry(SILENT_S), rows * 2
        random.Random(seed).shuffle(mixed)
        for one in mixed:
            registry.merge(one, 1.0)
        assert registry.records["i-1"].row.phase == Phase.GONE
        assert not registry.merge(row(call_seq=9), 2.0) and registry.records["i-1"].row.phase == Phase.GONE
    registry = InstanceRegistry(SILENT_S)
    assert registry.merge(rows[2], 1.0) and not registry.merge(rows[1], 1.1)
    assert registry.records["i-1"].row.phase == Phase.DRAINING


@test("a heartbeat that repeats the known row is no change; silence is a change, and so is a heartbeat after it")
def _():
    registry = InstanceRegistry(SILENT_S)
    assert registry.merge(row(call_seq=1), 0.0) and not registry.merge(row(call_seq=2), 1.0)
    seq = registry.seq
    registry.sweep(5.5)
    assert registry.changes_since(seq, 5.5) == []
    registry.sweep(6.5)
    assert [one.phase for one in registry.changes_since(seq, 6.5)] == [Phase.SILENT]
    assert registry.merge(row(call_seq=3), 7.0) and registry.records["i-1"].row.phase == Phase.READY


@test("a refresh makes a silent instance ready, but never a gone one, and counts only with a higher call_seq")
def _():
    registry = InstanceRegistry(SILENT_S)
    registry.merge(row(call_seq=3), 0.0)
    assert not registry.refresh("i-1", 3, 1.0) and not registry.refresh("i-2", 9, 1.0)
    assert not registry.refresh("i-1", 4, 4.0)
    registry.sweep(8.0)
    assert registry.records["i-1"].row.phase == Phase.READY  # the last heartbeat was at 4.0
    registry.sweep(10.0)
    assert registry.records["i-1"].row.phase == Phase.SILENT
    assert registry.refresh("i-1", 5, 11.0) and registry.records["i-1"].row.phase == Phase.READY
    registry.leave("i-1", 12.0)
    assert not registry.refresh("i-1", 9, 13.0) and registry.records["i-1"].row.phase == Phase.GONE


@test("a new instance at an address makes the previous one silent, not the other way round")
def _():
    registry = InstanceRegistry(SILENT_S)
    registry.merge(row("i-1", 9), 0.0)
    registry.merge(row("i-2", 1, service="quay"), 1.0)
    registry.merge(row("i-1", 10), 1.1)  # a late row
    assert registry.records["i-2"].row.phase == Phase.READY


def drain_survives_reuse_of_its_address():
    registry = InstanceRegistry(SILENT_S)
    registry.merge(row("i-1", phase=Phase.DRAINING), 0.0)
    registry.merge(row("i-2", service="quay"), 1.0)
    return phase(registry, "i-1") == Phase.DRAINING


@test("a drain survives another instance at its address, and the seeded defect that loses it is detected")
def _():
    assert drain_survives_reuse_of_its_address()
    with seeded("drain_lost_to_new_instance"):
        assert not drain_survives_reuse_of_its_address()
