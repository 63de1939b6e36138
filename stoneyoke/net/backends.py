"""Connections to backends, and call-outs over them: each outcome told apart, nothing ever sent again."""

import asyncio
from collections import deque
from collections.abc import Callable

from stoneyoke.interface import Outcome
from stoneyoke.net.http import BODY_TOP, Line, Malformed, Message, Messages, connect, unread, write_message
from stoneyoke.net.room import Room, Victim
from stoneyoke.runtime import Clock, Held
from stoneyoke.tally import Tally

# A backend closes an idle connection when the settings' time is up; one idle for this part of it isn't used.
IDLE_PART = 0.75


class Link:
    """One connection to a backend."""

    def __init__(self, line: Line, writer: asyncio.StreamWriter, answer_top: int) -> None:
        self.line, self.writer = line, writer
        self.answers = Messages(line.reader, answers=True, body_top=answer_top)
        self.used_at = 0

    def close(self) -> None:
        self.line.on_bytes = self.line.on_close = None
        self.writer.transport.abort()


class Site:
    """Where a backend is reached, and the connections to it that are idle, the last used at the right."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.idle: deque[Link] = deque()
        self.busy = 0  # connections with a call-out on them


class Backends:
    def __init__(
        self, clock: Clock, tally: Tally, dial_us: int, idle_us: int, room: Room, answer_top: int = BODY_TOP
    ) -> None:
        self.clock, self.tally, self.room, self.answer_top = clock, tally, room, answer_top
        self.dial_s, self.idle_us = dial_us / 1_000_000, int(idle_us * IDLE_PART)
        self.sites: dict[int, Site] = {}  # by backend; emptied by forget()
        self.judge = outcome  # what an answer, or the end of the stream in its place, tells
        self.takes: Callable[[int], bool] = lambda _: True  # new work; set by whoever knows discovery's list
        room.victims.append(self.idle_longest)

    def place(self, backend: int, address: tuple[str, int]) -> None:
        """Where a backend is from now on; connections to where it was are not used again."""
        site = self.sites.get(backend)
        if site is None or site.address != address:
            self.forget(backend)
            self.sites[backend] = Site(address)

    def forget(self, backend: int) -> None:
        if site := self.sites.pop(backend, None):
            while site.idle:
                self.drop(site.idle.pop())

    def sweep(self) -> None:
        """Closes what has been idle for too long; called now and then."""
        for site in self.sites.values():
            while site.idle and self.clock.now() - site.idle[0].used_at >= self.idle_us:
                self.drop(site.idle.popleft())

    def drop(self, link: Link) -> None:
        self.room.free()
        link.close()

    async def call_out(
        self,
        held: Held,
        n: int,
        backend: int,
        head: list[bytes],
        body: bytes,
        until: int,
        ours: Callable[[Message], bool] | None = None,
    ) -> tuple[Outcome, Message | None]:
        """One call-out, ended by an answer, a fault, the module's call-off or the given time. An answer that
        isn't ours came late or was sent twice: the next one on the connection may be."""
        site = self.sites.get(backend)
        if site is None:
            return Outcome.NOT_SENT, None
        called_off = False
        scope = asyncio.timeout_at(self.clock.loop_time(until))

        def stop(number: int) -> None:
            nonlocal called_off
            if number == n and not called_off and not scope.expired():
                called_off = True
                scope.reschedule(0.0)

        link, whole, answer = None, False, None
        held.stop = stop
        try:
            async with scope:
                if (link := self.take_idle(site)) is None:
                    if not self.room.take():
                        self.tally.add("call-outs: no descriptor left")
                        return Outcome.NOT_SENT, None
                    link = await self.connect(site)
                site.busy += 1
                if not self.takes(backend):  # told so since the module chose it: while it was dialled, say
                    self.tally.add("call-outs: backend left meanwhile")
                    return Outcome.NOT_SENT, None
                write_message(link.writer, head, body)
                if link.writer.transport.get_write_buffer_size():
                    await link.writer.drain()
                if link.writer.transport.is_closing():
                    return Outcome.CUT, None
                whole = True
                answer = await link.answers.next()
                while ours and answer and not ours(answer):
                    self.tally.add("answers of backends: to something else")
                    answer = await link.answers.next()
        except TimeoutError:
            if not scope.expired():
                return Outcome.NO_CONNECTION, None
            if not whole:
                return Outcome.NOT_SENT, None
            return (Outcome.CALLED_OFF if called_off else Outcome.TIMED_OUT), None
        except OSError:
            if whole:
                return Outcome.BROKEN, None
            # With a process all its connections go. As long as one is up, only this one was refused or cut.
            return (Outcome.CUT if link or site.idle or site.busy else Outcome.NO_CONNECTION), None
        except Malformed as bad:
            self.tally.report("answers of backends: malformed", f"{site.address}: {bad}")
            return Outcome.BROKEN, None
        finally:
            held.stop = None
            site.busy -= link is not None
            if link and answer and answer.keeps and not link.answers.pending() and (self.sites.get(backend) is site):
                self.put_back(site, link)
            elif link:
                self.drop(link)
        return self.judge(answer), answer

    async def connect(self, site: Site) -> Link:
        """A new connection, for which there is room."""
        try:
            line, writer = await connect(site.address, self.dial_s)
        except BaseException:
            self.room.free()
            raise
        self.tally.add("connections to backends")
        return Link(line, writer, self.answer_top)

    def take_idle(self, site: Site) -> Link | None:
        while site.idle:
            link = site.idle.pop()
            link.line.on_bytes = link.line.on_close = None
            # What has come behind its last answer and waits on the socket would pass for the next one.
            if self.clock.now() - link.used_at < self.idle_us and not (link.writer.is_closing() or unread(link.writer)):
                return link
            self.drop(link)
        return None

    def put_back(self, site: Site, link: Link) -> None:
        """Idle: any byte or close that comes now ends it, so that nothing late meets the next RPC."""

        def end() -> None:
            if link in site.idle:
                site.idle.remove(link)
                self.drop(link)

        link.used_at = self.clock.now()
        if link.line.reader.at_eof() or link.writer.is_closing():
            return self.drop(link)
        link.line.on_bytes = link.line.on_close = end
        site.idle.append(link)

    def idle_longest(self) -> Victim | None:
        sites = [site for site in self.sites.values() if site.idle]
        if not sites:
            return None
        site = min(sites, key=lambda one: one.idle[0].used_at)
        return False, site.idle[0].used_at, lambda: self.drop(site.idle.popleft())


def outcome(answer: Message | None) -> Outcome:
    """The protocol page's table, where an answer, or the end of the stream in its place, has come."""
    if answer is None:
        return Outcome.BROKEN
    if answer.status == 200:
        return Outcome.OK
    if answer.status in (503, 504) and answer.headers.get(b"srv-declined") == b"1":
        return Outcome.TURNED_AWAY
    return Outcome.ERROR
