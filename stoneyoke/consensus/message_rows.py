"""Values of the register as rows of messages, both ways. No I/O."""

from stoneyoke.api.configuration import Version
from stoneyoke.consensus.ballot import NO_BALLOT, Ballot
from stoneyoke.consensus.register_value import Accepted, RegisterValue, ReplicaId, VoterSet
from stoneyoke.transport.messages import BallotRow, MemberRow, Stamp, ValueRow

EMPTY = RegisterValue(VoterSet())


def stamp(version: Version) -> Stamp:
    return version.number, version.digest


def ballot_row(ballot: Ballot) -> BallotRow:
    return ballot.counter, ballot.proposer


def member_row(member: ReplicaId) -> MemberRow:
    return member.address, member.disk


def value_row(value: RegisterValue, *, with_body: bool) -> ValueRow:
    members = [member_row(member) for member in value.voters.members]
    previous = [member_row(member) for member in value.previous]
    return value.voters.number, members, previous, stamp(value.version), value.body if with_body else b""


def read_members(rows: list[MemberRow]) -> tuple[ReplicaId, ...]:
    return tuple(ReplicaId(*row) for row in rows)


def read_value(row: ValueRow) -> RegisterValue:
    number, members, previous, version, body = row
    return RegisterValue(VoterSet(number, read_members(members)), read_members(previous), Version(*version), body)


def read_accepted(has_accepted: bool, ballot: BallotRow, row: ValueRow) -> Accepted | None:
    return Accepted(Ballot(*ballot), read_value(row)) if has_accepted else None


def accepted_rows(accepted: Accepted | None, *, with_body: bool) -> tuple[bool, BallotRow, ValueRow]:
    """Whether there is one, its ballot, its value."""
    if accepted is None:
        return False, ballot_row(NO_BALLOT), value_row(EMPTY, with_body=False)
    return True, ballot_row(accepted.ballot), value_row(accepted.value, with_body=with_body)
