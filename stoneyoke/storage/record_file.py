"""The files of one record: a `dbm.dumb` database of its fields, with a digest that shows whether it is whole."""

import dbm.dumb
import errno
import os
import re
from hashlib import blake2b
from typing import NamedTuple

from stoneyoke.storage.errors import RecordNotRead, TornRecord

Record = dict[bytes, bytes]

DATA, INDEX, BACKUP = ".dat", ".dir", ".bak"
DIGEST_FIELD, FORMAT_FIELD = b"\x00digest", b"\x00format"
FORMAT = b"1"
DIGEST_BYTES = 16
MAX_REASON_CHARS = 200
"""Bounds an error's reason, since the error that a torn index causes quotes that index, which may be long."""

# Errors of opening or seeking if a file is missing or is a folder, or if the index has an offset outside of the data.
TORN_ERRORS = frozenset({errno.ENOENT, errno.EISDIR, errno.ENOTDIR, errno.EINVAL})
match_file_name = re.compile(r"([a-z]+)-(0|[1-9][0-9]*)(\.dat|\.dir|\.bak)").fullmatch


class RecordFile(NamedTuple):
    """One file of a record.

    Attributes:
        family: The record's family.
        number: The record's number.
        name: The file's name in the folder.
    """

    family: str
    number: int
    name: str


def list_record_files(folder: str) -> list[RecordFile]:
    """Returns the files of all records in a folder, whole or torn, without other files."""
    matches = (match_file_name(name) for name in os.listdir(folder))
    return [RecordFile(match[1], int(match[2]), match[0]) for match in matches if match]


def record_name(family: str, number: int) -> str:
    """Returns a record's name, to which its files add their suffixes."""
    return f"{family}-{number}"


def record_digest(record: Record) -> bytes:
    """Returns the digest of a record's fields, which doesn't depend on their order."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    for name in sorted(record):
        digest.update(b"%d:%d:" % (len(name), len(record[name])) + name + record[name])
    return digest.digest()


def write_data_and_index(path: str, record: Record) -> None:
    """Writes a record's files without syncing them. Raises OSError."""
    with dbm.dumb.open(path, "n") as fields:
        for name, value in (record | {DIGEST_FIELD: record_digest(record), FORMAT_FIELD: FORMAT}).items():
            fields[name] = value


def read_data_and_index(path: str) -> Record:
    """Reads a record's files.

    Raises:
        TornRecord: The record isn't whole.
        RecordNotRead: The record can't be read, so it is unknown whether it is whole: no file descriptor is left, no
            memory is left, or the disk fails to read.
    """
    name = os.path.basename(path)
    try:
        with dbm.dumb.open(path, "r") as fields:
            record = {field: fields[field] for field in fields}
    except Exception as error:  # dbm.dumb evaluates a torn index as Python source, which may raise anything
        reason = str(error)[:MAX_REASON_CHARS]
        if isinstance(error, MemoryError) or isinstance(error, OSError) and error.errno not in TORN_ERRORS:
            raise RecordNotRead(name, reason) from error
        raise TornRecord(name, reason) from error
    digest, form = record.pop(DIGEST_FIELD, b""), record.pop(FORMAT_FIELD, b"")
    if digest != record_digest(record) or form != FORMAT:
        raise TornRecord(name, "its digest or its format doesn't match")
    return record
