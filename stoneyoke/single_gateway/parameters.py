"""Converts the settings, with the keys that the operators use, to the decision logic's parameters."""

import math
from typing import Any

from stoneyoke.control.parameters import DeduplicationScope, GatewayParameters, Idempotency, Method, Plan
from stoneyoke.single_gateway.errors import InvalidConfiguration

IDEMPOTENCY_BY_EFFECT = {
    "idempotent": Idempotency.IDEMPOTENT,
    "deduplicated": Idempotency.DEDUPLICATED,
    "at_most_once": Idempotency.NON_IDEMPOTENT,
}
SCOPES = frozenset(scope.value for scope in DeduplicationScope)


def required(table: Any, key: str, kind: type, minimum: float = 0.0) -> Any:
    """Returns a required value of a table.

    Args:
        table: The table as it was read; anything other than an object has no keys.
        key: The value's key.
        kind: The value's type; int and float accept any finite number that is not below the minimum.
        minimum: The smallest valid number.

    Raises:
        InvalidConfiguration: The value is missing, has another type, or is too small.
    """
    value = table.get(key) if isinstance(table, dict) else None
    if kind in (int, float):
        if isinstance(value, int | float) and not isinstance(value, bool):
            if math.isfinite(value) and value >= minimum:
                return kind(value)
    elif isinstance(value, kind):
        return value
    raise InvalidConfiguration(f"{key!r} is missing or invalid: {value!r}")


def read_method(row: Any) -> Method:
    """Reads one row of "classes"."""
    effect = required(row, "effect", str)
    if effect not in IDEMPOTENCY_BY_EFFECT:
        raise InvalidConfiguration(f"'effect' has an unknown value: {effect!r}")
    scope = row.get("group", "cell")
    idempotency = IDEMPOTENCY_BY_EFFECT[effect]
    deduplicated = idempotency is Idempotency.DEDUPLICATED
    if deduplicated and scope not in SCOPES:
        raise InvalidConfiguration(f"'group' has an unknown value: {scope!r}")
    return Method(
        idempotency=idempotency,
        deduplication_scope=DeduplicationScope(scope) if deduplicated else DeduplicationScope.CELL,
        soft_deadline_us=required(row, "aim-us", int, 1),
        deadline_us=required(row, "deadline-us", int, 1),
        deduplication_window_us=required(row, "memory-span-us", int) if deduplicated else 0,
        utility=required(row, "gain", float),
    )


def read_plan(row: Any) -> Plan:
    """Reads one row of "tariffs"."""
    return Plan(
        rate=required(row, "units-per-s", float),
        burst=required(row, "depth", float),
        price=required(row, "worth-factor", float),
        concurrency_max=required(row, "parallel", int),
        ceiling_rate=required(row, "cap-rate", float),
        ceiling_burst=required(row, "cap-depth", float),
    )


def read_parameters(seed: int, settings: Any) -> GatewayParameters:
    """Returns the parameters that the settings specify.

    Args:
        seed: The seed of the decision logic's random numbers.
        settings: The object of settings, as the operators write it.

    Raises:
        InvalidConfiguration: The text names the key.
    """
    capabilities, rules, extra = (required(settings, key, dict) for key in ("caps", "rules", "extra"))
    methods = tuple(read_method(row) for row in required(settings, "classes", list))
    plans = tuple(read_plan(row) for row in required(settings, "tariffs", list))
    return GatewayParameters(
        seed=seed,
        gateways=required(settings, "balancers", int, 1),
        own_index=required(settings, "self-index", int),
        zone=required(settings, "zone", int),
        methods=methods,
        plans=plans,
        attempts_max=required(capabilities, "try-limit", int, 1),
        can_cancel_attempts=bool(capabilities.get("cancel", False)),
        has_counter=bool(extra.get("has-counter", False)),
        clients_mark_retries=required({"clients": {}} | settings, "clients", dict).get("marks-retry") is True,
        sends_retry_after=capabilities.get("retry-after") is not False,
        settles_units=bool(extra.get("settles", False)),
        must_subscribe=settings.get("discovery") == "subscribe",
        units_max=required(extra, "units-top", float),
        cold_share=required(rules, "cold-from", float),
        warm_up_us=required(rules, "ramp-time-us", int),
        overload_factor=required(rules, "overload-factor", float),
        overload_window_us=required(rules, "overload-for-us", int),
    )
