"""The instances (backends) that one controller knows. State in memory, no I/O.

A controller learns of instances from their own heartbeats and from the rows of other controllers. Two rows of one
instance are merged, and the merge is commutative: the higher `call_seq` wins, a drain is permanent whatever call_seq
a later row has, and GONE wins over everything. So the order in which rows arrive does not matter.

The record of an instance that left becomes a tombstone, so that a late row does not restore the instance. A row is at
most RECORD_TTL_S old: a record without a heartbeat for that long is removed and no longer sent. An instance sends its
last heartbeat before its leave, so a tombstone that exists twice as long (TOMBSTONE_TTL_S) outlives every such row. Of
the records of silent and gone instances only the MAX_ENDED_RECORDS most recent are retained.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from stoneyoke.api.calls import Heartbeat
from stoneyoke.transport.messages import InstanceRow

RECORD_TTL_S = 60.0  # a record without a heartbeat for this many seconds is removed
TOMBSTONE_TTL_S = 2 * RECORD_TTL_S  # the tombstone of an instance that left is removed after this many seconds
MAX_ENDED_RECORDS = 4096  # how many records of silent and gone instances are retained
MAX_SWEEP_AGE_S = 1.0  # if the last sweep is older, the registry is swept before rows are sent
PLACEHOLDER_ADDRESS = "0.0.0.0:1"  # address of an instance whose leave arrived before any heartbeat


class Phase(IntEnum):
    """The lifecycle state of an instance. The numbers are sent between processes.

    READY: it takes requests. It becomes SILENT without a heartbeat for the silence timeout, or if another instance
    appears at its address.
    SILENT: no heartbeat for the silence timeout. A heartbeat that reports it as ready makes it READY again.
    DRAINING: it takes no new requests. This state is permanent, only GONE can follow.
    GONE: it left. This state is permanent; the record is a tombstone.
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
    warmup_measured_at: float  # the time at which row.warmup_left_s was correct
    seq: int = 0  # the registry's change number when this record last changed

    def row_at(self, now: float) -> InstanceRow:
        """Returns the row to send at `now`, with the warm-up time that is left then."""
        return self.row._replace(warmup_left_s=max(0.0, self.row.warmup_left_s - (now - self.warmup_measured_at)))


def row_from_heartbeat(heartbeat: Heartbeat) -> InstanceRow:
    """Returns the row of an instance's own heartbeat."""
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
    """Returns the merge of two rows of one instance; `old` itself if `new` changes nothing."""
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
            silence_timeout_s: a ready instance without a heartbeat for this many seconds becomes SILENT.
        """
        self.silence_timeout_s = silence_timeout_s
        self.records: dict[str, InstanceRecord] = {}  # by instance; sweep() bounds their number
        self.seq = 0  # the change number; rises with each change that pulls must deliver
        self.swept_at = 0.0

    def merge(self, row: InstanceRow, now: float) -> bool:
        """Merges the row of a heartbeat that this or another controller received.

        Returns:
            Whether this is a change that gateways and other controllers need to receive.
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
        # Hundreds of heartbeats arrive each second. One that differs only in call_seq and warm-up is not a change.
        if old._replace(call_seq=0, warmup_left_s=0.0) == row._replace(call_seq=0, warmup_left_s=0.0):
            return False
        self._mark_changed(record)
        return True

    def refresh(self, instance: str, call_seq: int, now: float) -> bool:
        """Applies a heartbeat that another controller received and that repeats the row known here.

        Returns:
            Whether this is a change, which it is if the instance was silent.
        """
        record = self.records.get(instance)
        if record is None or record.row.phase == Phase.GONE or call_seq <= record.row.call_seq:
            return False
        phase = Phase.READY if record.row.phase == Phase.SILENT else Phase(record.row.phase)
        return self.merge(record.row_at(now)._replace(call_seq=call_seq, phase=int(phase)), now)

    def leave(self, instance: str, now: float) -> InstanceRow:
        """Marks an instance as GONE, whether known or not, and returns its tombstone's row."""
        record = self.records.get(instance)
        row = record.row if record else InstanceRow(instance, PLACEHOLDER_ADDRESS, "", "", "", 0, 0, 0, 0.0)
        row = row._replace(phase=int(Phase.GONE))
        self.merge(row, now)
        return row

    def silence_previous_owner(self, row: InstanceRow) -> None:
        """Marks the ready instances at the address of a new instance as SILENT. Draining ones stay DRAINING."""
        for other in self.records.values():
            same_address = other.row.address == row.address and other.row.instance != row.instance
            if same_address and other.row.phase < Phase.DRAINING:
                other.row = other.row._replace(phase=int(Phase.SILENT))
                self._mark_changed(other)

    def sweep(self, now: float) -> None:
        """Removes expired records, marks timed-out instances as SILENT, and bounds the number of ended records."""
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
        """Returns the rows that changed after change number `seq`.

        Sweeps first if the last sweep is old: a process that was suspended must not send an instance as ready if it
        has received no heartbeat of it since.
        """
        if now - self.swept_at > MAX_SWEEP_AGE_S:
            self.sweep(now)
        return [record.row_at(now) for record in self.records.values() if record.seq > seq]

    def rows_of(self, names: Iterable[str], now: float) -> list[InstanceRow]:
        """Returns the rows of the named instances, without those that are unknown."""
        return [self.records[name].row_at(now) for name in names if name in self.records]

    def _add(self, row: InstanceRow, now: float) -> None:
        # The instance of a row that arrives as SILENT has been silent for the silence timeout already. If that time
        # didn't count, controllers would prolong each other's records of a silent instance.
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
