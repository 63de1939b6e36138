"""The gateways that pull from this controller or send heartbeats to it or its peers."""

import asyncio
from dataclasses import dataclass

from stoneyoke.api.configuration import Version
from stoneyoke.controlplane.controller_context import ControllerContext
from stoneyoke.controlplane.heartbeat_ring import HeartbeatMonitor
from stoneyoke.controlplane.peers import Peers
from stoneyoke.limits.quota_allocator import GATEWAY_TTL_S
from stoneyoke.transport.messages import PullRequest

GATEWAY_TIMEOUT_S = 10.0  # a gateway without a heartbeat for this many seconds is removed
SWEEP_INTERVAL_S = 0.25


@dataclass(frozen=True, slots=True)
class GatewayPull:
    """A gateway's last pull: the version of the gateway's configuration, the time, whether the gateway is ready."""

    version: Version
    pulled_at: float
    ready: bool


class GatewayTracker:
    """Records gateways' pulls and heartbeats.

    A gateway sends its heartbeats to a few controllers (see heartbeat_ring) and pulls from all of them.
    """

    def __init__(self, peers: Peers, context: ControllerContext) -> None:
        """Starts without gateways.

        Args:
            peers: the other controllers, which report the gateways whose heartbeats they receive.
            context: shared parts of the controller.
        """
        self._peers, self._context = peers, context
        self.last_pulls: dict[str, GatewayPull] = {}  # by gateway name
        self.heartbeats = HeartbeatMonitor(GATEWAY_TIMEOUT_S)
        self.version = 0  # rises when the set of gateways whose heartbeats arrive here changes

    def record_pull(self, request: PullRequest) -> None:
        """Records a pull, and the heartbeat that it may contain."""
        now = self._context.clock()
        self.last_pulls[request.name] = GatewayPull(Version(*request.version), now, request.ready)
        if request.heartbeat and self.heartbeats.record_heartbeat(request.name, now):
            self._mark_changed()

    def recent_names(self) -> list[str]:
        """Returns the gateways seen recently by this controller or a peer: they may still have shares of quotas."""
        now = self._context.clock()
        seen_here = {name for name, pull in self.last_pulls.items() if now - pull.pulled_at < GATEWAY_TTL_S}
        recent_peers = (peer for peer in self._peers.values() if now - peer.last_response_at < GATEWAY_TTL_S)
        reported = {name for peer in recent_peers for name in peer.gateways}
        return sorted(seen_here | reported)

    async def run_sweeper(self) -> None:
        """Removes gateways whose heartbeats timed out, for as long as the process runs."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            if self.heartbeats.expire(self._context.clock()):
                self._mark_changed()

    def _mark_changed(self) -> None:
        self.version += 1
        self._context.changes.notify()
