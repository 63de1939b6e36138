"""Handles the pulls (long polls) of gateways and other controllers: what changed here since their last pull."""

import asyncio
import contextlib
from dataclasses import dataclass

from stoneyoke.api.configuration import Version
from stoneyoke.consensus.ballot import NO_BALLOT
from stoneyoke.consensus.message_rows import EMPTY_VALUE, ballot_row, member_row, value_row, version_row
from stoneyoke.consensus.replica import Replica
from stoneyoke.controlplane.controller_context import ControllerContext
from stoneyoke.controlplane.discovery_service import DiscoveryService
from stoneyoke.controlplane.gateway_tracker import GatewayTracker
from stoneyoke.controlplane.membership import Membership
from stoneyoke.controlplane.peer_follower import PeerFollower
from stoneyoke.controlplane.quota_lease import QuotaLease
from stoneyoke.controlplane.settings import ControllerSettings
from stoneyoke.transport.messages import PullRequest, PullResponse
from stoneyoke.transport.messages.pull import CONTROLLER_KIND

MAX_PULL_WAIT_S = 2.0  # a pull gets its response after this many seconds, even without a change


@dataclass(eq=False, repr=False, kw_only=True)
class PullService:
    """Responds to a pull once there is a change for it, or once the time that the request allows is over.

    Attributes:
        settings: this controller's address and zone.
        incarnation: identifies this controller's process; change numbers of another process are meaningless here.
        replica: the newest values of the register.
        discovery: the instances.
        lease: knows the holder of the quota lease.
        membership: knows whether this controller is shutting down.
        gateways: records the gateways that pull.
        follower: adds the controllers that pull to the peers.
        context: shared parts of the controller.
    """

    settings: ControllerSettings
    incarnation: str
    replica: Replica
    discovery: DiscoveryService
    lease: QuotaLease
    membership: Membership
    gateways: GatewayTracker
    follower: PeerFollower
    context: ControllerContext

    async def handle_pull(self, request: PullRequest) -> PullResponse:
        """Responds at once if there is a change, else at the next change or when the request's time is over."""
        if request.kind == CONTROLLER_KIND:
            self.follower.add_peers(request.ip)
        else:
            self.gateways.record_pull(request)
        change = self.context.changes.next_change()
        if request.wait_ms > 0 and self.is_up_to_date(request):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(request.wait_ms / 1000, MAX_PULL_WAIT_S)):
                    await change.wait()
        return self.response(request)

    def membership_version(self) -> int:
        """Returns a number that rises with each change of the known controllers and gateways."""
        return self.follower.version + self.gateways.version

    def is_up_to_date(self, request: PullRequest) -> bool:
        """Returns whether the requester already has everything that this controller would send."""
        has_instances = request.incarnation == self.incarnation and request.seq >= self.discovery.registry.seq
        has_lists = request.membership_version == self.membership_version() or request.kind == CONTROLLER_KIND
        return has_instances and has_lists and self.replica.version() <= Version(*request.version)

    def response(self, request: PullRequest) -> PullResponse:
        """Returns what changed since the request's change number, or everything if that is of another process."""
        is_same_process = request.incarnation == self.incarnation
        view, chosen = self.replica.view(), self.replica.chosen
        controllers: list[str] = []
        gateways: list[str] = []
        if not is_same_process or request.membership_version != self.membership_version():
            controllers = [self.settings.ip, *self.follower.peers]
            gateways = list(self.gateways.heartbeats.last_heartbeat_at)
        return PullResponse(
            incarnation=self.incarnation,
            seq=self.discovery.registry.seq,
            complete=not is_same_process,
            instances=self.discovery.registry.changes_since(
                request.seq if is_same_process else 0, self.context.clock()
            ),
            replica=member_row(self.replica.identity),
            view_ballot=ballot_row(view.ballot if view else NO_BALLOT),
            view=value_row(view.value if view else EMPTY_VALUE, with_body=False),
            chosen_ballot=ballot_row(chosen.ballot if chosen else NO_BALLOT),
            version=version_row(self.replica.version()),
            instances_synced=self.discovery.synced(),
            lease_holder=self.lease.known_holder(),
            leaving=self.membership.leaving,
            zone=self.settings.zone,
            membership_version=self.membership_version(),
            controllers=controllers,
            gateways=gateways,
        )
