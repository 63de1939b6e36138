"""Conversion between values of the register and the rows of messages. No I/O."""

from typing import NamedTuple

from stoneyoke.api.configuration import Version
from stoneyoke.consensus.ballot import NO_BALLOT, Ballot
from stoneyoke.consensus.register_value import Proposal, RegisterValue, ReplicaId, VoterSet, replica_ids
from stoneyoke.transport.messages import BallotRow, MemberRow, ValueRow, VersionRow

EMPTY_VALUE = RegisterValue(VoterSet())
"""Fills the value field of a message that has no value."""


class ProposalRows(NamedTuple):
    """The three fields of a message that represent a proposal.

    Attributes:
        exists: Whether there is a proposal; if not, the other two fields are empty.
        ballot: The proposal's ballot.
        value: The proposal's value.
    """

    exists: bool
    ballot: BallotRow
    value: ValueRow


def version_row(version: Version) -> VersionRow:
    """Returns the row of a configuration's version."""
    return VersionRow(version.number, version.digest)


def ballot_row(ballot: Ballot) -> BallotRow:
    """Returns the row of a ballot."""
    return BallotRow(ballot.counter, ballot.proposer)


def member_row(replica: ReplicaId) -> MemberRow:
    """Returns the row of a replica's identity."""
    return MemberRow(replica.address, replica.disk)


def value_row(value: RegisterValue, *, with_body: bool) -> ValueRow:
    """Returns the row of a value, with or without the text of its configuration."""
    members = [member_row(member) for member in value.voters.members]
    previous = [member_row(member) for member in value.previous]
    version = version_row(value.version)
    return ValueRow(value.voters.number, members, previous, version, value.body if with_body else b"")


def value_from_row(row: ValueRow) -> RegisterValue:
    """Returns the value of a row."""
    voters = VoterSet(row.voter_set_number, replica_ids(row.members))
    return RegisterValue(voters, replica_ids(row.previous_members), Version(*row.version), row.body)


def proposal_rows(proposal: Proposal | None, *, with_body: bool) -> ProposalRows:
    """Returns the message fields of a proposal, or those that stand for none."""
    if proposal is None:
        return ProposalRows(False, ballot_row(NO_BALLOT), value_row(EMPTY_VALUE, with_body=False))
    return ProposalRows(True, ballot_row(proposal.ballot), value_row(proposal.value, with_body=with_body))


def proposal_from_rows(exists: bool, ballot: BallotRow, value: ValueRow) -> Proposal | None:
    """Returns the proposal of three fields of a message, None if `exists` is false."""
    return Proposal(Ballot(*ballot), value_from_row(value)) if exists else None
