"""The main loop of a worker: it executes commands and replies to them.

It exits when its input closes, so no worker outlives the run.
"""

import asyncio
import sys
import time
from typing import Protocol

from stoneyoke.lab.ledger_writer import LedgerWriter
from stoneyoke.lab.worker_messages import COMMAND_DECODER, Begin, Command, Ready, Reply, ShutDown, encode_line

LAG_INTERVAL_S = 0.05  # interval at which a worker measures how late its own event loop is


class Role(Protocol):
    """The role of a worker: it runs stand-ins, clients, links or the gateways' supervisor."""

    ledger: LedgerWriter

    async def start(self) -> None:
        """Starts to listen, or to watch the gateways."""

    async def execute(self, command: Command) -> Reply | None:
        """Executes a command and returns the reply, if there is one. Commands for other roles are ignored."""

    async def shut_down(self) -> None:
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
    """Executes commands until it receives ShutDown or its input closes, and then shuts the role down."""
    await role.start()
    measuring = asyncio.create_task(measure_lag(role.ledger, name))
    send_reply(Ready())
    try:
        while line := await lines.readline():
            command = COMMAND_DECODER.decode(line)
            if isinstance(command, ShutDown):
                break
            if isinstance(command, Begin):
                role.ledger.begin(command.at_ns)
            reply = await role.execute(command)
            if reply is not None:
                send_reply(reply)
    finally:
        measuring.cancel()
        await role.shut_down()
        role.ledger.close()
