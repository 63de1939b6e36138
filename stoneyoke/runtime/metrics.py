"""Counters of what is taken in, sent and answered, and of what should never be. Decides nothing."""

import time
from collections import Counter

from loguru import logger

LINES_A_SECOND = 5  # of reports: a flood of bad input must not become a flood of lines


class Metrics:
    """Counts by a word or two; the words come from the code, so it grows no further than they do."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.violations: Counter[str] = Counter()
        self.second = self.lines = 0

    def add(self, what: str) -> None:
        self.counts[what] += 1

    def report(self, what: str, detail: str) -> None:
        """Counted, and logged on a line of its own unless this second has had its lines."""
        self.counts[what] += 1
        second = int(time.monotonic())
        self.second, self.lines = second, self.lines + 1 if second == self.second else 1
        if self.lines <= LINES_A_SECOND:
            logger.warning("{}: {}", what, detail[:200])

    def check_invariant(self, holds: bool, what: str) -> bool:
        """What must hold: asserted in debug builds, counted in release ones (python -O)."""
        if not holds:
            self.violations[what] += 1
            assert holds, what
        return holds

    def summary(self) -> str:
        """All counts on one line: the broken ones first, so that they are seen."""
        parts = [f"BROKEN {what}={n}" for what, n in sorted(self.violations.items())]
        return ", ".join(parts + [f"{what}={n}" for what, n in sorted(self.counts.items())]) or "nothing yet"
