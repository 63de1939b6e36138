"""Messages between gateways: typed structures, encoded as msgpack arrays. No I/O.

Each structure is an array on the wire, so the order of its fields is the format. A later version may append fields:
the decoder ignores the elements after those that it knows.
"""

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

BUCKET_COUNT = 16  # members are in buckets by a hash of their names; gateways compare the digest of each bucket
NO_AGE = 65_535  # in place of the age of a success or failure: none was observed

SLOW_LATENCY_RATIO_TENTHS = 30  # times the usual latency, in tenths; a backend as slow as this is unhealthy
SLOW_MIN_ATTEMPTS = 2  # a single slow response does not make a backend unhealthy

ShortText = Annotated[str, Meta(max_length=64)]
UnsignedInt63 = Annotated[int, Meta(ge=0, le=2**63 - 1)]
UnsignedInt16 = Annotated[int, Meta(ge=0, le=65_535)]

Address = tuple[str, int]  # host and port


class MemberState(IntEnum):
    """State of a member within one incarnation. A later value overrides an earlier one.

    ALIVE: it responds. It becomes SUSPECT when neither it nor a helper acknowledges a probe, LEFT when it leaves.
    SUSPECT: it still counts as present. It becomes ALIVE again, with a higher incarnation, when it refutes the
    suspicion, and DEAD when the suspicion times out.
    DEAD, LEFT: it is no longer a member. Only a higher incarnation or a later start makes it ALIVE again.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MessageKind(IntEnum):
    """The kind of a message. A gateway ignores kinds that it does not know."""

    PING = 0
    ACK = 1  # response to a PING
    PING_REQUEST = 2  # asks the receiver, a helper, to ping `subject` on behalf of the sender
    NACK = 3  # response to a PING_REQUEST, sent at once: the helper is reachable
    PULL = 4  # requests the members of the buckets whose digests differ
    PAGE = 5  # response to a PULL
    QUERY = 6  # requests reports on backends
    ANSWER = 7  # response to a QUERY


class Member(Struct, array_like=True, frozen=True):
    """A record of one gateway, made by itself or by another member."""

    name: Annotated[str, Meta(min_length=1, max_length=64)]
    host: ShortText
    port: Annotated[int, Meta(ge=1, le=65_535)]
    zone: ShortText
    started_at_ms: UnsignedInt63  # Unix time; a restart under the same name overrides the earlier process
    incarnation: UnsignedInt63 = 0  # increased only by the member itself, to refute a suspicion (SWIM)
    state: MemberState = MemberState.ALIVE
    suspected_by: ShortText = ""  # of a suspect: name of the member that suspects it

    @property
    def address(self) -> Address:
        """Address at which the member receives datagrams."""
        return self.host, self.port

    @property
    def present(self) -> bool:
        """Whether it is alive or suspected, neither dead nor left."""
        return self.state <= MemberState.SUSPECT

    def precedence(self) -> tuple[int, int, int]:
        """Orders the records of one name: the highest wins, in any order of arrival and with repeats."""
        return self.started_at_ms, self.incarnation, self.state


class BackendReport(Struct, array_like=True, frozen=True):
    """One gateway's recent observations of one backend."""

    backend_id: Annotated[int, Meta(ge=0, le=2**32 - 1)]  # see observations.backend_id
    attempts: UnsignedInt16  # decayed count
    failures: UnsignedInt16  # decayed count of the attempts that failed, broke off, had no connection or were overdue
    success_age_tenths: UnsignedInt16  # tenths of a second since the last success; NO_AGE: none
    failure_age_tenths: UnsignedInt16  # tenths of a second since the last failure; NO_AGE: none
    latency_ratio_tenths: UnsignedInt16  # ratio to the usual latency at the reporting gateway, in tenths

    @property
    def unhealthy(self) -> bool:
        """Whether the last attempt failed, or the backend is three times as slow as usual."""
        return self.failure_age_tenths < self.success_age_tenths or (
            self.attempts >= SLOW_MIN_ATTEMPTS and self.latency_ratio_tenths >= SLOW_LATENCY_RATIO_TENTHS
        )


class Message(Struct, array_like=True, frozen=True):
    """The content of one datagram, without its header."""

    sender: Member
    sequence: UnsignedInt63  # number of the datagram at its sender, to detect replays
    sent_at_us: UnsignedInt63  # Unix time by the sender's clock
    kind: Annotated[int, Meta(ge=0, le=255)]  # a MessageKind, or one of a later version
    number: UnsignedInt63 = 0  # of a request, repeated in its response; PULL and PAGE: index of the page
    # PING_REQUEST: name of the member to ping; PULL: first name of the page; PAGE: first name of the next page, if any.
    subject: ShortText = ""
    membership_digest: UnsignedInt63 = 0  # of the members that are present in the sender's table
    members: Annotated[list[Member], Meta(max_length=64)] = []
    reports: Annotated[list[BackendReport], Meta(max_length=64)] = []
    bucket_digests: Annotated[list[UnsignedInt63], Meta(max_length=BUCKET_COUNT)] = []  # of a PULL


MESSAGE_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
MESSAGE_ENCODER = msgspec.msgpack.Encoder()
