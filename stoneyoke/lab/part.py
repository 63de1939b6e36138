"""What every process of the lab is: told what it is on its first line of input, then what happens.

It tells on standard output, writes its part of the ledger to a file, and ends with its input: so nothing
outlives whoever started it.
"""

import asyncio
import inspect
import sys
import time
from pathlib import Path
from typing import Any, Protocol

import msgspec

LAG_S = 0.05  # a part measures so often how late its own event loop is


class Book:
    """One process's part of the ledger: a JSON array a line, its kind first, then us since the start."""

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
            return self.held.append((time.monotonic_ns(), kind, what))
        self.rows.append(self.encode((kind, self.now(), *what)))
        if len(self.rows) >= 500:
            self.flush()
        return None

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


class Role(Protocol):
    """A stand-in, a keeper or a set of links."""

    book: Book

    async def start(self) -> None: ...

    def order(self, order: dict[str, Any]) -> Any:
        """Carries out what is told; may be a coroutine; what it returns is told back."""

    async def end(self) -> None: ...


def say(what: dict[str, Any]) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(what) + b"\n")
    sys.stdout.buffer.flush()


async def serve(role: Role, name: str, lines: asyncio.StreamReader) -> None:
    async def measure() -> None:
        while True:
            due = time.monotonic() + LAG_S
            await asyncio.sleep(LAG_S)
            role.book.add("lag", name, round((time.monotonic() - due) * 1000, 1))
            role.book.flush()

    await role.start()
    measuring = asyncio.create_task(measure())
    say({"ready": name})
    try:
        while line := await lines.readline():
            order = msgspec.json.decode(line)
            if order["do"] == "go":
                role.book.begin(order["at_ns"])
            if order["do"] == "end":
                break
            told = role.order(order)
            if inspect.isawaitable(told):
                told = await told
            if told is not None:
                say(told)
    finally:
        measuring.cancel()
        await role.end()
        role.book.close()
    say({"ended": name})


async def main() -> None:
    from stoneyoke.lab.keeper import Keeper
    from stoneyoke.lab.links import Links
    from stoneyoke.lab.standins import Backends, Counter, Discovery, Front

    roles: dict[str, Any] = {
        "backends": Backends,
        "counter": Counter,
        "discovery": Discovery,
        "front": Front,
        "links": Links,
        "keeper": Keeper,
    }
    lines = asyncio.StreamReader(limit=1 << 28)
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    given = msgspec.json.decode(await lines.readline())
    role = roles[given["kind"]](given, Book(Path(given["ledger"])))
    await serve(role, given["name"], lines)


if __name__ == "__main__":
    asyncio.run(main())
