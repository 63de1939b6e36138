"""TCP links. Each listens at its own address, leads to another one, and takes on faults.

Data that comes while a link is silent is queued until the fault ends, as a network would retransmit it. Open
connections stay open meanwhile, and new ones never come up.
"""

import asyncio
import contextlib
import random
import socket
import struct
from collections import deque
from collections.abc import Coroutine
from typing import cast

from stoneyoke.lab.addresses import LinkAddresses
from stoneyoke.lab.link_conditions import Direction, LinkConditions
from stoneyoke.lab.scenario import Fault

BACKLOG = 256
ACCEPTS_PER_TURN = 16  # of the event loop
# Connections of our own that fill the queue of a listener. The system then answers no further ones.
QUEUE_FILLERS = 2
END_OF_STREAM = None  # in a queue of data


class LinkEnd(asyncio.Protocol):
    """One end of a connection over a link. What it receives is sent on at the other end."""

    def __init__(self, link: "Link", direction: Direction) -> None:
        """Serves once it is connected.

        Args:
            link: Opens the other end.
            direction: Of the data that this end receives.
        """
        self.other: LinkEnd | None = None
        self._link = link
        self._direction = direction
        self._transport: asyncio.Transport | None = None
        self._queue: deque[bytes | None] = deque()  # received and not sent on: the link is silent or slow
        self._queue_free_at_s = 0.0  # loop time

    @property
    def is_open(self) -> bool:
        """Whether it is connected and not about to close."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def _is_silent(self) -> bool:
        return self._link.conditions.silent[self._direction]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Opens the other end, if this is the one that was entered."""
        self._transport = cast(asyncio.Transport, transport)
        self._link.ends.add(self)
        if self._direction == Direction.FORTH:
            self._link.open_other_end(self)

    def data_received(self, data: bytes) -> None:
        """Sends data on at once, or queues it while faults lie on the link."""
        self._link.bytes_carried += len(data)
        other = self.other
        if other and other._transport and not self._queue and self._link.conditions.faultless:
            other._transport.write(data)
        else:
            self._enqueue(data)

    def eof_received(self) -> bool:
        """Sends the end of the stream on, after the data before it."""
        self._enqueue(END_OF_STREAM)
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the other end in the same way, unless the link is silent: then it ends once the link is not."""
        if error:
            self._enqueue(END_OF_STREAM)
        if not self._queue:
            self._link.ends.discard(self)
        if self.other and self.other._transport and not self._is_silent:
            if error:
                self.other._transport.abort()
            else:
                self.other._transport.close()

    def _enqueue(self, data: bytes | None) -> None:
        loop, conditions = asyncio.get_running_loop(), self._link.conditions
        self._queue.append(data)
        wait_s = conditions.delay_s
        if conditions.jitter_s:
            wait_s += self._link.random_source.random() * conditions.jitter_s
        if conditions.bytes_s:
            if data:
                wait_s += len(data) / conditions.bytes_s
            self._queue_free_at_s = max(self._queue_free_at_s, loop.time()) + wait_s
        else:
            self._queue_free_at_s = max(self._queue_free_at_s, loop.time() + wait_s)
        loop.call_at(self._queue_free_at_s, self._send_on, 1)

    def send_all_on(self) -> None:
        """Sends on what is queued, as far as the link is not silent."""
        self._send_on(len(self._queue))

    def _send_on(self, max_pieces: int) -> None:
        while self._queue and max_pieces and not self._is_silent:
            if not self.other or not self.other._transport:
                return
            max_pieces -= 1
            data = self._queue.popleft()
            if data is END_OF_STREAM and not self.is_open:  # it was lost, and can't be written to either
                self.other._transport.close()
            elif data is END_OF_STREAM:
                self.other._write_eof()
            else:
                self.other._transport.write(data)
        if not self._queue and not self.is_open:
            self._link.ends.discard(self)

    def _write_eof(self) -> None:
        # A connection that was reset meanwhile can't be shut down, and the end of a fault must not end this process.
        with contextlib.suppress(OSError):
            if self._transport and self._transport.can_write_eof() and not self._transport.is_closing():
                self._transport.write_eof()

    def reset(self) -> None:
        """Ends the connection with a reset."""
        if not self._transport or not self.is_open:
            return
        sock = self._transport.get_extra_info("socket")
        if sock:
            no_linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
        self._transport.abort()

    def abort(self) -> None:
        """Closes the connection at once."""
        if self._transport:
            self._transport.abort()


class Link:
    """One TCP link: where it is entered, where it leads, and its conditions."""

    def __init__(self, addresses: LinkAddresses) -> None:
        """Opens nothing; see `listen`."""
        self.addresses = addresses
        self.conditions = LinkConditions()
        self.ends: set[LinkEnd] = set()
        self.random_source = random.Random(f"{addresses.source} {addresses.destination}")
        self.bytes_carried = 0
        self._listener: socket.socket | None = None
        self._queue_fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task[None]] = set()  # connections that are being opened

    # ---- the listener ----

    def listen(self) -> None:
        """Starts to accept connections."""
        self._listener = socket.create_server(self.addresses.entry, backlog=BACKLOG)
        self._listener.setblocking(False)
        asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def close(self) -> None:
        """Refuses new connections; open ones stay."""
        if self._listener:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None
        self._close_fillers()

    def _stop_answering(self) -> None:
        """Lets new connections never come up: the listener's queue is made as short as possible, and filled."""
        if not self._listener or self._queue_fillers:
            return
        asyncio.get_running_loop().remove_reader(self._listener)
        self._listener.listen(0)
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.addresses.entry)
            self._queue_fillers.append(filler)

    def _answer_again(self) -> None:
        self._close_fillers()
        if self._listener:
            self._listener.listen(BACKLOG)
            asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def _close_fillers(self) -> None:
        while self._queue_fillers:
            self._queue_fillers.pop().close()

    # ---- connections ----

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            try:
                sock, _ = cast(socket.socket, self._listener).accept()
            except OSError:
                return
            self._spawn(self._serve(sock))

    def _spawn(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: LinkEnd(self, Direction.FORTH), sock)
        except OSError:
            sock.close()

    def open_other_end(self, end: LinkEnd) -> None:
        """Connects an end that was entered to where the link leads."""
        self._spawn(self._connect(end))

    async def _connect(self, end: LinkEnd) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, other = await loop.create_connection(lambda: LinkEnd(self, Direction.BACK), *self.addresses.exit)
        except OSError:
            end.reset()
            return
        end.other, other.other = other, end
        if not end.is_open:
            other.reset()
            return
        end.send_all_on()

    # ---- faults ----

    def change_fault(self, number: int, fault: Fault, begins: bool) -> None:
        """Begins or ends a fault. A reset ends all open connections at once, and has no end."""
        if fault.kind == "reset":
            if begins:
                self.reset_connections()
            return
        was_silent, refused = self.conditions.silent_in_any_direction, self.conditions.refuses
        self.conditions.change(number, fault, begins)
        is_silent, refuses = self.conditions.silent_in_any_direction, self.conditions.refuses
        if refuses and not refused:
            self.close()
        elif refused and not refuses:
            self.listen()
        if is_silent and not was_silent:
            self._stop_answering()
        elif was_silent and not is_silent and not refuses:
            self._answer_again()
        for end in list(self.ends):
            end.send_all_on()

    def reset_connections(self) -> None:
        """Resets all open connections."""
        for end in list(self.ends):
            end.reset()
