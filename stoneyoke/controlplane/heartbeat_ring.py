"""Selects the controllers that receive a gateway's heartbeats (consistent hashing), and monitors gateways."""

from collections.abc import Iterable
from hashlib import blake2b

WATCHER_COUNT = 2  # how many controllers receive one gateway's heartbeats
RING_SIZE = 1 << 64


def ring_position(name: str) -> int:
    """Returns the position of a gateway or a controller on the hash ring, below RING_SIZE."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


def heartbeat_receivers(name: str, controllers: Iterable[str], count: int = WATCHER_COUNT) -> list[str]:
    """Returns the `count` controllers that come after a gateway on the ring, the nearest first.

    Each machine computes the same result from the same names, so no coordination is needed.
    """
    own_position = ring_position(name)

    def distance(controller: str) -> tuple[int, str]:
        return (ring_position(controller) - own_position) % RING_SIZE, controller

    return sorted(set(controllers), key=distance)[:count]


class HeartbeatMonitor:
    """The gateways whose heartbeats arrive at this controller."""

    def __init__(self, timeout_s: float) -> None:
        """Starts without gateways.

        Args:
            timeout_s: a gateway without a heartbeat for this many seconds is removed.
        """
        self.timeout_s = timeout_s
        self.last_heartbeat_at: dict[str, float] = {}  # by gateway name, in the order of their first heartbeats

    def record_heartbeat(self, name: str, now: float) -> bool:
        """Records a heartbeat; returns whether the gateway is new."""
        is_new = name not in self.last_heartbeat_at
        self.last_heartbeat_at[name] = now
        return is_new

    def expire(self, now: float) -> bool:
        """Removes gateways that timed out; returns whether there were any."""
        expired = [name for name, heartbeat_at in self.last_heartbeat_at.items() if now - heartbeat_at > self.timeout_s]
        for name in expired:
            del self.last_heartbeat_at[name]
        return bool(expired)
