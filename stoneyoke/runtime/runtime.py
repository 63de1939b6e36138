"""Drives one Gateway in real time, for any front: events go in, actions come out, timers fire.

It knows nothing of sockets or of what a front speaks, and decides nothing. A front tells of an RPC with
open_request(), asks PendingRequest.next_decision() what to do, does it, and reports the result.
"""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Protocol

from loguru import logger

from stoneyoke.control import Gateway
from stoneyoke.control.actions import (
    Abandon,
    Action,
    AddToCounter,
    CancelAttempt,
    ForgetCustomer,
    Reject,
    SetTimer,
    StartAttempt,
)
from stoneyoke.control.events import (
    Arrival,
    AttemptEnded,
    ClientGone,
    CounterReply,
    EndpointsChanged,
    Event,
    TimerFired,
)
from stoneyoke.control.parameters import AttemptOutcome, GatewayParameters
from stoneyoke.runtime.id_index import IdIndex
from stoneyoke.runtime.metrics import Metrics

STOOD_US = 100_000  # a timer overdue by this tells that the process stood still; a busy loop is late by 20 ms
WAKING_US = 50_000  # connections made meanwhile are accepted within this after it woke
CATCH_UP_TURNS = 8  # of the loop: 64 KiB of news, the most there can be, are read in four

Decision = StartAttempt | Reject | Abandon


class Clock:
    """Whole microseconds of Unix time, in monotonic steps from a single reading of the wall."""

    def __init__(self) -> None:
        self.base = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def now(self) -> int:
        return time.monotonic_ns() // 1000 + self.base

    def loop_time(self, at: int) -> float:
        """The event loop's time of a moment; its clock is the monotonic one."""
        return (at - self.base) / 1_000_000


class PendingRequest:
    """One RPC, from its arrival until the front lets go of it."""

    __slots__ = (
        "attempts_started",
        "cancel_attempt",
        "client_gone",
        "clock",
        "decisions",
        "index",
        "runtime",
        "waiter",
    )

    def __init__(self, index: int, clock: Clock, home: "Runtime") -> None:
        self.index, self.clock, self.runtime = index, clock, home
        self.attempts_started = 0  # call-outs begun; the next one's number
        self.client_gone = False  # the client is
        self.decisions: deque[Decision] = deque()
        self.waiter: asyncio.Future[None] | None = None
        self.cancel_attempt: Callable[[int], None] | None = None  # calls off a call-out that is out, by number

    async def next_decision(self, until: int) -> Decision | None:
        """What the module wants done next. None: nothing, for its client has gone, or by then."""
        if not self.decisions and not self.client_gone:
            self.waiter = asyncio.get_running_loop().create_future()
            try:
                async with asyncio.timeout_at(self.clock.loop_time(until)):
                    await self.waiter
            except TimeoutError:
                return None
        return self.decisions.popleft() if self.decisions and not self.client_gone else None

    def wake(self) -> None:
        if self.waiter and not self.waiter.done():
            self.waiter.set_result(None)


class AttemptObserver(Protocol):
    """Sees call-outs begin and end."""

    def attempt_started(self, rpc: int, backend: int) -> None: ...

    def attempt_ended(self, rpc: int, outcome: AttemptOutcome) -> None: ...


class Runtime:
    """Drives the decisions: events in, actions out, timers and the clock."""

    def __init__(self, parameters: GatewayParameters, clock: Clock, metrics: Metrics) -> None:
        self.parameters, self.clock, self.metrics = parameters, clock, metrics
        self.gateway = Gateway(parameters, clock.now())
        self.pending: dict[int, PendingRequest] = {}  # emptied by let_go()
        self.rpcs = 0
        self.customers = IdIndex[int]()  # emptied by the module's Forget
        self.due = self.gateway.born  # when the timer asked for last should fire
        self.stood = self.woke = 0  # the last time that this process stood still: from when, until when
        self.send_to_counter: Callable[[AddToCounter], None] = lambda _: None  # set by whoever speaks to the counter
        self.attempt_observer: AttemptObserver | None = None  # set by the fleet part

    def arrival_time(self) -> int:
        """The earliest time at which what is read now may have come: while this process stood still, clients
        sent on. An overdue timer shows that, or that one was overdue a moment ago."""
        now = self.clock.now()
        if now - self.due > STOOD_US:
            return self.due
        return self.stood if now - self.woke < WAKING_US else now

    async def catch_up(self) -> None:
        """After standing still: lets the loop read what else has come. News that waited must reach the module
        before it sends anything on, or that goes to backends long known to drain."""
        if self.clock.now() - self.arrival_time() > STOOD_US:
            for _ in range(CATCH_UP_TURNS):
                await asyncio.sleep(0)

    def timer(self, due: int, token: int) -> None:
        now = self.clock.now()
        if now - due > STOOD_US:
            self.stood, self.woke = due, now
            self.metrics.report("stood still", f"for {(now - due) // 1000} ms")
        self.dispatch(TimerFired(token))

    # ---- events in ----

    def dispatch(self, event: Event) -> None:
        try:
            actions = self.gateway.handle(event, self.clock.now())
        except Exception:  # a fault in the decisions costs this one event, never the gateway
            logger.exception("the module failed on {}", event)
            self.metrics.check_invariant(False, "module failed")
            actions = self.gateway.actions
        for action in actions:
            try:
                self.carry_out(action)
            except Exception:  # nor does a fault in a front's part keep the other actions from being done
                logger.exception("{} could not be carried out", action)
                self.metrics.check_invariant(False, "action failed")

    def open_request(
        self, method: int, plan: int, account: int, until: int, units: float, width: float, repeat: bool | None
    ) -> PendingRequest:
        self.rpcs += 1
        held = self.pending[self.rpcs] = PendingRequest(self.rpcs, self.clock, self)
        self.dispatch(
            Arrival(
                rpc=held.index,
                method=method,
                plan=plan,
                customer=self.customers.acquire(account),
                customer_id=account,
                wait_us=max(0, until - self.clock.now()),
                units=units,
                customer_gateways=width,
                is_retry=repeat,
            )
        )
        return held

    def attempt_ended(self, held: PendingRequest, n: int, backend: int, outcome: AttemptOutcome) -> None:
        closed = outcome is AttemptOutcome.OK or held.client_gone
        if self.attempt_observer:
            self.attempt_observer.attempt_ended(held.index, outcome)
        self.dispatch(
            AttemptEnded(
                rpc=held.index, attempt=n, backend=backend, outcome=outcome, is_final=closed, settled_units=0.0
            )
        )

    def client_gone(self, held: PendingRequest) -> None:
        if not held.client_gone:
            held.client_gone = True
            self.dispatch(ClientGone(held.index))
            held.wake()

    def close_request(self, held: PendingRequest) -> None:
        """Its answer is decided, or nobody waits. What the module still wished for it was never sent."""
        while held.decisions:
            if isinstance(wish := held.decisions.popleft(), StartAttempt):
                held.attempts_started += 1
                self.attempt_ended(held, held.attempts_started - 1, wish.backend, AttemptOutcome.NOT_SENT)
        self.pending.pop(held.index, None)
        self.metrics.check_invariant(
            held.client_gone or not self.gateway.holds(held.index), "RPC let go, held by the module"
        )

    def counter_replied(self, name: int, added: bool, total: float) -> None:
        self.dispatch(CounterReply(name, added, total))

    def knows_backend(self, backend: int) -> bool:
        return backend in self.gateway.backends

    def endpoints_changed(self, news: EndpointsChanged) -> None:
        self.dispatch(news)

    # ---- actions out ----

    def carry_out(self, action: Action) -> None:
        match action:
            case StartAttempt() | Reject() | Abandon():
                if held := self.pending.get(action.rpc):
                    if self.attempt_observer and isinstance(action, StartAttempt):
                        self.attempt_observer.attempt_started(action.rpc, action.backend)
                    held.decisions.append(action)
                    held.wake()
            case SetTimer(delay, token):
                self.due = self.clock.now() + delay
                asyncio.get_running_loop().call_later(delay / 1_000_000, self.timer, self.due, token)
            case CancelAttempt(rpc, n):
                if (held := self.pending.get(rpc)) and held.cancel_attempt:
                    held.cancel_attempt(n)
            case AddToCounter():
                self.send_to_counter(action)
            case ForgetCustomer(customer):
                self.customers.release(customer)
            case _:  # Subscribe: news comes by itself here
                pass
