"""Routes and keys of one configuration as an immutable table that is swapped whole. No I/O."""

from dataclasses import dataclass

from stoneyoke.api.configuration import Configuration, Version, weighted_targets


@dataclass(frozen=True, slots=True)
class Route:
    """Times in whole microseconds. parts: services with the running sum of their shares, the last one 1."""

    label: str
    pure: bool
    timeout_us: int
    target_us: int
    rank: int
    tries: int
    public: bool
    parts: tuple[tuple[str, float], ...]

    def service(self, draw: float) -> str:
        """draw: by chance, from 0 to 1."""
        return next((name for name, upto in self.parts if draw < upto), self.parts[-1][0])


@dataclass(frozen=True, slots=True)
class Tenant:
    label: str
    rank: int
    rate: float  # requests a second; 0: not limited
    burst: float


@dataclass(frozen=True, slots=True)
class Table:
    """What one version of the configuration allows. keys: None where requests carry none."""

    version: Version
    hosts: dict[str, tuple[tuple[str, Route], ...]]  # prefixes, the longest first
    keys: dict[str, Tenant] | None
    tenants: tuple[Tenant, ...]
    services: dict[str, int]  # connections that each backend of it takes, from all callers
    health: dict[str, str]
    head_top: int
    body_top: int
    head_us: int
    idle_us: int

    def find(self, host: str, path: str) -> Route | None:
        """The longest prefix among the routes of that host that begins the path."""
        for prefix, route in self.hosts.get(host, ()):
            if path.startswith(prefix):
                return route
        return None


def table_of(chart: Configuration) -> Table:
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
                    us(given["timeout_s"]),
                    us(given["target_s"] or given["timeout_s"]),
                    given["rank"],
                    given["max_tries"],
                    given["is_public"],
                    tuple(shares),
                ),
            )
        )
    tenants = [Tenant(one["label"], one["rank"], one["rate_per_s"], one["burst_size"]) for one in chart.tenants or ()]
    keys = {key: tenant for tenant, one in zip(tenants, chart.tenants or (), strict=True) for key in one["api_keys"]}
    return Table(
        chart.version,
        {host: tuple(sorted(rows, key=lambda row: -len(row[0]))) for host, rows in hosts.items()},
        None if chart.tenants is None else keys,
        tuple(tenants),
        {name: one["max_conns"] for name, one in chart.services.items()},
        {name: one["health_path"] for name, one in chart.services.items()},
        chart.limits["max_header_bytes"],
        chart.limits["max_body_bytes"],
        us(chart.limits["header_timeout_s"]),
        us(chart.limits["idle_timeout_s"]),
    )


def us(seconds: float) -> int:
    return int(seconds * 1_000_000)
