"""One process's part of the ledger, written as it goes."""

import time
from pathlib import Path
from typing import Any

import msgspec


class LedgerWriter:
    """Writes a JSON array a line, its kind first, then us since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("ab")
        self.rows: list[bytes] = []
        # What is added before the start is written down when that is known: at times under 0
        self.held: list[tuple[int, str, tuple[Any, ...]]] | None = []
        self.started_ns = time.monotonic_ns()
        self.encode = msgspec.json.Encoder().encode

    def now(self) -> int:
        return (time.monotonic_ns() - self.started_ns) // 1000

    def begin(self, at_ns: int) -> None:
        """The start is then, on the monotonic clock."""
        self.started_ns = at_ns
        held, self.held = self.held or [], None
        self.rows += [self.encode((kind, (ns - at_ns) // 1000, *what)) for ns, kind, what in held]
        self.flush()

    def add(self, kind: str, *what: Any) -> None:
        if self.held is not None:
            self.held.append((time.monotonic_ns(), kind, what))
            return
        self.rows.append(self.encode((kind, self.now(), *what)))
        if len(self.rows) >= 500:
            self.flush()
        return

    def flush(self) -> None:
        if self.rows:
            self.file.write(b"\n".join(self.rows) + b"\n")
            self.file.flush()
            self.rows.clear()

    def close(self) -> None:
        if self.held is not None:  # it never began
            self.begin(self.started_ns)
        self.flush()
        self.file.close()
