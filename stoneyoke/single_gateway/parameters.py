"""From the settings, as the operators' object names them, to the Terms of one gateway. Decides nothing."""

import math
from typing import Any

from stoneyoke.control.parameters import DeduplicationScope, GatewayParameters, Idempotency, Method, Plan

EFFECTS = {
    "idempotent": Idempotency.IDEMPOTENT,
    "deduplicated": Idempotency.DEDUPLICATED,
    "at_most_once": Idempotency.NON_IDEMPOTENT,
}


class InvalidConfiguration(Exception):
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
    raise InvalidConfiguration(f"{key!r} is missing or unusable: {value!r}")


def read_parameters(seed: int, top: Any) -> GatewayParameters:
    """Terms out of the settings. Raises BadStart, which names the key."""
    caps, rules, extra = (field(top, key, dict) for key in ("caps", "rules", "extra"))
    methods = []
    for row in field(top, "classes", list):
        effect = field(row, "effect", str)
        if effect not in EFFECTS:
            raise InvalidConfiguration(f"'effect' is unusable: {effect!r}")
        group = row.get("group", "cell")
        if effect == "deduplicated" and group not in {g.value for g in DeduplicationScope}:
            raise InvalidConfiguration(f"'group' is unusable: {group!r}")
        methods.append(
            Method(
                idempotency=EFFECTS[effect],
                deduplication_scope=DeduplicationScope(group) if effect == "deduplicated" else DeduplicationScope.CELL,
                soft_deadline_us=field(row, "aim-us", int, 1),
                deadline_us=field(row, "deadline-us", int, 1),
                deduplication_window_us=field(row, "memory-span-us", int) if effect == "deduplicated" else 0,
                utility=field(row, "gain", float),
            )
        )
    plans = [
        Plan(
            rate=field(row, "units-per-s", float),
            burst=field(row, "depth", float),
            price=field(row, "worth-factor", float),
            concurrency_max=field(row, "parallel", int),
            ceiling_rate=field(row, "cap-rate", float),
            ceiling_burst=field(row, "cap-depth", float),
        )
        for row in field(top, "tariffs", list)
    ]
    return GatewayParameters(
        seed=seed,
        gateways=field(top, "balancers", int, 1),
        own_index=field(top, "self-index", int),
        zone=field(top, "zone", int),
        methods=tuple(methods),
        plans=tuple(plans),
        attempts_max=field(caps, "try-limit", int, 1),
        can_cancel_attempts=bool(caps.get("cancel", False)),
        has_counter=bool(extra.get("has-counter", False)),
        clients_mark_retries=field({"clients": {}} | top, "clients", dict).get("marks-retry") is True,
        advises_wait=caps.get("retry-after") is not False,
        settles_units=bool(extra.get("settles", False)),
        must_subscribe=top.get("discovery") == "subscribe",
        units_max=field(extra, "units-top", float),
        cold_share=field(rules, "cold-from", float),
        warm_up_us=field(rules, "ramp-time-us", int),
        overload_factor=field(rules, "overload-factor", float),
        overload_window_us=field(rules, "overload-for-us", int),
    )
