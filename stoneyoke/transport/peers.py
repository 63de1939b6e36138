"""Sockets between the system's own processes: calls and answers in frames over TCP. Decides nothing.

A wire is this process's own connection to one peer: calls go out with a number, answers come back in any order.
A peer that is cut off says nothing, so a call that has no answer in time ends the connection, and the next call
opens a new one."""

import asyncio
import itertools
import socket
from collections.abc import Awaitable, Callable

from loguru import logger

from stoneyoke.transport.messages import FRAME_TOP, MalformedMessage, Message, pack, unpack

DIAL_S = 0.5


class PeerUnreachable(Exception):
    """No answer: the peer is down, cut off, silent or garbles."""


class PeerClient:
    """To one peer. Any number of calls may be out at once."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.numbers = itertools.count(1)
        self.out: dict[int, asyncio.Future[Message]] = {}  # emptied by answers, time-outs and the end
        self.writer: asyncio.StreamWriter | None = None
        self.reading: asyncio.Task[None] | None = None
        self.dialling: asyncio.Task[None] | None = None

    async def call(self, message: Message, within_s: float) -> Message:
        """The peer's answer. Raises PeerUnreachable."""
        number = next(self.numbers)
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[Message] = loop.create_future()
        try:
            async with asyncio.timeout(within_s):
                if self.writer is None:
                    await self.dial()
                if self.writer is None:
                    raise PeerUnreachable(f"{self.address[0]}: no connection")
                self.out[number] = answer
                self.writer.write(pack(number, message))
                return await answer
        except TimeoutError as bad:
            if number in self.out:  # sent, no answer: others on it fare no better
                self.end(f"no answer in {within_s:.2f} s")
            raise PeerUnreachable(f"{self.address[0]}: no answer in {within_s:.2f} s") from bad
        finally:
            self.out.pop(number, None)

    async def dial(self) -> None:
        if self.dialling is None or self.dialling.done():
            self.dialling = asyncio.get_running_loop().create_task(self.connect())
        await asyncio.shield(self.dialling)

    async def connect(self) -> None:
        try:
            async with asyncio.timeout(DIAL_S):
                reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return
        no_delay(writer)
        self.writer = writer
        self.reading = asyncio.get_running_loop().create_task(self.read(reader, writer))

    async def read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        why = "closed"
        try:
            while (body := await frame(reader)) is not None:
                number, message = unpack(body)
                if (answer := self.out.get(number)) and not answer.done():
                    answer.set_result(message)
        except (OSError, MalformedMessage) as bad:
            why = str(bad)
        finally:
            if self.writer is writer:
                self.end(why)

    def end(self, why: str) -> None:
        """Closes it; whoever waits is told."""
        writer, self.writer = self.writer, None
        if writer:
            writer.transport.abort()
        waiting, self.out = self.out, {}
        for answer in waiting.values():
            if not answer.done():
                answer.set_exception(PeerUnreachable(f"{self.address[0]}: {why}"))
                answer.exception()  # it may be that nobody waits any more


async def frame(reader: asyncio.StreamReader) -> bytes | None:
    """The next frame's body, None where the stream ends. Raises MalformedMessage, or an OSError."""
    try:
        size = int.from_bytes(await reader.readexactly(4), "big")
        if size > FRAME_TOP:
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
        try:
            while (body := await frame(reader)) is not None:
                number, message = unpack(body)
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
