"""Drives one Gateway in real time, for any front: events go in, actions come out, timers fire.

It knows nothing of sockets or of what a front speaks, and decides nothing. A front tells of an RPC with
take_in(), asks Held.wish() what the module wants done, does it, and tells what came of it.
"""

import asyncio
import time
from collections import deque
from collections.abc import Callable

from loguru import logger

from stoneyoke.control import Gateway
from stoneyoke.door import Door
from stoneyoke.interface import (
    Abort, Action, AddCount, Arrival, CallOff, CallOut, CallOutEnded, ClientGone, CountAnswer, Event,
    FleetNews, Forget, Outcome, PushBack, SetTimer, Terms, TimerFired,
)
from stoneyoke.tally import Tally

Wish = CallOut | PushBack | Abort


class Clock:
    """Whole microseconds of Unix time, in monotonic steps from a single reading of the wall."""

    def __init__(self) -> None:
        self.base = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def now(self) -> int:
        return time.monotonic_ns() // 1000 + self.base

    def loop_time(self, at: int) -> float:
        """The event loop's time of a moment; its clock is the monotonic one."""
        return (at - self.base) / 1_000_000


class Held:
    """One RPC, from its arrival until the front lets go of it."""

    __slots__ = ("calls", "customer", "gone", "index", "stop", "waiter", "wishes")

    def __init__(self, index: int) -> None:
        self.index = index
        self.calls = 0  # call-outs begun; the next one's number
        self.gone = False  # the client is
        self.wishes: deque[Wish] = deque()
        self.waiter: asyncio.Future[None] | None = None
        self.stop: Callable[[int], None] | None = None  # calls off a call-out that is out, by number

    async def wish(self) -> Wish | None:
        """What the module wants done next; None: nothing any more, its client has gone."""
        while not self.wishes and not self.gone:
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        return self.wishes.popleft() if self.wishes and not self.gone else None

    def wake(self) -> None:
        if self.waiter and not self.waiter.done():
            self.waiter.set_result(None)


class Runtime:
    def __init__(self, terms: Terms, clock: Clock, tally: Tally) -> None:
        self.terms, self.clock, self.tally = terms, clock, tally
        self.gateway = Gateway(terms, clock.now())
        self.held: dict[int, Held] = {}  # emptied by let_go()
        self.rpcs = 0
        self.customers = Door[int]()  # emptied by the module's Forget
        self.add_count: Callable[[AddCount], None] = lambda _: None  # set by whoever speaks to the counter

    # ---- events in ----

    def tell(self, event: Event) -> None:
        try:
            actions = self.gateway.handle(event, self.clock.now())
        except Exception:  # a fault in the decisions costs this one event, never the gateway
            logger.exception("the module failed on {}", event)
            self.tally.must(False, "module failed")
            actions = self.gateway.actions
        for action in actions:
            self.carry_out(action)

    def take_in(self, method: int, plan: int, account: int, until: int, units: float, width: float) -> Held:
        self.rpcs += 1
        held = self.held[self.rpcs] = Held(self.rpcs)
        self.tell(Arrival(held.index, method, plan, self.customers.enter(account), account,
                          max(0, until - self.clock.now()), units, width))
        return held

    def call_out_ended(self, held: Held, n: int, backend: int, outcome: Outcome) -> None:
        closed = outcome is Outcome.OK or held.gone
        self.tell(CallOutEnded(held.index, n, backend, outcome, closed, 0.0))

    def client_gone(self, held: Held) -> None:
        if not held.gone:
            held.gone = True
            self.tell(ClientGone(held.index))
            held.wake()

    def let_go(self, held: Held) -> None:
        self.held.pop(held.index, None)
        self.tally.must(not self.gateway.holds(held.index), "RPC let go, still held by the module")

    def counted(self, name: int, total: float | None) -> None:
        self.tell(CountAnswer(name, total is not None, total or 0.0))

    def listed(self, news: FleetNews) -> None:
        self.tell(news)

    # ---- actions out ----

    def carry_out(self, action: Action) -> None:
        match action:
            case CallOut() | PushBack() | Abort():
                if held := self.held.get(action.rpc):
                    held.wishes.append(action)
                    held.wake()
            case SetTimer(delay, token):
                asyncio.get_running_loop().call_later(delay / 1_000_000, self.tell, TimerFired(token))
            case CallOff(rpc, n):
                if (held := self.held.get(rpc)) and held.stop:
                    held.stop(n)
            case AddCount():
                self.add_count(action)
            case Forget(customer):
                self.customers.leave(customer)
            case _:  # Subscribe: news comes by itself here
                pass
