"""A replica's disk: records are written one at a time, without blocking the event loop."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from loguru import logger

from stoneyoke.storage.errors import StorageError, WriteQueueFull
from stoneyoke.storage.record_file import Record
from stoneyoke.storage.record_store import LoadedRecord

RETRY_INTERVAL_S = 0.5
"""Pause in seconds before a failed disk operation of the start is retried."""
MAX_WAITING_WRITES = 64
"""How many writes wait for a disk that hangs. Further ones fail at once."""

RunBlocking = Callable[..., Awaitable[Any]]
"""Runs a function that may wait for the disk, for example in a thread, and returns its result."""


class RecordStorage(Protocol):
    """Records on disk, in families. The newest whole record of each family is the current one."""

    def save(self, family: str, record: Record) -> None:
        """Returns once the record is on disk. Raises StorageError."""

    def load(self, family: str) -> LoadedRecord:
        """Returns the newest whole record of a family. Raises StorageError."""


class ReplicaDisk:
    """Reads and writes a replica's records without blocking the event loop."""

    def __init__(self, store: RecordStorage, run_blocking: RunBlocking) -> None:
        """Uses the store's methods through `run_blocking`."""
        self.store, self.run_blocking = store, run_blocking
        self.lock = asyncio.Lock()
        self.waiting_writes = 0

    def exclusive_write(self) -> "ExclusiveWrite":
        """Returns a lock for writing, as a context manager. Raises WriteQueueFull on entry if too many wait for it.

        The caller holds it from the check of the state, through the write, to the change of the state in memory.
        Otherwise two requests could pass the same check, and the second one would break a promise of the first.
        """
        return ExclusiveWrite(self)

    async def write(self, family: str, record: Record) -> None:
        """Returns once the record is on disk. Raises StorageError.

        In a controller `run_blocking` is `controlplane.settings.run_in_thread`, and the store a `storage.RecordStore`.
        """
        await self.run_blocking(self.store.save, family, record)

    async def write_with_retry(self, family: str, record: Record) -> None:
        """Writes a record, and retries until the disk takes it."""
        await self.run_with_retry(self.store.save, family, record)

    async def load(self, family: str) -> Record | None:
        """Returns the newest whole record of a family, and retries until the disk can be read.

        The replica may not respond to any request before: with an older record, or none, it would break a promise.
        """
        loaded: LoadedRecord = await self.run_with_retry(self.store.load, family)
        for reason in loaded.torn:
            logger.warning("disk: {}. The newest whole record before it is used", reason)
        return loaded.record

    async def run_with_retry(self, operation: Callable[..., Any], *arguments: Any) -> Any:
        """Returns the result of a disk operation, which is retried until it succeeds."""
        while True:
            try:
                return await self.run_blocking(operation, *arguments)
            except StorageError as error:
                logger.error("disk: {}. The controller retries and doesn't start until this succeeds", error)
                await asyncio.sleep(RETRY_INTERVAL_S)


class ExclusiveWrite:
    """A lock for writing records, as a context manager, with a bounded number of waiters."""

    def __init__(self, disk: ReplicaDisk) -> None:
        """Makes the lock of one disk."""
        self.disk = disk

    async def __aenter__(self) -> None:
        """Waits for the writes before this one. Raises WriteQueueFull if there are too many."""
        if self.disk.waiting_writes >= MAX_WAITING_WRITES:
            raise WriteQueueFull("the disk does not respond, and too many writes wait for it")
        self.disk.waiting_writes += 1
        try:
            await self.disk.lock.acquire()
        except BaseException:  # a cancelled call doesn't wait any more, so it must not count as waiting
            self.disk.waiting_writes -= 1
            raise

    async def __aexit__(self, *_: object) -> None:
        """Lets the next waiter write."""
        self.disk.waiting_writes -= 1
        self.disk.lock.release()
