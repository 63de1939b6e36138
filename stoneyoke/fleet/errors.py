"""Errors of the fleet package, all under one base."""

from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from stoneyoke.fleet.messages import Message


class FleetError(Exception):
    """Base of the errors that this package raises."""


class UnusableKeys(FleetError, ValueError):
    """The number or the length of the authentication keys is out of bounds."""


class MessageTooLarge(FleetError, ValueError):
    """A message does not fit into one datagram."""

    def __init__(self, body_bytes: int) -> None:
        """Names the size that does not fit.

        Args:
            body_bytes: Length of the encoded message, without the datagram's header.
        """
        super().__init__(f"a message of {body_bytes} bytes")
        self.body_bytes = body_bytes


class RefusalReason(StrEnum):
    """Why a datagram is refused. The texts are part of the counters' names, which operators know."""

    OVERSIZED = "oversized"
    TRUNCATED = "cut"
    UNSUPPORTED_VERSION = "of another version"
    UNKNOWN_KEY = "of an unknown key"
    BAD_SIGNATURE = "forged"
    MALFORMED = "unreadable"
    OUT_OF_TIME = "out of time"  # the clocks differ too much, or the datagram was recorded earlier
    SUPERSEDED_SENDER = "of an earlier life"  # a gateway of the same name has started later
    REPLAYED = "replayed"


class DatagramRefused(FleetError):
    """A datagram that is not accepted. Its text is the reason's."""

    def __init__(self, reason: RefusalReason, superseded: "Message | None" = None) -> None:
        """Holds the reason.

        Args:
            reason: Why the datagram is refused.
            superseded: For SUPERSEDED_SENDER, the authentic message of the earlier process.
        """
        super().__init__(reason.value)
        self.reason = reason
        self.superseded = superseded
