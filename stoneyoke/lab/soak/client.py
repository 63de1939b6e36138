"""A client of the soak: it leaves some of its requests before they are answered, in all ways in which clients leave."""

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

USUAL_LEAVE_SHARE, WAVE_LEAVE_SHARE = 0.15, 0.8  # of the requests: always, and while a fault makes clients leave
LONG_WORK_MS = 1600  # of a request that is left: its run would go on for long
LATEST_LEAVE_S = 0.35  # after it was sent
STRAIGHT_SHARE = 0.3  # of the requests go to the gateway without a link: over one, a reset arrives as a close
BACKLOG_SHARE = 0.25  # of the clients that leave have sent more than a gateway reads meanwhile
BACKLOG_BYTES = 80_000  # and less than its kernel takes: behind a full receive window no FIN arrives
HALF_CLOSED_S = 2.5  # how long a half-closed connection stays open
CONNECT_S = 2.0


class LeaveWay(Enum):
    """How a client leaves."""

    CLOSE = "close"
    HALF_CLOSE = "half-close"
    RESET = "reset"


class SoakClient(Client):
    """Sends requests as the cluster's client does, and leaves some of them.

    Attributes:
        leave_share: The share of the requests that are left.
        left: How many were.
    """

    def __init__(
        self,
        cluster: ClusterProcesses,
        ledger: SoakLedger,
        random_source: random.Random,
        links: dict[str, Address],
    ) -> None:
        """Sends nothing yet.

        Args:
            cluster: Names the gateways.
            ledger: Takes each try.
            random_source: Draws all that is random.
            links: Where the link to each gateway is entered, by the gateway's name.
        """
        super().__init__(cluster, ledger, random_source)
        self.cluster, self.ledger, self.draw, self.links = cluster, ledger, random_source, links
        self.leave_share = USUAL_LEAVE_SHARE
        self.left = 0

    async def send_once(self, is_order: bool) -> int:
        """Sends one try to a gateway, over its link or straight, and leaves it or waits."""
        gateway = self.draw.choice(list(self.cluster.gateways))
        goes_straight = self.draw.random() < STRAIGHT_SHARE
        address = (self.cluster.gateways[gateway], FRONT_PORT) if goes_straight else self.links[gateway]
        leaves = self.draw.random() < self.leave_share
        request = self.make_request(is_order, f"{WORK_HEADER}: {LONG_WORK_MS}\r\n" if leaves else "")
        link = "" if goes_straight else CLIENT_LINK.format(gateway)
        one = Try(gateway=gateway, link=link, sent_s=asyncio.get_running_loop().time())
        self.ledger.tries[request.attempt_id] = one
        if leaves:
            await self.leave(address, request, one)
            return NO_RESPONSE
        response = await send_request(address, request.head, request.body)
        one.ended_s = asyncio.get_running_loop().time()
        return self.note_response(request, response)

    async def leave(self, address: Address, request: ClientRequest, one: Try) -> None:
        """Sends a request and leaves before it is answered."""
        way = self.draw.choice(list(LeaveWay))
        after_s = self.draw.uniform(0.0, LATEST_LEAVE_S)
        backlog = self.draw.random() < BACKLOG_SHARE
        try:
            async with asyncio.timeout(CONNECT_S):
                _, writer = await asyncio.open_connection(*address)
        except OSError:
            return
        writer.write(request.head + b"Content-Length: %d\r\n\r\n" % len(request.body) + request.body)
        if backlog:
            writer.write(b"GET / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % BACKLOG_BYTES + bytes(BACKLOG_BYTES))
        await asyncio.sleep(after_s)
        one.how = f"{way.value}, {'with' if backlog else 'without'} input behind"
        await self.end_connection(writer, way, one)

    async def end_connection(self, writer: asyncio.StreamWriter, way: LeaveWay, one: Try) -> None:
        """Ends a connection in one of the ways, and notes when."""
        loop, sock = asyncio.get_running_loop(), writer.get_extra_info("socket")
        self.left += 1
        try:
            if way is LeaveWay.HALF_CLOSE and not writer.is_closing():
                writer.write_eof()
                one.left_s = loop.time()
                await asyncio.sleep(HALF_CLOSED_S)
            elif way is LeaveWay.RESET and sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:  # the gateway has closed before
            pass
        finally:
            writer.transport.abort()
            one.left_s = one.left_s or loop.time()
