"""Links: each a listening address that leads to another one, and fails as it is told. TCP, and UDP.

What comes over a silent link is kept until it heals, as a network would send it again; connections stay
open over that, and new ones never come up.
"""

import asyncio
import contextlib
import random
import socket
import struct
from collections import deque
from typing import Any, cast

FULL = 2  # connections of our own that fill the queue of a listener which is to answer no more


class State:
    """What is wrong with a link now; several faults may lie on it, by number."""

    def __init__(self) -> None:
        self.faults: dict[int, dict[str, Any]] = {}
        self.silent = [False, False]  # there, back
        self.delay_s = self.jitter_s = 0.0
        self.bytes_s = 0.0
        self.lose = 0.0
        self.refuses = False

    def renew(self) -> None:
        kinds = [fault["kind"] for fault in self.faults.values()]
        self.silent = ["cut" in kinds or "cut_there" in kinds, "cut" in kinds or "cut_back" in kinds]
        self.refuses = "refuse" in kinds
        self.delay_s = sum(f["ms"] for f in self.faults.values() if f["kind"] == "delay") / 1000
        self.jitter_s = sum(f["jitter_ms"] for f in self.faults.values() if f["kind"] == "delay") / 1000
        self.bytes_s = min((f["bytes_s"] for f in self.faults.values() if f["kind"] == "throttle"), default=0.0)
        self.lose = max((f["part"] for f in self.faults.values() if f["kind"] == "lose"), default=0.0)

    def plain(self) -> bool:
        return not self.faults


class End(asyncio.Protocol):
    """One end of a connection over a link; what it hears the other end says."""

    def __init__(self, link: "Link", back: bool) -> None:
        self.link, self.back = link, back
        self.other: End | None = None
        self.transport: asyncio.Transport | None = None
        # Not yet passed on: the link is silent or slow; None is the end
        self.kept: deque[bytes | None] = deque()
        self.free_at = 0.0
        self.waking: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.link.ends.add(self)
        if not self.back:
            self.link.dial(self)

    def data_received(self, data: bytes) -> None:
        self.link.bytes += len(data)
        other = self.other
        if other and other.transport and not self.kept and self.link.state.plain():
            other.transport.write(data)
        else:
            self.keep(data)

    def eof_received(self) -> bool:
        self.keep(None)
        return True

    def connection_lost(self, bad: Exception | None) -> None:
        self.link.ends.discard(self)
        if bad:
            self.keep(None)
        if self.other and self.other.transport and not self.link.state.silent[self.back]:
            self.other.transport.abort() if bad else self.other.transport.close()

    def keep(self, data: bytes | None) -> None:
        loop, state = asyncio.get_running_loop(), self.link.state
        self.kept.append(data)
        wait = state.delay_s + (self.link.random_source.random() * state.jitter_s if state.jitter_s else 0.0)
        if state.bytes_s and data:
            wait += len(data) / state.bytes_s
        self.free_at = max(self.free_at, loop.time()) + wait if state.bytes_s else max(self.free_at, loop.time() + wait)
        loop.call_at(self.free_at, self.pass_on, 1)

    def pass_on(self, most: int) -> None:
        while self.kept and most and not self.link.state.silent[self.back]:
            if not self.other or not self.other.transport:
                return
            data, most = self.kept.popleft(), most - 1
            if data is None:
                # Reset meanwhile, it can't be shut down any more, and a cut that heals must not end this
                # process
                with contextlib.suppress(OSError):
                    if self.other.transport.can_write_eof() and not self.other.transport.is_closing():
                        self.other.transport.write_eof()
            else:
                self.other.transport.write(data)

    def reset(self) -> None:
        if self.transport:
            sock = self.transport.get_extra_info("socket")
            if sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()


class Link:
    """One link: where it is entered, where it leads, what is wrong with it."""

    def __init__(self, start: str, end: str, entry: tuple[str, int], to: tuple[str, int]) -> None:
        self.start, self.end, self.entry, self.to = start, end, entry, to
        self.state, self.ends = State(), set[End]()
        self.random_source = random.Random(f"{start} {end}")
        self.sock: socket.socket | None = None
        self.fillers: list[socket.socket] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.bytes = 0

    def listen(self) -> None:
        self.sock = socket.create_server(self.entry, backlog=256)
        self.sock.setblocking(False)
        asyncio.get_running_loop().add_reader(self.sock, self.accept)

    def deafen(self) -> None:
        """New connections never come up: the queue is cut to its least and filled."""
        if self.sock and not self.fillers:
            asyncio.get_running_loop().remove_reader(self.sock)
            self.sock.listen(0)
            for _ in range(FULL):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(self.entry)
                self.fillers.append(filler)

    def hear(self) -> None:
        while self.fillers:
            self.fillers.pop().close()
        if self.sock:
            self.sock.listen(256)
            asyncio.get_running_loop().add_reader(self.sock, self.accept)

    def close(self) -> None:
        if self.sock:
            asyncio.get_running_loop().remove_reader(self.sock)
            self.sock.close()
            self.sock = None
        while self.fillers:
            self.fillers.pop().close()

    def accept(self) -> None:
        for _ in range(16):
            try:
                sock, _ = cast(socket.socket, self.sock).accept()
            except OSError:
                return
            self.spawn(self.take(sock))

    def spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def take(self, sock: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: End(self, False), sock)
        except OSError:
            sock.close()

    def dial(self, end: End) -> None:
        async def connect() -> None:
            try:
                _, other = await asyncio.get_running_loop().create_connection(lambda: End(self, True), *self.to)
            except OSError:
                end.reset()
                return
            end.other, other.other = other, end
            if not end.transport or end.transport.is_closing():
                other.reset()
                return
            end.pass_on(len(end.kept))

        self.spawn(connect())

    def strike(self, number: int, fault: dict[str, Any], begins: bool) -> None:
        if fault["kind"] == "reset":
            if begins:
                for end in list(self.ends):
                    end.reset()
            return
        before = any(self.state.silent)
        if begins:
            self.state.faults[number] = fault
        else:
            self.state.faults.pop(number, None)
        refused = self.state.refuses
        self.state.renew()
        if self.state.refuses != refused:
            self.close() if self.state.refuses else self.listen()
        silent = any(self.state.silent)
        if silent and not before:
            self.deafen()
        elif before and not silent and not self.state.refuses:
            self.hear()
        for end in list(self.ends):
            end.pass_on(len(end.kept))


class Datagrams(asyncio.DatagramProtocol):
    """The UDP links that lead to one gateway: loses, delays and so reorders datagrams, by who sends them."""

    def __init__(self, end: str, to: tuple[str, int], senders: dict[tuple[str, int], str], seed: int = 0) -> None:
        self.end, self.to, self.senders = end, to, senders
        self.states: dict[str, State] = {}  # by sender
        self.random_source = random.Random(f"{seed} {end}")
        self.bytes = self.messages = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, source: tuple[str, int]) -> None:
        state = self.states.setdefault(self.senders.get(source, "?"), State())
        self.bytes += len(data)
        self.messages += 1
        if state.silent[0] or self.random_source.random() < state.lose:
            return
        wait = state.delay_s + self.random_source.random() * state.jitter_s
        if wait:
            asyncio.get_running_loop().call_later(wait, self.transport.sendto, data, self.to)
        else:
            self.transport.sendto(data, self.to)

    def strike(self, number: int, fault: dict[str, Any], begins: bool, start: str) -> None:
        """A fault on what this sender's datagrams go through; they only go one way, there."""
        state = self.states.setdefault(start, State())
        if begins:
            state.faults[number] = fault
        else:
            state.faults.pop(number, None)
        state.renew()
