"""What the parts of one controller share: its clock, random source, background tasks and change notifications."""

import asyncio
import random
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass
from typing import Any, TypeVar

T = TypeVar("T")


class BackgroundTasks:
    """Owns a controller's background tasks.

    asyncio keeps only weak references to tasks, so a reference to each task is kept here until it is done. A task that
    fails is reported by the event loop's exception handler; the other tasks continue.
    """

    def __init__(self) -> None:
        """Starts without tasks."""
        self._running: set[asyncio.Task[Any]] = set()

    def __iter__(self) -> Iterator[asyncio.Task[Any]]:
        """Iterates over the tasks that are not done, in no particular order."""
        return iter(self._running)

    def spawn(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Starts a task that runs a coroutine."""
        task = asyncio.get_running_loop().create_task(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return task


class ChangeNotifier:
    """Wakes the long polls (pulls) that wait for a change."""

    def __init__(self) -> None:
        """Starts without waiting pulls."""
        self._next_change = asyncio.Event()

    def notify(self) -> None:
        """Wakes everything that waits for the next change."""
        self._next_change.set()
        self._next_change = asyncio.Event()

    def next_change(self) -> asyncio.Event:
        """Returns an event that the next change sets.

        Call this before checking for changes: otherwise a change between the check and the wait is missed.
        """
        return self._next_change


@dataclass(frozen=True, slots=True, kw_only=True)
class ControllerContext:
    """The objects that the parts of one controller share.

    Attributes:
        clock: returns seconds of a monotonic clock; only differences are meaningful.
        random_source: draws identities and jitter.
        tasks: owns the background tasks.
        changes: must be notified when there is a change that pulls have to deliver.
    """

    clock: Callable[[], float]
    random_source: random.Random
    tasks: BackgroundTasks
    changes: ChangeNotifier
