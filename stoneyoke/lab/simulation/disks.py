"""Simulated disks: the real record store in a real folder, and what a loss of power leaves of it.

A loss of power keeps what was synced. Each later write is kept whole, torn or not at all, and each name that was made
or removed since is kept or not, at random (DEPLOY, Disk).
"""

import asyncio
import contextlib
import errno
import os
import random
import shutil
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from stoneyoke.storage.errors import StorageError
from stoneyoke.storage.record_store import RecordStore

WRITE_S = 0.004  # of a healthy disk
SLOW_WRITE_S = 0.15  # of a slow disk
STALL_POLL_S = 0.05  # between two looks whether a disk still stalls
RECORD_STEPS = 8  # syncs and removals of one record, at most
ALL_UNSYNCED_LOST = 0.25  # probability that a loss of power takes all that is not synced
NEW_NAME_LOST = 0.5  # probability that a name made since the folder's last sync is lost
UNSYNCED_LOST = 0.4  # probability that the writes after a file's last sync are lost
UNSYNCED_KEPT = 0.5  # probability, else, that they are kept whole
TORN_WITH_ZEROS = 0.5  # probability that a torn file is filled up with zeros
END_DURING_WRITE = 0.6  # probability that a process which writes ends within the write


class PowerLost(BaseException):
    """The process ends in the middle of a write."""


class FileState(NamedTuple):
    """A file's bytes.

    Attributes:
        content: As a process reads them.
        synced: As the file's last sync found them; None if it had none.
    """

    content: bytes
    synced: bytes | None


@dataclass(slots=True)
class SyncedState:
    """What a loss of power starts from.

    Attributes:
        contents: The content of each file that has a name now, as its own last sync found it.
        names: The names that the folder's last sync found.
        removed: The files of each name that were removed since that sync, in their order.
    """

    contents: dict[str, bytes] = field(default_factory=dict)
    names: set[str] = field(default_factory=set)
    removed: dict[str, list[FileState]] = field(default_factory=dict)


class SimulatedRecordStore(RecordStore):
    """The real record store in a real folder, with its syncs and removals recorded.

    Attributes:
        state: What a loss of power starts from.
        refuses: Whether every sync fails.
        capacity_bytes: Bytes that the folder may hold; None for no bound.
        steps_left: Syncs and removals until the process ends; -1 if it does not.
    """

    def __init__(self, folder: str, state: SyncedState | None = None) -> None:
        """Opens the store of a folder; `state` is that of the process before."""
        self.state = state or SyncedState()
        self.refuses = False
        self.capacity_bytes: int | None = None
        self.steps_left = -1
        super().__init__(folder)

    def step(self) -> None:
        """Counts a sync or a removal.

        Raises:
            PowerLost: If the process ends here.
        """
        if self.steps_left == 0:
            raise PowerLost
        self.steps_left -= self.steps_left > 0

    def content(self, name: str) -> bytes | None:
        """Returns the bytes of a file; None if there is none of this name."""
        try:
            with open(os.path.join(self.folder, name), "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    def write_files(self, family: str, number: int, record: dict[bytes, bytes]) -> None:
        """Writes the files of a record; the last one is cut off where the folder is full."""
        super().write_files(family, number, record)
        sizes = {name: os.path.getsize(os.path.join(self.folder, name)) for name in os.listdir(self.folder)}
        if self.capacity_bytes is not None and (over := sum(sizes.values()) - self.capacity_bytes) > 0:
            data = f"{family}-{number}.dat"
            os.truncate(os.path.join(self.folder, data), max(0, sizes[data] - over))
            raise OSError(errno.ENOSPC, "the disk is full")

    def sync_path(self, path: str) -> None:
        """Records what a sync of the folder or of a file covers."""
        if self.refuses:
            raise OSError(errno.EIO, "refused")
        self.step()
        name = os.path.basename(path)
        if path == self.folder:
            self.state.names = set(os.listdir(self.folder))
            self.state.contents = {one: data for one, data in self.state.contents.items() if one in self.state.names}
            self.state.removed = {}
        elif (content := self.content(name)) is not None:
            self.state.contents[name] = content

    def remove_file(self, path: str) -> None:
        """Removes a file, which a loss of power may bring back."""
        name = os.path.basename(path)
        if (content := self.content(name)) is None:
            return
        self.step()
        self.state.removed.setdefault(name, []).append(FileState(content, self.state.contents.pop(name, None)))
        super().remove_file(path)

    def lose_power(self, random_source: random.Random) -> None:
        """Rewrites the folder as a loss of power leaves it.

        Writes after a file's last sync are kept, lost or torn. Each name made or removed since the folder's last sync
        is kept or lost by itself. At some losses all that was not synced is gone.
        """
        all_gone = random_source.random() < ALL_UNSYNCED_LOST
        state, after = self.state, dict[str, bytes]()
        for name in sorted({*os.listdir(self.folder), *state.names, *state.removed}):
            content, removed = self.content(name), state.removed.get(name, [])
            files = [*removed, *([FileState(content, state.contents.get(name))] if content is not None else [])]
            if files and name in state.names and (all_gone or not removed):
                left = files[0]
            elif all_gone or (not removed and random_source.random() < NEW_NAME_LOST):
                continue  # a name that was made is lost
            elif (at := random_source.randrange(len(files) + 1)) < len(files):
                left = files[at]
            else:
                continue
            after[name] = (left.synced or b"") if all_gone else torn_content(left, random_source)
        shutil.rmtree(self.folder)
        os.makedirs(self.folder)
        for name, data in after.items():
            with open(os.path.join(self.folder, name), "wb") as file:
                file.write(data)
        self.state = SyncedState(after, set(after))


def torn_content(file: FileState, random_source: random.Random) -> bytes:
    """Returns a file after a loss of power: as synced, as written, or torn, with zeros or nothing after some byte."""
    content, synced = file.content, file.synced or b""
    if content == synced or random_source.random() < UNSYNCED_LOST:
        return synced
    if random_source.random() < UNSYNCED_KEPT:
        return content
    cut = random_source.randrange(len(content) + 1)
    return content[:cut] + (b"\0" * (len(content) - cut) if random_source.random() < TORN_WITH_ZEROS else b"")


class Disk:
    """A machine's disk, which outlives the processes that run on it.

    Attributes:
        folder: Holds its files.
        write_s: Mean duration of a write, in seconds.
        stalled: Whether writes wait until this is False.
        refuses: Whether every sync fails.
        store: The record store of the last process.
        writing: The write that is under way, if any.
    """

    def __init__(self, folder: str, random_source: random.Random) -> None:
        """Opens a folder; delays and losses are drawn from the random source."""
        self.folder, self.random_source = folder, random_source
        self.write_s, self.stalled, self.refuses = WRITE_S, False, False
        self.store = SimulatedRecordStore(folder)
        self.writing: Callable[[], Any] | None = None

    def mount(self) -> SimulatedRecordStore:
        """Returns the record store for a new process."""
        self.store = SimulatedRecordStore(self.folder, self.store.state)
        self.store.refuses = self.refuses
        return self.store

    async def blocking(self, work: Callable[..., Any], *args: Any) -> Any:
        """Runs work with the disk's delay, in place of a thread that waits for a real disk."""
        self.writing = lambda: work(*args)
        try:
            await asyncio.sleep(self.write_s * (0.5 + self.random_source.random()))
            while self.stalled:  # noqa: ASYNC110 -- a poll is part of the trace: an event would wake it earlier
                await asyncio.sleep(STALL_POLL_S)
            self.writing = None
            done = work(*args)
            await asyncio.sleep(self.write_s * self.random_source.random())
            return done
        finally:
            self.writing = None

    def end(self, power: bool) -> None:
        """Ends the process that uses the disk, perhaps within a write; `power`: whether the machine loses its power."""
        if self.writing and self.random_source.random() < END_DURING_WRITE:
            self.store.steps_left = self.random_source.randrange(RECORD_STEPS)
            with contextlib.suppress(PowerLost, StorageError):
                self.writing()
        self.writing = None
        self.store.steps_left = -1
        if power:
            self.store.lose_power(self.random_source)

    def wipe(self) -> None:
        """Empties the disk."""
        shutil.rmtree(self.folder)
        os.makedirs(self.folder)
        self.store.state = SyncedState()

    def size(self) -> int:
        """Returns the bytes that the folder holds."""
        return sum(entry.stat().st_size for entry in os.scandir(self.folder))

    def set_fault(self, how: str) -> None:
        """Makes the disk "slow", lets it "hang" or "refuse"; an empty text makes it healthy."""
        self.write_s = SLOW_WRITE_S if how == "slow" else WRITE_S
        self.stalled = how == "hang"
        self.refuses = self.store.refuses = how == "refuse"
