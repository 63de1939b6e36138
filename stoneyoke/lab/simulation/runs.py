"""Many scenarios at once, on several processors, and what came of them."""

import time
from collections import Counter
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from hashlib import blake2b
from pathlib import Path
from typing import NamedTuple

from stoneyoke.lab.simulation import seeded_defects
from stoneyoke.lab.simulation.checker import Outcome
from stoneyoke.lab.simulation.hard_days import SCRIPTED_SCENARIOS
from stoneyoke.lab.simulation.plans import Plan, read_plan
from stoneyoke.lab.simulation.random_plans import make_plan
from stoneyoke.lab.simulation.scenario import Scenario


@dataclass
class Metrics:
    """Of many scenarios. trace: a digest of all of theirs, in the order of their seeds."""

    scenarios: int = 0
    broken: list[Outcome] = field(default_factory=list)
    events: Counter[str] = field(default_factory=Counter)
    sent: int = 0
    rejected_below_quota: int = 0
    requests_below_quota: int = 0
    seconds: float = 0.0
    trace: str = ""

    def text(self) -> str:
        events = ", ".join(f"{kind} {count}" for kind, count in sorted(self.events.items()))
        return (
            f"{self.scenarios} scenarios in {self.seconds:.0f} s, {len(self.broken)} broken, trace {self.trace}\n"
            f"met: {events}\n{self.sent} requests passed; of tenants at half their quota "
            f"{self.rejected_below_quota} of {self.requests_below_quota} were refused"
        )


def play(plan: Plan, defect: str = "") -> Outcome:
    """A scenario that ends with an exception of its own is broken too."""
    with seeded_defects.seeded(defect):
        try:
            return Scenario(plan).play()
        except Exception as bad:
            return Outcome(plan.seed, [f"an exception: {type(bad).__name__}: {bad}"], "", Counter())


def play_seed(seed: int, defect: str = "") -> Outcome:
    return play(make_plan(seed), defect)


def play_scripted(name: str, defect: str = "") -> Outcome:
    return play(SCRIPTED_SCENARIOS[name], defect)


def play_many(seeds: Iterable[int], jobs: int) -> Iterator[Outcome]:
    if jobs <= 1:
        yield from map(play_seed, seeds)
        return
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(play_seed, seeds, chunksize=4)


def count(outcomes: Iterable[Outcome]) -> Metrics:
    metrics, trace_digest, begun = Metrics(), blake2b(digest_size=12), time.monotonic()
    for outcome in outcomes:
        metrics.scenarios += 1
        metrics.events += outcome.events
        metrics.sent += outcome.sent
        metrics.rejected_below_quota += outcome.rejected_below_quota
        metrics.requests_below_quota += outcome.requests_below_quota
        trace_digest.update(f"{outcome.seed} {outcome.trace}\n".encode())
        if outcome.broken:
            metrics.broken.append(outcome)
    metrics.seconds, metrics.trace = time.monotonic() - begun, trace_digest.hexdigest()
    return metrics


class StoredCaseResult(NamedTuple):
    """How a plan that is kept for a seeded defect fares: whether it breaks without that defect, and with it."""

    breaks_without: bool
    breaks_with: bool


def play_stored_case(path: str) -> StoredCaseResult:
    """Plays a kept plan both ways; its file is named after the defect."""
    file = Path(path)
    plan = read_plan(file.read_text())
    return StoredCaseResult(bool(play(plan).broken), bool(play(plan, file.stem).broken))
