"""Messages between gateways: typed structures with a positional msgpack form. No I/O.

Each structure is an array on the wire, so the order of its fields is the format. A later version may append fields:
decoding ignores the elements beyond those known here.
"""

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

BUCKET_COUNT = 16  # of members, by a hash of their names; their digests are compared bucket by bucket
NO_AGE = 65_535  # of a report: nothing of the kind was seen

SLOW_LATENCY_RATIO_TENTHS = 30  # of the usual latency; a backend that is slower counts as unhealthy
SLOW_MIN_ATTEMPTS = 2  # one slow answer alone says nothing

ShortText = Annotated[str, Meta(max_length=64)]
UnsignedInt63 = Annotated[int, Meta(ge=0, le=2**63 - 1)]
UnsignedInt16 = Annotated[int, Meta(ge=0, le=65_535)]

Address = tuple[str, int]  # host and port


class MemberState(IntEnum):
    """State of a member within one incarnation. A later value overrides an earlier one.

    ALIVE: it answers. Left for SUSPECT when neither it nor a helper answers a probe, for LEFT when it says so.
    SUSPECT: it counts as present. It returns to ALIVE with a higher incarnation when it refutes the suspicion, and
    becomes DEAD when the suspicion times out.
    DEAD, LEFT: it is gone. Only a higher incarnation or a later start brings it back.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MessageKind(IntEnum):
    """What a message asks or answers. A gateway ignores the kinds that it does not know."""

    PING = 0
    ACK = 1  # answers a PING
    PING_REQUEST = 2  # asks the receiver to ping `subject` in the sender's place
    NACK = 3  # answers a PING_REQUEST at once: the helper is reachable
    PULL = 4  # asks for the members of the buckets whose digests differ
    PAGE = 5  # answers a PULL
    QUERY = 6  # asks for reports on backends
    ANSWER = 7  # answers a QUERY


class Member(Struct, array_like=True, frozen=True):
    """A gateway, as it or others describe it."""

    name: Annotated[str, Meta(min_length=1, max_length=64)]
    host: ShortText
    port: Annotated[int, Meta(ge=1, le=65_535)]
    zone: ShortText
    started_at_ms: UnsignedInt63  # Unix time; a restart under the same name overrides the earlier process
    incarnation: UnsignedInt63 = 0  # raised by the member alone, to refute a suspicion (SWIM)
    state: MemberState = MemberState.ALIVE
    suspected_by: ShortText = ""  # of a suspect: the name of the member whose suspicion this is

    @property
    def address(self) -> Address:
        """Where the member receives datagrams."""
        return self.host, self.port

    @property
    def present(self) -> bool:
        """Whether it counts as a member: alive or suspected, neither dead nor left."""
        return self.state <= MemberState.SUSPECT

    def precedence(self) -> tuple[int, int, int]:
        """Orders the records of one name: the highest holds, in whatever order and however often they arrive."""
        return self.started_at_ms, self.incarnation, self.state


class BackendReport(Struct, array_like=True, frozen=True):
    """What one gateway saw of one backend recently."""

    backend_id: Annotated[int, Meta(ge=0, le=2**32 - 1)]  # see observations.backend_id
    attempts: UnsignedInt16  # decayed
    failures: UnsignedInt16  # of these: failed, broken, without connection, or silent
    success_age_tenths: UnsignedInt16  # tenths of a second since the last good answer; NO_AGE: none
    failure_age_tenths: UnsignedInt16  # the same since the last failure
    latency_ratio_tenths: UnsignedInt16  # tenths of the latency that is usual at the reporting gateway

    @property
    def unhealthy(self) -> bool:
        """Whether the last attempt failed, or the backend is three times as slow as usual."""
        return self.failure_age_tenths < self.success_age_tenths or (
            self.attempts >= SLOW_MIN_ATTEMPTS and self.latency_ratio_tenths >= SLOW_LATENCY_RATIO_TENTHS
        )


class Message(Struct, array_like=True, frozen=True):
    """The content of one datagram, before it is authenticated."""

    sender: Member
    sequence: UnsignedInt63  # counts the sender's datagrams, against replays
    sent_at_us: UnsignedInt63  # the sender's clock, Unix time
    kind: Annotated[int, Meta(ge=0, le=255)]  # a MessageKind, or one of a later version
    number: UnsignedInt63 = 0  # of a request, repeated in its answer; PULL and PAGE: index of the page
    subject: ShortText = ""  # PING_REQUEST: whom to ping; PULL and PAGE: name that starts the page or the next one
    membership_digest: UnsignedInt63 = 0  # of the members that the sender takes for present
    members: Annotated[list[Member], Meta(max_length=64)] = []
    reports: Annotated[list[BackendReport], Meta(max_length=64)] = []
    bucket_digests: Annotated[list[UnsignedInt63], Meta(max_length=BUCKET_COUNT)] = []  # of a PULL


MESSAGE_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
MESSAGE_ENCODER = msgspec.msgpack.Encoder()
