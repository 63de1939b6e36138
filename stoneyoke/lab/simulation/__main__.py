"""Command line of the simulations of the whole control plane.

python -m stoneyoke.lab.simulation run --seeds 0-399      # random scenarios; exit status 1 if any violates an invariant
python -m stoneyoke.lab.simulation show 32                # a seed or a scripted scenario: its plan, events, violations
python -m stoneyoke.lab.simulation reduce 32              # the smallest plan found that still fails, as JSON
python -m stoneyoke.lab.simulation replay FILE...         # stored plans
python -m stoneyoke.lab.simulation seeded_defects --seeds 0-99   # each defect with the first scenario that finds it
python -m stoneyoke.lab.simulation check                  # exhaustive search in models of the consensus register
python -m stoneyoke.lab.simulation consensus_defects      # each defect with the counterexample of the search
"""

import json
import os
import sys
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from absl import app, flags

from stoneyoke.lab.simulation.clock import START_S
from stoneyoke.lab.simulation.defects.in_models import MODEL_THAT_FINDS, find
from stoneyoke.lab.simulation.defects.in_scenarios import SEEDED_DEFECTS, seeded
from stoneyoke.lab.simulation.exhaustive import search
from stoneyoke.lab.simulation.plans import read_plan, reduce
from stoneyoke.lab.simulation.random_plans import make_plan
from stoneyoke.lab.simulation.results import Summary
from stoneyoke.lab.simulation.runs import run_plan, run_scripted, run_seed, run_seeds, summarize
from stoneyoke.lab.simulation.scenario import Scenario
from stoneyoke.lab.simulation.scripted import FORMER_NAMES, SCRIPTED_SCENARIOS

SEEDS = flags.DEFINE_string("seeds", "0-199", "The first and the last seed, such as 0-199, or one seed.")
JOBS = flags.DEFINE_integer(
    "jobs", len(os.sched_getaffinity(0)), "Number of scenarios that run at the same time.", lower_bound=1
)
DEPTH = flags.DEFINE_integer(
    "depth", 0, "Depth of the exhaustive search in steps; 0 for the default of each model.", lower_bound=0
)
DEFECT = flags.DEFINE_string("defect", "", "A defect seeded into the logic, for show, reduce and replay.")
JSON = flags.DEFINE_bool("json", False, "Results as JSON.")


def seeds() -> range:
    """Returns the seeds of the flag `--seeds`."""
    first, _, last = SEEDS.value.partition("-")
    return range(int(first), int(last or first) + 1)


def run() -> int:
    """Runs random scenarios; returns exit status 1 if any invariant was violated."""
    summary = summarize(run_seeds(seeds(), JOBS.value))
    if JSON.value:
        print(json.dumps(summary_fields(summary)))
    else:
        for result in summary.failed:
            print(result.describe())
        print(summary.describe())
    return bool(summary.failed)


def summary_fields(summary: Summary) -> dict[str, Any]:
    """Returns a summary as JSON fields."""
    return {
        "scenarios": summary.scenarios,
        "broken": {result.seed: result.violations for result in summary.failed},
        "met": summary.event_counts,
        "trace": summary.trace,
        "seconds": round(summary.seconds, 1),
        "refused_inside": summary.rejected_below_quota,
        "asked_inside": summary.requests_below_quota,
    }


def show(name: str) -> int:
    """Runs one scenario, by seed or by the name of a script, and prints its plan, its events and its violations."""
    name = FORMER_NAMES.get(name, name)
    scenario = Scenario(SCRIPTED_SCENARIOS[name] if name in SCRIPTED_SCENARIOS else make_plan(int(name)))
    scenario.checker.on_event = lambda now, event: print(f"{now - START_S:9.3f} {event}")
    print(scenario.plan.text())
    with seeded(DEFECT.value):
        result = scenario.simulate()
    print("\n".join(result.violations) or "nothing broke")
    return bool(result.violations)


def reduce_seed(seed: str) -> int:
    """Prints the smallest plan found that fails like a seed's; returns exit status 2 if the seed does not fail."""
    plan = make_plan(int(seed))
    violations = run_plan(plan, DEFECT.value).violations
    if not violations:
        print("nothing breaks", file=sys.stderr)
        return 2
    kind = violations[0].partition(": ")[2].split(":")[0].split(" 10.")[0]
    print(reduce(plan, lambda other: any(kind in line for line in run_plan(other, DEFECT.value).violations)).text())
    return 0


def replay(*files: str) -> int:
    """Runs stored plans; returns exit status 1 if any invariant was violated."""
    failed = 0
    for file in files:
        result = run_plan(read_plan(Path(file).read_text()), DEFECT.value)
        print(f"{file}: {'; '.join(result.violations[:3]) or 'nothing broke'}")
        failed += bool(result.violations)
    return bool(failed)


def find_defect(name: str, among: range) -> str:
    """Returns the first scenario that finds a seeded defect, with its violations; empty if none does."""
    for script in SCRIPTED_SCENARIOS:
        if (result := run_scripted(script, name)).violations:
            return f"{script}: " + "; ".join(result.violations[:2])
    for seed in among:
        if (result := run_seed(seed, name)).violations:
            return result.describe()
    return ""


def report_defects(names: Iterable[str], findings: Iterable[str]) -> int:
    """Prints a line for each defect; returns exit status 1 if any was not found."""
    missed = 0
    for name, finding in zip(names, findings, strict=True):
        print(f"{name}: {finding or 'NOT FOUND'}", flush=True)
        missed += not finding
    return bool(missed)


def find_seeded_defects() -> int:
    """Runs scenarios with each seeded defect until one finds it."""
    with ProcessPoolExecutor(JOBS.value) as pool:
        return report_defects(SEEDED_DEFECTS, pool.map(find_defect, SEEDED_DEFECTS, [seeds()] * len(SEEDED_DEFECTS)))


def check() -> int:
    """Runs the exhaustive search of the models of the consensus register."""
    return search.report(DEPTH.value, JOBS.value)


def find_consensus_defects() -> int:
    """Searches a model with each defect of the consensus register."""
    with ProcessPoolExecutor(JOBS.value) as pool:
        return report_defects(MODEL_THAT_FINDS, pool.map(find, MODEL_THAT_FINDS))


COMMANDS = {
    "run": run,
    "show": show,
    "reduce": reduce_seed,
    "replay": replay,
    "seeded_defects": find_seeded_defects,
    "check": check,
    "consensus_defects": find_consensus_defects,
}


def main(argv: list[str]) -> None:
    """Runs the command of the first argument; `run` if there is none."""
    command = COMMANDS.get(argv[1] if len(argv) > 1 else "run")
    if command is None:
        print(f"simulation: {argv[1]!r} is none of {', '.join(COMMANDS)}", file=sys.stderr)
        sys.exit(2)
    sys.exit(command(*argv[2:]))  # type: ignore[operator]


if __name__ == "__main__":
    app.run(main)
