"""The instances (backends) that one controller knows. State in memory, no I/O.

A controller learns of instances from their own heartbeats and from the rows of other controllers. Two rows of one
instance are merged, and the merge is commutative: the higher `call_seq` wins, a drain is permanent whatever call_seq
a later row has, and GONE wins over everything. So the order in which rows arrive does not matter.

An instance that ended is kept as a tombstone, so that a late row does not bring it back. A row is at most RECORD_TTL_S
old: a record without a heartbeat for that long is neither sent nor kept. The last heartbeat of an instance comes
before its leave, so a tombstone that is kept twice as long (TOMBSTONE_TTL_S) outlives every such row. Of the silent
and the gone instances the MAX_ENDED_RECORDS most recent are kept.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from stoneyoke.api.calls import Heartbeat
from stoneyoke.transport.messages import InstanceRow

RECORD_TTL_S = 60.0  # a record without a heartbeat for this long is dropped
TOMBSTONE_TTL_S = 2 * RECORD_TTL_S  # how long an instance that left is remembered
MAX_ENDED_RECORDS = 4096  # silent and gone records that are kept
MAX_SWEEP_AGE_S = 1.0  # no row is sent from a registry whose last sweep is older
PLACEHOLDER_ADDRESS = "0.0.0.0:1"  # of an instance that left before any heartbeat of it arrived


class Phase(IntEnum):
    """Where an instance is in its life. The numbers are sent between processes.

    READY: it takes requests. A heartbeat that says so leads out of SILENT; no heartbeat for the silence timeout, or
    another instance at its address, leads to SILENT.
    SILENT: no heartbeat for the silence timeout; it may come back.
    DRAINING: it takes no new requests; permanent, only GONE follows.
    GONE: it left; permanent, kept as a tombstone.
    """

    READY = 0
    SILENT = 1
    DRAINING = 2
    GONE = 3


@dataclass(slots=True)
class InstanceRecord:
    """One instance in a registry. Times are seconds of the controller's clock."""

    row: InstanceRow
    last_heartbeat_at: float
    warmup_measured_at: float  # the time at which row.warmup_left_s was right
    seq: int = 0  # the registry's change number when this record last changed

    def row_at(self, now: float) -> InstanceRow:
        """The row to send at `now`, with the warm-up time that is left then."""
        return self.row._replace(warmup_left_s=max(0.0, self.row.warmup_left_s - (now - self.warmup_measured_at)))


def row_from_heartbeat(heartbeat: Heartbeat) -> InstanceRow:
    """The row that an instance's own heartbeat states."""
    return InstanceRow(
        instance=heartbeat.instance,
        address=heartbeat.address,
        service=heartbeat.service,
        zone=heartbeat.zone,
        generation=heartbeat.generation,
        capacity=heartbeat.capacity,
        phase=Phase.DRAINING if heartbeat.draining else Phase.READY,
        call_seq=heartbeat.call_seq,
        warmup_left_s=heartbeat.warmup_left_s,
    )


def merge_rows(old: InstanceRow, new: InstanceRow) -> InstanceRow:
    """The merge of two rows of one instance; `old` itself if `new` adds nothing."""
    if old.phase == Phase.GONE or new.phase == Phase.GONE:
        return old if old.phase == Phase.GONE else new
    newest = new if new.call_seq > old.call_seq else old
    if Phase.DRAINING in (old.phase, new.phase) and newest.phase != Phase.DRAINING:
        return newest._replace(phase=int(Phase.DRAINING))
    return newest


class InstanceRegistry:
    """The records of one controller, with a change number that pulls refer to."""

    def __init__(self, silence_timeout_s: float) -> None:
        """Starts without records.

        Args:
            silence_timeout_s: a ready instance without a heartbeat for this long becomes SILENT.
        """
        self.silence_timeout_s = silence_timeout_s
        self.records: dict[str, InstanceRecord] = {}  # by instance; bounded by sweep()
        self.seq = 0  # rises with each change that pulls must deliver
        self.swept_at = 0.0

    def merge(self, row: InstanceRow, now: float) -> bool:
        """Takes the row of a heartbeat, received here or by another controller.

        Returns:
            Whether gateways and other controllers need to learn of it.
        """
        record = self.records.get(row.instance)
        if record is None:
            self._add(row, now)
            return True
        old = record.row
        row = merge_rows(old, row)
        if row is old:
            return False
        if row.call_seq > old.call_seq or row.phase == Phase.GONE:
            record.last_heartbeat_at = record.warmup_measured_at = now
        record.row = row
        # Hundreds of heartbeats arrive each second. One that differs in call_seq and warm-up alone is not a change.
        if old._replace(call_seq=0, warmup_left_s=0.0) == row._replace(call_seq=0, warmup_left_s=0.0):
            return False
        self._mark_changed(record)
        return True

    def refresh(self, instance: str, call_seq: int, now: float) -> bool:
        """Takes a heartbeat that another controller received and that repeats the known row.

        Returns:
            Whether it is a change: the instance was silent.
        """
        record = self.records.get(instance)
        if record is None or record.row.phase == Phase.GONE or call_seq <= record.row.call_seq:
            return False
        phase = Phase.READY if record.row.phase == Phase.SILENT else Phase(record.row.phase)
        return self.merge(record.row_at(now)._replace(call_seq=call_seq, phase=int(phase)), now)

    def leave(self, instance: str, now: float) -> InstanceRow:
        """Marks an instance as gone, known or not, and returns its tombstone's row."""
        record = self.records.get(instance)
        row = record.row if record else InstanceRow(instance, PLACEHOLDER_ADDRESS, "", "", "", 0, 0, 0, 0.0)
        row = row._replace(phase=int(Phase.GONE))
        self.merge(row, now)
        return row

    def silence_previous_owner(self, row: InstanceRow) -> None:
        """Marks as SILENT the ready instances that were at the address of a new one. A drain stays a drain."""
        for other in self.records.values():
            same_address = other.row.address == row.address and other.row.instance != row.instance
            if same_address and other.row.phase < Phase.DRAINING:
                other.row = other.row._replace(phase=int(Phase.SILENT))
                self._mark_changed(other)

    def sweep(self, now: float) -> None:
        """Drops expired records, marks instances as SILENT, and bounds the number of ended records."""
        self.swept_at = now
        for name, record in list(self.records.items()):
            if _has_expired(record, now):
                del self.records[name]
            elif record.row.phase == Phase.READY and now - record.last_heartbeat_at > self.silence_timeout_s:
                record.row = record.row._replace(phase=int(Phase.SILENT))
                self._mark_changed(record)
        ended = [record for record in self.records.values() if record.row.phase in (Phase.SILENT, Phase.GONE)]
        if len(ended) > MAX_ENDED_RECORDS:
            for record in sorted(ended, key=lambda record: record.last_heartbeat_at)[:-MAX_ENDED_RECORDS]:
                del self.records[record.row.instance]

    def changes_since(self, seq: int, now: float) -> list[InstanceRow]:
        """The rows that changed after change number `seq`.

        Sweeps first if the last sweep is old: a process that was suspended must not send instances as ready that it
        has not heard of since.
        """
        if now - self.swept_at > MAX_SWEEP_AGE_S:
            self.sweep(now)
        return [record.row_at(now) for record in self.records.values() if record.seq > seq]

    def rows_of(self, names: Iterable[str], now: float) -> list[InstanceRow]:
        """The rows of those of the named instances that are known."""
        return [self.records[name].row_at(now) for name in names if name in self.records]

    def _add(self, row: InstanceRow, now: float) -> None:
        # A row that arrives as SILENT has been silent for a while already. Counting that time as past keeps
        # controllers from prolonging each other's memory of a silent instance.
        last_heartbeat_at = now - self.silence_timeout_s if row.phase == Phase.SILENT else now
        record = self.records[row.instance] = InstanceRecord(row, last_heartbeat_at, now)
        if row.phase in (Phase.READY, Phase.DRAINING):
            self.silence_previous_owner(row)
        self._mark_changed(record)

    def _mark_changed(self, record: InstanceRecord) -> None:
        self.seq += 1
        record.seq = self.seq


def _has_expired(record: InstanceRecord, now: float) -> bool:
    ttl_s = TOMBSTONE_TTL_S if record.row.phase == Phase.GONE else RECORD_TTL_S
    return now - record.last_heartbeat_at > ttl_s
