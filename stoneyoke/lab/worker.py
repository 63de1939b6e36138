"""The program of a worker. The first line of its input is its setup, the following lines are commands."""

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

MAX_LINE_BYTES = 1 << 28  # the clients' setup contains all arrivals


def role_of(setup: AnySetup, ledger: LedgerWriter) -> Role:
    """Returns the role that a setup describes."""
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
    """Reads the setup and runs its role until the worker is shut down."""
    lines = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    setup = SETUP_DECODER.decode(await lines.readline())
    await serve(role_of(setup, LedgerWriter(Path(setup.ledger))), setup.name, lines)


if __name__ == "__main__":
    asyncio.run(main())
