"""Messages of the replicated register: a proposer's two phases, reads, and notices of chosen values."""

from dataclasses import dataclass
from typing import NamedTuple


class VersionRow(NamedTuple):
    """A configuration's version: the operator's number and the digest of the text. Number 0 is no configuration."""

    number: int
    digest: bytes


class BallotRow(NamedTuple):
    """A ballot: a counter, and the proposer that breaks ties between equal counters."""

    counter: int
    proposer: str


class MemberRow(NamedTuple):
    """A replica: its address and the identity of its disk."""

    address: str
    disk: str


class ValueRow(NamedTuple):
    """A value of the register: a voter set with the one before it, and a configuration.

    The body is empty where the receiver does not need the configuration's text.
    """

    voter_set_number: int
    members: list[MemberRow]
    previous_members: list[MemberRow]
    version: VersionRow
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class PrepareRequest:
    """Phase 1: asks an acceptor to promise a ballot.

    `known_ballot` is the ballot of a value that the proposer already has with its text. The acceptor omits the text of
    that value.
    """

    ballot: BallotRow
    known_ballot: BallotRow


@dataclass(frozen=True, slots=True, kw_only=True)
class PrepareResponse:
    """An acceptor's promise, or its rejection with the higher ballot that it has promised.

    `accepted` is the value accepted under `accepted_ballot`; both are empty unless `has_accepted`.
    """

    ok: bool
    replica: MemberRow
    promised: BallotRow
    has_accepted: bool
    accepted_ballot: BallotRow
    accepted: ValueRow


@dataclass(frozen=True, slots=True, kw_only=True)
class AcceptRequest:
    """Phase 2: asks an acceptor to accept a value. The acceptor stores the value on disk before it responds."""

    ballot: BallotRow
    value: ValueRow


@dataclass(frozen=True, slots=True, kw_only=True)
class AcceptResponse:
    """Whether the acceptor has stored the value; `promised` is the highest ballot that it has promised."""

    ok: bool
    replica: MemberRow
    promised: BallotRow


@dataclass(frozen=True, slots=True, kw_only=True)
class QueryRequest:
    """Asks an acceptor for its accepted value without a promise: the first step of a read."""


@dataclass(frozen=True, slots=True, kw_only=True)
class QueryResponse:
    """An acceptor's accepted value without its text; empty unless `has_accepted`."""

    replica: MemberRow
    has_accepted: bool
    accepted_ballot: BallotRow
    accepted: ValueRow


@dataclass(frozen=True, slots=True, kw_only=True)
class ChosenNotice:
    """Notifies a controller that the value under a ballot is chosen; `address` is a controller that has the value."""

    address: str
    ballot: BallotRow


@dataclass(frozen=True, slots=True, kw_only=True)
class ChosenNoticeResponse:
    """Sent once the receiver has learned the value, or has failed to fetch it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ValueRequest:
    """Asks for the value under a ballot, or a newer chosen one, with its text."""

    ballot: BallotRow


@dataclass(frozen=True, slots=True, kw_only=True)
class ValueResponse:
    """A value with its text deflated. `chosen`: the sender knows that the value is chosen."""

    found: bool
    chosen: bool
    ballot: BallotRow
    value: ValueRow
