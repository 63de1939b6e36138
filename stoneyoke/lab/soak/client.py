"""A client of the soak: it abandons some of its requests before the response, by a close, a half-close or a reset."""

import asyncio
import random
import socket
import struct
from enum import Enum

from stoneyoke.lab.cluster.client import Client, ClientRequest
from stoneyoke.lab.cluster.processes import FRONT_PORT, ClusterProcesses
from stoneyoke.lab.cluster.requests import send_request
from stoneyoke.lab.cluster.traffic_ledger import NO_RESPONSE
from stoneyoke.lab.soak.backend import WORK_HEADER
from stoneyoke.lab.soak.judge import CLIENT_LINK
from stoneyoke.lab.soak.ledger import SoakLedger, Try

Address = tuple[str, int]

NORMAL_ABANDON_SHARE, FAULT_ABANDON_SHARE = 0.15, 0.8  # share of abandoned requests: normally, and during a LEAVE fault
LONG_WORK_MS = 1600  # duration of the run of an abandoned request, long enough to outlive its client
MAX_ABANDON_DELAY_S = 0.35  # maximum time from the sending of a request until it is abandoned
DIRECT_SHARE = 0.3  # share of requests sent without a link, since a link turns a reset into a close
BACKLOG_SHARE = 0.25  # share of abandoned requests behind which more input is sent than a gateway reads meanwhile
BACKLOG_BYTES = 80_000  # less than the kernel buffers, since no FIN arrives behind a full receive window
HALF_CLOSED_S = 2.5  # how long a half-closed connection stays open
CONNECT_TIMEOUT_S = 2.0  # time-out of a connect


class DisconnectKind(Enum):
    """How a client ends the connection of an abandoned request."""

    CLOSE = "close"
    HALF_CLOSE = "half-close"
    RESET = "reset"


class SoakClient(Client):
    """Sends requests as the cluster's client does, and abandons some of them.

    Attributes:
        abandon_share: The share of requests that the client abandons.
        left: The number of abandoned requests.
    """

    def __init__(
        self,
        cluster: ClusterProcesses,
        ledger: SoakLedger,
        random_source: random.Random,
        links: dict[str, Address],
    ) -> None:
        """Creates a client that has sent nothing yet.

        Args:
            cluster: Provides the addresses of the gateways.
            ledger: Records each try.
            random_source: Source of all random choices.
            links: Address at which the link to each gateway accepts connections, by the gateway's name.
        """
        super().__init__(cluster, ledger, random_source)
        self.cluster, self.ledger, self.draw, self.links = cluster, ledger, random_source, links
        self.abandon_share = NORMAL_ABANDON_SHARE
        self.left = 0

    async def send_once(self, is_order: bool) -> int:
        """Sends one try to a gateway, over its link or directly, and abandons it or waits for the response."""
        gateway = self.draw.choice(list(self.cluster.gateways))
        goes_directly = self.draw.random() < DIRECT_SHARE
        address = (self.cluster.gateways[gateway], FRONT_PORT) if goes_directly else self.links[gateway]
        abandons = self.draw.random() < self.abandon_share
        request = self.make_request(is_order, f"{WORK_HEADER}: {LONG_WORK_MS}\r\n" if abandons else "")
        link = "" if goes_directly else CLIENT_LINK.format(gateway)
        one = Try(gateway=gateway, link=link, sent_s=asyncio.get_running_loop().time())
        self.ledger.tries[request.attempt_id] = one
        if abandons:
            await self.leave(address, request, one)
            return NO_RESPONSE
        response = await send_request(address, request.head, request.body)
        one.ended_s = asyncio.get_running_loop().time()
        return self.note_response(request, response)

    async def leave(self, address: Address, request: ClientRequest, one: Try) -> None:
        """Sends a request and ends its connection without waiting for the response."""
        kind = self.draw.choice(list(DisconnectKind))
        after_s = self.draw.uniform(0.0, MAX_ABANDON_DELAY_S)
        backlog = self.draw.random() < BACKLOG_SHARE
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(*address)
        except OSError:
            return
        writer.write(request.head + b"Content-Length: %d\r\n\r\n" % len(request.body) + request.body)
        if backlog:
            writer.write(b"GET / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % BACKLOG_BYTES + bytes(BACKLOG_BYTES))
        await asyncio.sleep(after_s)
        one.how = f"{kind.value}, {'with' if backlog else 'without'} input behind"
        await self.end_connection(writer, kind, one)

    async def end_connection(self, writer: asyncio.StreamWriter, kind: DisconnectKind, one: Try) -> None:
        """Ends a connection in one of the ways, and records when."""
        loop, sock = asyncio.get_running_loop(), writer.get_extra_info("socket")
        self.left += 1
        try:
            if kind is DisconnectKind.HALF_CLOSE and not writer.is_closing():
                writer.write_eof()
                one.left_s = loop.time()
                await asyncio.sleep(HALF_CLOSED_S)
            elif kind is DisconnectKind.RESET and sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:  # the gateway has closed the connection before
            pass
        finally:
            writer.transport.abort()
            one.left_s = one.left_s or loop.time()
