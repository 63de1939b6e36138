"""The reader: runs linearizable reads over the network."""

import asyncio

from stoneyoke.consensus.learner import Learner
from stoneyoke.consensus.majority_read import MajorityRead
from stoneyoke.consensus.message_rows import proposal_from_rows
from stoneyoke.consensus.peer_calls import CALL_TIMEOUT_S, call_peer
from stoneyoke.consensus.proposer import Proposer
from stoneyoke.consensus.register_value import Proposal, ReplicaId, unchanged
from stoneyoke.transport.messages import QueryRequest, QueryResponse

AGREEMENT_TIMEOUT_S = 0.25
"""Seconds that a read waits for responses that agree. After that it runs a round."""
MIN_WAIT_S = 0.01


class Reader:
    """Reads the register."""

    def __init__(self, learner: Learner, proposer: Proposer) -> None:
        """Makes the reader of one process.

        Args:
            learner: Learns what is read. The reader uses its replica, peers and `spawn`.
            proposer: Completes a proposal that another proposer left unfinished.
        """
        self.learner, self.proposer = learner, proposer
        self.replica, self.peers, self.spawn = learner.replica, learner.peers, learner.spawn

    async def read(self, timeout_s: float) -> Proposal | None:
        """Reads the newest chosen proposal, no older than any that was chosen before this call.

        Nothing is written if a quorum agrees already. Otherwise a round completes the unfinished proposal.

        Returns:
            The proposal with its body; None if too few voters respond in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                chosen = await self.query()
                if chosen is None:
                    return await self.proposer.propose(unchanged, timeout_s)
                self.learner.learn(chosen)
                return chosen
        except TimeoutError:
            return None

    async def query(self) -> Proposal | None:
        """Returns the newest chosen proposal if a quorum agrees on it and its body is available, else None."""
        known = self.replica.view()
        if known is None:
            return None
        majority_read = MajorityRead(known, self.replica.chosen_voters_number())
        chosen = await self.query_voters(majority_read)
        return await self.with_body(chosen, majority_read) if chosen else None

    async def query_voters(self, majority_read: MajorityRead) -> Proposal | None:
        """Queries the voters until the responses agree, AGREEMENT_TIMEOUT_S is over or no request is pending.

        The time-out only applies once a quorum has responded: with fewer responses the read can't decide anything.
        """
        asked: set[str] = set()
        pending: set[asyncio.Task[None]] = set()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + AGREEMENT_TIMEOUT_S
        while not (chosen := majority_read.chosen_proposal()):
            for address in sorted(majority_read.addresses_to_ask() - asked):
                asked.add(address)
                pending.add(self.spawn(self.query_voter(majority_read, address)))
            if not pending or loop.time() >= deadline and majority_read.has_quorum():
                return None
            wait_s = max(MIN_WAIT_S, deadline - loop.time()) if majority_read.has_quorum() else None
            _, pending = await asyncio.wait(pending, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED)
        return chosen

    async def query_voter(self, majority_read: MajorityRead, address: str) -> None:
        """Asks one voter for its accepted proposal, and reports the response to the read."""
        if address == self.peers.own_address:
            majority_read.on_response(self.replica.identity, self.replica.acceptor.accepted)
            return
        response = await call_peer(self.peers, address, QueryRequest(), CALL_TIMEOUT_S)
        if isinstance(response, QueryResponse):
            accepted = proposal_from_rows(response.has_accepted, response.accepted_ballot, response.accepted)
            majority_read.on_response(ReplicaId(*response.replica), accepted)

    async def with_body(self, chosen: Proposal, majority_read: MajorityRead) -> Proposal | None:
        """Returns the same proposal with its body, from this process or from a voter that has accepted it."""
        for local in (self.replica.acceptor.accepted, self.replica.chosen):
            if local and local.ballot == chosen.ballot:
                return local
        # Iterates over a copy, because responses that arrive during a fetch add to the dictionary.
        for voter, accepted in list(majority_read.responses.items()):
            if not accepted or accepted.ballot != chosen.ballot:
                continue
            if voter == self.replica.identity:
                return accepted  # accepted here when the read began and replaced by a newer proposal since
            if fetched := await self.learner.fetch(voter.address, chosen.ballot):
                return fetched
        return None
