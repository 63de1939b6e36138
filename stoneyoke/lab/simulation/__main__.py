"""Simulations of the whole control plane in simulated time.

python -m stoneyoke.lab.simulation run --seeds 0-399      # scenarios from seeds; exit code 1 if any breaks something
python -m stoneyoke.lab.simulation show 32   # by seed, or a hard day by name: its plan, what happened, what broke
python -m stoneyoke.lab.simulation reduce 32              # the smallest plan found that still breaks, as JSON
python -m stoneyoke.lab.simulation replay FILE...         # plans kept as files
python -m stoneyoke.lab.simulation seeded_defects --seeds 0-99   # each with the first scenario that finds it
python -m stoneyoke.lab.simulation check                  # every order of messages in the smallest worlds
python -m stoneyoke.lab.simulation consensus_defects       # each with what the check finds of it
"""

import json
import os
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from absl import app, flags

from stoneyoke.lab.simulation import consensus_defects as register_defects
from stoneyoke.lab.simulation.bounds import START_S
from stoneyoke.lab.simulation.checker import Outcome
from stoneyoke.lab.simulation.exhaustive import search
from stoneyoke.lab.simulation.hard_days import SCRIPTED_SCENARIOS
from stoneyoke.lab.simulation.plans import read_plan, reduce
from stoneyoke.lab.simulation.random_plans import make_plan
from stoneyoke.lab.simulation.runs import count, play, play_many, play_scripted, play_seed
from stoneyoke.lab.simulation.scenario import Scenario
from stoneyoke.lab.simulation.seeded_defects import SEEDED_DEFECTS, seeded

SEEDS = flags.DEFINE_string("seeds", "0-199", "The first and the last seed, or one.")
JOBS = flags.DEFINE_integer("jobs", len(os.sched_getaffinity(0)), "Scenarios at once.", lower_bound=1)
DEPTH = flags.DEFINE_integer("depth", 0, "Of the exhaustive check, in steps; 0: each world's own.", lower_bound=0)
DEFECT = flags.DEFINE_string("defect", "", "A defect seeded into the logic, for show, reduce and replay.")
JSON = flags.DEFINE_bool("json", False, "Results as JSON.")


def seeds() -> range:
    first, _, last = SEEDS.value.partition("-")
    return range(int(first), int(last or first) + 1)


def told(outcome: Outcome) -> str:
    return f"seed {outcome.seed}: " + "; ".join(outcome.broken[:3])


def run() -> int:
    metrics = count(play_many(seeds(), JOBS.value))
    if JSON.value:
        print(
            json.dumps(
                {
                    "scenarios": metrics.scenarios,
                    "broken": {one.seed: one.broken for one in metrics.broken},
                    "met": metrics.events,
                    "trace": metrics.trace,
                    "seconds": round(metrics.seconds, 1),
                    "refused_inside": metrics.rejected_below_quota,
                    "asked_inside": metrics.requests_below_quota,
                }
            )
        )
    else:
        for outcome in metrics.broken:
            print(told(outcome))
        print(metrics.text())
    return bool(metrics.broken)


def show(what: str) -> int:
    scenario = Scenario(SCRIPTED_SCENARIOS[what] if what in SCRIPTED_SCENARIOS else make_plan(int(what)))
    scenario.checker.on_event = lambda now, what: print(f"{now - START_S:9.3f} {what}")
    print(scenario.plan.text())
    with seeded(DEFECT.value):
        outcome = scenario.play()
    print("\n".join(outcome.broken) or "nothing broke")
    return bool(outcome.broken)


def reduced(seed: str) -> int:
    plan = make_plan(int(seed))
    first = play(plan, DEFECT.value).broken
    if not first:
        print("nothing breaks", file=sys.stderr)
        return 2
    kind = first[0].partition(": ")[2].split(":")[0].split(" 10.")[0]
    print(reduce(plan, lambda other: any(kind in line for line in play(other, DEFECT.value).broken)).text())
    return 0


def replay(*files: str) -> int:
    broken = 0
    for file in files:
        outcome = play(read_plan(Path(file).read_text()), DEFECT.value)
        print(f"{file}: {'; '.join(outcome.broken[:3]) or 'nothing broke'}")
        broken += bool(outcome.broken)
    return bool(broken)


def find(name: str, among: range) -> tuple[str, str]:
    """By which scenario a seeded defect is found, and as what; an empty text: by none."""
    for day in SCRIPTED_SCENARIOS:
        if (outcome := play_scripted(day, name)).broken:
            return name, f"{day}: " + "; ".join(outcome.broken[:2])
    for seed in among:
        if (outcome := play_seed(seed, name)).broken:
            return name, told(outcome)
    return name, ""


def seeded_defects() -> int:
    missed = 0
    with ProcessPoolExecutor(JOBS.value) as pool:
        for name, how in pool.map(find, SEEDED_DEFECTS, [seeds()] * len(SEEDED_DEFECTS)):
            print(f"{name}: {how or 'NOT FOUND'}")
            missed += not how
    return bool(missed)


def check() -> int:
    return search.report(DEPTH.value, JOBS.value)


def consensus_defects() -> int:
    missed = 0
    with ProcessPoolExecutor(JOBS.value) as pool:
        for name, how in zip(
            register_defects.MODEL_THAT_FINDS,
            pool.map(register_defects.found, register_defects.MODEL_THAT_FINDS),
            strict=True,
        ):
            print(f"{name}: {how or 'NOT FOUND'}", flush=True)
            missed += not how
    return bool(missed)


COMMANDS = {
    "run": run,
    "show": show,
    "reduce": reduced,
    "replay": replay,
    "seeded_defects": seeded_defects,
    "check": check,
    "consensus_defects": consensus_defects,
}


def main(argv: list[str]) -> None:
    command = COMMANDS.get(argv[1] if len(argv) > 1 else "run")
    if command is None:
        print(f"simulation: {argv[1]!r} is none of {', '.join(COMMANDS)}", file=sys.stderr)
        sys.exit(2)
    sys.exit(command(*argv[2:]))  # type: ignore[operator]


if __name__ == "__main__":
    app.run(main)
