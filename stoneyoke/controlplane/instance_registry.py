"""Berths: the backends as one core knows them, from their own beats and from what other cores tell. Soft state.

Of two tellings of one backend the one with the higher call_seq wins; gone wins over all. So the order in which
cores hear of it does not matter."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from stoneyoke.api.calls import Heartbeat

FORGET_S = 60.0  # gone or silent for so long, it is dropped


class Phase(IntEnum):
    READY = 0
    SILENT = 1  # no beat for long; it may be back
    DRAINING = 2
    GONE = 3


class Row(NamedTuple):
    """A record as it is told between processes; warm_s: how much longer it is slow, at the time of telling."""

    instance: str
    address: str
    service: str
    zone: str
    generation: str
    capacity: int
    phase: int
    call_seq: int
    warm_s: float


@dataclass(slots=True)
class InstanceRecord:
    row: Row
    heard_at: float
    told_at: float  # when warm_s was right
    seq: int = 0  # of this core's news

    def told(self, now: float) -> Row:
        """As it is told now."""
        return self.row._replace(warm_s=max(0.0, self.row.warm_s - (now - self.told_at)))


def row_of(beat: Heartbeat) -> Row:
    return Row(
        beat.instance,
        beat.address,
        beat.service,
        beat.zone,
        beat.generation,
        beat.capacity,
        Phase.DRAINING if beat.draining else Phase.READY,
        beat.call_seq,
        beat.warm_s,
    )


class InstanceRegistry:
    """silent_s: without a beat for so long, a record counts as silent."""

    def __init__(self, silent_s: float) -> None:
        self.silent_s = silent_s
        self.records: dict[str, InstanceRecord] = {}  # emptied by sweep()
        self.seq = 0  # rises with each change that others must hear of

    def changed(self, record: InstanceRecord) -> None:
        self.seq += 1
        record.seq = self.seq

    def hear(self, row: Row, now: float) -> bool:
        """A beat, or another core's telling of one. Whether it is news for others."""
        record = self.records.get(row.instance)
        if record is None:
            record = self.records[row.instance] = InstanceRecord(row, now, now)
            self.evict(row, now)
            self.changed(record)
            return True
        old = record.row
        if old.phase == Phase.GONE or row.phase != Phase.GONE and row.call_seq <= old.call_seq:
            return False
        record.row, record.heard_at, record.told_at = row, now, now
        # A beat that tells nothing new is no news: hundreds come in a second.
        if old._replace(call_seq=0, warm_s=0.0) == row._replace(call_seq=0, warm_s=0.0):
            return False
        self.changed(record)
        return True

    def again(self, instance: str, call_seq: int, now: float) -> bool:
        """A beat that tells nothing new, by another core's word. Whether it is news for others: it was silent."""
        record = self.records.get(instance)
        if record is None or record.row.phase == Phase.GONE or call_seq <= record.row.call_seq:
            return False
        phase = Phase.READY if record.row.phase == Phase.SILENT else record.row.phase
        return self.hear(record.told(now)._replace(call_seq=call_seq, phase=int(phase)), now)

    def leave(self, instance: str, now: float) -> Row:
        """It has ended; what is told of it later is old."""
        record = self.records.get(instance)
        row = record.row if record else Row(instance, "0.0.0.0:1", "", "", "", 0, 0, 0, 0.0)
        row = row._replace(phase=int(Phase.GONE))
        self.hear(row, now)
        return row

    def evict(self, row: Row, now: float) -> None:
        """An address has a new tenant: whoever was there before is silent; one that drained has drained for good."""
        for other in self.records.values():
            if (
                other.row.address == row.address
                and other.row.instance != row.instance
                and (other.row.phase < Phase.DRAINING)
            ):
                other.row = other.row._replace(phase=int(Phase.SILENT))
                self.changed(other)

    def sweep(self, now: float) -> None:
        for name, record in list(self.records.items()):
            quiet = now - record.heard_at
            if quiet > FORGET_S:
                del self.records[name]
            elif quiet > self.silent_s and record.row.phase == Phase.READY:
                record.row = record.row._replace(phase=int(Phase.SILENT))
                self.changed(record)

    def since(self, seq: int, now: float) -> list[Row]:
        """What has changed after seq."""
        return [record.told(now) for record in self.records.values() if record.seq > seq]

    def heard(self, names: Iterable[str], now: float) -> list[Row]:
        return [self.records[name].told(now) for name in names if name in self.records]
