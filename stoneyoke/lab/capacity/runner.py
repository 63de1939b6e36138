"""Runs the measurements, each in its own process, several in parallel, within a memory limit."""

import multiprocessing
import resource
import time
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from concurrent.futures.process import BrokenProcessPool

from loguru import logger

from stoneyoke.lab.capacity.figures import Case, Figure, Measurement
from stoneyoke.lab.capacity.meters import read_peak_rss_mb
from stoneyoke.lab.capacity.subjects import MEASURE_FUNCTIONS

GIGABYTE = 1 << 30
MAX_ERROR_CHARACTERS = 200


def measure(case: Case, memory_gb: float = 0.0) -> Measurement:
    """Measures one case in this process; a failure is recorded in the measurement.

    Args:
        case: The case to measure.
        memory_gb: The memory limit of the process, in GB; 0 for no limit.
    """
    if memory_gb:
        limit_bytes = int(memory_gb * GIGABYTE)
        resource.setrlimit(resource.RLIMIT_AS, (limit_bytes, limit_bytes))
    logger.disable("stoneyoke")
    started_at, failed = time.monotonic(), ""
    figures: tuple[Figure, ...] = ()
    try:
        figures = tuple(MEASURE_FUNCTIONS[case.subject](case.size))
    except MemoryError:
        failed = f"more than {memory_gb:g} GB"
    except Exception as error:  # a case that fails must not stop the others
        failed = f"{type(error).__name__}: {error}"[:MAX_ERROR_CHARACTERS]
    logger.enable("stoneyoke")
    return Measurement(case, figures, time.monotonic() - started_at, read_peak_rss_mb(), failed)


def measure_all(cases: Iterable[Case], jobs: int, memory_gb: float) -> Iterator[Measurement]:
    """Measures each case in its own process; yields the measurements in the order of the cases.

    If a process is killed from outside, the cases that are not measured yet fail; finished measurements are not lost.

    Args:
        cases: The cases to measure.
        jobs: The number of parallel processes.
        memory_gb: The memory limit of all processes together, in GB.
    """
    with ProcessPoolExecutor(jobs, multiprocessing.get_context("spawn"), max_tasks_per_child=1) as pool:
        futures = [(case, pool.submit(measure, case, memory_gb / jobs)) for case in cases]
        for case, measured in futures:
            try:
                yield measured.result()
            except BrokenProcessPool:
                yield Measurement(case, (), 0.0, 0.0, "a measuring process was ended")
