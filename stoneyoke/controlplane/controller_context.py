"""What the parts of one controller share: its clock, its random source, its tasks, its change notifications."""

import asyncio
import random
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass
from typing import Any, TypeVar

T = TypeVar("T")


class BackgroundTasks:
    """Owns the tasks that a controller runs beside its requests.

    asyncio keeps weak references to tasks only, so each is held here until it is done. A task that fails is reported by
    the event loop's exception handler; the others go on.
    """

    def __init__(self) -> None:
        """Starts without tasks."""
        self._running: set[asyncio.Task[Any]] = set()

    def __iter__(self) -> Iterator[asyncio.Task[Any]]:
        """The tasks that are not done, in no particular order."""
        return iter(self._running)

    def spawn(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Runs a coroutine as a task of its own."""
        task = asyncio.get_running_loop().create_task(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return task


class ChangeNotifier:
    """Wakes the pulls that are held until there is something to answer."""

    def __init__(self) -> None:
        """Starts with nobody waiting."""
        self._next_change = asyncio.Event()

    def notify(self) -> None:
        """Wakes everyone who waits for the next change."""
        self._next_change.set()
        self._next_change = asyncio.Event()

    def next_change(self) -> asyncio.Event:
        """An event that the next change sets.

        Take it before checking for news: a change between the check and the wait is then not missed.
        """
        return self._next_change


@dataclass(frozen=True, slots=True, kw_only=True)
class ControllerContext:
    """Shared by the parts of one controller.

    Attributes:
        clock: seconds of a steady clock; only differences are meaningful.
        random_source: for identities and jitter.
        tasks: owns background work.
        changes: to be notified when pulls have something new to deliver.
    """

    clock: Callable[[], float]
    random_source: random.Random
    tasks: BackgroundTasks
    changes: ChangeNotifier
