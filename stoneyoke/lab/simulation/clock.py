"""An event loop whose time is simulated, and on which single machines can be frozen."""

import asyncio
import contextvars
import heapq
from collections import deque
from typing import Any

MAX_TURNS_WITHOUT_PROGRESS = 200_000  # without time passing: somebody waits for nothing, again and again
MACHINE: contextvars.ContextVar[str] = contextvars.ContextVar("machine", default="")  # where a task or timer runs


class FreezableHandle(asyncio.Handle):
    """One step. It waits while the machine that it belongs to is frozen."""

    __slots__ = ()

    def _run(self) -> None:
        if not self._loop.hold_if_frozen(self):  # type: ignore[attr-defined]
            super()._run()


class FreezableTimerHandle(asyncio.TimerHandle):
    """The same for a timer: time passes for a frozen machine, and it learns so once it is thawed."""

    __slots__ = ()

    def _run(self) -> None:
        if not self._loop.hold_if_frozen(self):  # type: ignore[attr-defined]
            super()._run()


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Time passes only when nothing is left to do, and then at once: nothing waits.

    frozen: the steps that wait, by machine. A frozen machine stands still at whatever await it had reached, between a
    check and what rests on it too: its timers, messages and writes are delivered after the thaw, in their order."""

    def __init__(self) -> None:
        super().__init__()
        self.now, self.turns = 1000.0, 0
        self.frozen: dict[str, deque[asyncio.Handle]] = {}
        real = self._selector.select  # type: ignore[attr-defined]

        def jump(timeout: float | None) -> Any:
            self.turns += 1
            if self.turns > MAX_TURNS_WITHOUT_PROGRESS:
                raise RuntimeError(f"time stands still at {self.now:.3f}")
            if timeout == 0:
                return []
            events = real(0)
            if not events:
                assert timeout is not None, "everything waits for something else"
                self.now, self.turns = self.now + timeout, self.turns if timeout < 1e-9 else 0
            return events

        self._selector.select = jump  # type: ignore[attr-defined]

    def time(self) -> float:
        return self.now

    def freeze(self, machine: str) -> None:
        self.frozen.setdefault(machine, deque())

    def thaw(self, machine: str) -> None:
        self._ready.extend(self.frozen.pop(machine, ()))  # type: ignore[attr-defined]

    def hold_if_frozen(self, handle: asyncio.Handle) -> bool:
        """Whether this step has to wait for a thaw."""
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

    def call_at(self, when: float, callback: Any, *args: Any, context: Any = None) -> asyncio.TimerHandle:  # type: ignore[override]
        timer = FreezableTimerHandle(when, callback, args, self, context)
        heapq.heappush(self._scheduled, timer)  # type: ignore[attr-defined]
        timer._scheduled = True  # type: ignore[attr-defined]
        return timer
