"""Measures what the system costs at different sizes: processor time, memory and bytes.

python -m stoneyoke.lab.capacity measure                     # all subjects, as a table; takes some minutes
python -m stoneyoke.lab.capacity measure --quick             # small sizes only; takes less than a minute
python -m stoneyoke.lab.capacity measure --only "quota"      # the subjects whose names contain this
python -m stoneyoke.lab.capacity measure --json              # as JSON instead of the table
"""

import sys
import time

from absl import app, flags

from stoneyoke.lab.capacity.report import format_json, format_table
from stoneyoke.lab.capacity.runner import measure_all
from stoneyoke.lab.capacity.subjects import SUBJECTS

QUICK = flags.DEFINE_bool("quick", False, "Measure small sizes only.")
ONLY = flags.DEFINE_string("only", "", "Measure only subjects whose names contain this.")
JSON = flags.DEFINE_bool("json", False, "Print JSON instead of the table.")
JOBS = flags.DEFINE_integer("jobs", 3, "Number of parallel measuring processes.", lower_bound=1, upper_bound=16)
MEMORY_GB = flags.DEFINE_float(
    "memory_gb", 12.0, "Memory limit in GB for all measuring processes together.", lower_bound=0.5
)


def measure() -> int:
    """Makes the measurements that the flags select, and prints them; returns exit status 1 if a case failed."""
    cases = [case for one in SUBJECTS if ONLY.value in one.name for case in one.cases(QUICK.value)]
    started_at, done = time.monotonic(), []
    for one in measure_all(cases, JOBS.value, MEMORY_GB.value):
        print(f"{one.case.subject} at {one.case.size}: {one.wall_s:.1f} s {one.failed}", file=sys.stderr)
        done.append(one)
    wall_s = time.monotonic() - started_at
    print(format_json(done, wall_s) if JSON.value else f"{format_table(done)}\nin {wall_s:.0f} s")
    return any(one.failed for one in done)


def main(argv: list[str]) -> None:
    """Runs the command `measure`; exits with status 2 if another one is given."""
    if argv[1:] != ["measure"]:
        print("capacity: unknown command; the only command is: measure", file=sys.stderr)
        sys.exit(2)
    sys.exit(measure())


if __name__ == "__main__":
    app.run(main)
