"""The lease of the quotas: one controller holds the tenants' stores, and proposes changes of voters."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from stoneyoke.api.bounds import ServiceBounds
from stoneyoke.consensus.message_rows import member_row
from stoneyoke.consensus.register_value import ReplicaId
from stoneyoke.consensus.replica import Replica
from stoneyoke.consensus.replication import Spawn
from stoneyoke.controlplane.leases import LEASE_TTL_S, RENEW_INTERVAL_S, LeaseGranter, LeaseHolder
from stoneyoke.controlplane.peers import Peer, Peers
from stoneyoke.limits.quota_allocator import QuotaAllocator
from stoneyoke.transport.errors import PeerUnreachable
from stoneyoke.transport.messages import LeaseRequest, LeaseResponse

QUOTA_LEASE = "quotas"
CALL_TIMEOUT_S = 0.7
ROUND_TIMEOUT_S = 0.3  # a round of asking waits so long
RETRY_INTERVAL_S = 0.2


class QuotaLease:
    """gateways: names of those that were there of late. changed: called when the lease is taken or has ended."""

    def __init__(
        self,
        replica: Replica,
        peers: Peers,
        incarnation: str,
        *,
        bounds: ServiceBounds,
        first_start: bool,
        gateways: Callable[[], list[str]],
        changed: Callable[[], None],
        clock: Callable[[], float],
        spawn: Spawn,
        random_source: random.Random,
    ) -> None:
        self.replica, self.peers, self.incarnation, self.bounds = replica, peers, incarnation, bounds
        self.gateways, self.changed, self.clock, self.spawn, self.random_source = (
            gateways,
            changed,
            clock,
            spawn,
            random_source,
        )
        self.granter, self.holder = LeaseGranter(clock(), first_start), LeaseHolder()
        self.allocator: QuotaAllocator | None = None
        self.was_voter = replica.is_voter()  # as this granter last saw it

    def is_held(self) -> bool:
        return self.holder.is_held(self.clock())

    def holder_known(self) -> str:
        """Address of who holds it, as far as known here, "" if nobody. A grant to itself counts only once a majority
        has given theirs: gateways that believed a controller which was cut off left the true holder again and again
        (a cut of 20 s cost 0.09 of a day's worth)."""
        grant, now = self.granter.grants.get(QUOTA_LEASE), self.clock()
        if grant is None or now >= grant.expires_at:
            return ""
        return grant.holder if grant.holder != self.peers.own_address or self.is_held() else ""

    async def run(self) -> None:
        """For as long as this process lives."""
        while True:
            now, held = self.clock(), self.is_held()
            if now < self.granter.no_grants_before:  # nobody can have it before
                await asyncio.sleep(max(0.01, self.granter.no_grants_before - now))
                continue
            if self.may_request(held):
                await self.request_in_turn(held)
            self.renew_allocator()
            await asyncio.sleep(RENEW_INTERVAL_S if held else RETRY_INTERVAL_S)

    def may_request(self, held: bool) -> bool:
        return (
            self.replica.chosen is not None
            and self.replica.is_voter()
            and (held or self.peers.majority_reachable(self.replica.voters().members, self.replica.identity))
            and (held or self.holder_known() in ("", self.peers.own_address))
        )

    async def request_in_turn(self, held: bool) -> None:
        """Those with a lower place among the voters go first."""
        members = self.replica.voters().members
        if not held:
            await asyncio.sleep(0.1 * members.index(self.replica.identity) + 0.05 * self.random_source.random())
        await self.request_from_voters()

    async def request_from_voters(self) -> None:
        voters, began = self.replica.voters(), self.clock()
        self.holder.start_round(began)
        number = self.holder.round_number
        ok = self.grant(QUOTA_LEASE, self.peers.own_address, self.incarnation, LEASE_TTL_S, number, voters.number)[0]
        self.holder.record_reply(self.replica.identity, ok, voters.members, began, began)
        request = self.lease_request(int(LEASE_TTL_S * 1000), voters.number)

        async def one(peer: Peer) -> None:
            try:
                answer = await peer.link.call(request, CALL_TIMEOUT_S)
            except PeerUnreachable:
                return
            if isinstance(answer, LeaseResponse) and answer.voter_set_number == voters.number:
                self.holder.record_reply(ReplicaId(*answer.replica), answer.ok, voters.members, began, self.clock())

        asked = [self.spawn(one(self.peers[name])) for name in voters.addresses() if name in self.peers]
        if asked:
            await asyncio.wait(asked, timeout=ROUND_TIMEOUT_S)
        if not self.is_held():
            self.renew_allocator()
            await self.release()

    def lease_request(self, ttl_ms: int, voter_set_number: int) -> LeaseRequest:
        """A request of the holder's current round; a `ttl_ms` of 0 releases the lease."""
        return LeaseRequest(
            lease_name=QUOTA_LEASE,
            holder=self.peers.own_address,
            incarnation=self.incarnation,
            ttl_ms=ttl_ms,
            round_number=self.holder.round_number,
            voter_set_number=voter_set_number,
        )

    async def release(self) -> None:
        """Rivals that each hold a part of the voters would renew that for ever: given back, and by chance later."""
        voters = self.replica.voters()
        self.holder.start_round(self.clock())
        self.grant(QUOTA_LEASE, self.peers.own_address, self.incarnation, 0.0, self.holder.round_number, voters.number)
        request = self.lease_request(0, voters.number)
        for name in voters.addresses():
            if name in self.peers:
                self.spawn(self.send(self.peers[name], request))
        await asyncio.sleep(ROUND_TIMEOUT_S * self.random_source.random())

    async def send(self, peer: Peer, request: LeaseRequest) -> None:
        try:
            await peer.link.call(request, CALL_TIMEOUT_S)
        except PeerUnreachable:
            return

    # ---- the voter's part ----

    def grant(
        self, lease_name: str, holder: str, incarnation: str, ttl_s: float, number: int, voters_number: int
    ) -> tuple[bool, str, float]:
        """Whether it is granted; who has it; for how many seconds more. Only for the voters that are known here to be
        chosen, and no more once newer ones may be: so grants of two sets never make up two majorities."""
        now, votes = self.clock(), self.replica.is_voter()
        if votes and not self.was_voter:
            self.granter.delay_grants(now)
        self.was_voter = votes
        accepted, current = self.replica.acceptor.accepted, self.replica.chosen_voters_number()
        superseded = accepted is not None and accepted.value.voters.number > voters_number
        if not votes or voters_number != current or superseded:
            return False, self.holder_known(), 0.0
        return self.granter.request(lease_name, holder, incarnation, ttl_s, now, number)

    def answer_request(self, request: LeaseRequest) -> LeaseResponse:
        ok, has, left = self.grant(
            request.lease_name,
            request.holder,
            request.incarnation,
            request.ttl_ms / 1000,
            request.round_number,
            request.voter_set_number,
        )
        return LeaseResponse(
            ok=ok,
            holder=has,
            remaining_ms=int(left * 1000),
            voter_set_number=self.replica.chosen_voters_number(),
            replica=member_row(self.replica.identity),
        )

    # ---- the holder's part ----

    def renew_allocator(self) -> None:
        now = self.clock()
        if not self.holder.is_held(now):
            if self.allocator:
                logger.info("lease of the quotas: ended")
                self.changed()
            self.allocator = None
        elif self.allocator is None:
            logger.info("lease of the quotas: taken")
            self.allocator = QuotaAllocator(self.bounds, now, self.gateways())
            self.changed()
