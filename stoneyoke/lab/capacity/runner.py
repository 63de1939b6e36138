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


def measure(case: Case, memory_gb: float = 0.0) -> Measurement:
    """memory_gb: of this process; 0: not bounded. What goes wrong is told in the measurement."""
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
    except Exception as bad:  # one case that fails must not cost the others
        failed = f"{type(bad).__name__}: {bad}"[:200]
    logger.enable("stoneyoke")
    return Measurement(case, figures, time.monotonic() - begun, peak_rss_mb(), failed)


def measure_all(cases: Iterable[Case], jobs: int, memory_gb: float) -> Iterator[Measurement]:
    """In the order of the cases. memory_gb: of all processes together. A process that is ended costs those cases that
    are not measured yet, never those that are."""
    with ProcessPoolExecutor(jobs, multiprocessing.get_context("spawn"), max_tasks_per_child=1) as pool:
        begun = [(case, pool.submit(measure, case, memory_gb / jobs)) for case in cases]
        for case, measured in begun:
            try:
                yield measured.result()
            except BrokenProcessPool:
                yield Measurement(case, (), 0.0, 0.0, "a measuring process was ended")
