"""An event loop whose time is simulated."""

import asyncio
from typing import Any


STILL_TURNS = 200_000  # without time passing: somebody waits for nothing, again and again


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Time passes only when nothing is left to do, and then at once: nothing waits."""

    def __init__(self) -> None:
        super().__init__()
        self.now, self.turns = 1000.0, 0
        real = self._selector.select  # type: ignore[attr-defined]

        def jump(timeout: float | None) -> Any:
            self.turns += 1
            if self.turns > STILL_TURNS:
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
