"""Processor time and memory of a piece of work, in the process that does it."""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple, TypeVar

R = TypeVar("R")

SHORTEST_S = 0.05  # shorter work is repeated until it has taken this long
SAMPLE_SEED = 3
ROUNDS = 3  # of short work; the least disturbed one counts


class Heap(NamedTuple):
    """Bytes of Python objects that are held after the work, and at the most while it was done."""

    held: int
    peak: int


def processor_s(work: Callable[[], object]) -> float:
    """Returns the processor time of one call of work that can be repeated."""
    gc.collect()
    gc.disable()
    try:
        begun = time.process_time()
        work()
        once = time.process_time() - begun
        if once >= SHORTEST_S:
            return once
        times = max(1, int(SHORTEST_S / max(once, 1e-6)))
        best = once
        for _ in range(ROUNDS):
            begun = time.process_time()
            for _ in range(times):
                work()
            best = min(best, (time.process_time() - begun) / times)
        return best
    finally:
        gc.enable()


def processor_once_s(work: Callable[[], R]) -> tuple[R, float]:
    """Returns the result and the processor time of work that can't be repeated."""
    gc.collect()
    gc.disable()
    try:
        begun = time.process_time()
        done = work()
        return done, time.process_time() - begun
    finally:
        gc.enable()


def heap(work: Callable[[], R]) -> tuple[R, Heap]:
    """Returns the result of work and what it holds. This slows the work down, so its time is measured apart."""
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


def peak_rss_mb() -> float:
    """Returns the peak memory of this process, in MB; the resource module's figure may be inherited from the parent."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    return 0.0


def rss_mb() -> float:
    """Returns the memory of this process, in MB."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def sample_indexes(count: int, most: int) -> list[int]:
    """Returns some indexes below a count, at most so many, the same ones each time."""
    return random.Random(SAMPLE_SEED).sample(range(count), min(count, most))


def megabytes(count: int) -> float:
    """Returns bytes as megabytes."""
    return count / 1e6
