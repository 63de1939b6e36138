"""A gateway's client of the control plane: controllers, instances, other gateways, quota units, readiness.

It uses no connections to clients or backends, so the same code runs in the program and in the simulation.
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

FLEET_SHRINK_DELAY_S = 10.0  # a smaller number of gateways takes effect once it has been reported for this long
STARTUP_SETTLING_S = (
    1.5  # within this time from the start, the controllers that monitor gateways receive a heartbeat of each
)
SEED_BITS = 63


@dataclass(frozen=True, slots=True)
class GatewayFleet:
    """The number of gateways, and this gateway's index among them, from 0."""

    size: int = ASSUMED_GATEWAYS
    own_index: int = 0


class ControlClient:
    """The part of a gateway's state that the controllers provide.

    Attributes:
        seed: The random seed of this process's decision logics.
        instance_directory: The controllers, instances and gateways that controllers have reported.
        admission: Admits or rejects requests by their tenant's quota.
        config_sync: Pulls from the controllers.
        quota_client: Requests units from the lease holder.
        fleet: The assumed number of gateways, and this gateway's index.
    """

    def __init__(
        self, settings: ControlClientSettings, listener: ControlListener, environment: ControlEnvironment
    ) -> None:
        """Creates the components; `start` starts communication with controllers.

        Args:
            settings: This gateway's identity, and the addresses of its controllers.
            listener: Notified once `fleet` and `config_sync.ready` are up to date.
            environment: The clock, the connections and the random source.
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
        """Returns the clock's time in whole microseconds."""
        return int(self.clock() * 1_000_000)

    def start(self) -> list[asyncio.Task[None]]:
        """Starts pulls and quota rounds; returns the tasks that `config_sync.close` does not cancel."""
        self.config_sync.follow_controllers()
        return [asyncio.get_running_loop().create_task(self.quota_client.run())]

    # ---- called by the configuration sync ----

    def apply_configuration(self, configuration: Configuration) -> None:
        """Passes a newer configuration to the listener."""
        self.listener.apply_configuration(configuration)

    def on_update(self) -> None:
        """Updates the fleet and the readiness after a pull, then notifies the listener."""
        now = self.clock()
        self.update_fleet(now)
        if not self.config_sync.ready:
            self.config_sync.ready = self.is_caught_up(now)
        self.listener.on_update()

    def update_fleet(self, now: float) -> None:
        """Updates the number of gateways. In doubt it is overestimated: quota shares are then too small, not too large.

        A decrease takes effect only after FLEET_SHRINK_DELAY_S.
        """
        gateways = self.instance_directory.gateways(now)
        if self.name not in gateways:
            return
        # Controllers that have just started may not have received a heartbeat of each gateway yet.
        if len(gateways) >= self.largest_fleet or now - self.largest_fleet_at > FLEET_SHRINK_DELAY_S:
            self.largest_fleet, self.largest_fleet_at = len(gateways), now
        is_settling = now - self.started_at < STARTUP_SETTLING_S
        size = max(self.largest_fleet, ASSUMED_GATEWAYS if is_settling else 1)
        self.fleet = GatewayFleet(size, gateways.index(self.name))
        self.admission.set_gateway_count(size)

    def is_caught_up(self, now: float) -> bool:
        """Whether the configuration in force is provably at least as new as any that was acknowledged before."""
        acknowledged = self.instance_directory.caught_up(now)
        return acknowledged is not None and acknowledged.number > 0 and self.config_sync.version >= acknowledged

    # ---- called by the quota client ----

    def lease_holder_client(self) -> PeerClient | None:
        """Returns the client for calls to the quota lease holder; None if the lease holder is not known."""
        lease_holder = self.instance_directory.lease_holder(self.clock())
        return self.config_sync.peer_clients.get(lease_holder) if lease_holder else None

    def lease_holder_responded(self, at: float) -> None:
        """Records when the lease holder last responded, in seconds of the clock; isolation is measured from then."""
        self.admission.lease_holder_responded(int(at * 1_000_000))
