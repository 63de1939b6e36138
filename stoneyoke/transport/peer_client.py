"""Calls to one peer, over a connection that is opened when it is needed and replaced after any fault."""

import asyncio
import itertools

from stoneyoke.transport.errors import PeerUnreachable
from stoneyoke.transport.framing import set_socket_options
from stoneyoke.transport.messages import Message
from stoneyoke.transport.peer_connection import PeerConnection

CONNECT_TIMEOUT_S = 0.5


class PeerClient:
    """The way to one peer. Any number of calls may be pending at once."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Connects nothing yet; `address` is host and port of the peer."""
        self.address = address
        self.call_numbers = itertools.count(1)
        self.connection: PeerConnection | None = None  # the last one opened; it may be closed
        self.connecting: asyncio.Task[None] | None = None

    async def call(self, request: Message, timeout_s: float) -> Message:
        """Sends a request and waits for its response.

        Args:
            request: A message that has a response.
            timeout_s: Time for connecting, sending and the response together.

        Returns:
            The peer's response, made after this call began.

        Raises:
            PeerUnreachable: No valid response came in time.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        connection = None
        try:
            async with asyncio.timeout_at(deadline):
                connection = await self.open_connection()
                response = await connection.call(request)
            # A process that was suspended may find the response and the timer due in the same turn of the loop, and
            # then runs the response first. Such a response is too old.
            if loop.time() > deadline:
                raise TimeoutError
            return response
        except TimeoutError as error:
            reason = f"no response in {timeout_s:.2f} s"
            if connection:
                connection.close(reason)  # the other calls on it would fare no better
            raise PeerUnreachable(f"{self.address[0]}: {reason}") from error

    async def open_connection(self) -> PeerConnection:
        """The connection that is open, or a new one. All that need one at the same time wait for the same one.

        Raises:
            PeerUnreachable: The peer can't be connected to.
        """
        if self.connection is None or self.connection.closed:
            if self.connecting is None or self.connecting.done():
                self.connecting = asyncio.get_running_loop().create_task(self.connect())
            # Shielded: one caller's time-out must not end the attempt that others wait for.
            await asyncio.shield(self.connecting)
        if self.connection is None or self.connection.closed:
            raise PeerUnreachable(f"{self.address[0]}: no connection")
        return self.connection

    async def connect(self) -> None:
        """Tries once to open a connection; a failure leaves the last one in place."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return
        set_socket_options(writer)
        self.connection = PeerConnection(self.address[0], self.call_numbers, reader, writer)
