"""Calls that a controller has read when it receives SIGTERM."""

import asyncio
import tempfile
from pathlib import Path

from driven_clock import DrivenClock, settle
from event_loop import on_loop
from gateway_fixture import HOST, read_head
from raw_backend import until
from ward import test

from stoneyoke.api.calls import Acknowledged
from stoneyoke.programs.controller import LINGER_S, ControllerProgram
from stoneyoke.programs.settings import parse_settings

LEAVE = b"POST /instances/i-1/leave HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"


def settings(folder):
    own = {"node_name": "core-1", "ip_addr": HOST, "zone_name": "east", "data_dir": str(folder)}
    network = {"port_range": [7340, 7355], "seed_addrs": [f"{HOST}:8783"], "binds": {"control_addr": f"{HOST}:8783"}}
    return parse_settings({"self": own, "network": network})


@test("a call that a controller has read when it shuts down gets its response, and its connection is closed after it")
@on_loop
async def _():
    # Guards against an exit after a fixed time: the caller of an acknowledged leave would hear nothing of it.
    with tempfile.TemporaryDirectory() as folder:
        clock, program = DrivenClock(), ControllerProgram(settings(Path(folder)))
        calls, majority_responded = [], asyncio.Event()

        async def handle(call):
            calls.append(call)
            await majority_responded.wait()
            return Acknowledged()

        async def transfer_vote(_):
            pass

        program.http_api.handle, program.controller.transfer_vote = handle, transfer_vote
        await program.http_api.open((HOST, 0))
        await program.peer_server.open((HOST, 0))
        port = program.http_api.server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(LEAVE)
        await until(lambda: calls)
        shutdown = asyncio.ensure_future(program.shut_down())
        await settle()
        await clock.advance(2 * LINGER_S)
        assert not shutdown.done()
        majority_responded.set()
        async with asyncio.timeout(5):
            headers = await read_head(reader)
            assert headers["line"].split()[1] == b"200" and headers["connection"] == b"close"
            await reader.read()
        await settle()
        await clock.advance(2 * LINGER_S)
        await shutdown
