"""A token bucket whose clock is passed in. No I/O; times in whole microseconds."""

import math

SECOND = 1_000_000  # in microseconds
MAX_WAIT_US = 20 * SECOND  # the design's limit on a stated retry time, and on its jitter


class TokenBucket:
    """Units that are refilled at a rate, up to a depth."""

    def __init__(self, rate: float, depth: float, level: float, now: int) -> None:
        """Starts at a level.

        Args:
            rate: Units a second.
            depth: Units that it holds at most.
            level: Units that it holds now.
            now: In microseconds, of the same clock as in all calls.
        """
        self.rate, self.depth, self.level, self.filled_at = rate, depth, level, now

    def fill(self, now: int) -> float:
        """Adds the units refilled since the last call, and returns the level."""
        self.level = min(self.depth, self.level + self.rate * (now - self.filled_at) / SECOND)
        self.filled_at = now
        return self.level

    def resize(self, rate: float, depth: float, now: int) -> None:
        """Changes rate and depth. This creates no units: the level stays, limited to the new depth."""
        self.level = min(self.fill(now), depth)
        self.rate, self.depth = rate, depth

    def wait_us(self, units: float, now: int) -> int:
        """Returns the microseconds until it holds so many units: 0 if it does, MAX_WAIT_US if it is never refilled."""
        shortfall = units - self.fill(now)
        if shortfall <= 0:
            return 0
        return MAX_WAIT_US if self.rate <= 0 else math.ceil(shortfall / self.rate * SECOND)
