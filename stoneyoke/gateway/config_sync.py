"""Keeps a gateway's state current: pulls changes from every controller and fetches newer configurations.

A pull is a long poll; at most one is pending at each controller. It also carries this gateway's heartbeat to the
controllers that monitor this gateway.
"""

import asyncio
import zlib

from loguru import logger

from stoneyoke.api.configuration import Version, read_configuration
from stoneyoke.api.errors import InvalidField
from stoneyoke.controlplane.heartbeat_ring import heartbeat_receivers
from stoneyoke.gateway.control_settings import ControlClientSettings, ControlEnvironment, ControlListener
from stoneyoke.gateway.instance_directory import InstanceDirectory
from stoneyoke.transport.errors import PeerUnreachable
from stoneyoke.transport.messages import FetchRequest, FetchResponse, PullRequest, PullResponse, VersionRow
from stoneyoke.transport.messages.pull import GATEWAY_KIND
from stoneyoke.transport.peer_client import PeerClient

CALL_TIMEOUT_S = 0.6
FETCH_RETRY_TIMEOUT_S = CALL_TIMEOUT_S + 2.0  # for a fetch from a controller that may be in another zone
LONG_POLL_MS = 1000  # how long a controller may delay its response to a pull while nothing has changed
RETRY_DELAY_S = 0.15  # after a pull without a valid response
FAILURE_DELAY_S = 1.0  # after a pull that failed with an unexpected exception
INCARNATION_BITS = 48


class ConfigSync:
    """Pulls from all known controllers.

    Attributes:
        incarnation: Identifies this process among those of the same gateway.
        version: The version of the configuration in force here; number 0 before the first.
        ready: Whether this gateway provably has every change that was acknowledged before it started. The control
            client sets it once; it is reported to controllers.
        peer_clients: The client for calls to each controller that is pulled from, by the controller's address.
        tasks: The tasks that pull, one for each of these controllers.
    """

    def __init__(
        self,
        settings: ControlClientSettings,
        instance_directory: InstanceDirectory,
        listener: ControlListener,
        environment: ControlEnvironment,
    ) -> None:
        """Starts without a configuration; `follow_controllers` starts the pulls.

        Args:
            settings: This gateway's identity and address.
            instance_directory: Merges the controllers' reports, and has the controllers' addresses.
            listener: Receives newer configurations and is notified after each pull.
            environment: The clock, the connections and the random source.
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
        """Starts to pull from each known controller that is not pulled from yet."""
        for name in list(self.instance_directory.controllers):
            if name not in self.peer_clients:
                self.peer_clients[name] = self.environment.dial((name, self.settings.port))
                task = asyncio.get_running_loop().create_task(self.follow_controller(name))
                self.tasks.add(task)

    def close(self) -> None:
        """Cancels all pulls."""
        for task in self.tasks:
            task.cancel()

    async def follow_controller(self, name: str) -> None:
        """Pulls from one controller until the task is cancelled."""
        while True:
            try:
                await self.pull(name)
            except PeerUnreachable:
                await asyncio.sleep(RETRY_DELAY_S)
            except Exception:  # an unexpected failure to process one response must not stop pulls from this controller
                logger.exception("pull from controller {} failed unexpectedly in this gateway; retrying", name)
                await asyncio.sleep(FAILURE_DELAY_S)

    async def pull(self, name: str) -> None:
        """Pulls once from one controller, and fetches the configuration if the controller reports a newer one.

        Raises:
            PeerUnreachable: There was no response of the right kind in time.
        """
        answer = await self.peer_clients[name].call(self.pull_request(name), CALL_TIMEOUT_S + LONG_POLL_MS / 1000)
        if not isinstance(answer, PullResponse):
            raise PeerUnreachable(f"{name}: expected a PullResponse, got a {type(answer).__name__}")
        self.instance_directory.apply_pull(name, answer, self.environment.clock())
        self.follow_controllers()
        if Version(*answer.version) > self.version:
            await self.fetch(name)
        self.listener.on_update()

    def pull_request(self, name: str) -> PullRequest:
        """Builds the request for changes since the last response of that controller."""
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
            heartbeat=name in heartbeat_receivers(settings.name, self.instance_directory.controllers),
            wait_ms=LONG_POLL_MS,
            own_incarnation=self.incarnation,
            membership_version=view.membership_version,
        )

    async def fetch(self, name: str) -> None:
        """Fetches the configuration that a controller has reported, from a controller in this zone if one has it.

        Raises:
            PeerUnreachable: No controller returned it in time.
        """
        async with self.fetch_lock:
            last_pull = self.instance_directory.controllers[name].last_pull
            # Another task may have fetched this version while this one waited for the lock.
            if not last_pull or Version(*last_pull.version) <= self.version:
                return
            version = Version(*last_pull.version)
            nearest = self.instance_directory.controllers_with_version(version, self.settings.zone)[0]
            try:
                answer = await self.peer_clients[nearest].call(FetchRequest(), CALL_TIMEOUT_S)
            except PeerUnreachable:
                answer = await self.peer_clients[name].call(FetchRequest(), FETCH_RETRY_TIMEOUT_S)
        if not isinstance(answer, FetchResponse):
            raise PeerUnreachable(f"{name}: expected a FetchResponse, got a {type(answer).__name__}")
        self.install(name, answer)

    def install(self, name: str, answer: FetchResponse) -> None:
        """Passes a fetched configuration to the listener if it is newer: a process never reverts to an older one."""
        try:
            configuration = read_configuration(zlib.decompress(answer.body))
        except (InvalidField, zlib.error) as error:
            logger.error(
                "configuration reported by controller {} is invalid, the current one stays in force: {}", name, error
            )
            return
        if configuration.version > self.version:
            self.version = configuration.version
            self.listener.apply_configuration(configuration)
