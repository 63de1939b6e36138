"""Writes one process's file of the ledger during the run."""

import time
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

MAX_UNWRITTEN_ROWS = 500


class EarlyRow(NamedTuple):
    """A row that was added before the run's start is known, with its time on the monotonic clock."""

    at_ns: int
    kind: str
    fields: tuple[Any, ...]


class LedgerWriter:
    """Writes rows as JSON arrays, one per line: the kind, microseconds since the run's start, and the fields.

    Rows that are added before the start is known are buffered, and written with negative times if they precede it.
    """

    def __init__(self, path: Path) -> None:
        """Opens the file; rows are appended.

        Args:
            path: The path of the file.
        """
        self._file = path.open("ab")
        self._unwritten: list[bytes] = []
        self._early_rows: list[EarlyRow] | None = []  # None once the start is known
        self._started_ns = time.monotonic_ns()
        self._encode = msgspec.json.Encoder().encode

    def now_us(self) -> int:
        """Returns the microseconds since the run's start."""
        return (time.monotonic_ns() - self._started_ns) // 1000

    def begin(self, at_ns: int) -> None:
        """Sets the run's start on the monotonic clock."""
        self._started_ns = at_ns
        early_rows, self._early_rows = self._early_rows or [], None
        for row in early_rows:
            self._unwritten.append(self._encode((row.kind, (row.at_ns - at_ns) // 1000, *row.fields)))
        self.flush()

    def add(self, kind: str, *fields: Any) -> None:
        """Adds a row with the current time; see ledger_rows for the kinds."""
        if self._early_rows is not None:
            self._early_rows.append(EarlyRow(time.monotonic_ns(), kind, fields))
            return
        self._unwritten.append(self._encode((kind, self.now_us(), *fields)))
        if len(self._unwritten) >= MAX_UNWRITTEN_ROWS:
            self.flush()

    def flush(self) -> None:
        """Writes the rows that are not yet in the file, once the run's start is known."""
        if self._unwritten:
            self._file.write(b"\n".join(self._unwritten) + b"\n")
            self._file.flush()
            self._unwritten.clear()

    def close(self) -> None:
        """Writes all rows and closes the file."""
        if self._early_rows is not None:  # the run never started
            self.begin(self._started_ns)
        self.flush()
        self._file.close()
