"""The process's clock: Unix time that never goes backwards."""

import time


class Clock:
    """Whole microseconds of Unix time, counted monotonically from one reading of the wall clock."""

    def __init__(self) -> None:
        """Reads the wall clock once; later corrections of the wall clock have no effect on this clock."""
        self.monotonic_to_unix_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def now(self) -> int:
        """Returns the current time in microseconds."""
        return time.monotonic_ns() // 1000 + self.monotonic_to_unix_us

    def loop_time(self, time_us: int) -> float:
        """Converts a time of this clock to the event loop's time in seconds. Both clocks are monotonic."""
        return (time_us - self.monotonic_to_unix_us) / 1_000_000
