"""The kinds of faults and what each of them affects."""

from enum import StrEnum

from stoneyoke.lab.errors import UnknownFaultKind


class FaultTarget(StrEnum):
    """What a fault affects. Apart from LINK, the value is the prefix of the process names within a zone."""

    LINK = "link"
    GATEWAY = "g"
    BACKEND = "b"
    COUNTER = "counter"
    DISCOVERY = "discovery"
    CLIENTS = "clients"


KINDS_BY_TARGET = {
    FaultTarget.LINK: ("cut", "cut_there", "cut_back", "reset", "refuse", "delay", "throttle", "lose"),
    FaultTarget.GATEWAY: ("kill", "term", "stop", "reload"),
    FaultTarget.BACKEND: ("slow", "hang", "black_hole", "lose_answers", "age", "crash", "drain", "replace"),
    FaultTarget.COUNTER: ("silent", "crawl", "wipe", "empty", "split"),
    FaultTarget.DISCOVERY: ("down", "stale", "reorder"),
    FaultTarget.CLIENTS: ("burst", "shift", "return_at_once"),
}
TARGET_BY_KIND = {kind: target for target, kinds in KINDS_BY_TARGET.items() for kind in kinds}

# The key without which a fault of this kind has no effect, and the key's default, which counts as missing.
REQUIRED_KEYS = {
    "delay": ("ms", 0.0),
    "throttle": ("bytes_s", 0.0),
    "slow": ("factor", 1.0),
    "age": ("factor", 1.0),
    "crawl": ("factor", 1.0),
    "burst": ("factor", 1.0),
}


def target_of(kind: str) -> FaultTarget:
    """Returns what faults of a kind affect.

    Raises:
        UnknownFaultKind: There is no such kind.
    """
    try:
        return TARGET_BY_KIND[kind]
    except KeyError:
        raise UnknownFaultKind(f"unknown kind of fault {kind!r}") from None
