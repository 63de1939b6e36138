"""Keeps a gateway up to date: pulls from every controller what is new and fetches newer configurations.

A pull is a long poll, one at a time for each controller. It carries this gateway's heartbeat to those controllers that
watch it.
"""

import asyncio
import zlib

from loguru import logger

from stoneyoke.api.configuration import Version, read_configuration
from stoneyoke.api.errors import InvalidField
from stoneyoke.controlplane.heartbeat_ring import watchers
from stoneyoke.gateway.control_settings import ControlClientSettings, ControlEnvironment, ControlListener
from stoneyoke.gateway.instance_directory import InstanceDirectory
from stoneyoke.transport.errors import PeerUnreachable
from stoneyoke.transport.messages import FetchRequest, FetchResponse, PullRequest, PullResponse, VersionRow
from stoneyoke.transport.messages.pull import GATEWAY_KIND
from stoneyoke.transport.peer_client import PeerClient

CALL_TIMEOUT_S = 0.6
FETCH_RETRY_TIMEOUT_S = CALL_TIMEOUT_S + 2.0  # from a controller that may be far away
LONG_POLL_MS = 1000  # how long a controller may hold a pull until something is new
RETRY_DELAY_S = 0.15
FAILURE_DELAY_S = 1.0
INCARNATION_BITS = 48


class ConfigSync:
    """Follows all controllers that are known.

    Attributes:
        incarnation: Identifies this process among those of the same gateway.
        version: The version of the configuration in force here; number 0 before the first.
        ready: This gateway is sure to have all that was acknowledged before it started. Set once by the control
            client, and reported to controllers.
        peer_clients: The client of each controller that is followed, by its address.
        tasks: One task for each of them.
    """

    def __init__(
        self,
        settings: ControlClientSettings,
        instance_directory: InstanceDirectory,
        listener: ControlListener,
        environment: ControlEnvironment,
    ) -> None:
        """Starts without a configuration; `follow_controllers` begins.

        Args:
            settings: Who this gateway is.
            instance_directory: Takes in what controllers report, and knows their addresses.
            listener: Takes newer configurations and is notified after each pull.
            environment: Clock, connections and random source.
        """
        self.settings, self.environment = settings, environment
        self.instance_directory, self.listener = instance_directory, listener
        self.incarnation = f"{environment.random_source.getrandbits(INCARNATION_BITS):012x}"
        self.version = Version()
        self.ready = False
        self.peer_clients: dict[str, PeerClient] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.fetch_lock = asyncio.Lock()

    def follow_controllers(self) -> None:
        """Begins to follow each controller that is known and not followed yet."""
        for name in list(self.instance_directory.controllers):
            if name not in self.peer_clients:
                self.peer_clients[name] = self.environment.dial((name, self.settings.port))
                task = asyncio.get_running_loop().create_task(self.follow_controller(name))
                self.tasks.add(task)

    def close(self) -> None:
        """Ends all pulls."""
        for task in self.tasks:
            task.cancel()

    async def follow_controller(self, name: str) -> None:
        """Pulls from one controller until the process ends."""
        while True:
            try:
                await self.pull(name)
            except PeerUnreachable:
                await asyncio.sleep(RETRY_DELAY_S)
            except Exception:  # outermost guard: a fault in one answer must not end the pulls from this controller
                logger.exception("Pull from controller {} failed by a fault in this gateway; it is tried again", name)
                await asyncio.sleep(FAILURE_DELAY_S)

    async def pull(self, name: str) -> None:
        """Pulls once from one controller, and fetches the configuration if that is newer.

        Raises:
            PeerUnreachable: The controller gave no answer of the right kind in time.
        """
        answer = await self.peer_clients[name].call(self.pull_request(name), CALL_TIMEOUT_S + LONG_POLL_MS / 1000)
        if not isinstance(answer, PullResponse):
            raise PeerUnreachable("an answer of another kind")
        self.instance_directory.apply_pull(name, answer, self.environment.clock())
        self.follow_controllers()
        if Version(*answer.version) > self.version:
            await self.fetch(name)
        self.listener.on_update()

    def pull_request(self, name: str) -> PullRequest:
        """The request for what is new since the last answer of that controller."""
        view, settings = self.instance_directory.controllers[name], self.settings
        return PullRequest(
            name=settings.name,
            ip=settings.ip,
            kind=GATEWAY_KIND,
            zone=settings.zone,
            incarnation=view.incarnation,
            seq=view.seq,
            version=VersionRow(self.version.number, self.version.digest),
            ready=self.ready,
            heartbeat=name in watchers(settings.name, self.instance_directory.controllers),
            wait_ms=LONG_POLL_MS,
            own_incarnation=self.incarnation,
            membership_version=view.membership_version,
        )

    async def fetch(self, name: str) -> None:
        """Fetches the configuration that a controller has reported, from a near controller if one holds it.

        Raises:
            PeerUnreachable: No controller gave it in time.
        """
        async with self.fetch_lock:
            last_pull = self.instance_directory.controllers[name].last_pull
            # Another task may have fetched this version while this one waited for the lock.
            if not last_pull or Version(*last_pull.version) <= self.version:
                return
            version = Version(*last_pull.version)
            nearest = self.instance_directory.controllers_holding(version, self.settings.zone)[0]
            try:
                answer = await self.peer_clients[nearest].call(FetchRequest(), CALL_TIMEOUT_S)
            except PeerUnreachable:
                answer = await self.peer_clients[name].call(FetchRequest(), FETCH_RETRY_TIMEOUT_S)
        if not isinstance(answer, FetchResponse):
            raise PeerUnreachable("an answer of another kind")
        self.install(name, answer)

    def install(self, name: str, answer: FetchResponse) -> None:
        """Hands a fetched configuration on if it is newer. Within one process nothing goes back."""
        try:
            configuration = read_configuration(zlib.decompress(answer.body))
        except (InvalidField, zlib.error) as error:
            logger.error("Configuration fetched for controller {} is rejected, the old one stays: {}", name, error)
            return
        if configuration.version > self.version:
            self.version = configuration.version
            self.listener.take(configuration)
