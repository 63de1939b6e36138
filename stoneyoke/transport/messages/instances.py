"""Messages by which controllers forward the heartbeats of backend instances to each other."""

from dataclasses import dataclass
from typing import NamedTuple


class InstanceRow(NamedTuple):
    """The state of a backend instance at one controller.

    `phase` is a value of `instance_registry.Phase`. `call_seq` increases with each call of the instance, so of two rows
    the one with the higher number is newer. `warmup_left_s` is the remaining warm-up time, in seconds from when the row
    was sent.
    """

    instance: str
    address: str
    service: str
    zone: str
    generation: str
    capacity: int
    phase: int
    call_seq: int
    warmup_left_s: float


class HeartbeatRow(NamedTuple):
    """A heartbeat that changed nothing but the instance's call number."""

    instance: str
    call_seq: int


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceUpdate:
    """Instances whose heartbeats changed their state at the sending controller."""

    instances: list[InstanceRow]


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceRefresh:
    """Heartbeats that changed nothing but the call numbers. They take a fifth of the bytes of full rows."""

    heartbeats: list[HeartbeatRow]


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceUpdateResponse:
    """Whether the receiver has applied an update or a refresh.

    The receiver rejects a message that may have waited while the receiver's process was suspended, because the message
    may be stale.
    """

    accepted: bool = True
