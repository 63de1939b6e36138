"""What every process of the laboratory does: told orders line by line, it tells back, and ends with its input.

So nothing outlives whoever started it.
"""

import asyncio
import inspect
import sys
import time
from typing import Any, Protocol

import msgspec

from stoneyoke.lab.ledger_writer import LedgerWriter

LAG_S = 0.05  # a process measures so often how late its own event loop is


class Role(Protocol):
    """A stand-in, the supervisor or a set of links."""

    ledger: LedgerWriter

    async def start(self) -> None: ...

    def order(self, order: dict[str, Any]) -> Any:
        """Carries out what is told; may be a coroutine; what it returns is told back."""

    async def end(self) -> None: ...


def say(what: dict[str, Any]) -> None:
    """Tells the process that started this one."""
    sys.stdout.buffer.write(msgspec.json.encode(what) + b"\n")
    sys.stdout.buffer.flush()


async def serve(role: Role, name: str, lines: asyncio.StreamReader) -> None:
    """Carries out orders until the input or an order ends it."""

    async def measure() -> None:
        while True:
            due = time.monotonic() + LAG_S
            await asyncio.sleep(LAG_S)
            role.ledger.add("lag", name, round((time.monotonic() - due) * 1000, 1))
            role.ledger.flush()

    await role.start()
    measuring = asyncio.create_task(measure())
    say({"ready": name})
    try:
        while line := await lines.readline():
            order = msgspec.json.decode(line)
            if order["do"] == "go":
                role.ledger.begin(order["at_ns"])
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
        role.ledger.close()
    say({"ended": name})
