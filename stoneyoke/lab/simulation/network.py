"""What lies between the machines of a voyage: a network that delays, loses, doubles and cuts, and disks that forget.

Messages go through the real packing. A call may be delivered though its caller has given up, late, or twice: that is
more than TCP allows, so what holds here holds there. Disks keep the real format; a loss of power keeps what was
synced, each later write whole, torn or not at all, and each name made or removed or not, by lot (DEPLOY, Disk)."""

import asyncio
import errno
import os
import random
import shutil
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from stoneyoke.storage.record_store import RecordStore, StorageError
from stoneyoke.transport.messages import Message, pack, unpack
from stoneyoke.transport.peers import PeerUnreachable

Meet = Callable[[Message], Awaitable[Message | None]]


class SimulatedNetwork:
    """ports: who answers at an address, None where the machine is up and nothing listens; absent: no power.
    cuts: pairs (from, to) that carry nothing. held: machines whose links stand still."""

    def __init__(self, chance: random.Random) -> None:
        self.chance = chance
        self.ports: dict[str, Meet | None] = {}
        self.crews: dict[str, set[asyncio.Task[Any]]] = {}  # what runs on a machine; ended with it
        self.cuts: set[tuple[str, str]] = set()
        self.held: set[str] = set()
        self.delay_s, self.late, self.doubled = 0.0015, 0.0, 0.0
        self.carried: dict[str, int] = {}  # messages, by kind

    def aboard(self, name: str, work: Any) -> asyncio.Task[Any]:
        """A task of this machine."""
        task = asyncio.get_running_loop().create_task(work)
        tasks = self.crews.setdefault(name, set())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        return task

    def sink(self, name: str, power: bool) -> None:
        """All that runs there ends; without power nothing says so."""
        if power:
            self.ports.pop(name, None)
        else:
            self.ports[name] = None
        for task in in_order(self.crews.get(name, ())):
            task.cancel()

    async def cross(self, own: str, other: str) -> None:
        """One message's way. One that can't come through waits for as long as its caller does."""
        wait = self.delay_s * (0.7 + 0.6 * self.chance.random())
        if self.late and self.chance.random() < self.late:
            wait += self.chance.choice((0.02, 0.2, 0.8, 2.0))
        await asyncio.sleep(wait)
        while (own, other) in self.cuts or own in self.held or other in self.held:
            await asyncio.sleep(0.05)

    def wires(self, own: str) -> Callable[[tuple[str, int]], Any]:
        return lambda address: SimulatedPeerClient(self, own, address[0])

    async def deliver(self, own: str, other: str, data: bytes, answer: asyncio.Future[bytes]) -> None:
        """Carried whether or not the caller still waits."""
        await self.cross(own, other)
        while other not in self.ports:
            await asyncio.sleep(0.5)  # without power nothing answers, and who comes back knows no old connection
            if other in self.ports:
                return
        meet = self.ports[other]
        if meet is None:
            if not answer.done():
                answer.set_exception(PeerUnreachable("nothing listens"))
            return
        times = 2 if self.doubled and self.chance.random() < self.doubled else 1
        for _ in range(times):
            self.aboard(other, self.met(meet, own, other, data, answer))

    async def met(self, meet: Meet, own: str, other: str, data: bytes, answer: asyncio.Future[bytes]) -> None:
        said = await meet(unpack(data[4:])[1])
        if said is None:
            return
        back = pack(1, said)
        await self.cross(other, own)
        if not answer.done():
            answer.set_result(back)


def in_order(tasks: Iterable[asyncio.Future[Any]]) -> list[asyncio.Task[Any]]:
    """As they were begun: sets of tasks have another order in each process."""
    return sorted((one for one in tasks if isinstance(one, asyncio.Task)), key=lambda one: int(one.get_name()[5:]))


class SimulatedPeerClient:
    """In place of signals.wires.PeerClient."""

    def __init__(self, sea: SimulatedNetwork, own: str, other: str) -> None:
        self.sea, self.own, self.other, self.address = sea, own, other, (other, 1)

    async def call(self, message: Message, within_s: float) -> Message:
        kind = type(message).__name__
        self.sea.carried[kind] = self.sea.carried.get(kind, 0) + 1
        answer: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        # On its way it belongs to the network: its sender's end does not take it back.
        self.sea.aboard("", self.sea.deliver(self.own, self.other, pack(1, message), answer))
        try:
            async with asyncio.timeout(within_s):
                data = await answer
        except TimeoutError as bad:
            raise PeerUnreachable("no answer in time") from bad
        finally:
            if answer.done() and not answer.cancelled():
                answer.exception()
        return unpack(data[4:])[1]


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

    def sync(self, path: str) -> None:
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

    def remove(self, path: str) -> None:
        name = os.path.basename(path)
        if (content := self.content(name)) is None:
            return
        self.step()
        self.state.removed.setdefault(name, []).append(FileState(content, self.state.contents.pop(name, None)))
        super().remove(path)

    def lose_power(self, chance: random.Random) -> None:
        """Writes after a file's last sync are there, missing or torn; each name made or removed since the folder's
        last sync is kept or lost by itself. At some losses all that was not synced is gone."""
        all_gone = chance.random() < 0.25
        state, after = self.state, dict[str, bytes]()
        for name in sorted({*os.listdir(self.folder), *state.names, *state.removed}):
            content, removed = self.content(name), state.removed.get(name, [])
            files = [*removed, *([FileState(content, state.contents.get(name))] if content is not None else [])]
            if files and name in state.names and (all_gone or not removed):
                left = files[0]
            elif all_gone or (not removed and chance.random() < 0.5):
                continue  # a name that was made is lost
            elif (at := chance.randrange(len(files) + 1)) < len(files):
                left = files[at]
            else:
                continue
            after[name] = (left.synced or b"") if all_gone else torn(left, chance)
        shutil.rmtree(self.folder)
        os.makedirs(self.folder)
        for name, data in after.items():
            with open(os.path.join(self.folder, name), "wb") as file:
                file.write(data)
        self.state = SyncedState(after, set(after))


def torn(file: FileState, chance: random.Random) -> bytes:
    """Writes after the last sync: missing, there, or there up to some byte, with zeros or nothing after it."""
    content, synced = file.content, file.synced or b""
    if content == synced or chance.random() < 0.4:
        return synced
    if chance.random() < 0.5:
        return content
    cut = chance.randrange(len(content) + 1)
    return content[:cut] + (b"\0" * (len(content) - cut) if chance.random() < 0.5 else b"")


class Disk:
    """A machine's disk, whatever runs on it. slow_s: of each write; hangs: until it doesn't."""

    def __init__(self, folder: str, chance: random.Random) -> None:
        self.folder, self.chance = folder, chance
        self.slow_s, self.hangs, self.refuses = 0.004, False, False
        self.hold = SimulatedRecordStore(folder)
        self.writing: Callable[[], Any] | None = None

    def mount(self) -> SimulatedRecordStore:
        """For a new process."""
        self.hold = SimulatedRecordStore(self.folder, self.hold.state)
        self.hold.refuses = self.refuses
        return self.hold

    async def blocking(self, work: Callable[..., Any], *args: Any) -> Any:
        """In place of a thread that the disk makes wait."""
        self.writing = lambda: work(*args)
        try:
            await asyncio.sleep(self.slow_s * (0.5 + self.chance.random()))
            while self.hangs:
                await asyncio.sleep(0.05)
            self.writing = None
            done = work(*args)
            await asyncio.sleep(self.slow_s * self.chance.random())
            return done
        finally:
            self.writing = None

    def end(self, power: bool) -> None:
        """The process there ends, maybe within a write."""
        if self.writing and self.chance.random() < 0.6:
            self.hold.steps_left = self.chance.randrange(8)  # a record's syncs and what is removed after them
            try:
                self.writing()
            except (PowerLost, StorageError):
                pass
        self.writing = None
        self.hold.steps_left = -1
        if power:
            self.hold.lose_power(self.chance)

    def wipe(self) -> None:
        shutil.rmtree(self.folder)
        os.makedirs(self.folder)
        self.hold.state = SyncedState()
