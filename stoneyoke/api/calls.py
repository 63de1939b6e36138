"""The calls of instances and operators, and their results, apart from HTTP. No I/O.

Source:
    The operators' PROTOCOL, Which backends there are, and The operator.
"""

from dataclasses import dataclass
from http import HTTPStatus

from stoneyoke.api.configuration import Configuration


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """An instance says that it is there.

    Attributes:
        instance: Its identifier.
        address: Where it takes requests, host and port.
        service: The service that it belongs to.
        generation: Version of its software.
        zone: Its zone.
        capacity: Requests that it takes at once.
        draining: Whether it is about to end and wants no more requests.
        call_seq: Rises with each call of the instance.
        warmup_left_s: How much longer it is slow from its start.
    """

    instance: str
    address: str
    service: str
    generation: str
    zone: str
    capacity: int
    draining: bool
    call_seq: int
    warmup_left_s: float


@dataclass(frozen=True, slots=True)
class Leave:
    """An instance says that it ends."""

    instance: str


@dataclass(frozen=True, slots=True)
class ReplaceConfiguration:
    """An operator's new configuration, to be acknowledged once it is durable."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ReadConfiguration:
    """An operator asks for the newest acknowledged configuration."""


@dataclass(frozen=True, slots=True)
class ReadStatus:
    """A person or the command line asks what this controller knows."""


ApiCall = Heartbeat | Leave | ReplaceConfiguration | ReadConfiguration | ReadStatus


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """A heartbeat, a leave or a configuration is acknowledged."""


@dataclass(frozen=True, slots=True)
class Document:
    """A text that was asked for: a configuration as it was sent, or a controller's status."""

    body: bytes


@dataclass(frozen=True, slots=True)
class Rejected:
    """The caller's fault: no controller will accept the call.

    Attributes:
        status: The HTTP status, a 4xx.
        field: The field that is wrong, or the part of the request.
        reason: What is wrong with it.
    """

    status: HTTPStatus
    field: str
    reason: str


@dataclass(frozen=True, slots=True)
class Unavailable:
    """This controller can't carry out the call now; the caller may ask another one, or again."""

    reason: str


ApiResult = Acknowledged | Document | Rejected | Unavailable
