"""The routes and API keys of one configuration, in an immutable table that is replaced as a whole. No I/O."""

from collections.abc import Sequence
from dataclasses import dataclass

from stoneyoke.api.configuration import Configuration, Version, weighted_targets
from stoneyoke.api.configuration_schema import RouteSettings


@dataclass(frozen=True, slots=True)
class Route:
    """One route of a host.

    Attributes:
        label: The operator's name for the route.
        is_idempotent: Whether its requests may run more than once.
        timeout_us: The maximum response time, in microseconds.
        target_us: The operator's target for the response time, in microseconds.
        rank: The operator's priority; 0 is the highest.
        attempts_max: The most attempts at backends for one request.
        is_public: Whether its requests need no API key.
        cumulative_weights: Its services, each with the running sum of the weights up to it; the last sum is 1.
    """

    label: str
    is_idempotent: bool
    timeout_us: int
    target_us: int
    rank: int
    attempts_max: int
    is_public: bool
    cumulative_weights: tuple[tuple[str, float], ...]

    def choose_service(self, point: float) -> str:
        """Returns the service whose interval of the cumulative weights contains a point from 0 to 1."""
        last_service = self.cumulative_weights[-1][0]
        return next((service for service, upper in self.cumulative_weights if point < upper), last_service)


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant's quota.

    Attributes:
        label: The operator's name for the tenant.
        rank: The operator's priority; 0 is the highest.
        rate_per_s: The rate limit in requests per second; 0: no limit.
        burst: The burst size of the rate limit, in requests.
    """

    label: str
    rank: int
    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """The routes, tenants and limits of one version of the configuration.

    Attributes:
        version: The configuration's version.
        hosts: The routes of each host with their path prefixes, the longest prefix first.
        tenants_by_key: The tenant of each API key; None if the configuration has no tenants and requests need no key.
        tenants: All tenants.
        max_connections: For each service, the connections that one backend accepts from all callers.
        health_paths: For each service, the path of its health check.
        head_max_bytes: The maximum size of a request's head.
        body_max_bytes: The maximum size of a request's body.
        head_timeout_us: The time within which a request's head must be received, in microseconds.
        idle_timeout_us: The time after which an idle connection is closed, in microseconds.
    """

    version: Version
    hosts: dict[str, tuple[tuple[str, Route], ...]]
    tenants_by_key: dict[str, Tenant] | None
    tenants: tuple[Tenant, ...]
    max_connections: dict[str, int]
    health_paths: dict[str, str]
    head_max_bytes: int
    body_max_bytes: int
    head_timeout_us: int
    idle_timeout_us: int

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the host's route with the longest prefix that matches the path; None if no route matches."""
        for prefix, route in self.hosts.get(host, ()):
            if path.startswith(prefix):
                return route
        return None


def build_routing_table(configuration: Configuration) -> RoutingTable:
    """Builds the routing table of a validated configuration."""
    limits, services = configuration.limits, configuration.services
    tenants, tenants_by_key = read_tenants(configuration)
    return RoutingTable(
        version=configuration.version,
        hosts=read_hosts(configuration),
        tenants_by_key=tenants_by_key,
        tenants=tenants,
        max_connections={label: service["max_conns"] for label, service in services.items()},
        health_paths={label: service["health_path"] for label, service in services.items()},
        head_max_bytes=limits["max_header_bytes"],
        body_max_bytes=limits["max_body_bytes"],
        head_timeout_us=microseconds(limits["header_timeout_s"]),
        idle_timeout_us=microseconds(limits["idle_timeout_s"]),
    )


def read_hosts(configuration: Configuration) -> dict[str, tuple[tuple[str, Route], ...]]:
    """Returns the routes of each host, the longest prefix first."""
    hosts: dict[str, list[tuple[str, Route]]] = {}
    for host, settings in configuration.routes():
        hosts.setdefault(host, []).append((settings["path_prefix"], read_route(settings)))
    return {host: tuple(sorted(routes, key=lambda row: -len(row[0]))) for host, routes in hosts.items()}


def read_route(settings: RouteSettings) -> Route:
    """Converts the settings of one route."""
    return Route(
        label=settings["label"],
        is_idempotent=settings["route_kind"] == "pure",
        timeout_us=microseconds(settings["timeout_s"]),
        target_us=microseconds(settings["target_s"] or settings["timeout_s"]),
        rank=settings["rank"],
        attempts_max=settings["max_tries"],
        is_public=settings["is_public"],
        cumulative_weights=cumulative_weights(weighted_targets(settings)),
    )


def cumulative_weights(targets: Sequence[tuple[str, float]]) -> tuple[tuple[str, float], ...]:
    """Returns services with the running sum of their normalized weights. Services of weight 0 are omitted."""
    total = sum(weight for _, weight in targets)
    cumulative, upper = [], 0.0
    for service, weight in targets:
        upper += weight / total
        if weight > 0:
            cumulative.append((service, upper))
    return tuple(cumulative)


def read_tenants(configuration: Configuration) -> tuple[tuple[Tenant, ...], dict[str, Tenant] | None]:
    """Returns all tenants and the tenant of each API key; the latter is None if requests carry no keys."""
    if configuration.tenants is None:
        return (), None
    tenants, tenants_by_key = [], {}
    for settings in configuration.tenants:
        tenant = Tenant(settings["label"], settings["rank"], settings["rate_per_s"], settings["burst_size"])
        tenants.append(tenant)
        tenants_by_key.update(dict.fromkeys(settings["api_keys"], tenant))
    return tuple(tenants), tenants_by_key


def microseconds(seconds: float) -> int:
    """Converts seconds to whole microseconds, rounded towards 0."""
    return int(seconds * 1_000_000)
