"""The schema of the operator's configuration as tables of settings, and the types of the values read with them.

Source:
    The operators' PROTOCOL, The operator.
"""

from typing import TypedDict

from stoneyoke.api.checks import (
    above,
    at_least,
    not_empty,
    one_of,
    path_prefix_error,
    version_error,
    visible_text_error,
)
from stoneyoke.api.schema import REQUIRED, Setting, Table

DAY_S = 86_400


class ServiceSettings(TypedDict):
    """A service: the label by which routes refer to it, and how gateways connect to its instances."""

    label: str
    health_path: str
    max_conns: int
    protocol: str
    tls_mode: bool


class LimitSettings(TypedDict):
    """Limits on clients: sizes of a request, the time to send a request's head, and the idle time of a connection."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class TenantSettings(TypedDict):
    """A tenant: its API keys, its rank, and its quota. A rate of 0 means no quota."""

    label: str
    api_keys: list[str]
    rank: int
    rate_per_s: float
    burst_size: float


class WeightedTargetSettings(TypedDict):
    """One of a route's services, and its share of the requests."""

    target_service: str
    share: float


class RouteSettings(TypedDict):
    """A route. Either `target_service` or `weighted` is set. A `target_s` of 0 means that there is no target."""

    label: str
    path_prefix: str
    route_kind: str
    timeout_s: float
    target_s: float
    rank: int
    target_service: str | None
    weighted: list[WeightedTargetSettings] | None
    max_tries: int
    is_public: bool


class HostSettings(TypedDict):
    """A host and its routes."""

    hostname: str
    path_map: list[RouteSettings]


class ConfigurationSettings(TypedDict):
    """A complete configuration as it was read, before the checks that involve several fields."""

    generation: str
    service_list: list[ServiceSettings]
    limits: LimitSettings | None
    tenant_list: list[TenantSettings] | None
    host_map: list[HostSettings]


SERVICE: Table = (
    Setting("label", str, REQUIRED, not_empty),
    Setting("health_path", str, "/health", visible_text_error),
    Setting("max_conns", int, 100, at_least(1)),
    Setting("protocol", str, "h1"),
    Setting("tls_mode", bool, False),
)
LIMITS: Table = (
    Setting("max_header_bytes", int, 16_384, at_least(1)),
    Setting("max_body_bytes", int, 1 << 26, at_least(0)),
    Setting("header_timeout_s", float, 3.0, above(0)),
    Setting("idle_timeout_s", float, 15.0, above(0)),
)
TENANT: Table = (
    Setting("label", str, REQUIRED, visible_text_error),
    Setting("api_keys", [str], REQUIRED),
    Setting("rank", int, 0, at_least(0)),
    Setting("rate_per_s", float, 0.0, at_least(0)),
    Setting("burst_size", float, 0.0, at_least(0)),
)
WEIGHTED_TARGET: Table = (
    Setting("target_service", str, REQUIRED, not_empty),
    Setting("share", float, REQUIRED, at_least(0)),
)
ROUTE: Table = (
    Setting("label", str, REQUIRED, not_empty),
    Setting("path_prefix", str, REQUIRED, path_prefix_error),
    Setting("route_kind", str, REQUIRED, one_of("pure", "effectful")),
    Setting("timeout_s", float, REQUIRED, above(0, DAY_S)),
    Setting("target_s", float, 0.0, at_least(0, DAY_S)),
    Setting("rank", int, 0, at_least(0)),
    Setting("target_service", str, None, not_empty),
    Setting("weighted", [WEIGHTED_TARGET], None, not_empty),
    Setting("max_tries", int, REQUIRED, at_least(1, 1000)),
    Setting("is_public", bool, False),
)
HOST: Table = (
    Setting("hostname", str, REQUIRED, visible_text_error),
    Setting("path_map", [ROUTE], REQUIRED),
)
CONFIGURATION: Table = (
    Setting("generation", str, REQUIRED, version_error),
    Setting("service_list", [SERVICE], REQUIRED),
    Setting("limits", LIMITS, None),
    Setting("tenant_list", [TENANT], None),
    Setting("host_map", [HOST], REQUIRED),
)
