"""Which controllers vote. The quota lease holder proposes changes; any controller completes unfinished values."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from stoneyoke.consensus.register_value import ReplicaId, VoterSet, unchanged
from stoneyoke.consensus.replication import Replication
from stoneyoke.consensus.voter_set import LOST_FRACTION, MIN_REACHABLE_S, MemberReport, next_voters, voter_change
from stoneyoke.controlplane.controller_context import ControllerContext
from stoneyoke.controlplane.peers import NEVER, Peer, Peers

CHECK_INTERVAL_S = 0.25
STARTUP_CHECK_INTERVAL_S = 0.05  # while no value is known to be chosen: gateways that start wait for one
CHECK_JITTER = 0.4  # intervals are drawn evenly from a range of this fraction around their length
PROPOSAL_TIMEOUT_S = 2.0  # for one proposal, or for one read that completes an unfinished value
# A value that is accepted but not known to be chosen is left to its proposer for this many seconds, which is several
# times the duration of a round.
RESOLVE_DELAY_S = 0.4
LEAVE_POLL_S = 0.05


@dataclass(eq=False, repr=False, kw_only=True)
class Membership:
    """Maintains a voter set of the configured size, made of controllers that respond.

    Attributes:
        replication: proposes and reads values of the register.
        peers: the other controllers.
        holds_lease: returns whether this controller holds the quota lease, and so is the one that proposes changes.
        size: how many voters there should be.
        catch_up_s: the operators' bound, in seconds, for a machine that restarts or is new.
        context: shared parts of the controller.
        leaving: whether this controller is shutting down and another one should take its vote.
    """

    replication: Replication
    peers: Peers
    holds_lease: Callable[[], bool]
    size: int
    catch_up_s: float
    context: ControllerContext
    leaving: bool = False

    def __post_init__(self) -> None:
        """Initializes the state, with the current time as the start."""
        self.replica = self.replication.replica
        self.lost_after_s = LOST_FRACTION * self.catch_up_s
        self.started_at = self.context.clock()
        self.resolve_at: float | None = None  # when to complete the value that isn't known to be chosen; None: no value

    async def run(self) -> None:
        """Checks the voters for as long as the process runs."""
        while True:
            try:
                await self.check()
            except Exception:  # outermost handler: one failed check must not end the task
                logger.exception("check of the voters failed and is retried")
            interval_s = CHECK_INTERVAL_S if self.replica.chosen else STARTUP_CHECK_INTERVAL_S
            jitter = CHECK_JITTER * self.context.random_source.random()
            await asyncio.sleep(interval_s * (1 - CHECK_JITTER / 2 + jitter))

    async def check(self) -> None:
        """Completes an unfinished value, or proposes a change of the voters."""
        if self.has_unresolved_value():
            await self.replication.read(PROPOSAL_TIMEOUT_S)
        elif self.holds_lease() and self.replica.chosen:
            await self.propose_change()

    def has_unresolved_value(self) -> bool:
        """Returns whether the newest value known here has been unresolved, not known to be chosen, for too long.

        This happens after a restart, or because the value's proposer crashed. Controllers wait for random times, so
        that only few of them complete the value at once.
        """
        newest, chosen = self.replica.view(), self.replica.chosen
        if newest is None or (chosen and chosen.ballot >= newest.ballot):
            self.resolve_at = None
            return False
        now = self.context.clock()
        if self.resolve_at is None:
            delay_s = RESOLVE_DELAY_S * (1 + self.context.random_source.random()) if chosen else 0.0
            self.resolve_at = now + delay_s
        return now >= self.resolve_at

    async def propose_change(self) -> None:
        """Proposes the next voters, or completes a change of the voters that is chosen but still joint."""
        chosen = self.replica.chosen
        if chosen is None:
            return
        change = voter_change(chosen.value, self.desired_members(chosen.value.voters))
        if change is None:
            return
        decided = await self.replication.propose(change, PROPOSAL_TIMEOUT_S)
        if decided and decided.value.voters != chosen.value.voters:
            voters = decided.value.voters
            logger.info("voter set {} is chosen: {}", voters.number, voters.addresses())
            await self.replication.propose(unchanged, PROPOSAL_TIMEOUT_S)

    def desired_members(self, voters: VoterSet) -> tuple[ReplicaId, ...]:
        """Returns the members that should vote next, given the current voters."""
        report = self.member_report(voters, self.context.clock())
        return next_voters(voters.members, report, self.size, self.lost_after_s)

    def member_report(self, voters: VoterSet, now: float) -> MemberReport:
        """Returns this controller's report of the members: silent ones, those shutting down, and learners."""
        silence = {member: self.silence_s(member, now) for member in voters.members}
        leaving = [peer.replica for peer in self.peers.values() if peer.leaving and peer.replica]
        if self.leaving:
            leaving.append(self.replica.identity)
        return MemberReport(silence, frozenset(leaving), self.learners(voters, now))

    def silence_s(self, member: ReplicaId, now: float) -> float:
        """Returns the seconds since this member's last response, or since this controller's start if that is later."""
        if member == self.replica.identity:
            return 0.0
        peer = self.peers.get(member.address)
        last_response_at = peer.last_response_at if peer and peer.replica in (member, None) else NEVER
        return now - max(last_response_at, self.started_at)

    def learners(self, voters: VoterSet, now: float) -> tuple[ReplicaId, ...]:
        """Returns the members without a vote that have the chosen value, the one reachable for longest first."""
        candidates = [
            (peer.reachable_since, peer.replica)
            for peer in self.peers.reachable().values()
            if peer.replica and peer.replica not in voters.members and self._is_ready_to_vote(peer, now)
        ]
        return tuple(replica for _, replica in sorted(candidates))

    def _is_ready_to_vote(self, peer: Peer, now: float) -> bool:
        chosen = self.replica.chosen
        return (
            now - peer.reachable_since >= MIN_REACHABLE_S and chosen is not None and peer.chosen_ballot >= chosen.ballot
        )

    async def transfer_vote(self, timeout_s: float) -> None:
        """Transfers this controller's vote to a learner, if there is one.

        Args:
            timeout_s: the method returns after this many seconds at the latest.
        """
        self.leaving = True
        members = self.replica.voters().members
        if not any(peer.replica not in members and not peer.leaving for peer in self.peers.reachable().values()):
            return
        try:
            async with asyncio.timeout(timeout_s):
                while self.replica.is_voter() or self._change_is_pending():  # noqa: ASYNC110 -- no event signals it
                    await asyncio.sleep(LEAVE_POLL_S)
        except TimeoutError:
            number = self.replica.voters().number
            logger.warning(
                "this controller shuts down while it votes in voter set {}: no learner replaced it in time", number
            )

    def _change_is_pending(self) -> bool:
        return self.replica.chosen is not None and bool(self.replica.chosen.value.previous)
