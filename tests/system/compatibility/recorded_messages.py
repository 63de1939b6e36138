"""The messages of 0c80eb9/messages.txt as values of the current types, in the file's order.

The first are one of each kind; the others are edge cases: empty, negative and large values.
"""

from pathlib import Path
from typing import NamedTuple

from stoneyoke.transport.messages import (
    AcceptRequest,
    AcceptResponse,
    BallotRow,
    ChosenNotice,
    ChosenNoticeResponse,
    FetchRequest,
    FetchResponse,
    HeartbeatRow,
    InstanceRefresh,
    InstanceRow,
    InstanceUpdate,
    InstanceUpdateResponse,
    LeaseRequest,
    LeaseResponse,
    MemberRow,
    Message,
    PrepareRequest,
    PrepareResponse,
    PullRequest,
    PullResponse,
    QueryRequest,
    QueryResponse,
    QuotaDemand,
    QuotaGrant,
    QuotaRequest,
    QuotaResponse,
    ValueRequest,
    ValueResponse,
    ValueRow,
    VersionRow,
)

RECORDING = Path(__file__).parent / "0c80eb9" / "messages.txt"

INSTANCE = InstanceRow(
    instance="i-1",
    address="10.0.0.1:80",
    service="tide",
    zone="east",
    generation="v1",
    capacity=2,
    phase=0,
    call_seq=7,
    warmup_left_s=1.5,
)
GONE_INSTANCE = InstanceRow(
    instance="é-2",
    address="0.0.0.0:1",
    service="",
    zone="",
    generation="",
    capacity=0,
    phase=3,
    call_seq=1 << 40,
    warmup_left_s=0.0,
)
VERSION = VersionRow(number=3, digest=b"x")
NO_VERSION = VersionRow(number=0, digest=b"")
MEMBER = MemberRow(address="10.0.0.1", disk="first")
NO_MEMBER = MemberRow(address="", disk="")
BALLOT = BallotRow(counter=4, proposer="10.0.0.1/ab")
EARLIER_BALLOT = BallotRow(counter=3, proposer="10.0.0.2/cd")
NO_BALLOT = BallotRow(counter=0, proposer="")
VALUE = ValueRow(
    voter_set_number=2,
    members=[MEMBER],
    previous_members=[MemberRow(address="10.0.0.2", disk="5e")],
    version=VERSION,
    body=b"{}",
)
NO_VALUE = ValueRow(voter_set_number=0, members=[], previous_members=[], version=NO_VERSION, body=b"")


class RecordedFrame(NamedTuple):
    """A frame as the earlier release packed it."""

    kind: str
    call_number: int
    data: bytes


def recorded_frames() -> list[RecordedFrame]:
    """Returns the frames of the recording."""
    lines = [line.split() for line in RECORDING.read_text().splitlines() if not line.startswith("#")]
    return [RecordedFrame(kind, int(number), bytes.fromhex(data)) for kind, number, data in lines]


def recorded_values() -> list[Message]:
    """Returns the message of each frame of the recording."""
    return [*one_of_each_kind(), *edge_cases()]


def one_of_each_kind() -> list[Message]:
    """Returns a message of each kind, in the order of their tags."""
    return [
        PullRequest(
            name="edge-1",
            ip="10.0.0.1",
            kind="gateway",
            zone="east",
            incarnation="ab",
            seq=4,
            version=VERSION,
            ready=True,
            heartbeat=False,
            wait_ms=400,
            own_incarnation="cd",
            membership_version=3,
        ),
        PullResponse(
            incarnation="ab",
            seq=9,
            complete=True,
            instances=[INSTANCE],
            replica=MEMBER,
            view_ballot=BALLOT,
            view=VALUE,
            chosen_ballot=BallotRow(counter=3, proposer="10.0.0.1/ab"),
            version=VERSION,
            instances_synced=True,
            lease_holder="10.0.0.1",
            leaving=False,
            zone="east",
            membership_version=4,
            controllers=["10.0.0.2"],
            gateways=["edge-1"],
        ),
        FetchRequest(),
        FetchResponse(version=VERSION, body=b"{}"),
        PrepareRequest(ballot=BALLOT, known_ballot=EARLIER_BALLOT),
        PrepareResponse(
            ok=True,
            replica=MEMBER,
            promised=BALLOT,
            has_accepted=True,
            accepted_ballot=EARLIER_BALLOT,
            accepted=VALUE,
        ),
        AcceptRequest(ballot=BALLOT, value=VALUE),
        AcceptResponse(ok=True, replica=MEMBER, promised=BALLOT),
        QueryRequest(),
        QueryResponse(replica=MEMBER, has_accepted=True, accepted_ballot=EARLIER_BALLOT, accepted=VALUE),
        ChosenNotice(address="10.0.0.1", ballot=BALLOT),
        ChosenNoticeResponse(),
        ValueRequest(ballot=BALLOT),
        ValueResponse(found=True, chosen=True, ballot=BALLOT, value=VALUE),
        InstanceUpdate(instances=[INSTANCE]),
        InstanceRefresh(heartbeats=[HeartbeatRow(instance="i-1", call_seq=8)]),
        InstanceUpdateResponse(),
        LeaseRequest(lease_name="quotas", holder="a", incarnation="b", ttl_ms=1600, round_number=3, voter_set_number=1),
        LeaseResponse(ok=True, holder="a", remaining_ms=900, voter_set_number=1, replica=MEMBER),
        QuotaRequest(
            name="edge-1",
            incarnation="ab",
            since_answer_ms=20,
            complete=True,
            demands=[QuotaDemand(tenant="anna", wanted_units=2.0, demand_units=3.0, isolated_units=0.0, share=0.5)],
        ),
        QuotaResponse(
            ok=True, grants=[QuotaGrant(tenant="anna", units=1.0, wait_s=0.0, share=0.25, reserve_units=3.0)]
        ),
    ]


def edge_cases() -> list[Message]:
    """Returns messages with empty, negative and large values."""
    return [
        PullRequest(
            name="c-2",
            ip="10.0.0.2",
            kind="controller",
            zone="",
            incarnation="",
            seq=0,
            version=NO_VERSION,
            ready=False,
            heartbeat=True,
            wait_ms=0,
            own_incarnation="",
            membership_version=-1,
        ),
        PullResponse(
            incarnation="",
            seq=0,
            complete=False,
            instances=[INSTANCE, GONE_INSTANCE],
            replica=NO_MEMBER,
            view_ballot=NO_BALLOT,
            view=NO_VALUE,
            chosen_ballot=NO_BALLOT,
            version=NO_VERSION,
            instances_synced=False,
            lease_holder="",
            leaving=True,
            zone="",
            membership_version=-1,
            controllers=[],
            gateways=[],
        ),
        FetchResponse(version=NO_VERSION, body=b"\x00\xff" * 200),
        PrepareRequest(ballot=NO_BALLOT, known_ballot=NO_BALLOT),
        PrepareResponse(
            ok=False,
            replica=NO_MEMBER,
            promised=NO_BALLOT,
            has_accepted=False,
            accepted_ballot=NO_BALLOT,
            accepted=NO_VALUE,
        ),
        AcceptRequest(ballot=BallotRow(counter=1 << 40, proposer="p"), value=NO_VALUE),
        AcceptResponse(ok=False, replica=NO_MEMBER, promised=NO_BALLOT),
        QueryResponse(replica=NO_MEMBER, has_accepted=False, accepted_ballot=NO_BALLOT, accepted=NO_VALUE),
        ChosenNotice(address="", ballot=NO_BALLOT),
        ValueRequest(ballot=NO_BALLOT),
        ValueResponse(found=False, chosen=False, ballot=NO_BALLOT, value=NO_VALUE),
        InstanceUpdate(instances=[]),
        InstanceRefresh(
            heartbeats=[HeartbeatRow(instance="i-1", call_seq=1 << 40), HeartbeatRow(instance="é-2", call_seq=0)]
        ),
        InstanceUpdateResponse(accepted=False),
        LeaseRequest(lease_name="", holder="", incarnation="", ttl_ms=0, round_number=0, voter_set_number=-1),
        LeaseResponse(ok=False, holder="", remaining_ms=0, voter_set_number=0, replica=NO_MEMBER),
        QuotaRequest(name="", incarnation="", since_answer_ms=60_000, complete=False, demands=[]),
        QuotaResponse(ok=False, grants=[]),
    ]
