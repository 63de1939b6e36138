"""The lease of the quotas: one controller holds the tenants' stores, and proposes changes of voters."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from stoneyoke.consensus.message_rows import member_row
from stoneyoke.consensus.protocol import ReplicaId
from stoneyoke.consensus.replica import Replica
from stoneyoke.consensus.replication import Spawn
from stoneyoke.controlplane.leases import RENEW_S, TTL_S, LeaseGranter, LeaseHolder
from stoneyoke.controlplane.peers import Peer, Peers
from stoneyoke.limits.quota_allocator import QuotaAllocator
from stoneyoke.transport.messages import LeaseRequest, LeaseResponse
from stoneyoke.transport.peers import PeerUnreachable

QUOTAS = "quotas"
CALL_S = 0.7
ASK_S = 0.3  # a round of asking waits so long
IDLE_S = 0.2


class QuotaLease:
    """gateways: names of those that were there of late. changed: called when the lease is taken or has ended."""

    def __init__(
        self,
        replica: Replica,
        peers: Peers,
        incarnation: str,
        *,
        bounds: dict[str, float],
        fresh: bool,
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
        self.granter, self.holder = LeaseGranter(clock(), fresh), LeaseHolder()
        self.allocator: QuotaAllocator | None = None
        self.voted = replica.votes()  # as this granter last saw it

    def holds(self) -> bool:
        return self.holder.holds(self.clock())

    def holder_known(self) -> str:
        """Address of who holds it, as far as known here, "" if nobody. A grant to itself counts only once a majority
        has given theirs: gateways that believed a controller which was cut off left the true holder again and again
        (a cut of 20 s cost 0.09 of a day's worth)."""
        grant, now = self.granter.grants.get(QUOTAS), self.clock()
        if grant is None or now >= grant.until:
            return ""
        return grant.holder if grant.holder != self.peers.own or self.holds() else ""

    async def tend(self) -> None:
        """For as long as this process lives."""
        while True:
            now, held = self.clock(), self.holds()
            if now < self.granter.silent_until:  # nobody can have it before
                await asyncio.sleep(max(0.01, self.granter.silent_until - now))
                continue
            if self.may_ask(held):
                await self.ask_in_turn(held)
            self.renew_allocator()
            await asyncio.sleep(RENEW_S if held else IDLE_S)

    def may_ask(self, held: bool) -> bool:
        return (
            self.replica.chosen is not None
            and self.replica.votes()
            and (held or self.peers.majority_in_touch(self.replica.voters().members, self.replica.identity))
            and (held or self.holder_known() in ("", self.peers.own))
        )

    async def ask_in_turn(self, held: bool) -> None:
        """Those with a lower place among the voters go first."""
        members = self.replica.voters().members
        if not held:
            await asyncio.sleep(0.1 * members.index(self.replica.identity) + 0.05 * self.random_source.random())
        await self.ask()

    async def ask(self) -> None:
        voters, began = self.replica.voters(), self.clock()
        self.holder.ask(began)
        number = self.holder.number
        ok = self.grant(QUOTAS, self.peers.own, self.incarnation, TTL_S, number, voters.number)[0]
        self.holder.answer(self.replica.identity, ok, voters.members, began, began)
        request = LeaseRequest(QUOTAS, self.peers.own, self.incarnation, int(TTL_S * 1000), number, voters.number)

        async def one(peer: Peer) -> None:
            try:
                answer = await peer.link.call(request, CALL_S)
            except PeerUnreachable:
                return
            if isinstance(answer, LeaseResponse) and answer.voters_number == voters.number:
                self.holder.answer(ReplicaId(*answer.replica), answer.ok, voters.members, began, self.clock())

        asked = [self.spawn(one(self.peers[name])) for name in voters.addresses() if name in self.peers]
        if asked:
            await asyncio.wait(asked, timeout=ASK_S)
        if not self.holds():
            self.renew_allocator()
            await self.give_back()

    async def give_back(self) -> None:
        """Rivals that each hold a part of the voters would renew that for ever: given back, and by chance later."""
        voters = self.replica.voters()
        self.holder.ask(self.clock())
        self.grant(QUOTAS, self.peers.own, self.incarnation, 0.0, self.holder.number, voters.number)
        request = LeaseRequest(QUOTAS, self.peers.own, self.incarnation, 0, self.holder.number, voters.number)
        for name in voters.addresses():
            if name in self.peers:
                self.spawn(self.send(self.peers[name], request))
        await asyncio.sleep(ASK_S * self.random_source.random())

    async def send(self, peer: Peer, request: LeaseRequest) -> None:
        try:
            await peer.link.call(request, CALL_S)
        except PeerUnreachable:
            return

    # ---- the voter's part ----

    def grant(
        self, duty: str, holder: str, incarnation: str, ttl_s: float, number: int, voters_number: int
    ) -> tuple[bool, str, float]:
        """Whether it is granted; who has it; for how many seconds more. Only for the voters that are known here to be
        chosen, and no more once newer ones may be: so grants of two sets never make up two majorities."""
        now, votes = self.clock(), self.replica.votes()
        if votes and not self.voted:
            self.granter.hold_back(now)
        self.voted = votes
        accepted, current = self.replica.acceptor.accepted, self.replica.chosen_number()
        superseded = accepted is not None and accepted.value.voters.number > voters_number
        if not votes or voters_number != current or superseded:
            return False, self.holder_known(), 0.0
        return self.granter.ask(duty, holder, incarnation, ttl_s, now, number)

    def asked(self, request: LeaseRequest) -> LeaseResponse:
        ok, has, left = self.grant(
            request.duty,
            request.holder,
            request.incarnation,
            request.ttl_ms / 1000,
            request.number,
            request.voters_number,
        )
        return LeaseResponse(ok, has, int(left * 1000), self.replica.chosen_number(), member_row(self.replica.identity))

    # ---- the holder's part ----

    def renew_allocator(self) -> None:
        now = self.clock()
        if not self.holder.holds(now):
            if self.allocator:
                logger.info("lease of the quotas: ended")
                self.changed()
            self.allocator = None
        elif self.allocator is None:
            logger.info("lease of the quotas: taken")
            self.allocator = QuotaAllocator(self.bounds, now, self.gateways())
            self.changed()
