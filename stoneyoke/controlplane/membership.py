"""Who votes: the holder of the lease proposes changes, and whoever sees something left half way settles it."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from stoneyoke.consensus.register_value import ReplicaId, VoterSet, unchanged
from stoneyoke.consensus.replication import Replication
from stoneyoke.consensus.voter_set import LOST_FRACTION, STEADY_S, MemberReport, next_voters, voter_change
from stoneyoke.controlplane.peers import NEVER, Peers

CHECK_INTERVAL_S = 0.25
STARTUP_CHECK_INTERVAL_S = 0.05  # while nothing is known to be chosen: gateways that start wait for it
PROPOSAL_TIMEOUT_S = 2.0  # one propose_change of voters may take so long
RESOLVE_DELAY_S = 0.4  # a value may be accepted and not known to be chosen for so long: several times a round


class Membership:
    """holds_lease: whether this controller is the one that changes voters. started_at: when it started. size: how many
    voters there should be. catch_up_s: the operators' bound for a machine that comes back or is new."""

    def __init__(
        self,
        replication: Replication,
        peers: Peers,
        *,
        holds_lease: Callable[[], bool],
        clock: Callable[[], float],
        size: int,
        catch_up_s: float,
        random_source: random.Random,
    ) -> None:
        self.replication, self.replica, self.peers = replication, replication.replica, peers
        self.holds_lease, self.clock, self.size, self.random_source = holds_lease, clock, size, random_source
        self.lost_after_s, self.started_at = LOST_FRACTION * catch_up_s, clock()
        self.leaving = False  # this controller was told to end
        self.resolve_at: float | None = None

    async def run(self) -> None:
        """For as long as this process lives."""
        while True:
            try:
                await self.check()
            except Exception:
                logger.exception("tending the voters failed")
            pause = CHECK_INTERVAL_S if self.replica.chosen else STARTUP_CHECK_INTERVAL_S
            await asyncio.sleep(pause * (0.8 + 0.4 * self.random_source.random()))

    async def check(self) -> None:
        if self.has_unresolved_value():
            await self.replication.read(PROPOSAL_TIMEOUT_S)
        elif self.holds_lease() and self.replica.chosen:
            await self.propose_change()

    def has_unresolved_value(self) -> bool:
        """Whether the newest value known here has not been known to be chosen for a while: after a start, or because
        its proposer ended. Controllers wait for different times, so that few of them settle it at once."""
        view, chosen = self.replica.view(), self.replica.chosen
        if view is None or (chosen and chosen.ballot >= view.ballot):
            self.resolve_at = None
            return False
        now = self.clock()
        if self.resolve_at is None:
            self.resolve_at = now + RESOLVE_DELAY_S * (1 + self.random_source.random()) if chosen else now
        return now >= self.resolve_at

    async def propose_change(self) -> None:
        """Proposes the next voters, or takes the mark of a propose_change that is chosen off."""
        chosen = self.replica.chosen
        assert chosen
        propose_change = voter_change(chosen.value, self.desired_members(chosen.value.voters))
        if propose_change is None:
            return
        decided = await self.replication.propose(propose_change, PROPOSAL_TIMEOUT_S)
        if decided and decided.value.voters != chosen.value.voters:
            logger.info("voters {}: {}", decided.value.voters.number, decided.value.voters.addresses())
            await self.replication.propose(unchanged, PROPOSAL_TIMEOUT_S)

    def desired_members(self, voters: VoterSet) -> tuple[ReplicaId, ...]:
        now = self.clock()
        return next_voters(voters.members, self.member_report(voters, now), self.size, self.lost_after_s)

    def member_report(self, voters: VoterSet, now: float) -> MemberReport:
        silent = {member: self.silence_s(member, now) for member in voters.members}
        leaving = [peer.replica for peer in self.peers.values() if peer.leaving and peer.replica]
        if self.leaving:
            leaving.append(self.replica.identity)
        return MemberReport(silent, frozenset(leaving), self.learners(voters, now))

    def silence_s(self, member: ReplicaId, now: float) -> float:
        """For how long this member was not heard; since this controller's start at most."""
        if member == self.replica.identity:
            return 0.0
        peer = self.peers.get(member.address)
        last_heard_at = peer.last_heard_at if peer and peer.replica in (member, None) else NEVER
        return now - max(last_heard_at, self.started_at)

    def learners(self, voters: VoterSet, now: float) -> tuple[ReplicaId, ...]:
        """Members without a vote that hold what is chosen, the steadiest first."""
        chosen = self.replica.chosen
        steady = [
            (peer.steady_since, peer.replica)
            for peer in self.peers.reachable().values()
            if peer.replica
            and peer.replica not in voters.members
            and now - peer.steady_since >= STEADY_S
            and chosen
            and peer.chosen_ballot >= chosen.ballot
        ]
        return tuple(replica for _, replica in sorted(steady))

    async def leave(self, within_s: float) -> None:
        """Gives this controller's vote to a learner, if there is one; returns then, or when the time is up."""
        self.leaving = True
        voters = self.replica.voters()
        if not any(peer.replica not in voters.members and not peer.leaving for peer in self.peers.reachable().values()):
            return
        try:
            async with asyncio.timeout(within_s):
                while self.replica.is_voter() or (self.replica.chosen and self.replica.chosen.value.previous):
                    await asyncio.sleep(0.05)
        except TimeoutError:
            logger.warning("left as a voter of set {}", self.replica.voters().number)
