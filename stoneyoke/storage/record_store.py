"""Records on disk: a fresh dbm.dumb for each, under a name never used before, with a digest inside.

dbm.dumb rewrites its index in place, so a live one is never updated: a record is written whole under the next
number, its files and its folder are synced, and only then it counts. A torn one is told by its digest and the one
before it is read (DEPLOY, Disk: after a loss of power later writes are there, missing or torn, and each name made
or removed since the folder's last sync is kept or lost by itself).

What `load` gives is never older than the newest record whose `save` returned, nor than what an earlier `load` gave:

* Numbers rise within a process, and a start goes on above the highest name that it sees. A name that it does not see,
  because it was removed, can come back only until the next sync of the folder, and no `save` returns without one.
* A record that was found after a kill may not be on the disk yet: `load` syncs it before it gives it.
* Only what is missing or torn is passed over. A record that can't be read (no descriptor left, a read error) fails
  the `load`, since the one before it would be too old.
* A record is removed only when a newer one is synced, names included."""

import contextlib
import dbm.dumb
import errno
import os
import re
import threading
from hashlib import blake2b

PARTS = (".dat", ".dir", ".bak")
SYNCED_PARTS = (".dat", ".dir")
RECORDS_KEPT = 3  # of each family: the newest and those before it
FORMAT = b"1"
NO_SPACE = frozenset({errno.ENOSPC, errno.EDQUOT})
# Opening or seeking fails so where a file is missing, is none, or its index tells of no place in it.
TORN_ERRORS = frozenset({errno.ENOENT, errno.EISDIR, errno.ENOTDIR, errno.EINVAL})
RECORD_FILE = re.compile(r"([a-z]+)-(0|[1-9][0-9]*)(\.dat|\.dir|\.bak)").fullmatch


class StorageError(Exception):
    """A record could not be written or read: the disk refuses, or is full."""


class TornRecord(StorageError):
    """A record is not whole; its `save` never returned."""


def record_digest(record: dict[bytes, bytes]) -> bytes:
    sums = blake2b(digest_size=16)
    for name in sorted(record):
        sums.update(b"%d:%d:" % (len(name), len(record[name])) + name + record[name])
    return sums.digest()


class RecordStore:
    """A folder of records in families, for one process at a time. Every method blocks while the disk does; of calls in
    several threads each waits for the one before it, and the newest is the one that was called last."""

    def __init__(self, folder: str) -> None:
        self.folder = folder
        os.makedirs(folder, exist_ok=True)
        self.next_number = 1 + max((number for _, number, _ in self.record_files()), default=0)
        self.whole_numbers: dict[str, list[int]] = {}  # by family: numbers known to be whole and synced, the last few
        self.number_lock, self.disk_lock = threading.Lock(), threading.Lock()

    def record_files(self) -> list[tuple[str, int, str]]:
        """Family, number and file name of all that is here."""
        found = []
        for name in os.listdir(self.folder):
            if match := RECORD_FILE(name):
                found.append((match[1], int(match[2]), name))
        return found

    def numbers_of(self, family: str) -> list[int]:
        """Of all files of a family, whole or not; the newest first."""
        return sorted({number for name, number, _ in self.record_files() if name == family}, reverse=True)

    def base_path(self, family: str, number: int) -> str:
        return os.path.join(self.folder, f"{family}-{number}")

    # ---- writing ----

    def save(self, family: str, record: dict[bytes, bytes]) -> None:
        """Written and synced, names and folder too, when this returns. Raises StorageError: then a later `load` may
        give this record or the one before it."""
        with self.number_lock:
            number, self.next_number = self.next_number, self.next_number + 1
        with self.disk_lock:
            try:
                self.write_record(family, number, record)
            except OSError as bad:
                self.remove_record(family, number)
                raise StorageError(f"{family}-{number} could not be written: {bad}") from bad
            self.whole_numbers[family] = sorted([*self.whole_numbers.get(family, ()), number])[-RECORDS_KEPT:]
            self.remove_old_records(family)

    def write_record(self, family: str, number: int, record: dict[bytes, bytes]) -> None:
        """A full disk gets a second try, with no more on it than is needed."""
        try:
            self.write_files(family, number, record)
            self.sync_record(family, number)
        except OSError as bad:
            if bad.errno not in NO_SPACE:
                raise
            self.remove_record(family, number)
            self.free_space()
            self.write_files(family, number, record)
            self.sync_record(family, number)

    def write_files(self, family: str, number: int, record: dict[bytes, bytes]) -> None:
        base = self.base_path(family, number)
        with dbm.dumb.open(base, "n") as base_file:
            for name, value in (record | {b"\x00digest": record_digest(record), b"\x00format": FORMAT}).items():
                base_file[name] = value
        self.remove_file(base + ".bak")

    def sync_record(self, family: str, number: int) -> None:
        for part in SYNCED_PARTS:
            self.sync_path(self.base_path(family, number) + part)
        self.sync_path(self.folder)

    def sync_path(self, path: str) -> None:
        descriptor = os.open(path, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    # ---- reading ----

    def load(self, family: str) -> tuple[dict[bytes, bytes] | None, list[str]]:
        """The newest record that is whole, and what was wrong with those after it. Raises StorageError where it can't
        be told which that is, or the disk does not confirm it: what a killed process wrote may not be synced yet."""
        wrong: list[str] = []
        with self.disk_lock:
            try:
                for number in self.numbers_of(family):
                    try:
                        record = self.read_record(family, number)
                    except TornRecord as bad:
                        wrong.append(str(bad))
                        continue
                    if number not in self.whole_numbers.get(family, ()):
                        self.sync_record(family, number)
                        self.whole_numbers[family] = [number]
                    return record, wrong
            except OSError as bad:
                raise StorageError(f"{family} could not be loaded: {bad}") from bad
        return None, wrong

    def read_record(self, family: str, number: int) -> dict[bytes, bytes]:
        """Raises TornRecord where the record is not whole, StorageError where that can't be told."""
        try:
            with dbm.dumb.open(self.base_path(family, number), "r") as base_file:
                record = {bytes(name): base_file[name] for name in base_file.keys()}  # type: ignore[arg-type]
        except Exception as bad:  # a torn index is read as Python source: whatever that raises, it is torn
            if isinstance(bad, MemoryError) or isinstance(bad, OSError) and bad.errno not in TORN_ERRORS:
                raise StorageError(f"{family}-{number} could not be read: {bad}"[:200]) from bad
            raise TornRecord(f"{family}-{number} is torn: {bad}"[:200]) from bad
        told, form = record.pop(b"\x00digest", b""), record.pop(b"\x00format", b"")
        if told != record_digest(record) or form != FORMAT:
            raise TornRecord(f"{family}-{number} is torn: its digest or format is another")
        return record

    # ---- removing ----

    def remove_old_records(self, family: str) -> None:
        """Drops all but the last few, with what failed or came back. Names removed need no sync: at worst they come
        back, under lower numbers. Only called with a good record in the family."""
        newest = self.whole_numbers[family][-1]
        with contextlib.suppress(OSError):
            for number in self.numbers_of(family):
                if number < newest and number not in self.whole_numbers[family]:
                    self.remove_record(family, number)

    def free_space(self) -> None:
        """Of each family that was kept or loaded here the newest good record stays, alone."""
        for family, numbers in self.whole_numbers.items():
            self.whole_numbers[family] = numbers[-1:]
            self.remove_old_records(family)

    def remove_record(self, family: str, number: int) -> None:
        for part in PARTS:
            self.remove_file(self.base_path(family, number) + part)

    def remove_file(self, path: str) -> None:
        with contextlib.suppress(OSError):
            os.remove(path)
