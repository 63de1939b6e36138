"""Controllers without sockets: wires that call one another's, a disk in memory, a clock by hand."""

import asyncio

from stoneyoke.api.bounds import ServiceBounds
from stoneyoke.controlplane.controller import Controller
from stoneyoke.storage.record_store import StorageError
from stoneyoke.transport.messages import pack, unpack
from stoneyoke.transport.errors import PeerUnreachable

BOUNDS = ServiceBounds(catch_up_s=4.0, quota_window_s=5.0, quota_excess_ratio=0.1, quota_slack_units=20.0)


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


class Cluster:
    """Cores by address. cuts: pairs that don't hear each other; down: those that are off."""

    def __init__(self, count=3, seeds=3, losses=1):
        self.names = [f"10.0.0.{at}" for at in range(1, count + 1)]
        self.seeds, self.losses = tuple(self.names[:seeds]), losses
        self.disks = {name: Disk() for name in self.names}
        self.controllers, self.cuts, self.down = {}, set(), set()
        self.lost = {}  # kinds of messages that are lost, by receiver
        self.carried = {}  # messages, by kind
        self.cutting = None  # (address, kind): cut off once it has sent such a message

    def add(self, name):
        """A machine that was not there before, with an empty disk."""
        self.names.append(name)
        self.disks[name] = Disk()

    def cut_after(self, name, kind):
        self.cutting = (name, kind)

    async def start(self, name, first=False):
        self.down.discard(name)
        controller = Controller(
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
        controller.blocking = self.blocking
        await controller.start()
        self.controllers[name] = controller
        return controller

    async def blocking(self, work, *args):
        await asyncio.sleep(0)
        return work(*args)

    def stop(self, name):
        self.down.add(name)
        for task in list(self.controllers.pop(name).tasks):
            task.cancel()

    def wire(self, own):
        cluster = self

        class PeerClient:
            def __init__(self, address):
                self.address = address

            async def call(self, message, within_s):
                other, kind = self.address[0], type(message).__name__
                cluster.carried[kind] = cluster.carried.get(kind, 0) + 1
                await asyncio.sleep(0)
                if other in cluster.down or other not in cluster.controllers:
                    raise PeerUnreachable(other)
                if {own, other} in cluster.cuts or kind in cluster.lost.get(other, ()):
                    await asyncio.sleep(within_s)  # a cut says nothing
                    raise PeerUnreachable(other)
                answer = await cluster.controllers[other].handle_message(unpack(pack(1, message)[4:])[1])
                if cluster.cutting == (own, kind):
                    cluster.cutting = None
                    cluster.cut(own)
                if {own, other} in cluster.cuts or own in cluster.down:
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
    """Plays a story with a cluster whose controllers all have started for the first time."""
    cluster = Cluster(**kind)

    async def story():
        try:
            for name in cluster.names:
                await cluster.start(name, first=True)
            await play(cluster)
        finally:
            for name in list(cluster.controllers):
                cluster.stop(name)

    loop = SimulatedLoop()
    try:
        loop.run_until_complete(story())
        loop.run_until_complete(asyncio.sleep(0))
    finally:
        loop.close()
