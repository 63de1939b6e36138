"""A gateway's side of the control plane: controllers, instances, other gateways, quota units, readiness.

It holds no connection of a client or a backend, so the same code runs in the program and in the simulation.
"""

import asyncio
from dataclasses import dataclass

from stoneyoke.api.configuration import Configuration
from stoneyoke.gateway.admission import Admission
from stoneyoke.gateway.config_sync import ConfigSync
from stoneyoke.gateway.control_settings import ControlClientSettings, ControlEnvironment, ControlListener
from stoneyoke.gateway.instance_directory import InstanceDirectory
from stoneyoke.gateway.quota_client import QuotaClient
from stoneyoke.limits.local_quota import ASSUMED_GATEWAYS
from stoneyoke.transport.peer_client import PeerClient

FORGET_FLEET_S = 10.0  # a smaller number of gateways is believed after it was reported for so long
SETTLING_S = 1.5  # by then the controllers that watch gateways have had a heartbeat of each
SEED_BITS = 63


@dataclass(frozen=True, slots=True)
class GatewayFleet:
    """How many gateways there are, and this one's number among them."""

    size: int = ASSUMED_GATEWAYS
    own_index: int = 0


class ControlClient:
    """What a gateway knows through the controllers.

    Attributes:
        seed: The seed of this process's decisions.
        instance_directory: Controllers, instances and gateways that were reported.
        admission: Decides on quotas.
        config_sync: Follows the controllers.
        quota_client: Asks the lease holder for units.
        fleet: How many gateways to reckon with.
    """

    def __init__(
        self, settings: ControlClientSettings, listener: ControlListener, environment: ControlEnvironment
    ) -> None:
        """Makes the parts; `start` begins to talk to controllers.

        Args:
            settings: Who this gateway is, and where its controllers are.
            listener: Notified once `fleet` and `config_sync.ready` are up to date.
            environment: Clock, connections and random source.
        """
        self.name, self.clock, self.listener = settings.name, environment.clock, listener
        self.seed = environment.random_source.getrandbits(SEED_BITS)
        self.instance_directory = InstanceDirectory(settings.seeds)
        self.admission = Admission(self.seed, self.now_us(), settings.bounds)
        self.config_sync = ConfigSync(settings, self.instance_directory, self, environment)
        self.quota_client = QuotaClient(
            settings.name, self.config_sync.incarnation, self.admission.local_quotas, self, self.clock
        )
        self.started_at = self.clock()
        self.largest_fleet, self.largest_fleet_at = 1, self.started_at
        self.fleet = GatewayFleet()

    def now_us(self) -> int:
        """The clock in whole microseconds."""
        return int(self.clock() * 1_000_000)

    def start(self) -> list[asyncio.Task[None]]:
        """Begins to follow controllers and to ask for units; gives the tasks that `config_sync.close` doesn't end."""
        self.config_sync.follow_controllers()
        return [asyncio.get_running_loop().create_task(self.quota_client.run())]

    # ---- from the configuration sync ----

    def take(self, configuration: Configuration) -> None:
        """Hands a newer configuration on."""
        self.listener.take(configuration)

    def on_update(self) -> None:
        """Brings fleet and readiness up to date after a pull, then notifies the listener."""
        now = self.clock()
        self.update_fleet(now)
        if not self.config_sync.ready:
            self.config_sync.ready = self.is_caught_up(now)
        self.listener.on_update()

    def update_fleet(self, now: float) -> None:
        """Counts the gateways. Overestimates in doubt: quota shares are then too small, never too large."""
        gateways = self.instance_directory.gateways(now)
        if self.name not in gateways:
            return
        # Controllers that have just started may not have heard all gateways yet.
        if len(gateways) >= self.largest_fleet or now - self.largest_fleet_at > FORGET_FLEET_S:
            self.largest_fleet, self.largest_fleet_at = len(gateways), now
        is_settling = now - self.started_at < SETTLING_S
        size = max(self.largest_fleet, ASSUMED_GATEWAYS if is_settling else 1)
        self.fleet = GatewayFleet(size, gateways.index(self.name))
        self.admission.set_gateway_count(size)

    def is_caught_up(self, now: float) -> bool:
        """Whether the configuration in force is sure to be no older than what was acknowledged before."""
        acknowledged = self.instance_directory.caught_up(now)
        return acknowledged is not None and acknowledged.number > 0 and self.config_sync.version >= acknowledged

    # ---- from the quota client ----

    def lease_holder_client(self) -> PeerClient | None:
        """The client of the controller that holds the lease of the quotas; None if that is not known."""
        lease_holder = self.instance_directory.lease_holder(self.clock())
        return self.config_sync.peer_clients.get(lease_holder) if lease_holder else None

    def lease_holder_answered(self, at: float) -> None:
        """Admission counts silence from here, in seconds of the clock."""
        self.admission.lease_holder_answered(int(at * 1_000_000))
