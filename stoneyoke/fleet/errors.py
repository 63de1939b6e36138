"""Errors of the fleet package."""

from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from stoneyoke.fleet.messages import Message


class FleetError(Exception):
    """Base class of the errors that this package raises."""


class UnusableKeys(FleetError, ValueError):
    """The number or the length of the authentication keys is out of bounds."""


class MessageTooLarge(FleetError, ValueError):
    """A message does not fit into one datagram."""

    def __init__(self, body_bytes: int) -> None:
        """Records the size of the message.

        Args:
            body_bytes: Length of the encoded message, without the datagram's header.
        """
        super().__init__(f"a message of {body_bytes} bytes does not fit into a datagram")
        self.body_bytes = body_bytes


class RefusalReason(StrEnum):
    """Why a datagram is refused. The values are part of the names of counters, which operators use."""

    OVERSIZED = "oversized"
    TRUNCATED = "cut"
    UNSUPPORTED_VERSION = "of another version"
    UNKNOWN_KEY = "of an unknown key"
    BAD_SIGNATURE = "forged"
    MALFORMED = "unreadable"
    OUT_OF_TIME = "out of time"  # the clocks differ too much, or the datagram was delayed or replayed
    SUPERSEDED_SENDER = "of an earlier life"  # a gateway of the same name has started later
    REPLAYED = "replayed"


class DatagramRefused(FleetError):
    """A datagram was refused. The message is the value of the reason."""

    def __init__(self, reason: RefusalReason, superseded: "Message | None" = None) -> None:
        """Records the reason.

        Args:
            reason: Why the datagram is refused.
            superseded: For SUPERSEDED_SENDER, the authentic message of the earlier process.
        """
        super().__init__(reason.value)
        self.reason = reason
        self.superseded = superseded
