"""Measures what the system costs by size: processor time, memory and bytes.

python -m stoneyoke.lab.capacity measure                     # everything: a table, some minutes
python -m stoneyoke.lab.capacity measure --quick             # small sizes, under a minute
python -m stoneyoke.lab.capacity measure --only "quota"      # the subjects whose names hold this
python -m stoneyoke.lab.capacity measure --json              # as JSON in place of the table
"""

import sys
import time

from absl import app, flags

from stoneyoke.lab.capacity.report import document, table
from stoneyoke.lab.capacity.runner import measure_all
from stoneyoke.lab.capacity.subjects import SUBJECTS

QUICK = flags.DEFINE_bool("quick", False, "Small sizes only.")
ONLY = flags.DEFINE_string("only", "", "Measure only subjects whose names hold this.")
JSON = flags.DEFINE_bool("json", False, "JSON in place of the table.")
JOBS = flags.DEFINE_integer("jobs", 3, "Measuring processes at once.", lower_bound=1, upper_bound=16)
MEMORY_GB = flags.DEFINE_float("memory_gb", 12.0, "Of all measuring processes together.", lower_bound=0.5)


def measure() -> int:
    """Makes the measurements that the flags name, and prints them; exit status 1 if a case failed."""
    cases = [case for one in SUBJECTS if ONLY.value in one.name for case in one.cases(QUICK.value)]
    begun, done = time.monotonic(), []
    for one in measure_all(cases, JOBS.value, MEMORY_GB.value):
        print(f"{one.case.subject} at {one.case.size}: {one.wall_s:.1f} s {one.failed}", file=sys.stderr)
        done.append(one)
    wall_s = time.monotonic() - begun
    print(document(done, wall_s) if JSON.value else f"{table(done)}\nin {wall_s:.0f} s")
    return any(one.failed for one in done)


def main(argv: list[str]) -> None:
    """Runs the one command; exit status 2 if another one is named."""
    if argv[1:] != ["measure"]:
        print("capacity: the one command is measure", file=sys.stderr)
        sys.exit(2)
    sys.exit(measure())


if __name__ == "__main__":
    app.run(main)
