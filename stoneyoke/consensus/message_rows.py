"""Values of the register as the rows of messages, both ways. No I/O."""

from typing import NamedTuple

from stoneyoke.api.configuration import Version
from stoneyoke.consensus.ballot import NO_BALLOT, Ballot
from stoneyoke.consensus.register_value import Proposal, RegisterValue, ReplicaId, VoterSet, replica_ids
from stoneyoke.transport.messages import BallotRow, MemberRow, ValueRow, VersionRow

EMPTY_VALUE = RegisterValue(VoterSet())
"""Stands for a value in a message that has none."""


class ProposalRows(NamedTuple):
    """A proposal as three fields of a message.

    Attributes:
        exists: Whether there is one; else the other two are empty.
        ballot: Its ballot.
        value: Its value.
    """

    exists: bool
    ballot: BallotRow
    value: ValueRow


def version_row(version: Version) -> VersionRow:
    """A configuration's version as a row."""
    return VersionRow(version.number, version.digest)


def ballot_row(ballot: Ballot) -> BallotRow:
    """A ballot as a row."""
    return BallotRow(ballot.counter, ballot.proposer)


def member_row(replica: ReplicaId) -> MemberRow:
    """A replica's identity as a row."""
    return MemberRow(replica.address, replica.disk)


def value_row(value: RegisterValue, *, with_body: bool) -> ValueRow:
    """A value as a row, with or without the text of its configuration."""
    members = [member_row(member) for member in value.voters.members]
    previous = [member_row(member) for member in value.previous]
    version = version_row(value.version)
    return ValueRow(value.voters.number, members, previous, version, value.body if with_body else b"")


def value_from_row(row: ValueRow) -> RegisterValue:
    """The value of a row."""
    voters = VoterSet(row.voter_set_number, replica_ids(row.members))
    return RegisterValue(voters, replica_ids(row.previous_members), Version(*row.version), row.body)


def proposal_rows(proposal: Proposal | None, *, with_body: bool) -> ProposalRows:
    """A proposal, or none, as fields of a message."""
    if proposal is None:
        return ProposalRows(False, ballot_row(NO_BALLOT), value_row(EMPTY_VALUE, with_body=False))
    return ProposalRows(True, ballot_row(proposal.ballot), value_row(proposal.value, with_body=with_body))


def proposal_from_rows(exists: bool, ballot: BallotRow, value: ValueRow) -> Proposal | None:
    """The proposal of three fields of a message."""
    return Proposal(Ballot(*ballot), value_from_row(value)) if exists else None
