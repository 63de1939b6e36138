"""The messages between the system's own processes, each a typed record in msgpack. No I/O.

A frame is a list: the message's tag, a call's number, its fields in order. What doesn't fit its types raises
MalformedMessage."""

from dataclasses import dataclass, fields
from types import GenericAlias
from typing import Any, get_args, get_origin, get_type_hints

import msgpack

FRAME_TOP = 1 << 26


class MalformedMessage(Exception):
    """Bytes that make no message of this system."""


Row = tuple[str, str, str, str, str, int, int, int, float]  # see harbour.register.InstanceRecord.row()
Stamp = tuple[int, bytes]  # a configuration's number and digest
BallotRow = tuple[int, str]  # consensus.Ballot
MemberRow = tuple[str, str]  # consensus.ReplicaId
# consensus.RegisterValue: number of the voter set, its members, the members before, version, the configuration's text
# ("" where the receiver need not have it).
ValueRow = tuple[int, list[MemberRow], list[MemberRow], Stamp, bytes]


@dataclass(frozen=True, slots=True)
class PullRequest:
    """A gateway, or another core, asks a core for what is new since (life, seq) of that core.

    beat: this core is one of the asker's watchers on the ring; wait_ms: how long the core may wait for news."""

    name: str
    ip: str
    kind: str  # "gateway" or "controller"
    zone: str
    incarnation: str
    seq: int
    stamp: Stamp  # of the configuration in force at the asker
    ready: bool
    beat: bool
    wait_ms: int
    own_incarnation: str
    membership_version: int  # the number of that core's roll that the asker has


@dataclass(frozen=True, slots=True)
class PullResponse:
    """rows: instances that changed; whole: all of them. replica: the member that answers. view: the newest value of the
    register that it knows, chosen or not, without its text. roll: rises with each change of controllers and gateways,
    which are told only to those that lack them. pilots: names of the gateways whose heartbeats were heard. keeper: who
    holds the lease of the quotas, "" if not known."""

    incarnation: str
    seq: int
    whole: bool
    rows: list[Row]
    replica: MemberRow
    view_ballot: BallotRow
    view: ValueRow
    chosen_ballot: BallotRow  # of the newest value that is known there to be chosen
    stamp: Stamp  # of that value's configuration: what may be put in force
    instances_synced: bool  # it has asked others for the instances that it may have known in an earlier life
    lease_holder: str
    leaving: bool  # it was told to end
    zone: str
    membership_version: int
    cores: list[str]
    gateways: list[str]


@dataclass(frozen=True, slots=True)
class FetchRequest:
    """Asks for the newest chosen configuration."""


@dataclass(frozen=True, slots=True)
class FetchResponse:
    """body: the operator's text, deflated: gateways' links are thin and all ask at once."""

    stamp: Stamp
    body: bytes


@dataclass(frozen=True, slots=True)
class PrepareRequest:
    """A round asks for a promise. known: the ballot of a value that the proposer has with its text."""

    ballot: BallotRow
    known: BallotRow


@dataclass(frozen=True, slots=True)
class PrepareResponse:
    """accepted: what is accepted here under accepted_ballot, with its text if that is not the value known."""

    ok: bool
    replica: MemberRow
    promised: BallotRow
    has_accepted: bool
    accepted_ballot: BallotRow
    accepted: ValueRow


@dataclass(frozen=True, slots=True)
class AcceptRequest:
    """A round's proposal, to be on disk before the answer."""

    ballot: BallotRow
    value: ValueRow


@dataclass(frozen=True, slots=True)
class AcceptResponse:
    ok: bool
    replica: MemberRow
    promised: BallotRow


@dataclass(frozen=True, slots=True)
class QueryRequest:
    """Asks for what is accepted, without a promise."""


@dataclass(frozen=True, slots=True)
class QueryResponse:
    """accepted: without its text."""

    replica: MemberRow
    has_accepted: bool
    accepted_ballot: BallotRow
    accepted: ValueRow


@dataclass(frozen=True, slots=True)
class ChosenNotice:
    """The value under this ballot is chosen."""

    address: str  # of who tells it and has the value
    ballot: BallotRow


@dataclass(frozen=True, slots=True)
class ChosenNoticeResponse:
    pass


@dataclass(frozen=True, slots=True)
class ValueRequest:
    """Asks for the value under a ballot, or a newer chosen one, with its text."""

    ballot: BallotRow


@dataclass(frozen=True, slots=True)
class ValueResponse:
    """chosen: it is known there to be chosen. The text is deflated."""

    found: bool
    chosen: bool
    ballot: BallotRow
    value: ValueRow


@dataclass(frozen=True, slots=True)
class InstanceUpdate:
    """Beats that a core heard from the backends themselves."""

    rows: list[Row]


@dataclass(frozen=True, slots=True)
class InstanceRefresh:
    """Beats that tell nothing new: instances, each with its call_seq. A fifth of the bytes of their rows."""

    beats: list[tuple[str, int]]


@dataclass(frozen=True, slots=True)
class InstanceUpdateResponse:
    """taken: it is known here now; not where it may have waited while the process stood still."""

    taken: bool = True


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Asks for a duty for so long."""

    duty: str
    holder: str
    incarnation: str
    ttl_ms: int
    number: int  # of the holder's round of asking
    voters_number: int  # of the voter set that is asked


@dataclass(frozen=True, slots=True)
class LeaseResponse:
    """holder: who has it by this core's word, for left_ms more; ok: the asker."""

    ok: bool
    holder: str
    left_ms: int
    voters_number: int  # of the voter set that it grants for
    replica: MemberRow


@dataclass(frozen=True, slots=True)
class QuotaRequest:
    """A gateway asks the keeper for units of tenants' stores. wants: tenant, units wanted, demand since the last
    time, units that it used alone in this life, the part that it holds. deaf_ms: how long ago it last heard an answer.
    full: there is a row for each part that it holds."""

    name: str
    incarnation: str
    deaf_ms: int
    full: bool
    wants: list[tuple[str, float, float, float, float]]


@dataclass(frozen=True, slots=True)
class QuotaResponse:
    """For each: units given, wait in seconds until one is there, this gateway's part of the counted demand, and the
    units of the store that it may use when it hears no keeper."""

    ok: bool
    gives: list[tuple[str, float, float, float, float]]


KINDS: tuple[type, ...] = (
    PullRequest,
    PullResponse,
    FetchRequest,
    FetchResponse,
    PrepareRequest,
    PrepareResponse,
    AcceptRequest,
    AcceptResponse,
    QueryRequest,
    QueryResponse,
    ChosenNotice,
    ChosenNoticeResponse,
    ValueRequest,
    ValueResponse,
    InstanceUpdate,
    InstanceRefresh,
    InstanceUpdateResponse,
    LeaseRequest,
    LeaseResponse,
    QuotaRequest,
    QuotaResponse,
)
TAGS = {kind: at for at, kind in enumerate(KINDS)}
TYPES = {kind: [get_type_hints(kind)[one.name] for one in fields(kind)] for kind in KINDS}
NAMES = {kind: [one.name for one in fields(kind)] for kind in KINDS}
Message = (
    PullRequest
    | PullResponse
    | FetchRequest
    | FetchResponse
    | PrepareRequest
    | PrepareResponse
    | AcceptRequest
    | AcceptResponse
    | QueryRequest
    | QueryResponse
    | ChosenNotice
    | ChosenNoticeResponse
    | ValueRequest
    | ValueResponse
    | InstanceUpdate
    | InstanceRefresh
    | InstanceUpdateResponse
    | LeaseRequest
    | LeaseResponse
    | QuotaRequest
    | QuotaResponse
)


# What answers each request; whoever asks takes nothing else. A kind that is not here is a response itself.
RESPONSES: dict[type, type] = {
    PullRequest: PullResponse,
    FetchRequest: FetchResponse,
    PrepareRequest: PrepareResponse,
    AcceptRequest: AcceptResponse,
    QueryRequest: QueryResponse,
    ChosenNotice: ChosenNoticeResponse,
    ValueRequest: ValueResponse,
    InstanceUpdate: InstanceUpdateResponse,
    InstanceRefresh: InstanceUpdateResponse,
    LeaseRequest: LeaseResponse,
    QuotaRequest: QuotaResponse,
}


def pack(number: int, message: Message) -> bytes:
    """A frame: four bytes of length, then the list."""
    kind = type(message)
    body: bytes = msgpack.packb([TAGS[kind], number, *(getattr(message, name) for name in NAMES[kind])])
    return len(body).to_bytes(4, "big") + body


def unpack(body: bytes) -> tuple[int, Message]:
    """A call's number and its message. Raises MalformedMessage."""
    try:
        parts = msgpack.unpackb(body, use_list=False, strict_map_key=True, max_ext_len=0)
    except Exception as bad:  # msgpack has a dozen errors of its own, and ValueError besides
        raise MalformedMessage(f"no msgpack: {bad}"[:100]) from bad
    if not isinstance(parts, tuple) or len(parts) < 2 or not all(type(one) is int for one in parts[:2]):
        raise MalformedMessage("no frame of this system")
    tag, number, *values = parts
    if not 0 <= tag < len(KINDS) or not 0 <= number < 1 << 62 or len(values) != len(TYPES[KINDS[tag]]):
        raise MalformedMessage(f"a message of no kind known here: {tag}")
    kind = KINDS[tag]
    message: Message = kind(*(fit(value, wanted, kind) for value, wanted in zip(values, TYPES[kind], strict=True)))
    return number, message


def fit(value: Any, wanted: Any, kind: type) -> Any:
    if wanted is float and type(value) is int:
        value = float(value)
    if not isinstance(wanted, GenericAlias):
        if (
            type(value) is not wanted
            or wanted is float
            and not abs(value) < 1e15
            or (wanted is int and not -(1 << 62) < value < 1 << 62)
        ):
            raise MalformedMessage(f"a {kind.__name__} with {str(value)[:40]!r} where {wanted.__name__} belongs")
        return value
    if not isinstance(value, tuple):
        raise MalformedMessage(f"a {kind.__name__} without its list")
    parts = get_args(wanted)
    if get_origin(wanted) is list:
        return [fit(one, parts[0], kind) for one in value]
    if len(value) != len(parts):
        raise MalformedMessage(f"a {kind.__name__} with a row of {len(value)}")
    return tuple(fit(one, part, kind) for one, part in zip(value, parts, strict=True))
