"""Counters of a process, its rate-limited warnings, and its invariants."""

import time
from collections import Counter

from loguru import logger

WARNINGS_PER_S = 5  # a flood of malformed input must not cause a flood of log lines
DETAIL_MAX_CHARACTERS = 200

# Prefixes of counters that were renamed, new and former. For one release, the summary shows their values under both.
FORMER_PREFIXES = (
    ("attempts: ", "call-outs: "),
    ("backend responses: to another request", "answers of backends: to something else"),
    ("backend responses: ", "answers of backends: "),
    ("client connections", "connections of clients"),
    ("backend connections", "connections to backends"),
    ("requests: overloaded", "requests: pressed"),
    ("RPCs: rejected", "RPCs: pushed back"),
    ("RPCs: abandoned", "RPCs: aborted"),
    ("RPCs: waited for the first endpoint list", "RPCs: waited for the first list"),
    ("counter calls: rejected", "counter calls: turned away"),
    ("counter calls: total unreadable", "counter calls: answered unreadably"),
    ("counter: malformed responses", "counter: malformed answers"),
    ("discovery: malformed responses", "discovery: malformed answers"),
    ("discovery: no response", "discovery: no answer"),
    ("discovery: responses", "discovery: answers"),
    ("process stalled", "stood still"),
    ("decision logic failed", "module failed"),
    ("request closed while the decision logic holds it", "RPC let go, held by the module"),
    ("unexpected decision", "RPC without an answer from the module"),
)


def former_name(name: str) -> str | None:
    """Returns a counter's name in the previous release; None if it was not renamed."""
    for prefix, former in FORMER_PREFIXES:
        if name.startswith(prefix):
            return former + name.removeprefix(prefix)
    return None


def with_former_names(counts: Counter[str]) -> list[tuple[str, int]]:
    """Returns all counts by name, followed by those of the renamed counters by their former names."""
    present = sorted(counts.items())
    former = [(former_name(name), count) for name, count in present]
    return present + [(name, count) for name, count in former if name is not None]


class Metrics:
    """Counts events by name. The names are literals in the code, so their number is bounded.

    Attributes:
        counts: How often each event happened.
        violations: How often each invariant was violated. Only release builds go on after the first violation.
    """

    def __init__(self) -> None:
        """Starts without counts."""
        self.counts: Counter[str] = Counter()
        self.violations: Counter[str] = Counter()
        self.warning_second = self.warnings_this_second = 0

    def add(self, name: str) -> None:
        """Counts one event."""
        self.counts[name] += 1

    def report(self, name: str, detail: str) -> None:
        """Counts one event, and logs it unless WARNINGS_PER_S warnings were already logged in this second."""
        self.counts[name] += 1
        second = int(time.monotonic())
        self.warnings_this_second = self.warnings_this_second + 1 if second == self.warning_second else 1
        self.warning_second = second
        if self.warnings_this_second <= WARNINGS_PER_S:
            logger.warning("{}: {}", name, detail[:DETAIL_MAX_CHARACTERS])

    def check_invariant(self, holds: bool, name: str) -> bool:
        """Counts a violation if an invariant doesn't hold; a debug build (without -O) also raises AssertionError."""
        if not holds:
            self.violations[name] += 1
            assert holds, name
        return holds

    def summary(self) -> str:
        """Returns all counters on one line, the violations first and each marked BROKEN, so that they are noticed."""
        violations = [f"BROKEN {name}={count}" for name, count in with_former_names(self.violations)]
        counts = [f"{name}={count}" for name, count in with_former_names(self.counts)]
        return ", ".join(violations + counts) or "nothing counted yet"
