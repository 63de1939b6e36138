"""Runs the soak test for one seed after the other.

python -m stoneyoke.lab.soak --seeds=1-20 --seconds=14      # exits with 1 at the first seed that violates a rule
python -m stoneyoke.lab.soak --seeds=7 --schedule           # prints a seed's schedule without running it
"""

import asyncio
import dataclasses
import json
import shutil
import signal
import sys
from pathlib import Path

from absl import app, flags

from stoneyoke.lab.soak.defects import DEFECTS
from stoneyoke.lab.soak.run import Soak, SoakResult, SoakSettings

SEEDS = flags.DEFINE_string("seeds", "1", "A seed, or a range such as 1-20.")
SECONDS = flags.DEFINE_float("seconds", 14.0, "How long traffic lasts for each seed.", lower_bound=1, upper_bound=600)
GATEWAYS = flags.DEFINE_integer("gateways", 3, "Gateways.", lower_bound=2, upper_bound=200)
RATE = flags.DEFINE_float("rate", 40.0, "Requests a second.", lower_bound=1, upper_bound=200)
ROLLS = flags.DEFINE_bool("rolls", False, "Restart gateways in series, under clients that keep their connections.")
KEPT = flags.DEFINE_integer("kept", 12, "Clients that keep their connections, with --rolls.", lower_bound=1)
OUT = flags.DEFINE_string(
    "out", "runs", "The folder for the schedule, the ledger and all logs of a seed that violates a rule."
)
DEFECT = flags.DEFINE_enum("defect", "", ["", *DEFECTS], "A defect to seed into the gateways: the soak must find it.")
KEEP_GOING = flags.DEFINE_bool("keep_going", False, "Continue after a seed that violates a rule.")
SCHEDULE = flags.DEFINE_bool("schedule", False, "Print each seed's schedule, and run nothing.")
FIRST_BLOCK, BLOCKS = 100, 150  # address blocks: soaks of neighbouring seeds may run at the same time
PRINTED_MAX = 20
EXIT_FAILED, EXIT_NOT_RUN = 1, 2


def parse_seeds(text: str) -> range:
    """Returns the seeds of a text such as "7" or "1-20".

    Raises:
        ValueError: The text is neither a number nor a range.
    """
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def read_settings(seed: int) -> SoakSettings:
    """Returns the settings of the soak of one seed, from the command line."""
    return SoakSettings(
        seed=seed,
        seconds=SECONDS.value,
        gateways=GATEWAYS.value,
        rate_per_s=RATE.value,
        address_block=FIRST_BLOCK + seed % BLOCKS,
        rolls=ROLLS.value,
        kept_connections=KEPT.value,
        defect=DEFECT.value,
    )


def write_result(result: SoakResult, folder: Path) -> None:
    """Stores the schedule, violations and ledger of a failed seed beside its logs."""
    (folder / "schedule.txt").write_text("".join(f"{fault}\n" for fault in result.schedule))
    (folder / "violations.txt").write_text("".join(f"{violation}\n" for violation in result.violations))
    ledger = result.ledger
    rows = {
        "tries": {attempt_id: dataclasses.asdict(one) for attempt_id, one in ledger.tries.items()},
        "statuses": ledger.statuses,
        "orders": sorted(ledger.orders),
        "runs": [dataclasses.asdict(run) | {"end": run.end.value} for run in ledger.runs],
        "shutdowns": [dataclasses.asdict(one) for one in ledger.shutdowns],
        "disturbances": [dataclasses.asdict(one) for one in ledger.disturbances],
    }
    (folder / "ledger.json").write_text(json.dumps(rows, indent=1))


def run_seed(seed: int) -> bool:
    """Runs one seed, prints its result, and returns whether all rules were observed."""
    folder = Path(OUT.value) / f"soak-{seed}"
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    try:
        result = asyncio.run(Soak(read_settings(seed), folder).run())
    except OSError as error:
        # Most likely an address is in use by a soak of the same seed, or of one that differs by a multiple of BLOCKS.
        print(f"seed {seed}: not run: {error}", file=sys.stderr)
        sys.exit(EXIT_NOT_RUN)
    print(f"seed {seed}: {result}", flush=True)
    for violation in result.violations[:PRINTED_MAX]:
        print(f"  {violation}", flush=True)
    if result.violations:
        write_result(result, folder)
        print(
            f"  stored in {folder}; repeat with: --seeds={seed} --seconds={SECONDS.value:g}{' --rolls' * ROLLS.value}",
            flush=True,
        )
    else:
        shutil.rmtree(folder)
    return not result.violations


def run(_: list[str]) -> None:
    """Runs all seeds, or prints their schedules."""
    try:
        seeds = parse_seeds(SEEDS.value)
    except ValueError:
        raise app.UsageError(f"--seeds: {SEEDS.value!r} is neither a seed nor a range of seeds") from None
    if SCHEDULE.value:
        for seed in seeds:
            print(f"seed {seed}", *Soak(read_settings(seed), Path(OUT.value)).schedule(), sep="\n")
        return
    failed_seeds: list[int] = []
    for seed in seeds:
        if not run_seed(seed):
            failed_seeds.append(seed)
            if not KEEP_GOING.value:
                break
    print(f"seeds that broke a rule: {', '.join(map(str, failed_seeds)) or 'none'}")
    sys.exit(EXIT_FAILED if failed_seeds else 0)


def main() -> None:
    """Parses the command line and runs. SIGTERM, as Ctrl-C, also ends all processes that the soak has started."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    app.run(run)


if __name__ == "__main__":
    main()
