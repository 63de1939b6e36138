"""A backend as a bare socket, which does nothing on its own: the test performs each step."""

import asyncio
import select
import socket
import struct
from collections.abc import Callable
from typing import Any, Self, cast

from stoneyoke.control.parameters import AttemptOutcome
from stoneyoke.net.attempt import OutgoingRequest
from stoneyoke.net.backend_connection import BackendConnection, BackendPool
from stoneyoke.net.backends import BackendLimits, Backends
from stoneyoke.net.descriptor_budget import DescriptorBudget
from stoneyoke.net.message_reader import Message
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.metrics import Metrics
from stoneyoke.runtime.pending_request import PendingRequest, RequestOwner

RECEIVE_BUFFER_BYTES = 4096  # about the number of unread bytes that the backend's kernel buffers
LARGE = b"x" * 30_000_000  # a body too large for the sockets' buffers, so that a part of it stays in the sender
SHORT_US = 20_000
LONG_US = 5_000_000
HOUR_S = 3600

Address = tuple[str, int]
Result = tuple[AttemptOutcome, Message | None]


class RawBackend:
    """A listening socket, and the connections that the test has accepted."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(8)
        self.address: Address = self.listener.getsockname()
        self.connections: list[socket.socket] = []

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def has_waiting_connection(self) -> bool:
        """Whether a connection waits to be accepted."""
        return bool(select.select([self.listener], [], [], 0)[0])

    def accept(self) -> socket.socket:
        self.connections.append(self.listener.accept()[0])
        return self.connections[-1]

    def close(self) -> None:
        for connection in (self.listener, *self.connections):
            connection.close()


def reset(connection: socket.socket) -> None:
    """Closes a connection with an RST, whether or not it has unread data."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


def read_available(connection: socket.socket) -> bytes:
    """Returns all data that has arrived at the peer, without waiting."""
    connection.setblocking(False)
    data = b""
    try:
        while piece := connection.recv(1 << 16):
            data += piece
    except (BlockingIOError, ConnectionResetError):
        pass
    return data


def wait_for_kernel_input(writer: asyncio.StreamWriter) -> None:
    """Blocks the event loop until the sender's socket has input that the loop has not processed.

    Raises:
        TimeoutError: No input read_available.
    """
    poll = select.poll()
    poll.register(writer.get_extra_info("socket").fileno(), select.POLLIN)
    if not poll.poll(1000):
        raise TimeoutError("no input has arrived on the socket")


async def until(holds: Callable[[], object]) -> None:
    """Runs the event loop until the condition holds."""
    async with asyncio.timeout(5):
        while not holds():  # noqa: ASYNC110 -- the state of a socket or of the loop has no event to wait for
            await asyncio.sleep(0)


async def after_all_timers(task: "asyncio.Future[Any]") -> None:
    """Waits for a task while all timers of the event loop are due."""
    loop = cast(Any, asyncio.get_running_loop())
    now = loop.time
    loop.time = lambda: now() + HOUR_S
    await asyncio.wait([task])
    del loop.time


class Sender:
    """Makes attempts at one backend without a gateway. `connections` records each connection that was opened."""

    def __init__(self, address: Address, connect_timeout_us: int = LONG_US, descriptors: int = 9) -> None:
        self.clock, self.metrics = Clock(), Metrics()
        self.connections: list[BackendConnection] = []
        self.pending = PendingRequest(1, self.clock, cast(RequestOwner, None))  # no client disconnects in these tests
        limits = BackendLimits(connect_timeout_us=connect_timeout_us, idle_timeout_us=30_000_000)
        self.backends = Backends(self.clock, self.metrics, DescriptorBudget(descriptors, 0), limits)
        self.backends.set_address(0, address)
        connect = self.backends.connect

        async def connect_and_record(pool: BackendPool) -> BackendConnection:
            self.connections.append(await connect(pool))
            return self.connections[-1]

        cast(Any, self.backends).connect = connect_and_record

    def begin(
        self, body: bytes = b"order", within: int = LONG_US, matches_response: Callable[[Message], bool] | None = None
    ) -> "asyncio.Task[Result]":
        """Starts an attempt."""
        return asyncio.ensure_future(self.send(body, within, matches_response))

    async def send(
        self, body: bytes = b"order", within: int = LONG_US, matches_response: Callable[[Message], bool] | None = None
    ) -> Result:
        """Makes an attempt with a deadline in `within` microseconds, and returns its outcome and the response."""
        head = [b"POST /x HTTP/1.1\r\nContent-Length: %d\r\n" % len(body)]
        deadline_us = self.clock.now() + within
        request = OutgoingRequest(head=head, body=body, deadline_us=deadline_us, matches_response=matches_response)
        return await self.backends.send_attempt(self.pending, 0, 0, request)

    def all_closed(self) -> bool:
        """Returns whether no connection is open, neither in use nor idle."""
        pool = self.backends.pools[0]
        return self.backends.descriptor_budget.used == pool.busy == len(pool.idle) == 0
