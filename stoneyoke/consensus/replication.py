"""Carries out rounds and reads of the register: asks the voters over the network, and tells what was chosen.

What is decided stands in consensus; this file sends its questions and feeds it the answers."""

import asyncio
import random
import zlib
from collections.abc import Callable, Coroutine
from typing import Any

from loguru import logger

from stoneyoke.consensus.ballot import Ballot
from stoneyoke.consensus.majority_read import MajorityRead
from stoneyoke.consensus.message_rows import (
    ballot_row,
    member_row,
    proposal_from_rows,
    proposal_rows,
    value_from_row,
    value_row,
)
from stoneyoke.consensus.proposal_round import Phase, ProposalRound
from stoneyoke.consensus.register_value import Change, Proposal, ReplicaId, unchanged
from stoneyoke.consensus.replica import Replica
from stoneyoke.controlplane.peers import Peers
from stoneyoke.storage.record_store import StorageError
from stoneyoke.transport.errors import PeerUnreachable
from stoneyoke.transport.messages import (
    AcceptRequest,
    AcceptResponse,
    ChosenNotice,
    ChosenNoticeResponse,
    Message,
    PrepareRequest,
    PrepareResponse,
    QueryRequest,
    QueryResponse,
    ValueRequest,
    ValueResponse,
)

CALL_S = 0.7  # for one answer
TRANSFER_S_PER_BYTE = 1.0 / (1 << 20)  # a second more for each MiB
PAUSE_S = 0.02  # after a round that was lost to another proposer; doubled each time, with jitter
PAUSE_MOST_S = 0.3
QUERY_S = 0.25  # a read waits so long for replies that agree, then it runs a round

Spawn = Callable[[Coroutine[Any, Any, Any]], "asyncio.Task[Any]"]


class Replication:
    """proposer: this process's part of ballots: its address and life, never used by another process."""

    def __init__(
        self, replica: Replica, peers: Peers, proposer: str, spawn: Spawn, random_source: random.Random
    ) -> None:
        self.replica, self.peers, self.proposer, self.spawn, self.random_source = (
            replica,
            peers,
            proposer,
            spawn,
            random_source,
        )
        self.counter = 0
        self.proposing = asyncio.Lock()  # one round of this process at a time

    # ---- proposer ----

    async def propose(self, change: Change, within_s: float) -> Proposal | None:
        """The value chosen with this change applied; None: not known in time, it may be chosen yet."""
        try:
            async with asyncio.timeout(within_s), self.proposing:
                pause = PAUSE_S
                while True:
                    if chosen := await self.run_round(change):
                        return chosen
                    await asyncio.sleep(pause * (0.5 + self.random_source.random()))
                    pause = min(PAUSE_MOST_S, 2 * pause)
        except TimeoutError:
            return None

    async def run_round(self, change: Change) -> Proposal | None:
        """One round under a fresh ballot; None if it was lost or too few voters answered."""
        known = self.replica.view()
        if known is None:
            return None
        promised = self.replica.acceptor.promised.counter
        self.counter = max(self.counter, promised, known.ballot.counter) + 1
        current = ProposalRound(Ballot(self.counter, self.proposer), known, self.replica.chosen_voters_number(), change)
        await self.drive(current)
        if current.phase is not Phase.CHOSEN:
            self.counter = max(self.counter, current.highest_refusal.counter)
            return None
        chosen = current.chosen_proposal()
        self.learn(chosen)
        self.tell_chosen(chosen.ballot)
        return chosen

    async def drive(self, current: ProposalRound) -> None:
        """Asks whom the round needs, in both phases, until it is decided or nobody is left to answer."""
        asked: set[tuple[Phase, str]] = set()
        waiting: set[asyncio.Task[None]] = set()
        while current.phase in (Phase.PREPARE, Phase.ACCEPT):
            for address in sorted(current.addresses_to_ask()):
                if (current.phase, address) not in asked:
                    asked.add((current.phase, address))
                    step = self.prepare_at if current.phase is Phase.PREPARE else self.accept_at
                    waiting.add(self.spawn(step(current, address)))
            if not waiting:
                return
            _, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)

    async def prepare_at(self, current: ProposalRound, address: str) -> None:
        if address == self.peers.own_address:
            if await self.own(self.replica.prepare(current.ballot)):
                return current.on_promised(self.replica.identity, self.replica.acceptor.accepted)
            return self.refused(current, self.replica.acceptor.promised)
        request = PrepareRequest(ballot=ballot_row(current.ballot), known_ballot=ballot_row(current.known.ballot))
        answer = await self.ask(address, request, CALL_S)
        if not isinstance(answer, PrepareResponse):
            return
        if not answer.ok:
            return self.refused(current, Ballot(*answer.promised))
        accepted = proposal_from_rows(answer.has_accepted, answer.accepted_ballot, answer.accepted)
        if accepted and accepted.ballot == current.known.ballot:
            accepted = current.known
        current.on_promised(ReplicaId(*answer.replica), accepted)

    async def accept_at(self, current: ProposalRound, address: str) -> None:
        assert current.proposed_value
        proposal = Proposal(current.ballot, current.proposed_value)
        if address == self.peers.own_address:
            if await self.own(self.replica.accept(proposal)):
                return current.on_accepted(self.replica.identity)
            return self.refused(current, self.replica.acceptor.promised)
        request = AcceptRequest(ballot=ballot_row(proposal.ballot), value=value_row(proposal.value, with_body=True))
        answer = await self.ask(address, request, CALL_S + TRANSFER_S_PER_BYTE * len(proposal.value.body))
        if not isinstance(answer, AcceptResponse):
            return
        if not answer.ok:
            return self.refused(current, Ballot(*answer.promised))
        current.on_accepted(ReplicaId(*answer.replica))

    def refused(self, current: ProposalRound, promised: Ballot) -> None:
        """A voter's disk may have failed: only a higher promise loses the round."""
        if promised > current.ballot:
            current.on_refused(promised)

    async def own(self, step: Coroutine[Any, Any, bool]) -> bool:
        """A step at this process's own disk."""
        try:
            return await step
        except StorageError as bad:
            logger.error("disk: {}", bad)
            return False

    async def ask(self, address: str, message: Message, within_s: float) -> Message | None:
        self.peers.add_peers(address)
        try:
            return await self.peers[address].link.call(message, within_s)
        except PeerUnreachable:
            return None

    def learn(self, chosen: Proposal) -> None:
        """Known here at once; this disk may be slow, or stand still, and nobody waits for it."""
        self.replica.record_chosen(chosen)
        self.spawn(self.replica.store_chosen(chosen))

    def tell_chosen(self, ballot: Ballot) -> None:
        """Voters and learners hear of it at once; who does not hears it with the next pull."""
        notice = ChosenNotice(address=self.peers.own_address, ballot=ballot_row(ballot))
        for address in list(self.peers):
            self.spawn(self.ask(address, notice, CALL_S))

    # ---- reads ----

    async def read(self, within_s: float) -> Proposal | None:
        """The newest chosen value, no older than any that was chosen before this call; None: too few voters answer.

        Where a quorum holds one value already nothing is written; else a round settles what is left half way."""
        try:
            async with asyncio.timeout(within_s):
                chosen = await self.query()
                if chosen is None:
                    return await self.propose(unchanged, within_s)
                self.learn(chosen)
                return chosen
        except TimeoutError:
            return None

    async def query(self) -> Proposal | None:
        known = self.replica.view()
        if known is None:
            return None
        current = MajorityRead(known, self.replica.chosen_voters_number())
        asked: set[str] = set()
        waiting: set[asyncio.Task[None]] = set()
        loop = asyncio.get_running_loop()
        until = loop.time() + QUERY_S
        while not (chosen := current.chosen_proposal()):
            for address in sorted(current.addresses_to_ask() - asked):
                asked.add(address)
                waiting.add(self.spawn(self.query_at(current, address)))
            if not waiting or loop.time() >= until and current.has_quorum():
                return None
            timeout = max(0.01, until - loop.time()) if current.has_quorum() else None
            _, waiting = await asyncio.wait(waiting, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
        return await self.with_body(chosen, current)

    async def query_at(self, current: MajorityRead, address: str) -> None:
        if address == self.peers.own_address:
            return current.on_reply(self.replica.identity, self.replica.acceptor.accepted)
        answer = await self.ask(address, QueryRequest(), CALL_S)
        if isinstance(answer, QueryResponse):
            accepted = proposal_from_rows(answer.has_accepted, answer.accepted_ballot, answer.accepted)
            current.on_reply(ReplicaId(*answer.replica), accepted)

    async def with_body(self, chosen: Proposal, current: MajorityRead) -> Proposal | None:
        """The same value with its text, from wherever it is."""
        for own in (self.replica.acceptor.accepted, self.replica.chosen):
            if own and own.ballot == chosen.ballot:
                return own
        for voter, accepted in current.replies.items():
            if voter == self.replica.identity and accepted and accepted.ballot == chosen.ballot:
                return accepted  # held when it was asked, with its text; a newer one has been accepted since
            if (
                accepted
                and accepted.ballot == chosen.ballot
                and (whole := await self.fetch(voter.address, chosen.ballot))
            ):
                return whole
        return None

    async def fetch(self, address: str, ballot: Ballot) -> Proposal | None:
        """The value under this ballot, or a newer one that is chosen, from another controller."""
        answer = await self.ask(address, ValueRequest(ballot=ballot_row(ballot)), CALL_S + 1.0)
        if not isinstance(answer, ValueResponse) or not answer.found:
            return None
        found = Proposal(Ballot(*answer.ballot), value_from_row(answer.value))
        if found.ballot != ballot and not (answer.chosen and found.ballot > ballot):
            return None
        try:
            body = zlib.decompress(found.value.body) if found.value.body else b""
        except zlib.error as bad:
            logger.error("a value from {} can't be read: {}", address, bad)
            return None
        return Proposal(found.ballot, value_from_row(answer.value._replace(body=body)))

    # ---- acceptor and learner ----

    async def handle_prepare(self, asked: PrepareRequest) -> PrepareResponse:
        ok = await self.own(self.replica.prepare(Ballot(*asked.ballot)))
        acceptor = self.replica.acceptor
        with_body = ok and acceptor.accepted_ballot() != Ballot(*asked.known_ballot)
        has_accepted, accepted_ballot, accepted = proposal_rows(acceptor.accepted, with_body=with_body)
        return PrepareResponse(
            ok=ok,
            replica=member_row(self.replica.identity),
            promised=ballot_row(acceptor.promised),
            has_accepted=has_accepted,
            accepted_ballot=accepted_ballot,
            accepted=accepted,
        )

    async def handle_accept(self, asked: AcceptRequest) -> AcceptResponse:
        proposal = Proposal(Ballot(*asked.ballot), value_from_row(asked.value))
        ok = await self.own(self.replica.accept(proposal))
        return AcceptResponse(
            ok=ok,
            replica=member_row(self.replica.identity),
            promised=ballot_row(self.replica.acceptor.promised),
        )

    def handle_query(self) -> QueryResponse:
        has_accepted, accepted_ballot, accepted = proposal_rows(self.replica.acceptor.accepted, with_body=False)
        return QueryResponse(
            replica=member_row(self.replica.identity),
            has_accepted=has_accepted,
            accepted_ballot=accepted_ballot,
            accepted=accepted,
        )

    def handle_value_request(self, asked: ValueRequest) -> ValueResponse:
        wanted, chosen, accepted = Ballot(*asked.ballot), self.replica.chosen, self.replica.acceptor.accepted
        is_chosen = chosen is not None and chosen.ballot >= wanted
        held = chosen if is_chosen else accepted if accepted and accepted.ballot == wanted else None
        if held is None:
            _, no_ballot, no_value = proposal_rows(None, with_body=False)
            return ValueResponse(found=False, chosen=False, ballot=no_ballot, value=no_value)
        row = value_row(held.value, with_body=False)
        body = zlib.compress(held.value.body, 6) if held.value.body else b""
        return ValueResponse(
            found=True, chosen=is_chosen, ballot=ballot_row(held.ballot), value=row._replace(body=body)
        )

    async def handle_chosen_notice(self, notice: ChosenNotice) -> ChosenNoticeResponse:
        await self.catch_up(notice.address, Ballot(*notice.ballot))
        return ChosenNoticeResponse()

    async def catch_up(self, address: str, chosen: Ballot) -> None:
        """Another controller knows a value to be chosen: this one learns it, whole, however many there were between."""
        if not self.replica.learn_chosen_ballot(chosen) and (value := await self.fetch(address, chosen)):
            self.learn(value)
