"""Values of the register as rows of messages, both ways. No I/O."""

from stoneyoke.api.configuration import Version
from stoneyoke.consensus.ballot import NO_BALLOT, Ballot
from stoneyoke.consensus.register_value import Proposal, RegisterValue, ReplicaId, VoterSet
from stoneyoke.transport.messages import BallotRow, MemberRow, ValueRow, VersionRow

EMPTY_VALUE = RegisterValue(VoterSet())


def version_row(version: Version) -> VersionRow:
    return VersionRow(version.number, version.digest)


def ballot_row(ballot: Ballot) -> BallotRow:
    return BallotRow(ballot.counter, ballot.proposer)


def member_row(member: ReplicaId) -> MemberRow:
    return MemberRow(member.address, member.disk)


def value_row(value: RegisterValue, *, with_body: bool) -> ValueRow:
    members = [member_row(member) for member in value.voters.members]
    previous = [member_row(member) for member in value.previous]
    version = version_row(value.version)
    return ValueRow(value.voters.number, members, previous, version, value.body if with_body else b"")


def members_from_rows(rows: list[MemberRow]) -> tuple[ReplicaId, ...]:
    return tuple(ReplicaId(*row) for row in rows)


def value_from_row(row: ValueRow) -> RegisterValue:
    voters = VoterSet(row.voter_set_number, members_from_rows(row.members))
    return RegisterValue(voters, members_from_rows(row.previous_members), Version(*row.version), row.body)


def proposal_from_rows(has_accepted: bool, ballot: BallotRow, row: ValueRow) -> Proposal | None:
    return Proposal(Ballot(*ballot), value_from_row(row)) if has_accepted else None


def proposal_rows(accepted: Proposal | None, *, with_body: bool) -> tuple[bool, BallotRow, ValueRow]:
    """Whether there is one, its ballot, its value."""
    if accepted is None:
        return False, ballot_row(NO_BALLOT), value_row(EMPTY_VALUE, with_body=False)
    return True, ballot_row(accepted.ballot), value_row(accepted.value, with_body=with_body)
