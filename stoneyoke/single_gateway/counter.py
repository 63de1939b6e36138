"""Calls to the counter: pipelined, answered in order, given up after the settings' limit."""

import asyncio
import math
import re
from collections import deque

from stoneyoke.control.actions import AddToCounter
from stoneyoke.net.errors import MalformedMessage
from stoneyoke.net.message_reader import MessageReader
from stoneyoke.net.stream import connect
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.metrics import Metrics
from stoneyoke.runtime.runtime import Runtime

# Of the 32 that the protocol page has the counter hold. A call goes where none is out, if it can: whatever
# ends a connection takes all calls on it along. Those gone silent are replaced.
MOST_LINKS = 6
IDLE_US = 5_000_000  # the protocol page: closed after 10 s or less; none is written to beyond this
NUMBER = re.compile(rb"-?[0-9]{1,20}(\.[0-9]{1,20})?([eE][+-]?[0-9]{1,2})?").fullmatch
SILENT_US = 1_000_000  # a connection whose oldest call has waited for this long is closed


class Call:
    """A call not yet answered, or given up on and still to be answered in its turn."""

    __slots__ = ("at", "done", "name")

    def __init__(self, name: int, at: int) -> None:
        self.name, self.at, self.done = name, at, False


class Link:
    """A connection to the counter with its calls in order; the task that reads it ends with it."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.calls: deque[Call] = deque()
        self.writer: asyncio.StreamWriter | None = None
        self.unsent: list[bytes] = []  # while it connects; as many calls as its limit lets come
        self.used_at = 0
        self.closed = False


class Counter:
    """The calls to the counter, over one connection that is made anew when it falls silent."""

    def __init__(
        self, clock: Clock, metrics: Metrics, runtime: Runtime, address: tuple[str, int], limit_us: int
    ) -> None:
        self.clock, self.metrics, self.runtime = clock, metrics, runtime
        self.limit_us = limit_us
        self.links: list[Link] = []  # to where the counter is; a link leaves as it ends, all with a move
        self.tasks: set[asyncio.Task[None]] = set()  # one a connection

        self.move(address)

    def move(self, address: tuple[str, int]) -> None:
        """Calls go there from now on; those that are out elsewhere are answered there while that lasts."""
        self.address, self.host = address, b"Host: %s:%d\r\n\r\n" % (address[0].encode(), address[1])
        for link in [link for link in self.links if link.address != address]:
            self.links.remove(link)
            if link.calls:
                asyncio.get_running_loop().call_later(SILENT_US / 1_000_000, self.end, link)
            else:
                self.end(link)

    def add(self, action: AddToCounter) -> None:
        now = self.clock.now()
        call = Call(action.name, now)
        link = self.pick(now)
        head = b"POST /counters/%016x?by=%s&expire_ms=%d HTTP/1.1\r\n" % (
            action.name,
            b"%.6f" % action.amount,
            max(1, action.ttl_us // 1000),
        )
        link.calls.append(call)
        link.used_at = now
        if link.writer:
            link.writer.writelines((head, b"Content-Length: 0\r\n", self.host))
        else:
            link.unsent += (head, b"Content-Length: 0\r\n", self.host)
        self.metrics.add("counter calls")
        asyncio.get_running_loop().call_later(self.limit_us / 1_000_000, self.give_up, call)

    def pick(self, now: int) -> Link:
        """A connection without calls; else a new one; at the limit one whose calls are not overdue, or a new
        one in place of the one silent longest."""
        for link in list(self.links):
            if not link.calls and now - link.used_at > IDLE_US or (link.calls and now - link.calls[0].at > SILENT_US):
                self.end(link)
        free = min(self.links, key=lambda one: len(one.calls), default=None)
        if free and not free.calls:
            return free
        if len(self.links) >= MOST_LINKS:
            prompt = [one for one in self.links if now - one.calls[0].at <= self.limit_us]
            if prompt:
                return min(prompt, key=lambda one: len(one.calls))
            self.end(min(self.links, key=lambda one: one.calls[0].at))
        link = Link(self.address)
        self.links.append(link)
        task = asyncio.get_running_loop().create_task(self.serve(link))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return link

    def give_up(self, call: Call) -> None:
        self.answer(call, "no answer in time", False)

    def answer(self, call: Call, ending: str, added: bool, total: float = 0.0) -> None:
        """Tells of a call's end, once. A total of nan, added: to what is not known; not added: its connection
        broke, which says nothing of the counter."""
        if not call.done:
            call.done = True
            self.metrics.add(f"counter calls: {ending}")
            self.runtime.counter_replied(call.name, added, total)

    def end(self, link: Link) -> None:
        """Calls still out on it are given up on as their own time comes."""
        if not link.closed:
            link.closed = True
            if link in self.links:
                self.links.remove(link)
            if link.writer:
                link.writer.transport.abort()

    async def serve(self, link: Link) -> None:
        try:
            line, writer = await connect(link.address, self.limit_us / 1_000_000)
            if link.closed:
                return writer.transport.abort()
            link.writer = writer
            writer.writelines(link.unsent)
            link.unsent = []
            answers = MessageReader(line.reader, responses=True)
            while answer := await answers.next():
                if not link.calls:
                    raise MalformedMessage("an answer to no call")
                if answer.status == 200 and not NUMBER(answer.body):
                    raise MalformedMessage(f"a total that is no number: {answer.body[:40]!r}")
                if answer.status == 200:
                    self.answer(link.calls.popleft(), "answered", True, float(answer.body))
                else:
                    self.answer(link.calls.popleft(), "turned away", False)
                if not answer.keep_alive or not link.calls and link not in self.links:
                    break
        except OSError:
            self.metrics.add("counter: connections lost")
        except MalformedMessage as bad:
            self.metrics.report("counter: malformed answers", str(bad))
            if link.calls:  # it was carried out, and its total can't be read
                self.answer(link.calls.popleft(), "answered unreadably", True, math.nan)
        finally:
            self.end(link)
            for call in link.calls:
                self.answer(call, "connection lost", False, math.nan if link.writer else 0.0)
