"""A clock that a test advances, together with the time of the event loop."""

import asyncio
from typing import Any, cast

from stoneyoke.runtime.clock import Clock

ITERATIONS = 200  # of the event loop, for what is due to happen on loopback sockets


class DrivenClock(Clock):
    """Shows the real time plus what the test has added. Is created in a running event loop."""

    def __init__(self) -> None:
        """Replaces the time of the running event loop by the same sum."""
        super().__init__()
        self.added_s = 0.0
        loop = cast(Any, asyncio.get_running_loop())
        real_time = loop.time
        loop.time = lambda: real_time() + self.added_s

    def now(self) -> int:
        """Returns the current time in microseconds."""
        return super().now() + int(self.added_s * 1_000_000)

    async def advance(self, seconds: float) -> None:
        """Adds to the time, then runs the event loop for a while."""
        self.added_s += seconds
        await settle()


async def settle() -> None:
    """Runs the event loop for a while without a timer."""
    for _ in range(ITERATIONS):
        await asyncio.sleep(0)
