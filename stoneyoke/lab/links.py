"""TCP links: proxies that forward connections from their own address to a destination, with injected faults.

While a link is silent, data is queued until the fault ends, as TCP would retransmit it after a network partition. Open
connections stay open meanwhile, and attempts to connect get no reply.
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
ACCEPTS_PER_ITERATION = 16  # connections accepted in one iteration of the event loop
# So many own connections fill a listener's queue of length 0. The system then doesn't reply to further connects.
QUEUE_FILLERS = 2
END_OF_STREAM = None  # in a queue of data


class LinkEnd(asyncio.Protocol):
    """One end of a connection over a link. It forwards what it receives to the other end."""

    def __init__(self, link: "Link", direction: Direction) -> None:
        """Waits for its connection.

        Args:
            link: The link, which opens the other end.
            direction: The direction of the data that this end receives.
        """
        self.other: LinkEnd | None = None
        self._link = link
        self._direction = direction
        self._transport: asyncio.Transport | None = None
        self._queue: deque[bytes | None] = deque()  # received and not yet forwarded: the link is silent or slow
        self._queue_free_at_s = 0.0  # loop time when all that is queued may have been forwarded

    @property
    def is_open(self) -> bool:
        """Whether the connection is established and not closing."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def _is_silent(self) -> bool:
        return self._link.conditions.silent[self._direction]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Opens the other end, if this one was accepted by the link's listener."""
        self._transport = cast(asyncio.Transport, transport)
        self._link.ends.add(self)
        if self._direction == Direction.FORTH:
            self._link.open_other_end(self)

    def data_received(self, data: bytes) -> None:
        """Forwards data immediately, or queues it while the link has faults or queued data."""
        self._link.bytes_carried += len(data)
        other = self.other
        if other and other._transport and not self._queue and self._link.conditions.faultless:
            other._transport.write(data)
        else:
            self._enqueue(data)

    def eof_received(self) -> bool:
        """Forwards the end of the stream, after the queued data."""
        self._enqueue(END_OF_STREAM)
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Closes or resets the other end in the same way, or later if the link is silent.

        While the link is silent, the other end stays open until the queued end of the stream can be forwarded.
        """
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
        loop.call_at(self._queue_free_at_s, self._forward_queued, 1)

    def forward_all_queued(self) -> None:
        """Forwards the queued data, unless the link is silent."""
        self._forward_queued(len(self._queue))

    def _forward_queued(self, max_pieces: int) -> None:
        while self._queue and max_pieces and not self._is_silent:
            if not self.other or not self.other._transport:
                return
            max_pieces -= 1
            data = self._queue.popleft()
            if data is END_OF_STREAM and not self.is_open:  # this end was lost and can't be written to either
                self.other._transport.close()
            elif data is END_OF_STREAM:
                self.other._write_eof()
            else:
                self.other._transport.write(data)
        if not self._queue and not self.is_open:
            self._link.ends.discard(self)

    def _write_eof(self) -> None:
        # write_eof raises OSError if the connection was reset meanwhile. Uncaught, that would end this process when
        # the fault ends.
        with contextlib.suppress(OSError):
            if self._transport and self._transport.can_write_eof() and not self._transport.is_closing():
                self._transport.write_eof()

    def reset(self) -> None:
        """Closes the connection with a TCP reset."""
        if not self._transport or not self.is_open:
            return
        sock = self._transport.get_extra_info("socket")
        if sock:
            no_linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
        self._transport.abort()

    def abort(self) -> None:
        """Closes the connection immediately."""
        if self._transport:
            self._transport.abort()


class Link:
    """One TCP link: its addresses, its faults and its connections."""

    def __init__(self, addresses: LinkAddresses) -> None:
        """Opens no socket; see `listen`."""
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
        """Stops listening, so that new connections are refused. Open ones stay open."""
        if self._listener:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None
        self._close_fillers()

    def _stop_accepting(self) -> None:
        """Keeps new connections from being established: sets the listener's backlog to 0 and fills its queue."""
        if not self._listener or self._queue_fillers:
            return
        asyncio.get_running_loop().remove_reader(self._listener)
        self._listener.listen(0)
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.addresses.entry)
            self._queue_fillers.append(filler)

    def _resume_accepting(self) -> None:
        self._close_fillers()
        if self._listener:
            self._listener.listen(BACKLOG)
            asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def _close_fillers(self) -> None:
        while self._queue_fillers:
            self._queue_fillers.pop().close()

    # ---- connections ----

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_ITERATION):
            try:
                sock, _ = cast(socket.socket, self._listener).accept()
            except OSError:
                return
            self._start_task(self._serve(sock))

    def _start_task(self, coroutine: Coroutine[object, object, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: LinkEnd(self, Direction.FORTH), sock)
        except OSError:
            sock.close()

    def open_other_end(self, end: LinkEnd) -> None:
        """Connects to the link's destination, for an end that its listener accepted."""
        self._start_task(self._connect(end))

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
        end.forward_all_queued()

    # ---- faults ----

    def change_fault(self, number: int, fault: Fault, begins: bool) -> None:
        """Starts or ends a fault. A reset closes all open connections immediately and has no duration."""
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
            self._stop_accepting()
        elif was_silent and not is_silent and not refuses:
            self._resume_accepting()
        for end in list(self.ends):
            end.forward_all_queued()

    def reset_connections(self) -> None:
        """Resets all open connections."""
        for end in list(self.ends):
            end.reset()
