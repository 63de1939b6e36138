"""A process of the laboratory: told what it is on its first line of input, then what happens."""

import asyncio
import sys
from pathlib import Path
from typing import Any

import msgspec

from stoneyoke.lab.clients import Front
from stoneyoke.lab.ledger_writer import LedgerWriter
from stoneyoke.lab.link_process import Links
from stoneyoke.lab.role import serve
from stoneyoke.lab.stand_in_backends import Backends
from stoneyoke.lab.stand_in_counter import Counter
from stoneyoke.lab.stand_in_discovery import Discovery
from stoneyoke.lab.supervisor import Supervisor

ROLES: dict[str, Any] = {
    "backends": Backends,
    "counter": Counter,
    "discovery": Discovery,
    "front": Front,
    "links": Links,
    "keeper": Supervisor,  # the ledger's name for it since the first run
}


async def main() -> None:
    """Reads what it is, and is that until it ends."""
    lines = asyncio.StreamReader(limit=1 << 28)
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    given = msgspec.json.decode(await lines.readline())
    role = ROLES[given["kind"]](given, LedgerWriter(Path(given["ledger"])))
    await serve(role, given["name"], lines)


if __name__ == "__main__":
    asyncio.run(main())
