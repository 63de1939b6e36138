"""Who watches whom: places on a ring by name, and the few that come next."""

from collections.abc import Iterable
from hashlib import blake2b

WATCHERS = 2


def place(name: str) -> int:
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


def watchers(name: str, cores: Iterable[str], count: int = WATCHERS) -> list[str]:
    """The cores that follow a gateway's place on the ring: each machine works it out for itself."""
    own = place(name)
    ring = sorted(set(cores), key=lambda core: ((place(core) - own) % 2**64, core))
    return ring[:count]


class HeartbeatWatch:
    """The gateways whose beats were heard, here or by other watchers. Forgotten after forget_s of silence."""

    def __init__(self, forget_s: float) -> None:
        self.forget_s = forget_s
        self.seen: dict[str, float] = {}

    def beat(self, name: str, now: float) -> bool:
        new = name not in self.seen
        self.seen[name] = now
        return new

    def sweep(self, now: float) -> bool:
        """Whether any was forgotten."""
        late = [name for name, at in self.seen.items() if now - at > self.forget_s]
        for name in late:
            del self.seen[name]
        return bool(late)
