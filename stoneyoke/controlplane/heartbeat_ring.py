"""Who watches whom: places on a ring by name, and the few that come next."""

from collections.abc import Iterable
from hashlib import blake2b

WATCHER_COUNT = 2


def ring_position(name: str) -> int:
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


def watchers(name: str, controllers: Iterable[str], count: int = WATCHER_COUNT) -> list[str]:
    """The controllers that follow a gateway's ring_position on the ring: each machine works it out for itself."""
    own = ring_position(name)
    ring = sorted(set(controllers), key=lambda controller: ((ring_position(controller) - own) % 2**64, controller))
    return ring[:count]


class HeartbeatWatch:
    """The gateways whose beats were heard, here or by other watchers. Forgotten after timeout_s of silence."""

    def __init__(self, timeout_s: float) -> None:
        self.timeout_s = timeout_s
        self.last_heard_at: dict[str, float] = {}

    def record_heartbeat(self, name: str, now: float) -> bool:
        new = name not in self.last_heard_at
        self.last_heard_at[name] = now
        return new

    def expire(self, now: float) -> bool:
        """Whether any was forgotten."""
        late = [name for name, at in self.last_heard_at.items() if now - at > self.timeout_s]
        for name in late:
            del self.last_heard_at[name]
        return bool(late)
