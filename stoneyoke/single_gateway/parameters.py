"""From the settings, as the operators' object names them, to the Terms of one gateway. Decides nothing."""

import math
from typing import Any

from stoneyoke.control.parameters import DeduplicationScope, GatewayParameters, Idempotency, Method, Plan

EFFECTS = {
    "idempotent": Idempotency.IDEMPOTENT,
    "deduplicated": Idempotency.DEDUPLICATED,
    "at_most_once": Idempotency.NON_IDEMPOTENT,
}


class BadStart(Exception):
    """What is given at start lacks something needed; the text names it."""


def field(table: Any, key: str, kind: type, low: float = 0.0) -> Any:
    """A needed value, or BadStart naming it."""
    value = table.get(key) if isinstance(table, dict) else None
    if kind in (int, float):
        if isinstance(value, int | float) and not isinstance(value, bool):
            if math.isfinite(value) and value >= low:
                return kind(value)
    elif isinstance(value, kind):
        return value
    raise BadStart(f"{key!r} is missing or unusable: {value!r}")


def read_terms(seed: int, top: Any) -> GatewayParameters:
    """Terms out of the settings. Raises BadStart, which names the key."""
    caps, rules, extra = (field(top, key, dict) for key in ("caps", "rules", "extra"))
    methods = []
    for row in field(top, "classes", list):
        effect = field(row, "effect", str)
        if effect not in EFFECTS:
            raise BadStart(f"'effect' is unusable: {effect!r}")
        group = row.get("group", "cell")
        if effect == "deduplicated" and group not in {g.value for g in DeduplicationScope}:
            raise BadStart(f"'group' is unusable: {group!r}")
        methods.append(
            Method(
                EFFECTS[effect],
                DeduplicationScope(group) if effect == "deduplicated" else DeduplicationScope.CELL,
                field(row, "aim-us", int, 1),
                field(row, "deadline-us", int, 1),
                field(row, "memory-span-us", int) if effect == "deduplicated" else 0,
                field(row, "gain", float),
            )
        )
    plans = [
        Plan(
            field(row, "units-per-s", float),
            field(row, "depth", float),
            field(row, "worth-factor", float),
            field(row, "parallel", int),
            field(row, "cap-rate", float),
            field(row, "cap-depth", float),
        )
        for row in field(top, "tariffs", list)
    ]
    return GatewayParameters(
        seed,
        field(top, "balancers", int, 1),
        field(top, "self-index", int),
        field(top, "zone", int),
        tuple(methods),
        tuple(plans),
        field(caps, "try-limit", int, 1),
        bool(caps.get("cancel", False)),
        bool(extra.get("has-counter", False)),
        field({"clients": {}} | top, "clients", dict).get("marks-retry") is True,
        caps.get("retry-after") is not False,
        bool(extra.get("settles", False)),
        top.get("discovery") == "subscribe",
        field(extra, "units-top", float),
        field(rules, "cold-from", float),
        field(rules, "ramp-time-us", int),
        field(rules, "overload-factor", float),
        field(rules, "overload-for-us", int),
    )
