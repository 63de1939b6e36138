"""Makes the measurements, each in a process of its own, a few at once, within a bound on memory."""

import multiprocessing
import resource
import time
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from concurrent.futures.process import BrokenProcessPool

from loguru import logger

from stoneyoke.lab.capacity.figures import Case, Figure, Measurement
from stoneyoke.lab.capacity.meters import peak_rss_mb
from stoneyoke.lab.capacity.subjects import WORK

GIGABYTE = 1 << 30
MAX_ERROR_CHARACTERS = 200


def measure(case: Case, memory_gb: float = 0.0) -> Measurement:
    """Measures one case in this process; a failure is part of the measurement.

    Args:
        case: What is measured.
        memory_gb: The process may use so much; 0 for no bound.
    """
    if memory_gb:
        top = int(memory_gb * GIGABYTE)
        resource.setrlimit(resource.RLIMIT_AS, (top, top))
    logger.disable("stoneyoke")
    begun, failed = time.monotonic(), ""
    figures: tuple[Figure, ...] = ()
    try:
        figures = tuple(WORK[case.subject](case.size))
    except MemoryError:
        failed = f"more than {memory_gb:g} GB"
    except Exception as error:  # one case that fails must not cost the others
        failed = f"{type(error).__name__}: {error}"[:MAX_ERROR_CHARACTERS]
    logger.enable("stoneyoke")
    return Measurement(case, figures, time.monotonic() - begun, peak_rss_mb(), failed)


def measure_all(cases: Iterable[Case], jobs: int, memory_gb: float) -> Iterator[Measurement]:
    """Measures cases in processes of their own; yields them in their order.

    A process that is ended from outside costs the cases that are not measured yet, never those that are.

    Args:
        cases: What is measured.
        jobs: Processes at once.
        memory_gb: For all processes together.
    """
    with ProcessPoolExecutor(jobs, multiprocessing.get_context("spawn"), max_tasks_per_child=1) as pool:
        begun = [(case, pool.submit(measure, case, memory_gb / jobs)) for case in cases]
        for case, measured in begun:
            try:
                yield measured.result()
            except BrokenProcessPool:
                yield Measurement(case, (), 0.0, 0.0, "a measuring process was ended")
