"""A gateway's ears: pulls from every core what it lacks, fetches configurations, beats to its watchers."""

import asyncio
import random
import zlib
from collections.abc import Callable

from loguru import logger

from stoneyoke.controlplane.heartbeat_ring import watchers
from stoneyoke.api.configuration import Configuration, Version, read_configuration
from stoneyoke.api.errors import InvalidField
from stoneyoke.gateway.instance_directory import InstanceDirectory
from stoneyoke.transport.messages import FetchRequest, FetchResponse, PullRequest, PullResponse, VersionRow
from stoneyoke.transport.messages.pull import GATEWAY_KIND
from stoneyoke.transport.errors import PeerUnreachable
from stoneyoke.transport.peer_client import PeerClient

CALL_S = 0.6
WAIT_MS = 1000  # how long a core may hold a pull until there is news
PAUSE_S = 0.15


class ConfigSync:
    """take: called with each newer configuration; told: when anything was heard."""

    def __init__(
        self,
        name: str,
        ip: str,
        zone: str,
        port: int,
        instance_directory: InstanceDirectory,
        take: Callable[[Configuration], None],
        told: Callable[[], None],
        *,
        clock: Callable[[], float],
        dial: Callable[[tuple[str, int]], PeerClient] = PeerClient,
        random_source: random.Random | None = None,
    ) -> None:
        self.clock, self.dial = clock, dial
        self.name, self.ip, self.zone, self.port = name, ip, zone, port
        self.instance_directory, self.take, self.told = instance_directory, take, told
        self.incarnation = f"{(random_source or random.SystemRandom()).getrandbits(48):012x}"
        self.version = Version()
        self.ready = False
        self.peer_clients: dict[str, PeerClient] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.fetching = asyncio.Lock()

    def follow_controllers(self) -> None:
        for name in list(self.instance_directory.controllers):
            if name not in self.peer_clients:
                self.peer_clients[name] = self.dial((name, self.port))
                task = asyncio.get_running_loop().create_task(self.follow_controller(name))
                self.tasks.add(task)

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()

    async def follow_controller(self, name: str) -> None:
        while True:
            try:
                await self.pull(name)
            except PeerUnreachable:
                await asyncio.sleep(PAUSE_S)
            except Exception:
                logger.exception("pulling from {} failed", name)
                await asyncio.sleep(1.0)

    async def pull(self, name: str) -> None:
        view = self.instance_directory.controllers[name]
        heartbeat = name in watchers(self.name, self.instance_directory.controllers)
        news = await self.peer_clients[name].call(
            PullRequest(
                name=self.name,
                ip=self.ip,
                kind=GATEWAY_KIND,
                zone=self.zone,
                incarnation=view.incarnation,
                seq=view.seq,
                version=VersionRow(self.version.number, self.version.digest),
                ready=self.ready,
                heartbeat=heartbeat,
                wait_ms=WAIT_MS,
                own_incarnation=self.incarnation,
                membership_version=view.membership_version,
            ),
            CALL_S + WAIT_MS / 1000,
        )
        if not isinstance(news, PullResponse):
            raise PeerUnreachable("an answer of another kind")
        self.instance_directory.apply_pull(name, news, self.clock())
        self.follow_controllers()
        if Version(*news.version) > self.version:
            await self.fetch(name)
        self.told()

    async def fetch(self, name: str) -> None:
        async with self.fetching:
            view = self.instance_directory.controllers[name]
            if not view.last_pull or Version(*view.last_pull.version) <= self.version:
                return
            near = self.instance_directory.controllers_holding(Version(*view.last_pull.version), self.zone)[0]
            try:
                bill = await self.peer_clients[near].call(FetchRequest(), CALL_S)
            except PeerUnreachable:
                bill = await self.peer_clients[name].call(FetchRequest(), CALL_S + 2.0)
        if not isinstance(bill, FetchResponse):
            raise PeerUnreachable("an answer of another kind")
        try:
            chart = read_configuration(zlib.decompress(bill.body))
        except (InvalidField, zlib.error) as bad:
            logger.error("a configuration from {} can't be read: {}", name, bad)
            return
        if chart.version > self.version:  # within one life nothing goes back
            self.version = chart.version
            self.take(chart)
