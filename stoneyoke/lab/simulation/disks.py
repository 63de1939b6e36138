"""Simulated disks: the real record store in a real folder, and the effect of a power loss on that folder.

Synced data survives a power loss. Each write after the last sync survives in full, in part or not at all, and each file
name that was created or removed since the last sync of the folder survives or not, at random (DEPLOY, Disk).
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

WRITE_S = 0.004  # mean duration of a write on a healthy disk
SLOW_WRITE_S = 0.15  # mean duration of a write on a slow disk
STALL_POLL_S = 0.05  # interval between two checks whether a disk is still stalled
MAX_RECORD_STEPS = 8  # maximum number of syncs and removals while one record is saved
ALL_UNSYNCED_LOST_PROBABILITY = 0.25  # probability that a power loss discards everything that is not synced
NEW_NAME_LOST_PROBABILITY = 0.5  # probability that a file name created since the folder's last sync is lost
UNSYNCED_LOST_PROBABILITY = 0.4  # probability that the writes after a file's last sync are lost
UNSYNCED_KEPT_PROBABILITY = 0.5  # probability that those writes survive in full if they are not lost
ZERO_FILL_PROBABILITY = 0.5  # probability that the missing part of a torn file is filled with zeros
END_DURING_WRITE_PROBABILITY = 0.6  # probability that a process with a write in progress ends during that write


class PowerLost(BaseException):
    """Raised where a process ends in the middle of a write."""


class FileState(NamedTuple):
    """The current and the synced content of a file.

    Attributes:
        content: The bytes that a process reads.
        synced: The bytes at the file's last sync; None if it was never synced.
    """

    content: bytes
    synced: bytes | None


@dataclass(slots=True)
class SyncedState:
    """The synced state of a folder, from which a power loss derives what survives.

    Attributes:
        contents: The content of each existing file at its own last sync, by name.
        names: The file names at the folder's last sync.
        removed: The files that were removed since that sync, by name, in the order of their removal.
    """

    contents: dict[str, bytes] = field(default_factory=dict)
    names: set[str] = field(default_factory=set)
    removed: dict[str, list[FileState]] = field(default_factory=dict)


class SimulatedRecordStore(RecordStore):
    """The real record store in a real folder, with its syncs and removals recorded.

    Attributes:
        state: The synced state, from which a power loss derives what survives.
        refuses: Whether every sync fails.
        capacity_bytes: Maximum size of the folder in bytes; None for no limit.
        steps_left: Number of syncs and removals before the process ends; -1 if it does not end.
    """

    def __init__(self, folder: str, state: SyncedState | None = None) -> None:
        """Opens the store of a folder; `state` is the synced state that the previous process left."""
        self.state = state or SyncedState()
        self.refuses = False
        self.capacity_bytes: int | None = None
        self.steps_left = -1
        super().__init__(folder)

    def step(self) -> None:
        """Counts a sync or a removal.

        Raises:
            PowerLost: If the process ends at this step.
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
        """Writes the files of a record; the data file is truncated if the folder exceeds its capacity."""
        super().write_files(family, number, record)
        sizes = {name: os.path.getsize(os.path.join(self.folder, name)) for name in os.listdir(self.folder)}
        if self.capacity_bytes is not None and (over := sum(sizes.values()) - self.capacity_bytes) > 0:
            data = f"{family}-{number}.dat"
            os.truncate(os.path.join(self.folder, data), max(0, sizes[data] - over))
            raise OSError(errno.ENOSPC, "the simulated disk is full")

    def sync_path(self, path: str) -> None:
        """Records the names that a sync of the folder persists, or the content that a sync of a file persists."""
        if self.refuses:
            raise OSError(errno.EIO, "the simulated disk refuses to sync")
        self.step()
        name = os.path.basename(path)
        if path == self.folder:
            self.state.names = set(os.listdir(self.folder))
            self.state.contents = {one: data for one, data in self.state.contents.items() if one in self.state.names}
            self.state.removed = {}
        elif (content := self.content(name)) is not None:
            self.state.contents[name] = content

    def remove_file(self, path: str) -> None:
        """Removes a file. A power loss before the folder's next sync may restore it."""
        name = os.path.basename(path)
        if (content := self.content(name)) is None:
            return
        self.step()
        self.state.removed.setdefault(name, []).append(FileState(content, self.state.contents.pop(name, None)))
        super().remove_file(path)

    def lose_power(self, random_source: random.Random) -> None:
        """Rewrites the folder to what survives a power loss.

        Writes after a file's last sync survive, are lost or are torn. Each file name created or removed since the
        folder's last sync survives or is lost independently. Some power losses discard everything that was not synced.
        """
        discards_all_unsynced = random_source.random() < ALL_UNSYNCED_LOST_PROBABILITY
        state, after = self.state, dict[str, bytes]()
        for name in sorted({*os.listdir(self.folder), *state.names, *state.removed}):
            content, removed = self.content(name), state.removed.get(name, [])
            files = [*removed, *([FileState(content, state.contents.get(name))] if content is not None else [])]
            if files and name in state.names and (discards_all_unsynced or not removed):
                left = files[0]
            elif discards_all_unsynced or (not removed and random_source.random() < NEW_NAME_LOST_PROBABILITY):
                continue  # the file name was created since the folder's last sync and is lost
            elif (at := random_source.randrange(len(files) + 1)) < len(files):
                left = files[at]
            else:
                continue
            after[name] = (left.synced or b"") if discards_all_unsynced else torn_content(left, random_source)
        shutil.rmtree(self.folder)
        os.makedirs(self.folder)
        for name, data in after.items():
            with open(os.path.join(self.folder, name), "wb") as file:
                file.write(data)
        self.state = SyncedState(after, set(after))


def torn_content(file: FileState, random_source: random.Random) -> bytes:
    """Returns a file's content after a power loss: as synced, as written, or torn, maybe with zeros at the end."""
    content, synced = file.content, file.synced or b""
    if content == synced or random_source.random() < UNSYNCED_LOST_PROBABILITY:
        return synced
    if random_source.random() < UNSYNCED_KEPT_PROBABILITY:
        return content
    cut = random_source.randrange(len(content) + 1)
    return content[:cut] + (b"\0" * (len(content) - cut) if random_source.random() < ZERO_FILL_PROBABILITY else b"")


class Disk:
    """A machine's disk, which outlives the processes that run on it.

    Attributes:
        folder: Path of the folder with its files.
        write_s: Mean duration of a write, in seconds.
        stalled: Whether the disk stalls: writes wait until this is False.
        refuses: Whether every sync fails.
        store: The record store of the last process.
        pending_write: The write in progress, if any.
    """

    def __init__(self, folder: str, random_source: random.Random) -> None:
        """Opens a folder; delays and losses are drawn from the random source."""
        self.folder, self.random_source = folder, random_source
        self.write_s, self.stalled, self.refuses = WRITE_S, False, False
        self.store = SimulatedRecordStore(folder)
        self.pending_write: Callable[[], Any] | None = None

    def mount(self) -> SimulatedRecordStore:
        """Returns the record store for a new process."""
        self.store = SimulatedRecordStore(self.folder, self.store.state)
        self.store.refuses = self.refuses
        return self.store

    async def blocking(self, work: Callable[..., Any], *args: Any) -> Any:
        """Runs a function with the disk's delay. Real machines run it in a thread, which waits for the disk."""
        self.pending_write = lambda: work(*args)
        try:
            await asyncio.sleep(self.write_s * (0.5 + self.random_source.random()))
            while self.stalled:  # noqa: ASYNC110 -- the interval is part of the trace: an event would wake earlier
                await asyncio.sleep(STALL_POLL_S)
            self.pending_write = None
            done = work(*args)
            await asyncio.sleep(self.write_s * self.random_source.random())
            return done
        finally:
            self.pending_write = None

    def end(self, power: bool) -> None:
        """Ends the process that uses the disk, possibly during a write; `power`: whether the machine loses power."""
        if self.pending_write and self.random_source.random() < END_DURING_WRITE_PROBABILITY:
            self.store.steps_left = self.random_source.randrange(MAX_RECORD_STEPS)
            with contextlib.suppress(PowerLost, StorageError):
                self.pending_write()
        self.pending_write = None
        self.store.steps_left = -1
        if power:
            self.store.lose_power(self.random_source)

    def wipe(self) -> None:
        """Empties the disk."""
        shutil.rmtree(self.folder)
        os.makedirs(self.folder)
        self.store.state = SyncedState()

    def size(self) -> int:
        """Returns the total size of the files in bytes."""
        return sum(entry.stat().st_size for entry in os.scandir(self.folder))

    def set_fault(self, how: str) -> None:
        """Sets the fault "slow", "hang" (writes stall) or "refuse" (syncs fail); an empty string removes the fault."""
        self.write_s = SLOW_WRITE_S if how == "slow" else WRITE_S
        self.stalled = how == "hang"
        self.refuses = self.store.refuses = how == "refuse"
