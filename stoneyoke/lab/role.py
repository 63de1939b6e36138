"""The main loop of a worker: it executes commands and replies to them.

It exits when its input closes, so no worker outlives the run.
"""

import asyncio
import sys
import time
from typing import Protocol

from stoneyoke.lab.ledger_writer import LedgerWriter
from stoneyoke.lab.worker_messages import ORDER_DECODER, Begin, End, Order, Ready, Reply, encode_line

LAG_INTERVAL_S = 0.05  # interval at which a worker measures how late its own event loop is


class Role(Protocol):
    """The role of a worker: it runs stand-ins, clients, links or the gateways' supervisor."""

    ledger: LedgerWriter

    async def start(self) -> None:
        """Starts to listen, or to watch the gateways."""

    async def carry_out(self, order: Order) -> Reply | None:
        """Executes a command and returns the reply, if there is one. Commands for other roles are ignored."""

    async def end(self) -> None:
        """Closes all sockets and stops all tasks and child processes."""


def send_reply(reply: Reply) -> None:
    """Sends a reply to the run."""
    sys.stdout.buffer.write(encode_line(reply))
    sys.stdout.buffer.flush()


async def measure_lag(ledger: LedgerWriter, name: str) -> None:
    """Writes to the ledger, every LAG_INTERVAL_S, how late the event loop is."""
    while True:
        due_s = time.monotonic() + LAG_INTERVAL_S
        await asyncio.sleep(LAG_INTERVAL_S)
        ledger.add("lag", name, round((time.monotonic() - due_s) * 1000, 1))
        ledger.flush()


async def serve(role: Role, name: str, lines: asyncio.StreamReader) -> None:
    """Executes commands until it receives End or its input closes, and then shuts the role down."""
    await role.start()
    measuring = asyncio.create_task(measure_lag(role.ledger, name))
    send_reply(Ready())
    try:
        while line := await lines.readline():
            order = ORDER_DECODER.decode(line)
            if isinstance(order, End):
                break
            if isinstance(order, Begin):
                role.ledger.begin(order.at_ns)
            reply = await role.carry_out(order)
            if reply is not None:
                send_reply(reply)
    finally:
        measuring.cancel()
        await role.end()
        role.ledger.close()
