"""Messages by which controllers pass on the heartbeats of backend instances."""

from dataclasses import dataclass
from typing import NamedTuple


class InstanceRow(NamedTuple):
    """A backend instance as one controller knows it.

    `phase` is a value of `instance_registry.Phase`. `call_seq` rises with each call of the instance, so of two rows
    the one with the higher number is newer. `warmup_left_s` counts from when the row was sent.
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
    """Instances whose heartbeats changed what the sending controller knew of them."""

    instances: list[InstanceRow]


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceRefresh:
    """Heartbeats that changed nothing but the call numbers: a fifth of the bytes of full rows."""

    heartbeats: list[HeartbeatRow]


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceUpdateResponse:
    """Whether the receiver now has what an update or a refresh brought.

    It refuses while the message may have waited for its process to be resumed, since it may then be stale.
    """

    accepted: bool = True
