"""A cluster of controllers without sockets: links call the receiver's handler, disks and time are simulated."""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from stoneyoke.api.bounds import ServiceBounds
from stoneyoke.controlplane.controller import Controller
from stoneyoke.controlplane.settings import ControllerEnvironment, ControllerSettings
from stoneyoke.storage.errors import StorageError
from stoneyoke.storage.record_file import Record
from stoneyoke.storage.record_store import LoadedRecord
from stoneyoke.transport.errors import PeerUnreachable
from stoneyoke.transport.messages import Message, pack, unpack

BOUNDS = ServiceBounds(catch_up_s=4.0, quota_window_s=5.0, quota_excess_ratio=0.1, quota_slack_units=20.0)
SILENCE_TIMEOUT_S = 5.0
POLL_S = 0.005
CONDITION_TIMEOUT_S = 60.0  # simulated seconds; a condition that isn't true by then fails its test


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop with simulated time, which advances without waiting when no callback is ready to run."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        selector: Any = self._selector  # type: ignore[attr-defined]  # private attribute of asyncio
        real_select = selector.select

        def select(timeout: float | None) -> Any:
            events = real_select(0)
            if not events:
                assert timeout is not None, "deadlock: nothing is ready to run and no timer is set"
                self.now += timeout
            return events

        selector.select = select

    def time(self) -> float:
        return self.now


class Disk:
    """A machine's disk, with its records in memory. refuses: each write fails."""

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}
        self.refuses = False
        self.save_count = 0

    def save(self, family: str, record: Record) -> None:
        if self.refuses:
            raise StorageError("refused")
        self.save_count += 1
        self.records[family] = dict(record)

    def load(self, family: str) -> LoadedRecord:
        return LoadedRecord(self.records.get(family), [])


class Cluster:
    """Controllers by address.

    Attributes:
        partitions: pairs of controllers that can't reach each other.
        down: controllers that are stopped.
        lost: by receiver, the names of the message types that it doesn't receive.
        carried: how often each message type was sent.
        isolate_after: an address and a message type: this controller becomes unreachable after sending such a message.
    """

    def __init__(self, count: int = 3, seeds: int = 3, losses: int = 1) -> None:
        self.names = [f"10.0.0.{at}" for at in range(1, count + 1)]
        self.seeds, self.losses = tuple(self.names[:seeds]), losses
        self.disks = {name: Disk() for name in self.names}
        self.controllers: dict[str, Controller] = {}
        self.partitions: Iterable[set[str]] = ()
        self.down: set[str] = set()
        self.lost: dict[str, tuple[str, ...]] = {}
        self.carried: Counter[str] = Counter()
        self.isolate_after: tuple[str, str] | None = None

    def add(self, name: str) -> None:
        """Adds a new machine with an empty disk."""
        self.names.append(name)
        self.disks[name] = Disk()

    def isolate_after_sending(self, name: str, kind: str) -> None:
        self.isolate_after = (name, kind)

    async def start(self, name: str, first: bool = False) -> Controller:
        self.down.discard(name)
        settings = ControllerSettings(
            name=name,
            ip=name,
            port=1,
            zone="east",
            seeds=self.seeds,
            first_start=first,
            silence_timeout_s=SILENCE_TIMEOUT_S,
            bounds=BOUNDS,
            losses=self.losses,
        )
        environment = ControllerEnvironment(
            store=self.disks[name],
            clock=asyncio.get_running_loop().time,
            dial=lambda address: ClusterLink(self, name, address),
            run_blocking=run_blocking,
        )
        controller = Controller(settings, environment)
        await controller.start()
        self.controllers[name] = controller
        return controller

    def stop(self, name: str) -> None:
        self.down.add(name)
        for task in list(self.controllers.pop(name).tasks):
            task.cancel()

    async def wait_until(self, holds: Callable[[], object]) -> None:
        async with asyncio.timeout(CONDITION_TIMEOUT_S):
            while not holds():  # noqa: ASYNC110 -- in simulated time, and no event signals the condition
                await asyncio.sleep(POLL_S)

    def cut(self, name: str) -> None:
        """Partitions this controller from all others; ends other partitions."""
        self.partitions = [{name, other} for other in self.names if other != name]

    def are_partitioned(self, one: str, other: str) -> bool:
        return {one, other} in self.partitions


class ClusterLink:
    """A controller's connection to another one. Messages are packed and unpacked, as between processes."""

    def __init__(self, cluster: Cluster, own: str, address: tuple[str, int]) -> None:
        self.cluster, self.own, self.address = cluster, own, address

    async def call(self, message: Message, timeout_s: float) -> Message:
        cluster, own, other, kind = self.cluster, self.own, self.address[0], type(message).__name__
        cluster.carried[kind] += 1
        await asyncio.sleep(0)
        if other in cluster.down or other not in cluster.controllers:
            raise PeerUnreachable(other)
        if cluster.are_partitioned(own, other) or kind in cluster.lost.get(other, ()):
            await asyncio.sleep(timeout_s)  # a partition is noticed by the time-out only
            raise PeerUnreachable(other)
        answer = await cluster.controllers[other].handle_message(as_received(message))
        if cluster.isolate_after == (own, kind):
            cluster.isolate_after = None
            cluster.cut(own)
        if cluster.are_partitioned(own, other) or own in cluster.down:
            raise PeerUnreachable(other)
        assert answer is not None, f"{kind} got no response"
        return as_received(answer)


def as_received(message: Message) -> Message:
    """Returns the message as its receiver unpacks it."""
    return unpack(pack(1, message)[4:])[1]


async def run_blocking(operation: Callable[..., Any], *args: Any) -> Any:
    """Replaces the thread for disk operations: runs the operation in the next iteration of the event loop."""
    await asyncio.sleep(0)
    return operation(*args)


def run(scenario: Callable[[Cluster], Coroutine[Any, Any, None]], **shape: int) -> None:
    """Runs a scenario with a cluster whose controllers have all started for the first time.

    Args:
        scenario: a coroutine function that gets the cluster.
        shape: Cluster's arguments.
    """
    cluster = Cluster(**shape)

    async def run_scenario() -> None:
        try:
            for name in cluster.names:
                await cluster.start(name, first=True)
            await scenario(cluster)
        finally:
            for name in list(cluster.controllers):
                cluster.stop(name)

    loop = SimulatedLoop()
    try:
        loop.run_until_complete(run_scenario())
        loop.run_until_complete(asyncio.sleep(0))
    finally:
        loop.close()
