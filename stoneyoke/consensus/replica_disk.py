"""A replica's disk: records are written one at a time, off the event loop."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from loguru import logger

from stoneyoke.storage.errors import StorageError, WriteQueueFull
from stoneyoke.storage.record_file import Record
from stoneyoke.storage.record_store import LoadedRecord

RETRY_INTERVAL_S = 0.5
"""Pause before a disk that refuses at the start is tried again."""
MAX_WAITING_WRITES = 64
"""Writes that wait for a disk that hangs. Further ones fail at once."""

RunBlocking = Callable[..., Awaitable[Any]]
"""Runs a function that may wait for the disk, and returns its result; for example in a thread."""


class RecordStorage(Protocol):
    """Records on disk, in families. Of each family the newest whole record counts."""

    def save(self, family: str, record: Record) -> None:
        """Returns once the record is on disk. Raises StorageError."""

    def load(self, family: str) -> LoadedRecord:
        """The newest whole record of a family. Raises StorageError."""


class ReplicaDisk:
    """Reads and writes a replica's records without blocking the event loop."""

    def __init__(self, store: RecordStorage, run_blocking: RunBlocking) -> None:
        """Takes the store, and how to run its methods."""
        self.store, self.run_blocking = store, run_blocking
        self.lock = asyncio.Lock()
        self.waiting_writes = 0

    def exclusive_write(self) -> "ExclusiveWrite":
        """The exclusive right to write. Raises WriteQueueFull on entry if too many wait for it.

        It is held from the check of the state through the write to the change of the state in memory. Otherwise two
        requests could pass the same check, and the second one would break a promise of the first.
        """
        return ExclusiveWrite(self)

    async def write(self, family: str, record: Record) -> None:
        """Returns once the record is on disk. Raises StorageError.

        A controller's `run_blocking` is `controlplane.settings.run_in_thread`, its store a `storage.RecordStore`.
        """
        await self.run_blocking(self.store.save, family, record)

    async def write_with_retry(self, family: str, record: Record) -> None:
        """Writes a record, however often the disk refuses."""
        await self.run_with_retry(self.store.save, family, record)

    async def load(self, family: str) -> Record | None:
        """The newest whole record of a family, however often the disk refuses.

        Nothing may be answered before: an older record, or none, would forget a promise.
        """
        loaded: LoadedRecord = await self.run_with_retry(self.store.load, family)
        for reason in loaded.torn:
            logger.warning("disk: {}. The record before it is used", reason)
        return loaded.record

    async def run_with_retry(self, operation: Callable[..., Any], *arguments: Any) -> Any:
        """The result of work on the disk, tried until it succeeds."""
        while True:
            try:
                return await self.run_blocking(operation, *arguments)
            except StorageError as error:
                logger.error("disk: {}. The controller doesn't start until the disk answers", error)
                await asyncio.sleep(RETRY_INTERVAL_S)


class ExclusiveWrite:
    """The exclusive right to write a record, as a context manager."""

    def __init__(self, disk: ReplicaDisk) -> None:
        """Takes the disk to write to."""
        self.disk = disk

    async def __aenter__(self) -> None:
        """Waits for the writes before this one. Raises WriteQueueFull if there are too many."""
        if self.disk.waiting_writes >= MAX_WAITING_WRITES:
            raise WriteQueueFull("the disk does not answer, and too many wait for it")
        self.disk.waiting_writes += 1
        try:
            await self.disk.lock.acquire()
        except BaseException:  # also when cancelled: this call doesn't wait any more
            self.disk.waiting_writes -= 1
            raise

    async def __aexit__(self, *_: object) -> None:
        """Lets the next one write."""
        self.disk.waiting_writes -= 1
        self.disk.lock.release()
