"""The proposer: runs rounds over the network until one succeeds."""

import asyncio
import random

from stoneyoke.consensus.ballot import Ballot
from stoneyoke.consensus.learner import Learner
from stoneyoke.consensus.message_rows import ballot_row, proposal_from_rows, value_row
from stoneyoke.consensus.peer_calls import CALL_TIMEOUT_S, TRANSFER_S_PER_BYTE, call_peer
from stoneyoke.consensus.proposal_round import Phase, ProposalRound
from stoneyoke.consensus.register_value import ChangeFunction, Proposal, ReplicaId
from stoneyoke.transport.messages import AcceptRequest, AcceptResponse, PrepareRequest, PrepareResponse

BACKOFF_S = 0.02
"""Pause in seconds after a round that failed. It doubles after each further one up to MAX_BACKOFF_S, with jitter."""
MAX_BACKOFF_S = 0.3


class Proposer:
    """Proposes changes of the register.

    Attributes:
        name: Identifies this process in its ballots: its address and incarnation, which no other process uses.
        counter: Counter of the last ballot used, or of a higher one seen.
    """

    def __init__(self, learner: Learner, name: str, random_source: random.Random) -> None:
        """Makes the proposer of one process.

        Args:
            learner: Learns what the rounds choose. The proposer uses its replica, peers and `spawn`.
            name: See the attribute.
            random_source: Draws the jitter of the backoff.
        """
        self.learner, self.name, self.random_source = learner, name, random_source
        self.replica, self.peers, self.spawn = learner.replica, learner.peers, learner.spawn
        self.counter = 0
        self.lock = asyncio.Lock()  # two rounds of one process at once would only make each other fail

    async def propose(self, change: ChangeFunction, timeout_s: float) -> Proposal | None:
        """Changes the register, with as many rounds as it takes.

        Returns:
            The chosen proposal with the change applied; None if none is known in time. The change may still be chosen
            later.
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

    async def run_round(self, change: ChangeFunction) -> Proposal | None:
        """Runs one round with a new ballot; returns None if the round was lost or too few voters responded."""
        known = self.replica.view()
        if known is None:
            return None
        proposal_round = ProposalRound(
            ballot=self.next_ballot(known),
            known=known,
            chosen_voters_number=self.replica.chosen_voters_number(),
            change=change,
        )
        await self.run_phases(proposal_round)
        if proposal_round.phase is not Phase.CHOSEN:
            self.counter = max(self.counter, proposal_round.highest_refusal.counter)
            return None
        chosen = proposal_round.chosen_proposal()
        self.learner.learn(chosen)
        self.learner.announce(chosen.ballot)
        return chosen

    def next_ballot(self, known: Proposal) -> Ballot:
        """Returns a ballot above every ballot known here."""
        promised = self.replica.acceptor.promised
        self.counter = max(self.counter, promised.counter, known.ballot.counter) + 1
        return Ballot(self.counter, self.name)

    async def run_phases(self, proposal_round: ProposalRound) -> None:
        """Sends the requests of both phases until the round is chosen or lost, or no request is pending."""
        asked: set[tuple[Phase, str]] = set()
        pending: set[asyncio.Task[None]] = set()
        while proposal_round.is_running():
            for address in sorted(proposal_round.addresses_to_ask()):
                if (proposal_round.phase, address) not in asked:
                    asked.add((proposal_round.phase, address))
                    step = self.send_prepare if proposal_round.phase is Phase.PREPARE else self.send_accept
                    pending.add(self.spawn(step(proposal_round, address)))
            if not pending:
                return
            _, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)

    async def send_prepare(self, proposal_round: ProposalRound, address: str) -> None:
        """Asks one voter for its promise, and reports the response to the round."""
        if address == self.peers.own_address:
            await self.prepare_locally(proposal_round)
            return
        request = PrepareRequest(
            ballot=ballot_row(proposal_round.ballot), known_ballot=ballot_row(proposal_round.known.ballot)
        )
        response = await call_peer(self.peers, address, request, CALL_TIMEOUT_S)
        if not isinstance(response, PrepareResponse):
            return
        if not response.ok:
            report_refusal(proposal_round, Ballot(*response.promised))
            return
        accepted = proposal_from_rows(response.has_accepted, response.accepted_ballot, response.accepted)
        if accepted and accepted.ballot == proposal_round.known.ballot:
            accepted = proposal_round.known  # the response omits the body, since this process has it
        proposal_round.on_promised(ReplicaId(*response.replica), accepted)

    async def prepare_locally(self, proposal_round: ProposalRound) -> None:
        """Asks this process's own replica for its promise."""
        acceptor = self.replica.acceptor
        if await self.replica.prepare_or_refuse(proposal_round.ballot):
            proposal_round.on_promised(self.replica.identity, acceptor.accepted)
        else:
            report_refusal(proposal_round, acceptor.promised)

    async def send_accept(self, proposal_round: ProposalRound, address: str) -> None:
        """Asks one voter to accept the proposal, and reports the response to the round."""
        assert proposal_round.proposed_value
        proposal = Proposal(proposal_round.ballot, proposal_round.proposed_value)
        if address == self.peers.own_address:
            await self.accept_locally(proposal_round, proposal)
            return
        request = AcceptRequest(ballot=ballot_row(proposal.ballot), value=value_row(proposal.value, with_body=True))
        timeout_s = CALL_TIMEOUT_S + TRANSFER_S_PER_BYTE * len(proposal.value.body)
        response = await call_peer(self.peers, address, request, timeout_s)
        if not isinstance(response, AcceptResponse):
            return
        if response.ok:
            proposal_round.on_accepted(ReplicaId(*response.replica))
        else:
            report_refusal(proposal_round, Ballot(*response.promised))

    async def accept_locally(self, proposal_round: ProposalRound, proposal: Proposal) -> None:
        """Asks this process's own replica to accept the proposal."""
        if await self.replica.accept_or_refuse(proposal):
            proposal_round.on_accepted(self.replica.identity)
        else:
            report_refusal(proposal_round, self.replica.acceptor.promised)


def report_refusal(proposal_round: ProposalRound, promised: Ballot) -> None:
    """Reports a refusal by a voter that promised a higher ballot.

    Without a higher ballot the voter's disk failed. That doesn't lose the round, since the other voters may be enough.
    """
    if promised > proposal_round.ballot:
        proposal_round.on_refused(promised)
