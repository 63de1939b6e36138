"""The API calls of instances and operators, and their results, independent of HTTP. No I/O.

Source:
    The operators' PROTOCOL, Which backends there are, and The operator.
"""

from dataclasses import dataclass
from http import HTTPStatus

from stoneyoke.api.configuration import Configuration


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """An instance reports that it is alive, and its state.

    Attributes:
        instance: The instance's identifier.
        address: The host and port on which the instance accepts requests.
        service: The service that the instance belongs to.
        generation: Version of the instance's software.
        zone: The instance's zone.
        capacity: Number of requests that the instance can process concurrently.
        draining: Whether the instance is about to shut down and must get no more requests.
        call_seq: Increases with each call of the instance.
        warmup_left_s: Remaining warm-up time, during which the instance is slow, in seconds.
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
    """An instance reports that it shuts down."""

    instance: str


@dataclass(frozen=True, slots=True)
class ReplaceConfiguration:
    """An operator sends a new configuration, which is acknowledged once it is durable."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ReadConfiguration:
    """An operator asks for the newest acknowledged configuration."""


@dataclass(frozen=True, slots=True)
class ReadStatus:
    """An operator asks for this controller's status."""


ApiCall = Heartbeat | Leave | ReplaceConfiguration | ReadConfiguration | ReadStatus


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """A heartbeat, a shutdown of an instance or a configuration is acknowledged."""


@dataclass(frozen=True, slots=True)
class Document:
    """The text that a call asked for: a configuration as the operator sent it, or a controller's status."""

    body: bytes


@dataclass(frozen=True, slots=True)
class Rejected:
    """The call is invalid: no controller will accept it.

    Attributes:
        status: The HTTP status, a 4xx.
        field: The invalid field, or the invalid part of the request.
        reason: Why it is invalid.
    """

    status: HTTPStatus
    field: str
    reason: str


@dataclass(frozen=True, slots=True)
class Unavailable:
    """This controller can't process the call now; the caller may retry it here or at another controller."""

    reason: str


ApiResult = Acknowledged | Document | Rejected | Unavailable
