"""The program of a worker: the first line of its input says what it is, the following ones are orders."""

import asyncio
import sys
from pathlib import Path

from stoneyoke.lab.clients import ClientFleet
from stoneyoke.lab.ledger_writer import LedgerWriter
from stoneyoke.lab.link_process import LinkProcess
from stoneyoke.lab.role import Role, serve
from stoneyoke.lab.stand_in_backends import StandInBackends
from stoneyoke.lab.stand_in_counter import StandInCounter
from stoneyoke.lab.stand_in_discovery import StandInDiscovery
from stoneyoke.lab.supervisor import Supervisor
from stoneyoke.lab.worker_messages import (
    SETUP_DECODER,
    AnySetup,
    BackendsSetup,
    ClientsSetup,
    CounterSetup,
    DiscoverySetup,
    LinksSetup,
    SupervisorSetup,
)

MAX_LINE_BYTES = 1 << 28  # a setup holds all arrivals


def role_of(setup: AnySetup, ledger: LedgerWriter) -> Role:
    """The role that a setup describes."""
    match setup:
        case LinksSetup():
            return LinkProcess(setup, ledger)
        case BackendsSetup():
            return StandInBackends(setup, ledger)
        case CounterSetup():
            return StandInCounter(setup, ledger)
        case DiscoverySetup():
            return StandInDiscovery(setup, ledger)
        case ClientsSetup():
            return ClientFleet(setup, ledger)
        case SupervisorSetup():
            return Supervisor(setup, ledger)


async def main() -> None:
    """Reads the setup, and serves in its role until the end."""
    lines = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    setup = SETUP_DECODER.decode(await lines.readline())
    await serve(role_of(setup, LedgerWriter(Path(setup.ledger))), setup.name, lines)


if __name__ == "__main__":
    asyncio.run(main())
