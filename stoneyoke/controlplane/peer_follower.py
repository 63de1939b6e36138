"""Follows the other controllers: one task for each peer pulls that peer's state by long polling."""

import asyncio
from dataclasses import dataclass

from loguru import logger

from stoneyoke.consensus.ballot import NO_BALLOT
from stoneyoke.consensus.message_rows import version_row
from stoneyoke.consensus.replication import Replication
from stoneyoke.controlplane.controller_context import ControllerContext
from stoneyoke.controlplane.discovery_service import DiscoveryService
from stoneyoke.controlplane.peers import Peer, Peers
from stoneyoke.controlplane.settings import ControllerSettings
from stoneyoke.transport.errors import PeerUnreachable
from stoneyoke.transport.messages import PullRequest, PullResponse
from stoneyoke.transport.messages.pull import CONTROLLER_KIND

CALL_TIMEOUT_S = 0.7
PULL_WAIT_S = 0.25  # how many seconds a peer may wait for a change before it responds to a pull
PULL_INTERVAL_S = 0.05
UNREACHABLE_PAUSE_S = 0.15
FAILURE_PAUSE_S = 1.0
NO_MEMBERSHIP_VERSION = -1  # equals no peer's version, so the response contains the lists of controllers and gateways


@dataclass(eq=False, repr=False, kw_only=True)
class PeerFollower:
    """Pulls from each known peer, for as long as the process runs.

    Attributes:
        settings: this controller's name, address and zone, which each pull contains.
        incarnation: identifies this controller's process.
        peers: the other controllers; their responses are recorded there.
        replication: fetches a newer chosen value that a peer knows.
        discovery: merges the rows of instances.
        context: shared parts of the controller.
        version: rises with each call of add_peers that added a controller.
    """

    settings: ControllerSettings
    incarnation: str
    peers: Peers
    replication: Replication
    discovery: DiscoveryService
    context: ControllerContext
    version: int = 0

    def add_peers(self, *addresses: str) -> None:
        """Adds controllers by address, from settings, voters or other controllers' lists."""
        if self.peers.add_peers(*addresses):
            self.version += 1

    def start_following(self, address: str, peer: Peer) -> None:
        """Starts the task that pulls from a new peer."""
        self.context.tasks.spawn(self.follow(address, peer))

    async def follow(self, address: str, peer: Peer) -> None:
        """Pulls from one peer for as long as the process runs; a failed pull is followed by the next one."""
        while True:
            try:
                await self.pull(address, peer)
                await asyncio.sleep(PULL_INTERVAL_S)
            except PeerUnreachable:
                await asyncio.sleep(UNREACHABLE_PAUSE_S)
            except Exception:  # outermost handler: without this task the peer would count as unreachable for ever
                logger.exception("pull from controller {} failed and is retried", address)
                await asyncio.sleep(FAILURE_PAUSE_S)

    async def pull(self, address: str, peer: Peer) -> None:
        """Pulls once and applies the changes in the response.

        Raises:
            PeerUnreachable: there is no response, or one of another message type.
        """
        request = self._pull_request(peer)
        request_sent_at = self.context.clock()
        response = await peer.link.call(request, CALL_TIMEOUT_S + PULL_WAIT_S)
        if not isinstance(response, PullResponse):
            raise PeerUnreachable(f"{address}: the response to a pull is of another message type")
        peer.record_response(response, self.context.clock())
        self.discovery.merge_rows(response.instances)
        self.discovery.record_pull(address, response.instances_synced, request_sent_at)
        self.add_peers(*response.controllers)
        chosen = self.replication.replica.chosen
        if peer.chosen_ballot > (chosen.ballot if chosen else NO_BALLOT):
            await self.replication.catch_up(address, peer.chosen_ballot)

    def _pull_request(self, peer: Peer) -> PullRequest:
        return PullRequest(
            name=self.settings.name,
            ip=self.settings.ip,
            kind=CONTROLLER_KIND,
            zone=self.settings.zone,
            incarnation=peer.incarnation,
            seq=peer.seq,
            version=version_row(self.replication.replica.version()),
            ready=True,
            heartbeat=False,
            wait_ms=int(PULL_WAIT_S * 1000),
            own_incarnation=self.incarnation,
            membership_version=NO_MEMBERSHIP_VERSION,
        )
