"""Measures the processor time and the memory of a piece of work in this process."""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple, TypeVar

R = TypeVar("R")

MIN_MEASURED_S = 0.05  # work that takes less processor time is repeated until it has taken this much
SAMPLE_SEED = 3
ROUNDS = 3  # of short work; the fastest round counts, as the least disturbed one


class Heap(NamedTuple):
    """Bytes of Python objects that are still allocated after the work, and at the peak during it."""

    retained: int
    peak: int


def cpu_seconds(work: Callable[[], object]) -> float:
    """Returns the processor time of one call of work that can be repeated, in seconds."""
    gc.collect()
    gc.disable()
    try:
        started_at = time.process_time()
        work()
        once = time.process_time() - started_at
        if once >= MIN_MEASURED_S:
            return once
        times = max(1, int(MIN_MEASURED_S / max(once, 1e-6)))
        best = once
        for _ in range(ROUNDS):
            started_at = time.process_time()
            for _ in range(times):
                work()
            best = min(best, (time.process_time() - started_at) / times)
        return best
    finally:
        gc.enable()


def cpu_seconds_once(work: Callable[[], R]) -> tuple[R, float]:
    """Returns the result and the processor time, in seconds, of work that can't be repeated."""
    gc.collect()
    gc.disable()
    try:
        started_at = time.process_time()
        done = work()
        return done, time.process_time() - started_at
    finally:
        gc.enable()


def measure_heap(work: Callable[[], R]) -> tuple[R, Heap]:
    """Returns the result of work and the memory it uses. Tracing slows it down, so its time is measured separately."""
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        done = work()
        gc.collect()
        return done, Heap(*tracemalloc.get_traced_memory())
    finally:
        tracemalloc.stop()
        gc.enable()


def read_peak_rss_mb() -> float:
    """Returns the peak resident memory of this process, in MB.

    The figure of the `resource` module is not used, as it may be inherited from the parent process.
    """
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    return 0.0


def read_rss_mb() -> float:
    """Returns the resident memory of this process, in MB."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def sample_indexes(count: int, most: int) -> list[int]:
    """Returns random indexes below `count`, at most `most` of them; the same arguments give the same indexes."""
    return random.Random(SAMPLE_SEED).sample(range(count), min(count, most))


def megabytes(count: int) -> float:
    """Converts bytes to megabytes."""
    return count / 1e6
