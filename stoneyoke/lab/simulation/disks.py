"""Disks that forget: the real records in a real folder, and what a loss of power makes of them.

A loss of power keeps what was synced, and each later write whole, torn or not at all, by lot (DEPLOY, Disk)."""

import asyncio
import os
import random
import shutil
from collections.abc import Callable
from typing import Any

from stoneyoke.storage.record_store import RecordStore, StorageError

WRITE_S = 0.004  # of a disk that is well
SLOW_WRITE_S = 0.15
STALL_STEP_S = 0.05


class PowerLost(BaseException):
    """In the middle of a write."""


class SimulatedRecordStore(RecordStore):
    """The real records in a real folder, whose syncs are noted: `durable` is what a loss of power leaves for sure."""

    def __init__(self, folder: str) -> None:
        self.durable: dict[str, bytes] = {}
        self.refuses = False
        self.syncs_left = -1  # then the process ends; -1: it does not
        super().__init__(folder)

    def sync(self, path: str) -> None:
        if self.refuses:
            raise OSError("refused")
        if self.syncs_left == 0:
            raise PowerLost
        self.syncs_left -= self.syncs_left > 0
        if path == self.folder:
            self.durable = {
                name: data for name, data in self.durable.items() if os.path.exists(os.path.join(self.folder, name))
            }
        else:
            with open(path, "rb") as file:
                self.durable[os.path.basename(path)] = file.read()

    def lose_power(self, chance: random.Random) -> None:
        """What was not synced is there, missing or torn; names removed since the last sync may be back."""
        all_gone = chance.random() < 0.25
        now = {}
        for name in sorted(os.listdir(self.folder)):
            with open(os.path.join(self.folder, name), "rb") as file:
                now[name] = file.read()
        after: dict[str, bytes] = {}
        for name in sorted({*now, *self.durable}):
            new, old = now.get(name), self.durable.get(name)
            if new == old or all_gone or chance.random() < 0.4:
                kept = old
            elif new is not None and chance.random() < 0.5:
                cut = chance.randrange(len(new) + 1)
                kept = new[:cut] + (b"\0" * (len(new) - cut) if chance.random() < 0.5 else b"")
            else:
                kept = new
            if kept is not None:
                after[name] = kept
        shutil.rmtree(self.folder)
        os.makedirs(self.folder)
        for name, data in after.items():
            with open(os.path.join(self.folder, name), "wb") as file:
                file.write(data)
        self.durable = after


class Disk:
    """A machine's disk, whatever runs on it. write_s: of each write; hangs: until it doesn't."""

    def __init__(self, folder: str, chance: random.Random) -> None:
        self.folder, self.chance = folder, chance
        self.write_s, self.hangs, self.refuses = WRITE_S, False, False
        self.store = SimulatedRecordStore(folder)
        self.writing: Callable[[], Any] | None = None

    def mount(self) -> SimulatedRecordStore:
        """For a new process."""
        durable = self.store.durable
        self.store = SimulatedRecordStore(self.folder)
        self.store.durable, self.store.refuses = durable, self.refuses
        return self.store

    async def blocking(self, work: Callable[..., Any], *args: Any) -> Any:
        """In place of a thread that the disk makes wait."""
        self.writing = lambda: work(*args)
        try:
            await asyncio.sleep(self.write_s * (0.5 + self.chance.random()))
            while self.hangs:
                await asyncio.sleep(STALL_STEP_S)
            self.writing = None
            done = work(*args)
            await asyncio.sleep(self.write_s * self.chance.random())
            return done
        finally:
            self.writing = None

    def end(self, power: bool) -> None:
        """The process there ends, maybe within a write."""
        if self.writing and self.chance.random() < 0.6:
            self.store.syncs_left = self.chance.randrange(3)
            try:
                self.writing()
            except (PowerLost, StorageError):
                pass
        self.writing = None
        self.store.syncs_left = -1
        if power:
            self.store.lose_power(self.chance)

    def wipe(self) -> None:
        shutil.rmtree(self.folder)
        os.makedirs(self.folder)
        self.store.durable = {}

    def size(self) -> int:
        """Bytes that the folder holds."""
        return sum(entry.stat().st_size for entry in os.scandir(self.folder))

    def trouble(self, how: str) -> None:
        """slow, hang, refuse; an empty word ends it."""
        self.write_s = SLOW_WRITE_S if how == "slow" else WRITE_S
        self.hangs = how == "hang"
        self.refuses = self.store.refuses = how == "refuse"
