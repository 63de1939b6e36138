"""The messages between the system's own processes, and the codec that encodes them as frames. No I/O.

Each message is a keyword-only frozen dataclass. The rows in a message are named tuples, which msgpack packs as arrays
without a conversion. The order of the fields in a class is their order on the wire, so a new field must be appended,
together with a new `FORMAT_VERSION`.
"""

from stoneyoke.transport.errors import MalformedMessage
from stoneyoke.transport.messages.codec import (
    FORMAT_VERSION,
    FRAME_BYTES_MAX,
    KINDS,
    RESPONSES,
    Message,
    pack,
    unpack,
)
from stoneyoke.transport.messages.consensus import (
    AcceptRequest,
    AcceptResponse,
    BallotRow,
    ChosenNotice,
    ChosenNoticeResponse,
    MemberRow,
    PrepareRequest,
    PrepareResponse,
    QueryRequest,
    QueryResponse,
    ValueRequest,
    ValueResponse,
    ValueRow,
    VersionRow,
)
from stoneyoke.transport.messages.instances import (
    HeartbeatRow,
    InstanceRefresh,
    InstanceRow,
    InstanceUpdate,
    InstanceUpdateResponse,
)
from stoneyoke.transport.messages.lease import LeaseRequest, LeaseResponse
from stoneyoke.transport.messages.pull import FetchRequest, FetchResponse, PullRequest, PullResponse
from stoneyoke.transport.messages.quota import QuotaDemand, QuotaGrant, QuotaRequest, QuotaResponse

__all__ = [
    "FORMAT_VERSION",
    "FRAME_BYTES_MAX",
    "KINDS",
    "RESPONSES",
    "AcceptRequest",
    "AcceptResponse",
    "BallotRow",
    "ChosenNotice",
    "ChosenNoticeResponse",
    "FetchRequest",
    "FetchResponse",
    "HeartbeatRow",
    "InstanceRefresh",
    "InstanceRow",
    "InstanceUpdate",
    "InstanceUpdateResponse",
    "LeaseRequest",
    "LeaseResponse",
    "MalformedMessage",
    "MemberRow",
    "Message",
    "PrepareRequest",
    "PrepareResponse",
    "PullRequest",
    "PullResponse",
    "QueryRequest",
    "QueryResponse",
    "QuotaDemand",
    "QuotaGrant",
    "QuotaRequest",
    "QuotaResponse",
    "ValueRequest",
    "ValueResponse",
    "ValueRow",
    "VersionRow",
    "pack",
    "unpack",
]
