"""The proposer's part: carries out rounds over the network until one succeeds."""

import asyncio
import random

from stoneyoke.consensus.ballot import Ballot
from stoneyoke.consensus.learner import Learner
from stoneyoke.consensus.message_rows import ballot_row, proposal_from_rows, value_row
from stoneyoke.consensus.peer_calls import CALL_TIMEOUT_S, TRANSFER_S_PER_BYTE, call_peer
from stoneyoke.consensus.proposal_round import Phase, ProposalRound
from stoneyoke.consensus.register_value import Change, Proposal, ReplicaId
from stoneyoke.transport.messages import AcceptRequest, AcceptResponse, PrepareRequest, PrepareResponse

BACKOFF_S = 0.02
"""Pause after a round that was lost to another proposer. It doubles each time, with jitter."""
MAX_BACKOFF_S = 0.3


class Proposer:
    """Proposes changes of the register.

    Attributes:
        name: This process's part of its ballots: its address and incarnation, never used by another process.
        counter: Counter of the last ballot used, or of a higher one seen.
    """

    def __init__(self, learner: Learner, name: str, random_source: random.Random) -> None:
        """Makes the proposer of one process.

        Args:
            learner: Learns what its rounds choose. The proposer uses its replica, peers and tasks.
            name: See the attribute.
            random_source: Draws the jitter of the pauses.
        """
        self.learner, self.name, self.random_source = learner, name, random_source
        self.replica, self.peers, self.spawn = learner.replica, learner.peers, learner.spawn
        self.counter = 0
        self.lock = asyncio.Lock()  # two rounds of one process would only refuse each other

    async def propose(self, change: Change, timeout_s: float) -> Proposal | None:
        """Changes the register.

        Returns:
            The chosen proposal with the change applied; None if it isn't known in time. Then it may still be chosen.
        """
        try:
            async with asyncio.timeout(timeout_s), self.lock:
                backoff_s = BACKOFF_S
                while True:
                    if chosen := await self.run_round(change):
                        return chosen
                    await asyncio.sleep(backoff_s * (0.5 + self.random_source.random()))
                    backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
        except TimeoutError:
            return None

    async def run_round(self, change: Change) -> Proposal | None:
        """Runs one round under a fresh ballot; None if it was lost or too few voters answered."""
        known = self.replica.view()
        if known is None:
            return None
        current = ProposalRound(
            ballot=self.next_ballot(known),
            known=known,
            chosen_voters_number=self.replica.chosen_voters_number(),
            change=change,
        )
        await self.drive(current)
        if current.phase is not Phase.CHOSEN:
            self.counter = max(self.counter, current.highest_refusal.counter)
            return None
        chosen = current.chosen_proposal()
        self.learner.learn(chosen)
        self.learner.announce(chosen.ballot)
        return chosen

    def next_ballot(self, known: Proposal) -> Ballot:
        """A ballot above all that is known here."""
        promised = self.replica.acceptor.promised
        self.counter = max(self.counter, promised.counter, known.ballot.counter) + 1
        return Ballot(self.counter, self.name)

    async def drive(self, current: ProposalRound) -> None:
        """Asks whom the round needs, in both phases, until it is decided or no answer is outstanding."""
        asked: set[tuple[Phase, str]] = set()
        pending: set[asyncio.Task[None]] = set()
        while current.is_running():
            for address in sorted(current.addresses_to_ask()):
                if (current.phase, address) not in asked:
                    asked.add((current.phase, address))
                    step = self.prepare_at if current.phase is Phase.PREPARE else self.accept_at
                    pending.add(self.spawn(step(current, address)))
            if not pending:
                return
            _, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)

    async def prepare_at(self, current: ProposalRound, address: str) -> None:
        """Asks one voter for its promise, and reports the answer to the round."""
        if address == self.peers.own_address:
            await self.prepare_here(current)
            return
        request = PrepareRequest(ballot=ballot_row(current.ballot), known_ballot=ballot_row(current.known.ballot))
        answer = await call_peer(self.peers, address, request, CALL_TIMEOUT_S)
        if not isinstance(answer, PrepareResponse):
            return
        if not answer.ok:
            report_refusal(current, Ballot(*answer.promised))
            return
        accepted = proposal_from_rows(answer.has_accepted, answer.accepted_ballot, answer.accepted)
        if accepted and accepted.ballot == current.known.ballot:
            accepted = current.known  # the voter left out the body, since this process has it
        current.on_promised(ReplicaId(*answer.replica), accepted)

    async def prepare_here(self, current: ProposalRound) -> None:
        """Asks this process's own replica for its promise."""
        acceptor = self.replica.acceptor
        if await self.replica.prepare_or_refuse(current.ballot):
            current.on_promised(self.replica.identity, acceptor.accepted)
        else:
            report_refusal(current, acceptor.promised)

    async def accept_at(self, current: ProposalRound, address: str) -> None:
        """Asks one voter to accept the proposal, and reports the answer to the round."""
        assert current.proposed_value
        proposal = Proposal(current.ballot, current.proposed_value)
        if address == self.peers.own_address:
            await self.accept_here(current, proposal)
            return
        request = AcceptRequest(ballot=ballot_row(proposal.ballot), value=value_row(proposal.value, with_body=True))
        timeout_s = CALL_TIMEOUT_S + TRANSFER_S_PER_BYTE * len(proposal.value.body)
        answer = await call_peer(self.peers, address, request, timeout_s)
        if not isinstance(answer, AcceptResponse):
            return
        if answer.ok:
            current.on_accepted(ReplicaId(*answer.replica))
        else:
            report_refusal(current, Ballot(*answer.promised))

    async def accept_here(self, current: ProposalRound, proposal: Proposal) -> None:
        """Asks this process's own replica to accept the proposal."""
        if await self.replica.accept_or_refuse(proposal):
            current.on_accepted(self.replica.identity)
        else:
            report_refusal(current, self.replica.acceptor.promised)


def report_refusal(current: ProposalRound, promised: Ballot) -> None:
    """Reports a refusal that names a higher promise. Without one the voter's disk failed, and others may be enough."""
    if promised > current.ballot:
        current.on_refused(promised)
