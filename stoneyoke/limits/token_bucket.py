"""A token bucket whose clock is passed in. No I/O; times in whole microseconds."""

import math

SECOND = 1_000_000  # in microseconds
MAX_WAIT_US = 20 * SECOND  # the design's limit on an advised wait and on its jitter


class TokenBucket:
    """Units that time refills up to a depth."""

    def __init__(self, rate: float, depth: float, level: float, now: int) -> None:
        """Starts with some units.

        Args:
            rate: Units a second.
            depth: Units that it holds at most.
            level: Units that it holds now.
            now: In microseconds, of the same clock as in all calls.
        """
        self.rate, self.depth, self.level, self.filled_at = rate, depth, level, now

    def fill(self, now: int) -> float:
        """Adds what time has refilled, and returns the level."""
        self.level = min(self.depth, self.level + self.rate * (now - self.filled_at) / SECOND)
        self.filled_at = now
        return self.level

    def resize(self, rate: float, depth: float, now: int) -> None:
        """Changes rate and depth. It creates no units: the level stays, at most up to the new depth."""
        self.level = min(self.fill(now), depth)
        self.rate, self.depth = rate, depth

    def wait_us(self, units: float, now: int) -> int:
        """Microseconds until it holds so many units: 0 if it does, MAX_WAIT_US if it is never refilled."""
        shortfall = units - self.fill(now)
        if shortfall <= 0:
            return 0
        return MAX_WAIT_US if self.rate <= 0 else math.ceil(shortfall / self.rate * SECOND)
