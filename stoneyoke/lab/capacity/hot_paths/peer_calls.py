"""Hot paths of calls between machines, over real sockets."""

import asyncio
import random
import time

from stoneyoke.lab.capacity.figures import Figure
from stoneyoke.transport.messages import FetchRequest, FetchResponse, Message, VersionRow
from stoneyoke.transport.peer_client import PeerClient
from stoneyoke.transport.peer_server import PeerServer

CALLS = 200  # number of calls that are timed together
PORT_ANY = 0  # the system chooses a free port


def call_over_socket(size: int) -> list[Figure]:
    """Measures one call over loopback whose response has this number of bytes: both ends, sockets and event loop."""
    body = random.Random(1).randbytes(size)

    async def handle_request(message: Message) -> Message | None:
        return FetchResponse(version=VersionRow(1, b"x"), body=body) if isinstance(message, FetchRequest) else None

    async def calls() -> float:
        server = PeerServer(handle_request)
        await server.open(("127.0.0.1", PORT_ANY))
        client = PeerClient(server.bound_address())
        await client.call(FetchRequest(), 5.0)
        done = await measured_calls(client)
        server.close()
        return done

    return [Figure("one call, both ends", "s", asyncio.run(calls()))]


async def measured_calls(client: PeerClient) -> float:
    """Returns the processor time of one call, in the fastest of three rounds."""

    async def once() -> float:
        start = time.process_time()
        for _ in range(CALLS):
            await client.call(FetchRequest(), 5.0)
        return (time.process_time() - start) / CALLS

    return min([await once() for _ in range(3)])
