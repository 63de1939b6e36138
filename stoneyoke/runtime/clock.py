"""The process's clock: Unix time that never steps back."""

import time


class Clock:
    """Whole microseconds of Unix time, counted monotonically from one reading of the wall clock."""

    def __init__(self) -> None:
        """Reads the wall clock once; a later correction of it does not move this clock."""
        self.monotonic_to_unix_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def now(self) -> int:
        """The present time in microseconds."""
        return time.monotonic_ns() // 1000 + self.monotonic_to_unix_us

    def loop_time(self, time_us: int) -> float:
        """The event loop's time, in seconds, of a time of this clock. Both count monotonically."""
        return (time_us - self.monotonic_to_unix_us) / 1_000_000
