"""Counters of what is taken in, sent and answered, and of what should never be. Decides nothing."""

from collections import Counter


class Tally:
    """Counts by a word or two; the words come from the code, so it grows no further than they do."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.broken: Counter[str] = Counter()

    def add(self, what: str) -> None:
        self.counts[what] += 1

    def must(self, holds: bool, what: str) -> bool:
        """What must hold: asserted in debug builds, counted in release ones (python -O)."""
        if not holds:
            self.broken[what] += 1
            assert holds, what
        return holds

    def line(self) -> str:
        """All counts on one line: the broken ones first, so that they are seen."""
        parts = [f"BROKEN {what}={n}" for what, n in sorted(self.broken.items())]
        return ", ".join(parts + [f"{what}={n}" for what, n in sorted(self.counts.items())]) or "nothing yet"
