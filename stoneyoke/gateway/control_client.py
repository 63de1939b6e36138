"""What a gateway knows and is sure of: news of cores, backends and gateways, units of tenants, readiness.

It holds no client's and no backend's connection, so the same text runs in the program and in trials."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from stoneyoke.api.bounds import ServiceBounds
from stoneyoke.api.configuration import Configuration
from stoneyoke.limits.local_quota import ASSUMED_GATEWAYS
from stoneyoke.gateway.admission import Admission
from stoneyoke.gateway.config_sync import ConfigSync
from stoneyoke.gateway.instance_directory import InstanceDirectory
from stoneyoke.gateway.quota_client import QuotaClient
from stoneyoke.transport.peer_client import PeerClient

FORGET_FLEET_S = 10.0
SETTLING_S = 1.5  # by then the watchers have heard every gateway's beat


@dataclass(frozen=True, slots=True)
class GatewayFleet:
    """What a gateway knows of its own kind: how many they are, and its own place among them."""

    size: int = ASSUMED_GATEWAYS
    own_index: int = 0


class ControlClient:
    """clock: seconds of the steady clock. take: called with each newer configuration; told: when anything was heard,
    after `fleet` and `ready` were brought up to date."""

    def __init__(
        self,
        name: str,
        ip: str,
        zone: str,
        port: int,
        seeds: tuple[str, ...],
        bounds: ServiceBounds,
        *,
        clock: Callable[[], float],
        take: Callable[[Configuration], None],
        told: Callable[[], None],
        dial: Callable[[tuple[str, int]], PeerClient] = PeerClient,
        random_source: random.Random | None = None,
    ) -> None:
        self.name, self.clock, self.told = name, clock, told
        random_source = random_source or random.SystemRandom()
        self.seed = random_source.getrandbits(63)
        self.instance_directory = InstanceDirectory(seeds)
        self.admission = Admission(self.seed, self.now_us(), bounds)
        self.config_sync = ConfigSync(
            name,
            ip,
            zone,
            port,
            self.instance_directory,
            take,
            self.on_pull,
            clock=clock,
            dial=dial,
            random_source=random_source,
        )
        self.quota_client = QuotaClient(
            name,
            self.config_sync.incarnation,
            lambda: self.instance_directory.lease_holder(clock()),
            self.config_sync.peer_clients.get,
            self.admission.local_quotas,
            lambda: self.admission.lease_holder_answered(int(self.quota_client.heard_at * 1_000_000)),
            clock,
        )
        self.started_at = clock()
        self.largest_fleet, self.largest_fleet_at = 1, self.started_at  # gateways that were told of, and when
        self.fleet = GatewayFleet()

    def now_us(self) -> int:
        return int(self.clock() * 1_000_000)

    def start(self) -> list[asyncio.Task[None]]:
        self.config_sync.follow_controllers()
        return [asyncio.get_running_loop().create_task(self.quota_client.run())]

    def on_pull(self) -> None:
        now = self.clock()
        gateways = self.instance_directory.gateways(now)
        if self.name in gateways:
            # A new life, or a new life of cores, may not tell of all yet: parts of what all share would be too large.
            if len(gateways) >= self.largest_fleet or now - self.largest_fleet_at > FORGET_FLEET_S:
                self.largest_fleet, self.largest_fleet_at = len(gateways), now
            fewest = max(self.largest_fleet, ASSUMED_GATEWAYS if now - self.started_at < SETTLING_S else 1)
            self.fleet = GatewayFleet(fewest, gateways.index(self.name))
            self.admission.set_gateway_count(fewest)
        if not self.config_sync.ready:
            sure = self.instance_directory.caught_up(now)
            if sure is not None and sure.number > 0 and self.config_sync.version >= sure:
                self.config_sync.ready = True
        self.told()
