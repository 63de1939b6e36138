"""Handles other controllers' requests about the register."""

import zlib

from stoneyoke.consensus.ballot import Ballot
from stoneyoke.consensus.learner import Learner
from stoneyoke.consensus.message_rows import ballot_row, member_row, proposal_rows, value_from_row, value_row
from stoneyoke.consensus.register_value import Proposal
from stoneyoke.transport.messages import (
    AcceptRequest,
    AcceptResponse,
    ChosenNotice,
    ChosenNoticeResponse,
    PrepareRequest,
    PrepareResponse,
    QueryRequest,
    QueryResponse,
    ValueRequest,
    ValueResponse,
)

RegisterRequest = PrepareRequest | AcceptRequest | QueryRequest | ValueRequest | ChosenNotice
RegisterResponse = PrepareResponse | AcceptResponse | QueryResponse | ValueResponse | ChosenNoticeResponse

COMPRESSION_LEVEL = 6


class ReplicaServer:
    """Serves this process's replica to the other controllers."""

    def __init__(self, learner: Learner) -> None:
        """Makes the server for a learner's replica."""
        self.learner, self.replica = learner, learner.replica

    async def handle(self, request: RegisterRequest) -> RegisterResponse:
        """Returns the response to a request."""
        match request:
            case PrepareRequest():
                return await self.prepare(request)
            case AcceptRequest():
                return await self.accept(request)
            case QueryRequest():
                return self.query()
            case ValueRequest():
                return self.value(request)
            case ChosenNotice():
                await self.learner.catch_up(request.address, Ballot(*request.ballot))
                return ChosenNoticeResponse()

    async def prepare(self, request: PrepareRequest) -> PrepareResponse:
        """Promises a ballot. The response omits the body of an accepted proposal that the proposer already has."""
        ok = await self.replica.prepare_or_refuse(Ballot(*request.ballot))
        acceptor = self.replica.acceptor
        with_body = ok and acceptor.accepted_ballot() != Ballot(*request.known_ballot)
        accepted = proposal_rows(acceptor.accepted, with_body=with_body)
        return PrepareResponse(
            ok=ok,
            replica=member_row(self.replica.identity),
            promised=ballot_row(acceptor.promised),
            has_accepted=accepted.exists,
            accepted_ballot=accepted.ballot,
            accepted=accepted.value,
        )

    async def accept(self, request: AcceptRequest) -> AcceptResponse:
        """Accepts a proposal."""
        proposal = Proposal(Ballot(*request.ballot), value_from_row(request.value))
        ok = await self.replica.accept_or_refuse(proposal)
        promised = ballot_row(self.replica.acceptor.promised)
        return AcceptResponse(ok=ok, replica=member_row(self.replica.identity), promised=promised)

    def query(self) -> QueryResponse:
        """Returns the proposal accepted here, without its body."""
        accepted = proposal_rows(self.replica.acceptor.accepted, with_body=False)
        return QueryResponse(
            replica=member_row(self.replica.identity),
            has_accepted=accepted.exists,
            accepted_ballot=accepted.ballot,
            accepted=accepted.value,
        )

    def value(self, request: ValueRequest) -> ValueResponse:
        """Returns the proposal with a ballot, or a newer one that is chosen, with its body compressed."""
        requested, chosen = Ballot(*request.ballot), self.replica.chosen
        is_chosen = chosen is not None and chosen.ballot >= requested
        proposal = chosen if is_chosen else self.accepted_with_ballot(requested)
        if proposal is None:
            nothing = proposal_rows(None, with_body=False)
            return ValueResponse(found=False, chosen=False, ballot=nothing.ballot, value=nothing.value)
        body = zlib.compress(proposal.value.body, COMPRESSION_LEVEL) if proposal.value.body else b""
        value = value_row(proposal.value, with_body=False)._replace(body=body)
        return ValueResponse(found=True, chosen=is_chosen, ballot=ballot_row(proposal.ballot), value=value)

    def accepted_with_ballot(self, ballot: Ballot) -> Proposal | None:
        """Returns the accepted proposal if it has this ballot, else None."""
        accepted = self.replica.acceptor.accepted
        return accepted if accepted and accepted.ballot == ballot else None
