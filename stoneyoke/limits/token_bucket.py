"""Stores of units that time refills, and chance. No I/O; times in whole microseconds."""

import math

SECOND = 1_000_000
LONGEST_WAIT = 20 * SECOND  # the design's cap on advised wait and jitter


class RandomSource:
    """A linear congruential generator (Knuth's constants); the high bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = seed

    def draw(self) -> float:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % 2**64
        return (self.state >> 32) / 2**32


class TokenBucket:
    """Units that time refills up to a depth."""

    def __init__(self, rate: float, depth: float, level: float, now: int) -> None:
        self.rate, self.depth, self.level, self.at = rate, depth, level, now

    def fill(self, now: int) -> float:
        self.level = min(self.depth, self.level + self.rate * (now - self.at) / SECOND)
        self.at = now
        return self.level

    def reshape(self, rate: float, depth: float, now: int) -> None:
        """A changing slice mints nothing: what is held stays, at most up to the new depth."""
        self.level = min(self.fill(now), depth)
        self.rate, self.depth = rate, depth

    def wait_for(self, units: float, now: int) -> int:
        lack = units - self.fill(now)
        return 0 if lack <= 0 else LONGEST_WAIT if self.rate <= 0 else math.ceil(lack / self.rate * SECOND)
