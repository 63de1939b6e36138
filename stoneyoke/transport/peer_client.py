"""Calls to one peer, over a connection that is opened on demand and replaced after any error."""

import asyncio
import itertools

from stoneyoke.transport.errors import PeerUnreachable
from stoneyoke.transport.framing import set_socket_options
from stoneyoke.transport.messages import Message
from stoneyoke.transport.peer_connection import PeerConnection

CONNECT_TIMEOUT_S = 0.5


class PeerClient:
    """A client for calls to one peer. Any number of calls may be pending at once."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Opens no connection yet; `address` is the host and the port of the peer."""
        self.address = address
        self.call_numbers = itertools.count(1)
        self.connection: PeerConnection | None = None  # the last connection that was opened; it may be closed
        self.connecting: asyncio.Task[None] | None = None

    async def call(self, request: Message, timeout_s: float) -> Message:
        """Sends a request and waits for its response.

        Args:
            request: A message that has a response.
            timeout_s: The total time for connecting, sending and receiving the response.

        Returns:
            The peer's response, which was created after this call began.

        Raises:
            PeerUnreachable: No valid response was received in time.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        connection = None
        try:
            async with asyncio.timeout_at(deadline):
                connection = await self.open_connection()
                response = await connection.call(request)
            # After a suspension of this process, the response and the time-out can be due in the same turn of the event
            # loop, and the response is then processed first. Such a response is stale.
            if loop.time() > deadline:
                raise TimeoutError
            return response
        except TimeoutError as error:
            reason = f"no response in {timeout_s:.2f} s"
            if connection:
                connection.close(reason)  # the other calls on it would time out too
            raise PeerUnreachable(f"{self.address[0]}: {reason}") from error

    async def open_connection(self) -> PeerConnection:
        """Returns the open connection, or opens one. Concurrent callers share one attempt to connect.

        Raises:
            PeerUnreachable: The connection could not be opened.
        """
        if self.connection is None or self.connection.closed:
            if self.connecting is None or self.connecting.done():
                self.connecting = asyncio.get_running_loop().create_task(self.connect())
            # Shielded: the time-out of one caller must not cancel the attempt to connect that others wait for.
            await asyncio.shield(self.connecting)
        if self.connection is None or self.connection.closed:
            raise PeerUnreachable(f"{self.address[0]}: no connection")
        return self.connection

    async def connect(self) -> None:
        """Tries once to open a connection; after a failure, `connection` is unchanged."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return
        set_socket_options(writer)
        self.connection = PeerConnection(self.address[0], self.call_numbers, reader, writer)
