"""The quota lease: its holder allocates the tenants' quotas to gateways.

The holder also proposes changes of the voters: see `membership`.
"""

import asyncio
from dataclasses import dataclass

from loguru import logger

from stoneyoke.api.bounds import ServiceBounds
from stoneyoke.consensus.register_value import ReplicaId, VoterSet
from stoneyoke.consensus.replica import Replica
from stoneyoke.controlplane.chosen_configuration import ChosenConfiguration
from stoneyoke.controlplane.controller_context import ControllerContext
from stoneyoke.controlplane.gateway_tracker import GatewayTracker
from stoneyoke.controlplane.lease_voter import LeaseVoter
from stoneyoke.controlplane.leases import LEASE_TTL_S, RENEW_INTERVAL_S, GrantRequest, LeaseHolder
from stoneyoke.controlplane.peers import Peer, Peers
from stoneyoke.limits.quota_allocator import QuotaAllocator
from stoneyoke.transport.errors import PeerUnreachable
from stoneyoke.transport.messages import LeaseRequest, LeaseResponse, QuotaRequest, QuotaResponse

QUOTA_LEASE = "quotas"  # the lease's name in messages
CALL_TIMEOUT_S = 0.7
ROUND_TIMEOUT_S = 0.3  # a round waits this many seconds for the voters' responses
RETRY_INTERVAL_S = 0.2
RANK_DELAY_S = 0.1  # a candidate waits this many seconds for each voter before it in the list
JITTER_S = 0.05
MIN_WAIT_S = 0.01


@dataclass(frozen=True, slots=True)
class LeaseRound:
    """One round of requests: the voters that they are sent to, and when the round started."""

    voters: VoterSet
    started_at: float


@dataclass(eq=False, repr=False, kw_only=True)
class QuotaLease:
    """The candidate's and holder's side of the quota lease.

    A controller without the lease requests it while it is a voter, reaches a majority, and knows of no other holder.
    With the grants of a majority it holds the lease and allocates quotas. It renews the lease until a round fails and
    the lease expires; then its allocator is discarded.

    Attributes:
        replica: this controller's replica; only voters request the lease.
        peers: the other controllers.
        incarnation: identifies this controller's process.
        bounds: the operators' bounds, for the allocator.
        voter: the voter's side of the lease at this controller.
        gateways: the gateways that may still have shares of the quotas.
        configuration: the tenants and their rates.
        context: shared parts of the controller.
    """

    replica: Replica
    peers: Peers
    incarnation: str
    bounds: ServiceBounds
    voter: LeaseVoter
    gateways: GatewayTracker
    configuration: ChosenConfiguration
    context: ControllerContext

    def __post_init__(self) -> None:
        """Starts without the lease."""
        self.holder = LeaseHolder()
        self.allocator: QuotaAllocator | None = None  # exists only while the lease is held

    def is_held(self) -> bool:
        """Returns whether this controller holds the lease now."""
        return self.holder.is_held(self.context.clock())

    def known_holder(self) -> str:
        """Returns the address of the lease holder as far as known here, "" if unknown.

        This controller names itself only once a majority has granted it the lease. When an unreachable controller
        named itself by its own grant alone, gateways that believed it repeatedly left the true holder (a network
        partition of 20 s lowered a benchmark day's score by 0.09).
        """
        grant = self.voter.current_grant(QUOTA_LEASE)
        if grant is None:
            return ""
        is_own = grant.holder == self.peers.own_address
        return "" if is_own and not self.is_held() else grant.holder

    def allocate(self, request: QuotaRequest) -> QuotaResponse:
        """Returns the response to a gateway's request for quota; its `ok` is false without the lease."""
        if self.allocator is None or not self.is_held():
            return QuotaResponse(ok=False, grants=[])
        self.allocator.set_tenants(self.configuration.tenants())
        grants = self.allocator.allocate(request, self.context.clock())
        return QuotaResponse(ok=True, grants=grants)

    # ---- acquiring and renewing ----

    async def run(self) -> None:
        """Requests and renews the lease for as long as the process runs."""
        while True:
            now, was_held = self.context.clock(), self.is_held()
            if now < self.voter.no_grants_before:  # this voter grants nothing yet, not even to itself
                await asyncio.sleep(max(MIN_WAIT_S, self.voter.no_grants_before - now))
                continue
            if self.may_request(was_held):
                await self.request_after_rank_delay(was_held)
            self.update_allocator()
            await asyncio.sleep(RENEW_INTERVAL_S if was_held else RETRY_INTERVAL_S)

    def may_request(self, is_held: bool) -> bool:
        """Returns whether this controller may renew the lease, or may try to acquire it."""
        if self.replica.chosen is None or not self.replica.is_voter():
            return False
        if is_held:
            return True
        members = self.replica.voters().members
        has_quorum = self.peers.majority_reachable(members, self.replica.identity)
        return has_quorum and self.known_holder() in ("", self.peers.own_address)

    async def request_after_rank_delay(self, is_held: bool) -> None:
        """Runs a round. A candidate first waits according to its rank among the voters, so that few compete."""
        if not is_held:
            rank = self.replica.voters().members.index(self.replica.identity)
            await asyncio.sleep(RANK_DELAY_S * rank + JITTER_S * self.context.random_source.random())
        await self.request_from_voters()

    async def request_from_voters(self) -> None:
        """Runs one round: sends requests to all voters, counts the grants, and releases them without a majority."""
        lease_round = LeaseRound(self.replica.voters(), self.context.clock())
        self.holder.start_round(lease_round.started_at)
        own_decision = self.voter.grant(self._grant_request(LEASE_TTL_S), lease_round.voters.number)
        if own_decision and own_decision.granted:
            self.record_grant(self.replica.identity, lease_round)
        message = self._lease_request(LEASE_TTL_S, lease_round.voters.number)
        requests = [
            self.context.tasks.spawn(self._request_from(peer, message, lease_round))
            for peer in self._voting_peers(lease_round.voters)
        ]
        if requests:
            await asyncio.wait(requests, timeout=ROUND_TIMEOUT_S)
        if not self.is_held():
            self.update_allocator()
            await self.release()

    def record_grant(self, voter: ReplicaId, lease_round: LeaseRound) -> None:
        """Counts one voter's grant in a round."""
        self.holder.record_grant(voter, lease_round.voters.members, lease_round.started_at)

    async def release(self) -> None:
        """Releases the grants of a failed round, then waits for a random backoff.

        Otherwise two candidates could each have the grants of a minority of the voters and renew them for ever.
        """
        voters = self.replica.voters()
        self.holder.start_round(self.context.clock())
        self.voter.grant(self._grant_request(0.0), voters.number)
        message = self._lease_request(0.0, voters.number)
        for peer in self._voting_peers(voters):
            self.context.tasks.spawn(self._send(peer, message))
        await asyncio.sleep(ROUND_TIMEOUT_S * self.context.random_source.random())

    def update_allocator(self) -> None:
        """Makes the allocator when the lease was acquired, discards it when the lease has expired."""
        now = self.context.clock()
        is_held = self.holder.is_held(now)
        if is_held and self.allocator is None:
            logger.info("quota lease acquired: this controller allocates quotas")
            self.allocator = QuotaAllocator(self.bounds, now, self.gateways.recent_names())
            self.context.changes.notify()
        elif not is_held and self.allocator is not None:
            logger.info("quota lease expired: this controller allocates no quotas")
            self.allocator = None
            self.context.changes.notify()

    # ---- messages ----

    def handle_request(self, request: LeaseRequest) -> LeaseResponse:
        """Returns this voter's response to another candidate's request."""
        return self.voter.handle_request(request, self.known_holder)

    def _voting_peers(self, voters: VoterSet) -> list[Peer]:
        return [self.peers[address] for address in voters.addresses() if address in self.peers]

    def _grant_request(self, ttl_s: float) -> GrantRequest:
        return GrantRequest(
            lease_name=QUOTA_LEASE,
            holder=self.peers.own_address,
            incarnation=self.incarnation,
            ttl_s=ttl_s,
            round_number=self.holder.round_number,
        )

    def _lease_request(self, ttl_s: float, voter_set_number: int) -> LeaseRequest:
        return LeaseRequest(
            lease_name=QUOTA_LEASE,
            holder=self.peers.own_address,
            incarnation=self.incarnation,
            ttl_ms=int(ttl_s * 1000),
            round_number=self.holder.round_number,
            voter_set_number=voter_set_number,
        )

    async def _request_from(self, peer: Peer, message: LeaseRequest, lease_round: LeaseRound) -> None:
        response = await self._send(peer, message)
        if response and response.ok and response.voter_set_number == lease_round.voters.number:
            self.record_grant(ReplicaId(*response.replica), lease_round)

    async def _send(self, peer: Peer, message: LeaseRequest) -> LeaseResponse | None:
        try:
            response = await peer.link.call(message, CALL_TIMEOUT_S)
        except PeerUnreachable:
            return None
        return response if isinstance(response, LeaseResponse) else None
