"""Runs scenarios from seeds, scripts and stored plans, in several processes."""

import time
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from hashlib import blake2b
from pathlib import Path
from typing import NamedTuple

from stoneyoke.lab.simulation.defects import in_scenarios
from stoneyoke.lab.simulation.plans import Plan, read_plan
from stoneyoke.lab.simulation.random_plans import make_plan
from stoneyoke.lab.simulation.results import ScenarioResult, Summary
from stoneyoke.lab.simulation.scenario import Scenario
from stoneyoke.lab.simulation.scripted import SCRIPTED_SCENARIOS

SEEDS_PER_TASK = 4  # that a process fetches from the pool


def run_plan(plan: Plan, defect: str = "") -> ScenarioResult:
    """Runs a plan, with a seeded defect if one is named. An exception of the scenario is reported as a violation."""
    with in_scenarios.seeded(defect):
        try:
            return Scenario(plan).simulate()
        except Exception as error:  # an exception in one scenario must not abort the others
            violation = f"exception in the simulation: {type(error).__name__}: {error}"
            return ScenarioResult(seed=plan.seed, violations=[violation])


def run_seed(seed: int, defect: str = "") -> ScenarioResult:
    """Runs the random plan of a seed."""
    return run_plan(make_plan(seed), defect)


def run_scripted(name: str, defect: str = "") -> ScenarioResult:
    """Runs a scripted scenario."""
    return run_plan(SCRIPTED_SCENARIOS[name], defect)


def run_seeds(seeds: Iterable[int], jobs: int) -> Iterator[ScenarioResult]:
    """Runs seeds in `jobs` processes; yields the results in the order of the seeds."""
    if jobs <= 1:
        yield from map(run_seed, seeds)
        return
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(run_seed, seeds, chunksize=SEEDS_PER_TASK)


def summarize(results: Iterable[ScenarioResult]) -> Summary:
    """Returns the summary of results, with a digest of their traces in the order of the results."""
    summary, trace, started_at = Summary(), blake2b(digest_size=12), time.monotonic()
    for result in results:
        summary.scenarios += 1
        summary.event_counts += result.event_counts
        summary.admitted += result.admitted
        summary.rejected_below_quota += result.rejected_below_quota
        summary.requests_below_quota += result.requests_below_quota
        trace.update(f"{result.seed} {result.trace}\n".encode())
        if result.violations:
            summary.failed.append(result)
    summary.seconds, summary.trace = time.monotonic() - started_at, trace.hexdigest()
    return summary


class StoredCaseResult(NamedTuple):
    """Whether the plan that is stored for a seeded defect fails without the defect, and whether it fails with it."""

    fails_without: bool
    fails_with: bool


def run_stored_case(path: str) -> StoredCaseResult:
    """Runs a stored plan without and with the defect that its file is named after."""
    file = Path(path)
    plan = read_plan(file.read_text())
    return StoredCaseResult(bool(run_plan(plan).violations), bool(run_plan(plan, file.stem).violations))
