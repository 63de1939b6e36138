"""Connections to backends, and call-outs over them: each outcome told apart, nothing ever sent again.

An answer is taken for the request that went out on the same connection, and no other. A connection with any doubt on it
(bytes beyond an answer, an answer to something else, cut, garbled or given up) is closed and never used again."""

import asyncio
from collections import deque
from collections.abc import Callable

from stoneyoke.control.parameters import AttemptOutcome
from stoneyoke.net.descriptor_budget import DescriptorBudget, EvictionCandidate
from stoneyoke.net.errors import MalformedMessage
from stoneyoke.net.message_reader import BODY_MAX_BYTES, Message, MessageReader
from stoneyoke.net.message_writer import RequestWrite
from stoneyoke.net.stream import StreamProtocol, connect, is_readable
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.metrics import Metrics
from stoneyoke.runtime.pending_request import PendingRequest

# A backend closes an idle connection when the settings' time is up; one idle for this part of it isn't used.
IDLE_PART = 0.75


class BackendConnection:
    """One connection to a backend."""

    def __init__(self, line: StreamProtocol, writer: asyncio.StreamWriter, answer_top: int) -> None:
        self.line, self.writer = line, writer
        self.answers = MessageReader(line.reader, responses=True, body_max_bytes=answer_top)
        self.used_at = 0
        self.doubted = False  # an answer to something else came on it

    def clean(self) -> bool:
        """Whether nothing but answers that were taken has come, each to its own request, and neither end closed it."""
        taken_all = self.line.bytes_received == self.answers.bytes_parsed and not self.answers.pending()
        return taken_all and not (self.doubted or self.line.reader.at_eof() or self.writer.is_closing())

    def close(self) -> None:
        self.line.on_data = self.line.on_close = None
        self.writer.transport.abort()


class BackendPool:
    """Where a backend is reached, and the connections to it that are idle, the last used at the right."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.idle: deque[BackendConnection] = deque()
        self.busy = 0  # connections with a call-out on them


class Attempt:
    """One request on its way to a backend: its connection, and what may have left of it.

    It is never written twice. Its outcome says that it has not run only where no byte of it can have left; a failure
    after that, at whichever await, tells that it may have run."""

    def __init__(self, site: BackendPool) -> None:
        self.site = site
        self.link: BackendConnection | None = None
        self.request: RequestWrite | None = None

    async def send(self, head: list[bytes], body: bytes) -> None:
        if self.link is None or not self.link.clean():  # who speaks before being asked answers nothing
            raise ConnectionResetError("a connection that can't be used")
        self.request = RequestWrite(self.link.writer)
        self.request.start(head, body)
        await self.request.finish()

    async def answer(self, ours: Callable[[Message], bool] | None, metrics: Metrics) -> Message | None:
        """The answer to this request, or None where the stream ended in its place."""
        if self.link is None:
            return None
        while (answer := await self.link.answers.next()) and ours and not ours(answer):
            self.link.doubted = True
            metrics.add("answers of backends: to something else")
        return answer

    def failure_outcome(self, bad: OSError, time_up: bool, called_off: bool) -> AttemptOutcome:
        """What its end tells. Its connection is aborted before the loop turns again (see RequestWrite)."""
        ended_here = time_up and isinstance(bad, TimeoutError)
        if self.request and self.request.may_have_left():
            if ended_here:
                return AttemptOutcome.CANCELLED if called_off else AttemptOutcome.TIMED_OUT
            return AttemptOutcome.BROKEN
        if ended_here:
            return AttemptOutcome.NOT_SENT
        if self.link is None and isinstance(bad, TimeoutError):
            return AttemptOutcome.NO_CONNECTION
        # With a process all its connections go. As long as one is up, only this one was refused or cut.
        return AttemptOutcome.CUT if self.link or self.site.idle or self.site.busy else AttemptOutcome.NO_CONNECTION


class Backends:
    may_cancel_attempts = (
        True  # False once this process is to end: what a backend is at work on is not broken off any more
    )

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        dial_us: int,
        idle_us: int,
        descriptor_budget: DescriptorBudget,
        answer_top: int = BODY_MAX_BYTES,
    ) -> None:
        self.clock, self.metrics, self.descriptor_budget, self.answer_top = (
            clock,
            metrics,
            descriptor_budget,
            answer_top,
        )
        self.dial_s, self.idle_us = dial_us / 1_000_000, int(idle_us * IDLE_PART)
        self.pools: dict[int, BackendPool] = {}  # by backend; emptied by forget()
        self.classify = outcome  # what an answer, or the end of the stream in its place, tells
        self.accepts_new_work: Callable[[int], bool] = lambda _: True  # new work; set by whoever knows discovery's list
        descriptor_budget.eviction_sources.append(self.eviction_candidate)

    def set_address(self, backend: int, address: tuple[str, int]) -> None:
        """Where a backend is from now on; connections to where it was are not used again."""
        site = self.pools.get(backend)
        if site is None or site.address != address:
            self.remove(backend)
            self.pools[backend] = BackendPool(address)

    def remove(self, backend: int) -> None:
        if site := self.pools.pop(backend, None):
            while site.idle:
                self.drop(site.idle.pop())

    def close_expired(self) -> None:
        """Closes what has been idle for too long; called now and then."""
        for site in self.pools.values():
            while site.idle and self.clock.now() - site.idle[0].used_at >= self.idle_us:
                self.drop(site.idle.popleft())

    def drop(self, link: BackendConnection) -> None:
        self.descriptor_budget.free()
        link.close()

    async def send_attempt(
        self,
        held: PendingRequest,
        n: int,
        backend: int,
        head: list[bytes],
        body: bytes,
        until: int,
        ours: Callable[[Message], bool] | None = None,
    ) -> tuple[AttemptOutcome, Message | None]:
        """One call-out, ended by an answer, a fault, the module's call-off or the given time.

        ours: whether an answer belongs to this request. One that does not came late or was sent twice: the next one
        on the connection may be."""
        site = self.pools.get(backend)
        if site is None or self.clock.now() >= until:
            return AttemptOutcome.NOT_SENT, None
        called_off = False
        scope = asyncio.timeout_at(self.clock.loop_time(until))

        def stop(number: int) -> None:
            nonlocal called_off
            if number == n and self.may_cancel_attempts and not called_off and not scope.expired():
                called_off = True
                scope.reschedule(0.0)

        attempt, answer = Attempt(site), None
        held.cancel_attempt = stop
        try:
            async with scope:
                if not await self.reach(attempt, backend):
                    return AttemptOutcome.NOT_SENT, None
                await attempt.send(head, body)
                answer = await attempt.answer(ours, self.metrics)
        except OSError as bad:  # a TimeoutError is one: the scope's, the dial's, or the kernel's own
            return attempt.failure_outcome(bad, scope.expired(), called_off), None
        except MalformedMessage as bad:
            self.metrics.report("answers of backends: malformed", f"{site.address}: {bad}")
            return AttemptOutcome.BROKEN, None
        finally:
            held.cancel_attempt = None
            self.release(attempt, backend, answer)
        return self.classify(answer), answer

    async def reach(self, attempt: Attempt, backend: int) -> bool:
        """Gives it a connection. False: there is no descriptor, or the backend takes no new work any more."""
        site = attempt.site
        link = self.take_idle(site)
        if link is None:
            if not self.descriptor_budget.take():
                self.metrics.add("call-outs: no descriptor left")
                return False
            link = await self.connect(site)
        attempt.link = link
        site.busy += 1
        if (
            not self.accepts_new_work(backend) or self.pools.get(backend) is not site
        ):  # told so while it was dialled, say
            self.metrics.add("call-outs: backend left meanwhile")
            return False
        return True

    def release(self, attempt: Attempt, backend: int, answer: Message | None) -> None:
        """Keeps the connection if it ended with this request's own answer and there is no doubt about it."""
        if link := attempt.link:
            attempt.site.busy -= 1
            current = self.pools.get(backend) is attempt.site
            if current and answer and answer.keep_alive and link.clean():
                self.put_back(attempt.site, link)
            else:
                self.drop(link)

    async def connect(self, site: BackendPool) -> BackendConnection:
        """A new connection, for which there is room."""
        try:
            line, writer = await connect(site.address, self.dial_s)
        except BaseException:
            self.descriptor_budget.free()
            raise
        self.metrics.add("connections to backends")
        return BackendConnection(line, writer, self.answer_top)

    def take_idle(self, site: BackendPool) -> BackendConnection | None:
        while site.idle:
            link = site.idle.pop()
            link.line.on_data = link.line.on_close = None
            # What waits on the socket, bytes or an end, the loop has not seen yet: after a freeze there may be both.
            if self.clock.now() - link.used_at < self.idle_us and link.clean() and not is_readable(link.writer):
                return link
            self.drop(link)
        return None

    def put_back(self, site: BackendPool, link: BackendConnection) -> None:
        """Idle: any byte or close that comes now ends it, so that nothing late meets the next RPC."""

        def end() -> None:
            if link in site.idle:
                site.idle.remove(link)
                self.drop(link)

        link.used_at = self.clock.now()
        link.line.on_data = link.line.on_close = end
        site.idle.append(link)

    def eviction_candidate(self) -> EvictionCandidate | None:
        pools = [site for site in self.pools.values() if site.idle]
        if not pools:
            return None
        site = min(pools, key=lambda one: one.idle[0].used_at)
        return False, site.idle[0].used_at, lambda: self.drop(site.idle.popleft())


def outcome(answer: Message | None) -> AttemptOutcome:
    """The protocol page's table, where an answer, or the end of the stream in its place, has come."""
    if answer is None:
        return AttemptOutcome.BROKEN
    if answer.status == 200:
        return AttemptOutcome.OK
    if answer.status in (503, 504) and answer.headers.get(b"srv-declined") == b"1":
        return AttemptOutcome.REJECTED
    return AttemptOutcome.ERROR
