"""Records on disk that survive crashes and power losses.

Each record is a separate `dbm.dumb` database, with a name that was never used before. `dbm.dumb` rewrites its index in
place, so a valid record is never updated: a new one is written completely with the next number, its files and the
folder are synced, and only then is it the current one. A torn record is recognized by its digest, and the previous
record is read instead.

After a power loss everything that was synced is intact. Later writes to a file are present, missing or torn. Each name
that was created or removed since the folder's last sync is independently present or missing (DEPLOY, Disk).

What `load` returns is never older than the newest record whose `save` returned, nor than what an earlier `load`
returned. The reasons:

* Numbers rise within a process, and a new process continues above the highest number that it finds. A name that it
  doesn't find, because it was removed, can reappear only until the next sync of the folder, and no `save` returns
  without one.
* A record that is found after a crash may not be on the disk yet. `load` syncs it before returning it.
* Only a record that is missing or torn is skipped. One that can't be read (no descriptor left, a read error) fails the
  `load`, since the previous record would be too old.
* A record is removed only when a newer one is synced, including its names.
"""

import contextlib
import errno
import os
import threading
from typing import NamedTuple

from stoneyoke.storage.errors import RecordNotRead, RecordNotWritten, TornRecord
from stoneyoke.storage.record_file import (
    BACKUP,
    DATA,
    INDEX,
    Record,
    RecordFile,
    list_record_files,
    read_data_and_index,
    record_name,
    write_data_and_index,
)

RETAINED_RECORDS = 3
"""How many records of each family are retained: the newest and those before it."""
NO_SPACE_ERRORS = frozenset({errno.ENOSPC, errno.EDQUOT})


class LoadedRecord(NamedTuple):
    """The result of `load`.

    Attributes:
        record: The newest whole record; None if there is none.
        torn: The error of each torn record that is newer, the newest first.
    """

    record: Record | None
    torn: list[str]


class RecordStore:
    """A folder of records in families, for one process at a time.

    Every method blocks for as long as the disk does. Calls of several threads run one after another. The newest record
    is the one whose `save` was called last, even if an earlier call waited longer for the disk.

    Attributes:
        folder: Path of the folder.
        next_number: Number of the next record, which all families share.
        whole_numbers: By family, the numbers of the last few records that are known to be whole and synced.
    """

    def __init__(self, folder: str) -> None:
        """Opens a folder, which is created if it doesn't exist."""
        self.folder = folder
        os.makedirs(folder, exist_ok=True)
        self.next_number = 1 + max((file.number for file in self.record_files()), default=0)
        self.whole_numbers: dict[str, list[int]] = {}
        self.number_lock, self.disk_lock = threading.Lock(), threading.Lock()

    def record_files(self) -> list[RecordFile]:
        """Returns the files of all records, whole or torn."""
        return list_record_files(self.folder)

    def record_numbers(self, family: str) -> list[int]:
        """Returns the numbers of all records of a family, whole or torn; the newest first."""
        return sorted({file.number for file in self.record_files() if file.family == family}, reverse=True)

    def base_path(self, family: str, number: int) -> str:
        """Returns the path of a record's files without their suffixes."""
        return os.path.join(self.folder, record_name(family, number))

    # ---- writing ----

    def save(self, family: str, record: Record) -> None:
        """Writes a record. Its files, their names and the folder are synced when this returns.

        Raises:
            RecordNotWritten: The write failed. A later `load` may return this record or the previous one.
        """
        with self.number_lock:  # taken before waiting for the disk, so that the last call gets the highest number
            number, self.next_number = self.next_number, self.next_number + 1
        with self.disk_lock:
            try:
                self.write_record(family, number, record)
            except OSError as error:
                self.remove_record(family, number)
                raise RecordNotWritten(record_name(family, number), error) from error
            self.whole_numbers[family] = sorted([*self.whole_numbers.get(family, ()), number])[-RETAINED_RECORDS:]
            self.remove_old_records(family)

    def write_record(self, family: str, number: int, record: Record) -> None:
        """Writes and syncs a record. If the disk is full, frees all space that it can and retries. Raises OSError."""
        try:
            self.write_and_sync(family, number, record)
        except OSError as error:
            if error.errno not in NO_SPACE_ERRORS:
                raise
            self.remove_record(family, number)
            self.free_space()
            self.write_and_sync(family, number, record)

    def write_and_sync(self, family: str, number: int, record: Record) -> None:
        """Writes a record's files and makes them durable. Raises OSError."""
        self.write_files(family, number, record)
        self.sync_record(family, number)

    def write_files(self, family: str, number: int, record: Record) -> None:
        """Writes a record's files without syncing them. Raises OSError."""
        path = self.base_path(family, number)
        write_data_and_index(path, record)
        self.remove_file(path + BACKUP)

    def sync_record(self, family: str, number: int) -> None:
        """Syncs a record's files, then the folder with their names. Raises OSError."""
        for suffix in (DATA, INDEX):
            self.sync_path(self.base_path(family, number) + suffix)
        self.sync_path(self.folder)

    def sync_path(self, path: str) -> None:
        """Syncs a file, or the names in a folder. Raises OSError."""
        descriptor = os.open(path, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    # ---- reading ----

    def load(self, family: str) -> LoadedRecord:
        """Returns the newest whole record of a family.

        Raises:
            RecordNotRead: A record can't be read, so that the newest whole one is unknown; or that one can't be synced,
                which it must be, since a killed process may have written it without a sync.
        """
        torn: list[str] = []
        with self.disk_lock:
            try:
                for number in self.record_numbers(family):
                    try:
                        record = self.read_record(family, number)
                    except TornRecord as error:
                        torn.append(str(error))
                        continue
                    self.confirm(family, number)
                    return LoadedRecord(record, torn)
            except OSError as error:
                raise RecordNotRead(family, error) from error
        return LoadedRecord(None, torn)

    def read_record(self, family: str, number: int) -> Record:
        """Returns one record. Raises TornRecord if it isn't whole, RecordNotRead if that is unknown."""
        return read_data_and_index(self.base_path(family, number))

    def confirm(self, family: str, number: int) -> None:
        """Syncs a whole record unless this process knows that it is synced. Raises OSError."""
        if number not in self.whole_numbers.get(family, ()):
            self.sync_record(family, number)
            self.whole_numbers[family] = [number]

    # ---- removing ----

    def remove_old_records(self, family: str) -> None:
        """Removes all records but the last few whole ones: also torn ones and those whose names reappeared.

        The family has to have a whole record. The removals need no sync: at worst the names reappear, with lower
        numbers than the current record.
        """
        newest = self.whole_numbers[family][-1]
        with contextlib.suppress(OSError):
            for number in self.record_numbers(family):
                if number < newest and number not in self.whole_numbers[family]:
                    self.remove_record(family, number)

    def free_space(self) -> None:
        """Removes all records but the newest whole one, in each family that this process saved or loaded."""
        for family, numbers in self.whole_numbers.items():
            self.whole_numbers[family] = numbers[-1:]
            self.remove_old_records(family)

    def remove_record(self, family: str, number: int) -> None:
        """Removes a record's files; ignores errors."""
        for suffix in (DATA, INDEX, BACKUP):
            self.remove_file(self.base_path(family, number) + suffix)

    def remove_file(self, path: str) -> None:
        """Removes a file; ignores errors, such as that it doesn't exist."""
        with contextlib.suppress(OSError):
            os.remove(path)
