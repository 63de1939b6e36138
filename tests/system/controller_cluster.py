"""Offices of the control plane without sockets: wires that call one another's, a disk in memory, a clock by hand."""

import asyncio

from stoneyoke.controlplane.controller import Controller
from stoneyoke.storage.record_store import StorageError
from stoneyoke.transport.messages import pack, unpack
from stoneyoke.transport.peers import PeerUnreachable

BOUNDS = {"quota_slack": 20.0, "quota_excess": 0.1, "quota_window_s": 5.0}


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Time passes only when nothing is left to do, and then at once: no test waits."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        real = self._selector.select

        def jump(timeout):
            events = real(0)
            if not events:
                assert timeout is not None, "everything waits for something else"
                self.now += timeout
            return events

        self._selector.select = jump

    def time(self):
        return self.now


class Disk:
    """What a core keeps; refuses: writes fail."""

    def __init__(self):
        self.records, self.refuses, self.kept = {}, False, 0

    def keep(self, family, record):
        if self.refuses:
            raise StorageError("refused")
        self.kept += 1
        self.records[family] = dict(record)

    def load(self, family):
        return self.records.get(family), []


class Harbour:
    """Cores by address. cuts: pairs that don't hear each other; down: those that are off."""

    def __init__(self, count=3, seeds=3, losses=1):
        self.names = [f"10.0.0.{at}" for at in range(1, count + 1)]
        self.seeds, self.losses = tuple(self.names[:seeds]), losses
        self.disks = {name: Disk() for name in self.names}
        self.offices, self.cuts, self.down = {}, set(), set()
        self.lost = {}  # kinds of messages that are lost, by receiver

    async def start(self, name, first=False):
        self.down.discard(name)
        office = Controller(
            name,
            name,
            1,
            "east",
            self.disks[name],
            self.seeds,
            first_start=first,
            silent_s=5.0,
            bounds=BOUNDS,
            losses=self.losses,
            clock=asyncio.get_running_loop().time,
            dial=self.wire(name),
        )
        office.blocking = self.blocking
        self.offices[name] = office
        await office.start()
        return office

    async def blocking(self, work, *args):
        await asyncio.sleep(0)
        return work(*args)

    def stop(self, name):
        self.down.add(name)
        for task in list(self.offices.pop(name).tasks):
            task.cancel()

    def wire(self, own):
        town = self

        class PeerClient:
            def __init__(self, address):
                self.address = address

            async def call(self, message, within_s):
                other = self.address[0]
                await asyncio.sleep(0)
                if (
                    other in town.down
                    or other not in town.offices
                    or {own, other} in town.cuts
                    or (type(message).__name__ in town.lost.get(other, ()))
                ):
                    raise PeerUnreachable(other)
                answer = await town.offices[other].meet(unpack(pack(1, message)[4:])[1])
                if {own, other} in town.cuts or own in town.down:
                    raise PeerUnreachable(other)
                return unpack(pack(1, answer)[4:])[1]

        return PeerClient

    async def until(self, holds, what=""):
        async with asyncio.timeout(60):
            while not holds():
                await asyncio.sleep(0.005)

    def cut(self, name):
        self.cuts = [{name, other} for other in self.names if other != name]


def run(play, **kind):
    """Plays a story with a harbour whose offices all have started for the first time."""
    harbour = Harbour(**kind)

    async def story():
        try:
            for name in harbour.names:
                await harbour.start(name, first=True)
            await play(harbour)
        finally:
            for name in list(harbour.offices):
                harbour.stop(name)

    loop = SimulatedLoop()
    try:
        loop.run_until_complete(story())
        loop.run_until_complete(asyncio.sleep(0))
    finally:
        loop.close()
