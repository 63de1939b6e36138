"""Disks that forget: the real records in a real folder, and what a loss of power makes of them.

A loss of power keeps what was synced, each later write whole, torn or not at all, and each name made or removed or
not, by lot (DEPLOY, Disk)."""

import asyncio
import errno
import os
import random
import shutil
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from stoneyoke.storage.record_store import RecordStore, StorageError

WRITE_S = 0.004  # of a disk that is well
SLOW_WRITE_S = 0.15
STALL_STEP_S = 0.05


class PowerLost(BaseException):
    """In the middle of a write."""


class FileState(NamedTuple):
    """A file's bytes as a process reads them, and those that its last sync covered; None: it had no sync."""

    content: bytes
    synced: bytes | None


@dataclass(slots=True)
class SyncedState:
    """What a loss of power has to start from: files by name, as of the last syncs."""

    contents: dict[str, bytes] = field(default_factory=dict)  # of the file that has the name now, by its own last sync
    names: set[str] = field(default_factory=set)  # as the folder's last sync found them
    removed: dict[str, list[FileState]] = field(default_factory=dict)  # since that sync, in their order


class SimulatedRecordStore(RecordStore):
    """The real records in a real folder, whose syncs and removals are noted. refuses: no sync ends well.
    room: so many bytes fit. steps_left: then the process ends; -1: it does not."""

    def __init__(self, folder: str, state: SyncedState | None = None) -> None:
        self.state = state or SyncedState()
        self.refuses = False
        self.room: int | None = None
        self.steps_left = -1
        super().__init__(folder)

    def step(self) -> None:
        if self.steps_left == 0:
            raise PowerLost
        self.steps_left -= self.steps_left > 0

    def content(self, name: str) -> bytes | None:
        try:
            with open(os.path.join(self.folder, name), "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    def write_files(self, family: str, number: int, record: dict[bytes, bytes]) -> None:
        super().write_files(family, number, record)
        sizes = {name: os.path.getsize(os.path.join(self.folder, name)) for name in os.listdir(self.folder)}
        if self.room is not None and (over := sum(sizes.values()) - self.room) > 0:
            data = f"{family}-{number}.dat"
            os.truncate(os.path.join(self.folder, data), max(0, sizes[data] - over))
            raise OSError(errno.ENOSPC, "the disk is full")

    def sync_path(self, path: str) -> None:
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
        name = os.path.basename(path)
        if (content := self.content(name)) is None:
            return
        self.step()
        self.state.removed.setdefault(name, []).append(FileState(content, self.state.contents.pop(name, None)))
        super().remove_file(path)

    def lose_power(self, random_source: random.Random) -> None:
        """Writes after a file's last sync are there, missing or torn; each name made or removed since the folder's
        last sync is kept or lost by itself. At some losses all that was not synced is gone."""
        all_gone = random_source.random() < 0.25
        state, after = self.state, dict[str, bytes]()
        for name in sorted({*os.listdir(self.folder), *state.names, *state.removed}):
            content, removed = self.content(name), state.removed.get(name, [])
            files = [*removed, *([FileState(content, state.contents.get(name))] if content is not None else [])]
            if files and name in state.names and (all_gone or not removed):
                left = files[0]
            elif all_gone or (not removed and random_source.random() < 0.5):
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
    """Writes after the last sync: missing, there, or there up to some byte, with zeros or nothing after it."""
    content, synced = file.content, file.synced or b""
    if content == synced or random_source.random() < 0.4:
        return synced
    if random_source.random() < 0.5:
        return content
    cut = random_source.randrange(len(content) + 1)
    return content[:cut] + (b"\0" * (len(content) - cut) if random_source.random() < 0.5 else b"")


class Disk:
    """A machine's disk, whatever runs on it. write_s: of each write; hangs: until it doesn't."""

    def __init__(self, folder: str, random_source: random.Random) -> None:
        self.folder, self.random_source = folder, random_source
        self.write_s, self.stalled, self.refuses = WRITE_S, False, False
        self.store = SimulatedRecordStore(folder)
        self.writing: Callable[[], Any] | None = None

    def mount(self) -> SimulatedRecordStore:
        """For a new process."""
        self.store = SimulatedRecordStore(self.folder, self.store.state)
        self.store.refuses = self.refuses
        return self.store

    async def blocking(self, work: Callable[..., Any], *args: Any) -> Any:
        """In place of a thread that the disk makes wait."""
        self.writing = lambda: work(*args)
        try:
            await asyncio.sleep(self.write_s * (0.5 + self.random_source.random()))
            while self.stalled:
                await asyncio.sleep(STALL_STEP_S)
            self.writing = None
            done = work(*args)
            await asyncio.sleep(self.write_s * self.random_source.random())
            return done
        finally:
            self.writing = None

    def end(self, power: bool) -> None:
        """The process there ends, maybe within a write."""
        if self.writing and self.random_source.random() < 0.6:
            self.store.steps_left = self.random_source.randrange(8)  # a record's syncs and what is removed after them
            try:
                self.writing()
            except (PowerLost, StorageError):
                pass
        self.writing = None
        self.store.steps_left = -1
        if power:
            self.store.lose_power(self.random_source)

    def wipe(self) -> None:
        shutil.rmtree(self.folder)
        os.makedirs(self.folder)
        self.store.state = SyncedState()

    def size(self) -> int:
        """Bytes that the folder holds."""
        return sum(entry.stat().st_size for entry in os.scandir(self.folder))

    def set_fault(self, how: str) -> None:
        """slow, hang, refuse; an empty word ends it."""
        self.write_s = SLOW_WRITE_S if how == "slow" else WRITE_S
        self.stalled = how == "hang"
        self.refuses = self.store.refuses = how == "refuse"
