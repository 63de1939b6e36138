"""An event loop with simulated time, on which individual machines can be frozen."""

import asyncio
import contextvars
import heapq
from collections import deque
from typing import Any

START_S = 1000.0  # the time at which a loop starts
MAX_ITERATIONS_WITHOUT_PROGRESS = 200_000  # loop iterations at one time; more mean that a task never waits
# The machine to which a task or a timer belongs; empty for the network and for callers outside the system.
MACHINE: contextvars.ContextVar[str] = contextvars.ContextVar("machine", default="")


class FreezableHandle(asyncio.Handle):
    """One step of a task, which waits while its machine is frozen."""

    __slots__ = ()

    def _run(self) -> None:
        if not self._loop.queue_if_frozen(self):  # type: ignore[attr-defined]
            super()._run()


class FreezableTimerHandle(asyncio.TimerHandle):
    """A timer. If it expires while its machine is frozen, its callback runs after the thaw."""

    __slots__ = ()

    def _run(self) -> None:
        if not self._loop.queue_if_frozen(self):  # type: ignore[attr-defined]
            super()._run()


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop that advances its time to the next timer when no step is ready to run.

    A frozen machine stops at the await that it has reached, which may lie between a check and the action that relies on
    it. Its timers, messages and writes are delivered after the thaw, in their order.

    Attributes:
        now: The simulated time in seconds.
        iterations: Loop iterations since the time last advanced.
        frozen: The waiting steps of each frozen machine.
    """

    def __init__(self) -> None:
        """Starts at START_S. The selector advances the time instead of waiting."""
        super().__init__()
        self.now, self.iterations = START_S, 0
        self.frozen: dict[str, deque[asyncio.Handle]] = {}
        real_select = self._selector.select  # type: ignore[attr-defined]

        def jump(timeout: float | None) -> Any:
            self.iterations += 1
            if self.iterations > MAX_ITERATIONS_WITHOUT_PROGRESS:
                raise RuntimeError(f"time does not advance at {self.now:.3f} s: a task never waits")
            if timeout == 0:
                return []
            events = real_select(0)
            if not events:
                assert timeout is not None, "deadlock: no step is ready and no timer is scheduled"
                self.now, self.iterations = self.now + timeout, self.iterations if timeout < 1e-9 else 0
            return events

        self._selector.select = jump  # type: ignore[attr-defined]

    def time(self) -> float:
        """Returns the simulated time in seconds."""
        return self.now

    def freeze(self, machine: str) -> None:
        """Freezes a machine; does nothing if it is frozen already."""
        self.frozen.setdefault(machine, deque())

    def thaw(self, machine: str) -> None:
        """Resumes a machine; does nothing if it is not frozen."""
        self._ready.extend(self.frozen.pop(machine, ()))  # type: ignore[attr-defined]

    def queue_if_frozen(self, handle: asyncio.Handle) -> bool:
        """Queues a step if its machine is frozen; returns whether it was queued."""
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
        """Starts a timer whose callback waits while its machine is frozen."""
        timer = FreezableTimerHandle(when, callback, args, self, context)
        heapq.heappush(self._scheduled, timer)  # type: ignore[attr-defined]
        timer._scheduled = True  # type: ignore[attr-defined]
        return timer
