"""An event loop whose time is simulated, and on which single machines can be frozen."""

import asyncio
import contextvars
import heapq
from collections import deque
from typing import Any

START_S = 1000.0  # the time at which a loop starts
MAX_TURNS_WITHOUT_PROGRESS = 200_000  # turns without time passing, after which a task must be spinning
# The machine to which a task or a timer belongs; empty for the network and the callers outside.
MACHINE: contextvars.ContextVar[str] = contextvars.ContextVar("machine", default="")


class FreezableHandle(asyncio.Handle):
    """One step of a task. It waits while its machine is frozen."""

    __slots__ = ()

    def _run(self) -> None:
        if not self._loop.hold_if_frozen(self):  # type: ignore[attr-defined]
            super()._run()


class FreezableTimerHandle(asyncio.TimerHandle):
    """A timer. Time passes for a frozen machine, which learns so once it is thawed."""

    __slots__ = ()

    def _run(self) -> None:
        if not self._loop.hold_if_frozen(self):  # type: ignore[attr-defined]
            super()._run()


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop that jumps to the next timer when no step is left to run.

    A frozen machine stops at the await that it has reached, which may lie between a check and what rests on it. Its
    timers, messages and writes are delivered after the thaw, in their order.

    Attributes:
        now: The simulated time in seconds.
        turns: Turns of the loop since time passed last.
        frozen: The steps that wait, by machine.
    """

    def __init__(self) -> None:
        """Starts at START_S; replaces the selector's wait by a jump in time."""
        super().__init__()
        self.now, self.turns = START_S, 0
        self.frozen: dict[str, deque[asyncio.Handle]] = {}
        real = self._selector.select  # type: ignore[attr-defined]

        def jump(timeout: float | None) -> Any:
            self.turns += 1
            if self.turns > MAX_TURNS_WITHOUT_PROGRESS:
                raise RuntimeError(f"no time passes at {self.now:.3f} s: a task runs again and again")
            if timeout == 0:
                return []
            events = real(0)
            if not events:
                assert timeout is not None, "everything waits for something else"
                self.now, self.turns = self.now + timeout, self.turns if timeout < 1e-9 else 0
            return events

        self._selector.select = jump  # type: ignore[attr-defined]

    def time(self) -> float:
        """Returns the simulated time in seconds."""
        return self.now

    def freeze(self, machine: str) -> None:
        """Stops a machine; nothing changes if it is frozen."""
        self.frozen.setdefault(machine, deque())

    def thaw(self, machine: str) -> None:
        """Lets a machine continue; nothing changes if it is not frozen."""
        self._ready.extend(self.frozen.pop(machine, ()))  # type: ignore[attr-defined]

    def hold_if_frozen(self, handle: asyncio.Handle) -> bool:
        """Keeps a step of a frozen machine; returns whether it has to wait."""
        if not self.frozen:
            return False
        waiting = self.frozen.get(handle._context.get(MACHINE, ""))  # type: ignore[attr-defined]
        if waiting is None:
            return False
        waiting.append(handle)
        return True

    def _call_soon(self, callback: Any, args: Any, context: Any) -> asyncio.Handle:
        handle = FreezableHandle(callback, args, self, context)
        self._ready.append(handle)  # type: ignore[attr-defined]
        return handle

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        """Starts a timer that a freeze of its machine holds back."""
        timer = FreezableTimerHandle(when, callback, args, self, context)
        heapq.heappush(self._scheduled, timer)  # type: ignore[attr-defined]
        timer._scheduled = True  # type: ignore[attr-defined]
        return timer
