"""Sockets between the system's own processes: calls and answers in frames over TCP. Decides nothing.

A call goes out on one connection with a number that rises there; answers come back in any order. An answer is taken
only for a call that is out on the connection that it came on, only if it is the response that this request has, and
only within the call's time: a process that stood still in the middle of a call takes nothing from before.

Any doubt ends a connection: an answer to a number that was not asked, or that was answered already, one of another
kind, bytes that make no message, a call without an answer in time (a peer that is cut off says nothing). All calls on
it are told so, and the next call opens a new one."""

import asyncio
import itertools
import socket
from collections.abc import Awaitable, Callable, Iterator
from typing import NamedTuple

from loguru import logger

from stoneyoke.transport.messages import FRAME_BYTES_MAX, RESPONSES, MalformedMessage, Message, pack, unpack

DIAL_S = 0.5
ABANDONED_TOP = 1000  # calls on one connection that their callers gave up and that the peer never answered


class PeerUnreachable(Exception):
    """No answer: the peer is down, cut off, silent or garbles."""


class PendingCall(NamedTuple):
    response: type
    answer: asyncio.Future[Message]


class PeerConnection:
    """One connection to a peer, and the calls that are out on it."""

    def __init__(
        self, host: str, numbers: Iterator[int], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """numbers: of calls; they go on rising from one connection to this peer to the next."""
        self.host, self.numbers, self.writer = host, numbers, writer
        self.calls: dict[int, PendingCall] = {}  # emptied by answers, by their callers and by the end
        self.abandoned: set[int] = set()  # given up by their callers, not answered yet
        self.ended = False
        self.reading = asyncio.get_running_loop().create_task(self.read(reader))

    async def call(self, message: Message) -> Message:
        """The peer's answer to this call. Raises PeerUnreachable once the connection ends."""
        if self.writer.is_closing():
            self.end("closed")
        if self.ended:
            raise PeerUnreachable(f"{self.host}: closed")
        number = next(self.numbers)
        answer: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self.calls[number] = PendingCall(RESPONSES[type(message)], answer)
        try:
            self.writer.write(pack(number, message))
            return await answer
        finally:
            if self.calls.pop(number, None):  # still out: its caller has given it up
                self.abandoned.add(number)
                if len(self.abandoned) > ABANDONED_TOP:
                    self.end("too many calls without an answer")

    async def read(self, reader: asyncio.StreamReader) -> None:
        why = "closed"
        try:
            while not self.ended and (body := await frame(reader)) is not None:
                self.take(*unpack(body))
        except (OSError, MalformedMessage) as bad:
            why = str(bad)
        finally:
            self.end(why)

    def take(self, number: int, message: Message) -> None:
        """An answer. Raises MalformedMessage where no call of this connection waits for it."""
        if number in self.abandoned:
            return self.abandoned.discard(number)
        call = self.calls.get(number)
        if call is None:
            raise MalformedMessage(f"an answer to call {number}, which is not out")
        if type(message) is not call.response:
            raise MalformedMessage(f"a {type(message).__name__} where a {call.response.__name__} is due")
        del self.calls[number]
        if call.answer.cancelled():  # in this turn of the loop
            return
        call.answer.set_result(message)

    def end(self, why: str) -> None:
        """Closes it; whoever waits is told. What still comes on it is read by nobody."""
        if self.ended:
            return
        self.ended = True
        self.writer.transport.abort()
        waiting, self.calls = self.calls, {}
        for call in waiting.values():
            if not call.answer.done():
                call.answer.set_exception(PeerUnreachable(f"{self.host}: {why}"))
                call.answer.exception()  # it may be that nobody waits any more


class PeerClient:
    """To one peer. Any number of calls may be out at once."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.numbers = itertools.count(1)
        self.connection: PeerConnection | None = None  # the last one made
        self.dialling: asyncio.Task[None] | None = None

    async def call(self, message: Message, within_s: float) -> Message:
        """The peer's answer, no older than the call. Raises PeerUnreachable."""
        loop = asyncio.get_running_loop()
        until, connection = loop.time() + within_s, None
        try:
            async with asyncio.timeout_at(until):
                connection = await self.connected()
                answer = await connection.call(message)
            if loop.time() > until:  # this process stood still with the answer in hand
                raise TimeoutError
            return answer
        except TimeoutError as bad:
            why = f"no answer in {within_s:.2f} s"
            if connection:  # others on it fare no better
                connection.end(why)
            raise PeerUnreachable(f"{self.address[0]}: {why}") from bad

    async def connected(self) -> PeerConnection:
        """The connection that is up, or a new one; all that need one at the same time wait for the same."""
        if self.connection is None or self.connection.ended:
            if self.dialling is None or self.dialling.done():
                self.dialling = asyncio.get_running_loop().create_task(self.dial())
            await asyncio.shield(self.dialling)
        if self.connection is None or self.connection.ended:
            raise PeerUnreachable(f"{self.address[0]}: no connection")
        return self.connection

    async def dial(self) -> None:
        try:
            async with asyncio.timeout(DIAL_S):
                reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return
        no_delay(writer)
        self.connection = PeerConnection(self.address[0], self.numbers, reader, writer)


async def frame(reader: asyncio.StreamReader) -> bytes | None:
    """The next frame's body, None where the stream ends. Raises MalformedMessage, or an OSError."""
    try:
        size = int.from_bytes(await reader.readexactly(4), "big")
        if size > FRAME_BYTES_MAX:
            raise MalformedMessage(f"a frame of {size} bytes")
        return await reader.readexactly(size)
    except asyncio.IncompleteReadError:
        return None


def no_delay(writer: asyncio.StreamWriter) -> None:
    end = writer.get_extra_info("socket")
    if end is not None:
        end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        end.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 5000)


class PeerServer:
    """Takes the calls of others. `meet` answers a message, or None: then nothing is said."""

    def __init__(self, meet: Callable[[Message], Awaitable[Message | None]]) -> None:
        self.meet = meet
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self, address: tuple[str, int]) -> None:
        self.server = await asyncio.start_server(self.serve, *address, backlog=256)

    def close(self) -> None:
        self.server.close()
        for task in self.tasks:
            task.cancel()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        no_delay(writer)
        last = 0
        try:
            while (body := await frame(reader)) is not None:
                number, message = unpack(body)
                if number <= last or type(message) not in RESPONSES:
                    raise MalformedMessage(f"call {number} after {last}: {type(message).__name__}")
                last = number
                task = asyncio.get_running_loop().create_task(self.reply(writer, number, message))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
        except (OSError, MalformedMessage) as bad:
            if isinstance(bad, MalformedMessage):
                logger.warning("a peer's message: {}", bad)
        except asyncio.CancelledError:
            pass
        finally:
            writer.transport.abort()

    async def reply(self, writer: asyncio.StreamWriter, number: int, message: Message) -> None:
        try:
            answer = await self.meet(message)
        except Exception:  # a fault here costs one answer, never the process
            logger.exception("{} could not be answered", type(message).__name__)
            return
        if answer is not None and not writer.is_closing():
            writer.write(pack(number, answer))
