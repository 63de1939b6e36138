"""Routes and keys of one configuration as an immutable table that is swapped whole. No I/O."""

from dataclasses import dataclass

from stoneyoke.api.configuration import Configuration, Version, weighted_targets


@dataclass(frozen=True, slots=True)
class Route:
    """Times are whole microseconds. cumulative_weights: services, with the running sum of their shares up to 1."""

    label: str
    is_pure: bool
    timeout_us: int
    target_us: int
    rank: int
    attempts_max: int
    is_public: bool
    cumulative_weights: tuple[tuple[str, float], ...]

    def choose_service(self, draw: float) -> str:
        """draw: by chance, from 0 to 1."""
        return next((name for name, upto in self.cumulative_weights if draw < upto), self.cumulative_weights[-1][0])


@dataclass(frozen=True, slots=True)
class Tenant:
    label: str
    rank: int
    rate_per_s: float  # requests a second; 0: not limited
    burst: float


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """What one version of the configuration allows. keys: None where requests carry none."""

    version: Version
    hosts: dict[str, tuple[tuple[str, Route], ...]]  # prefixes, the longest first
    tenants_by_key: dict[str, Tenant] | None
    tenants: tuple[Tenant, ...]
    max_connections: dict[str, int]  # connections that each backend of it takes, from all callers
    health_paths: dict[str, str]
    head_max_bytes: int
    body_max_bytes: int
    head_timeout_us: int
    idle_timeout_us: int

    def find_route(self, host: str, path: str) -> Route | None:
        """The longest prefix among the routes of that host that begins the path."""
        for prefix, route in self.hosts.get(host, ()):
            if path.startswith(prefix):
                return route
        return None


def build_routing_table(chart: Configuration) -> RoutingTable:
    hosts: dict[str, list[tuple[str, Route]]] = {}
    for host, given in chart.routes():
        shares, upto = [], 0.0
        total = sum(share for _, share in weighted_targets(given))
        for service, share in weighted_targets(given):
            upto += share / total
            if share > 0:
                shares.append((service, upto))
        hosts.setdefault(host, []).append(
            (
                given["path_prefix"],
                Route(
                    given["label"],
                    given["route_kind"] == "pure",
                    microseconds(given["timeout_s"]),
                    microseconds(given["target_s"] or given["timeout_s"]),
                    given["rank"],
                    given["max_tries"],
                    given["is_public"],
                    tuple(shares),
                ),
            )
        )
    tenants = [Tenant(one["label"], one["rank"], one["rate_per_s"], one["burst_size"]) for one in chart.tenants or ()]
    keys = {key: tenant for tenant, one in zip(tenants, chart.tenants or (), strict=True) for key in one["api_keys"]}
    return RoutingTable(
        chart.version,
        {host: tuple(sorted(rows, key=lambda row: -len(row[0]))) for host, rows in hosts.items()},
        None if chart.tenants is None else keys,
        tuple(tenants),
        {name: one["max_conns"] for name, one in chart.services.items()},
        {name: one["health_path"] for name, one in chart.services.items()},
        chart.limits["max_header_bytes"],
        chart.limits["max_body_bytes"],
        microseconds(chart.limits["header_timeout_s"]),
        microseconds(chart.limits["idle_timeout_s"]),
    )


def microseconds(seconds: float) -> int:
    return int(seconds * 1_000_000)
