"""Records on disk: a fresh dbm.dumb for each, under a name never used before, with a digest inside.

dbm.dumb rewrites its index in place, so a live one is never updated: a record is written whole under the next
number, its files and its folder are synced, and only then it counts. A torn one is told by its digest and the one
before it is read (DEPLOY, Disk: after a loss of power later writes are there, missing or torn)."""

import contextlib
import dbm.dumb
import os
import re
from hashlib import blake2b

PARTS = (".dat", ".dir", ".bak")
KEPT = 3  # of each family: the newest and those before it
FORMAT = b"1"


class StorageError(Exception):
    """A record could not be written: the disk refuses, or is full."""


def digest(record: dict[bytes, bytes]) -> bytes:
    sums = blake2b(digest_size=16)
    for name in sorted(record):
        sums.update(b"%d:%d:" % (len(name), len(record[name])) + name + record[name])
    return sums.digest()


class RecordStore:
    """A folder of records in families. Every method blocks while the disk does."""

    def __init__(self, folder: str) -> None:
        self.folder = folder
        os.makedirs(folder, exist_ok=True)
        self.next = 1 + max((number for _, number, _ in self.files()), default=0)

    def files(self) -> list[tuple[str, int, str]]:
        """Family, number and file name of all that is here."""
        found = []
        for name in os.listdir(self.folder):
            if match := re.fullmatch(r"([a-z]+)-([0-9]+)(\.dat|\.dir|\.bak)", name):
                found.append((match[1], int(match[2]), name))
        return found

    def keep(self, family: str, record: dict[bytes, bytes]) -> None:
        """Written and synced, names and folder too, when this returns. Raises StorageError."""
        number, self.next = self.next, self.next + 1
        base = os.path.join(self.folder, f"{family}-{number}")
        try:
            with dbm.dumb.open(base, "n") as base_file:
                for name, value in (record | {b"\x00digest": digest(record), b"\x00format": FORMAT}).items():
                    base_file[name] = value
            for part in (".dat", ".dir"):
                self.sync(base + part)
            self.sync(self.folder)
        except (OSError, dbm.dumb.error) as bad:
            self.drop(family, number)
            raise StorageError(f"{family}-{number} could not be written: {bad}") from bad
        self.tidy(family)

    def sync(self, path: str) -> None:
        descriptor = os.open(path, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def load(self, family: str) -> tuple[dict[bytes, bytes] | None, list[str]]:
        """The newest record that is whole, and what was wrong with those after it."""
        wrong: list[str] = []
        for number in sorted({n for name, n, _ in self.files() if name == family}, reverse=True):
            try:
                return self.read(family, number), wrong
            except StorageError as bad:
                wrong.append(str(bad))
        return None, wrong

    def read(self, family: str, number: int) -> dict[bytes, bytes]:
        """Raises StorageError where the record is torn."""
        base = os.path.join(self.folder, f"{family}-{number}")
        try:
            with dbm.dumb.open(base, "r") as base_file:
                record = {bytes(name): base_file[name] for name in base_file.keys()}  # type: ignore[arg-type]
        except Exception as bad:  # a torn index is read as Python source: whatever that raises, it is torn
            raise StorageError(f"{family}-{number} is torn: {bad}"[:200]) from bad
        told, form = record.pop(b"\x00digest", b""), record.pop(b"\x00format", b"")
        if told != digest(record) or form != FORMAT:
            raise StorageError(f"{family}-{number} is torn: its digest or format is another")
        return record

    def tidy(self, family: str) -> None:
        """Drops what is older than the last few. Names removed need no sync: at worst they come back."""
        numbers = sorted({n for name, n, _ in self.files() if name == family})
        for number in numbers[:-KEPT]:
            self.drop(family, number)

    def drop(self, family: str, number: int) -> None:
        for part in PARTS:
            with contextlib.suppress(OSError):
                os.remove(os.path.join(self.folder, f"{family}-{number}{part}"))
