"""The instances (backends) that one controller knows. State in memory, no I/O.

A controller learns of instances from their own heartbeats and from the rows of other controllers. Two rows of one
instance are merged, and the merge is commutative: the higher `call_seq` wins, a drain is permanent whatever call_seq
a later row has, and GONE wins over everything. So the order in which rows arrive does not matter.

An instance that ended is kept as a tombstone, so that a late row does not bring it back. A row is at most RECORD_TTL_S
old: a record without a heartbeat for that long is neither sent nor kept. The last heartbeat of an instance comes
before its leave, so a tombstone that is kept twice as long (TOMBSTONE_TTL_S) outlives every such row. Of the silent
and the gone instances the MAX_ENDED_RECORDS most recent are kept."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from stoneyoke.api.calls import Heartbeat
from stoneyoke.transport.messages import InstanceRow

RECORD_TTL_S = 60.0  # silent for so long, it is dropped
TOMBSTONE_TTL_S = 2 * RECORD_TTL_S  # so long after it has left its tombstone is dropped
MAX_ENDED_RECORDS = 4096
MAX_SWEEP_AGE_S = 1.0  # nothing is told from a registry that was not swept for longer
PLACEHOLDER_ADDRESS = "0.0.0.0:1"


class Phase(IntEnum):
    READY = 0
    SILENT = 1  # no beat for long; it may be back
    DRAINING = 2
    GONE = 3


@dataclass(slots=True)
class InstanceRecord:
    row: InstanceRow
    last_heard_at: float
    warm_as_of: float  # when warmup_left_s was right
    seq: int = 0  # of this core's news

    def row_at(self, now: float) -> InstanceRow:
        """As it is told now."""
        return self.row._replace(warmup_left_s=max(0.0, self.row.warmup_left_s - (now - self.warm_as_of)))


def row_from_heartbeat(beat: Heartbeat) -> InstanceRow:
    return InstanceRow(
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


def merge_rows(old: InstanceRow, new: InstanceRow) -> InstanceRow:
    """What two tellings of one backend come to; `old` itself where the new one adds nothing."""
    if old.phase == Phase.GONE or new.phase == Phase.GONE:
        return old if old.phase == Phase.GONE else new
    newest = new if new.call_seq > old.call_seq else old
    if Phase.DRAINING in (old.phase, new.phase) and newest.phase != Phase.DRAINING:
        return newest._replace(phase=int(Phase.DRAINING))
    return newest


class InstanceRegistry:
    """silence_timeout_s: without a beat for so long, a record counts as silent."""

    def __init__(self, silence_timeout_s: float) -> None:
        self.silence_timeout_s = silence_timeout_s
        self.records: dict[str, InstanceRecord] = {}  # emptied by sweep()
        self.seq = 0  # rises with each change that others must hear of
        self.swept_at = 0.0

    def changed(self, record: InstanceRecord) -> None:
        self.seq += 1
        record.seq = self.seq

    def merge(self, row: InstanceRow, now: float) -> bool:
        """A beat, or another core's telling of one. Whether it is news for others."""
        record = self.records.get(row.instance)
        if record is None:
            # Told as silent, it has been so for a while: it is not remembered anew with each who hears of it.
            last_heard_at = now - self.silence_timeout_s if row.phase == Phase.SILENT else now
            record = self.records[row.instance] = InstanceRecord(row, last_heard_at, now)
            if row.phase in (Phase.READY, Phase.DRAINING):
                self.silence_previous_owner(row)
            self.changed(record)
            return True
        old = record.row
        row = merge_rows(old, row)
        if row is old:
            return False
        if row.call_seq > old.call_seq or row.phase == Phase.GONE:
            record.last_heard_at = record.warm_as_of = now
        record.row = row
        # A beat that tells nothing new is no news: hundreds come in a second.
        if old._replace(call_seq=0, warmup_left_s=0.0) == row._replace(call_seq=0, warmup_left_s=0.0):
            return False
        self.changed(record)
        return True

    def refresh(self, instance: str, call_seq: int, now: float) -> bool:
        """A beat that tells nothing new, by another core's word. Whether it is news for others: it was silent."""
        record = self.records.get(instance)
        if record is None or record.row.phase == Phase.GONE or call_seq <= record.row.call_seq:
            return False
        phase = Phase.READY if record.row.phase == Phase.SILENT else Phase(record.row.phase)
        return self.merge(record.row_at(now)._replace(call_seq=call_seq, phase=int(phase)), now)

    def leave(self, instance: str, now: float) -> InstanceRow:
        """It has ended; what is told of it later is old."""
        record = self.records.get(instance)
        row = record.row if record else InstanceRow(instance, PLACEHOLDER_ADDRESS, "", "", "", 0, 0, 0, 0.0)
        row = row._replace(phase=int(Phase.GONE))
        self.merge(row, now)
        return row

    def silence_previous_owner(self, row: InstanceRow) -> None:
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
        self.swept_at = now
        for name, record in list(self.records.items()):
            if self.has_expired(record, now):
                del self.records[name]
            elif record.row.phase == Phase.READY and now - record.last_heard_at > self.silence_timeout_s:
                record.row = record.row._replace(phase=int(Phase.SILENT))
                self.changed(record)
        ended = [one for one in self.records.values() if one.row.phase in (Phase.SILENT, Phase.GONE)]
        if len(ended) > MAX_ENDED_RECORDS:
            for record in sorted(ended, key=lambda one: one.last_heard_at)[:-MAX_ENDED_RECORDS]:
                del self.records[record.row.instance]

    def has_expired(self, record: InstanceRecord, now: float) -> bool:
        return now - record.last_heard_at > (TOMBSTONE_TTL_S if record.row.phase == Phase.GONE else RECORD_TTL_S)

    def changes_since(self, seq: int, now: float) -> list[InstanceRow]:
        """What has changed after seq, as it is now: a process that stood still tells nothing from before."""
        if now - self.swept_at > MAX_SWEEP_AGE_S:
            self.sweep(now)
        return [record.row_at(now) for record in self.records.values() if record.seq > seq]

    def rows_of(self, names: Iterable[str], now: float) -> list[InstanceRow]:
        return [self.records[name].row_at(now) for name in names if name in self.records]
