"""The operator's configuration: its table of settings, and the checks that span fields (PROTOCOL, The operator)."""

import json
import re
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from functools import total_ordering
from hashlib import blake2b
from typing import Any

from stoneyoke.api.schema import NEEDED, InvalidField, Setting, Table, above, at_least, filled, one_of, read

NUMBER = re.compile(r"r([0-9]{1,15})").fullmatch
TOKEN = re.compile(r"[!-~]{1,4096}").fullmatch


def token(value: str) -> str:
    """What is wrong with a text that is to hold seen characters alone."""
    return "" if TOKEN(value) else "is not made of seen characters"


def prefix(value: str) -> str:
    """What is wrong with a path's prefix, which begins and ends with a slash."""
    return "" if TOKEN(value) and value[0] == value[-1] == "/" else "does not begin and end with a slash"


def numbered(value: str) -> str:
    """What is wrong with a version, which is r and a number."""
    return "" if NUMBER(value) else f"{value[:40]!r} is not r and a number"


SERVICE: Table = (
    Setting("label", str, NEEDED, filled),
    Setting("health_path", str, "/health", token),
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
    Setting("label", str, NEEDED, token),
    Setting("api_keys", [str], NEEDED),
    Setting("rank", int, 0, at_least(0)),
    Setting("rate_per_s", float, 0.0, at_least(0)),
    Setting("burst_size", float, 0.0, at_least(0)),
)
PART: Table = (
    Setting("target_service", str, NEEDED, filled),
    Setting("share", float, NEEDED, at_least(0)),
)
ROUTE: Table = (
    Setting("label", str, NEEDED, filled),
    Setting("path_prefix", str, NEEDED, prefix),
    Setting("route_kind", str, NEEDED, one_of("pure", "effectful")),
    Setting("timeout_s", float, NEEDED, above(0, 86_400)),
    Setting("target_s", float, 0.0, at_least(0, 86_400)),
    Setting("rank", int, 0, at_least(0)),
    Setting("target_service", str, None, filled),
    Setting("weighted", [PART], None, filled),
    Setting("max_tries", int, NEEDED, at_least(1, 1000)),
    Setting("is_public", bool, False),
)
HOST: Table = (
    Setting("hostname", str, NEEDED, token),
    Setting("path_map", [ROUTE], NEEDED),
)
CONFIGURATION: Table = (
    Setting("generation", str, NEEDED, numbered),
    Setting("service_list", [SERVICE], NEEDED),
    Setting("limits", LIMITS, None),
    Setting("tenant_list", [TENANT], None),
    Setting("host_map", [HOST], NEEDED),
)


@total_ordering
@dataclass(frozen=True, slots=True)
class Version:
    """A configuration's place in the order: its number, then its digest, so that two texts sent under one number
    end as the same one everywhere. Number 0 is no configuration."""

    number: int = 0
    digest: bytes = b""

    def __lt__(self, other: "Version") -> bool:
        return (self.number, self.digest) < (other.number, other.digest)

    def __str__(self) -> str:
        return f"r{self.number}"


@dataclass(frozen=True, slots=True)
class Configuration:
    """A whole configuration that was checked. `body` is the operator's text, byte for byte."""

    version: Version
    body: bytes
    services: dict[str, dict[str, Any]]
    limits: dict[str, Any]
    tenants: list[dict[str, Any]] | None  # None: requests carry no keys
    hosts: list[dict[str, Any]]

    def routes(self) -> Iterator[tuple[str, dict[str, Any]]]:
        """Each route with its host's name in lower case."""
        return ((host["hostname"].lower(), route) for host in self.hosts for route in host["path_map"])


def no_constant(word: str) -> Any:
    """Refuses NaN and the infinities, which JSON does not have."""
    raise ValueError(f"{word} is no number")


def read_json(body: bytes) -> Any:
    """Raises InvalidField: a body that can't be read whole."""
    try:
        return json.loads(body, parse_constant=no_constant)
    except (ValueError, RecursionError) as bad:
        raise InvalidField("body", f"can't be read whole: {bad}"[:200]) from bad


def read_configuration(body: bytes) -> Configuration:
    """A configuration out of its text. Raises InvalidField, naming the first field that is wrong."""
    given = read(read_json(body), CONFIGURATION)
    match = NUMBER(given["generation"])
    assert match
    chart = Configuration(
        Version(int(match[1]), blake2b(body, digest_size=16).digest()),
        body,
        {one["label"]: one for one in given["service_list"]},
        given["limits"] or read({}, LIMITS),
        given["tenant_list"],
        given["host_map"],
    )
    if chart.version.number < 1:
        raise InvalidField("generation", "r0 is no version")
    if len(chart.services) < len(given["service_list"]):
        raise InvalidField("service_list", "two services share a label")
    check_keys(chart)
    check_routes(chart)
    return chart


def check_keys(chart: Configuration) -> None:
    """Raises InvalidField where two tenants share a key."""
    holders: dict[str, str] = {}
    labels = Counter(tenant["label"] for tenant in chart.tenants or ())
    for at, tenant in enumerate(chart.tenants or ()):
        for spot, key in enumerate(tenant["api_keys"]):
            where = f"tenant_list[{at}].api_keys[{spot}]"
            if why := token(key):
                raise InvalidField(where, why)
            if holders.setdefault(key, tenant["label"]) != tenant["label"] or labels[tenant["label"]] > 1:
                raise InvalidField(where, f"two tenants share a key or a label ({tenant['label']})")


def check_routes(chart: Configuration) -> None:
    """Raises InvalidField where routes contradict each other or name what isn't there."""
    places = set()
    for at, host in enumerate(chart.hosts):
        for spot, route in enumerate(host["path_map"]):
            where = f"host_map[{at}].path_map[{spot}]"
            place = (host["hostname"].lower(), route["path_prefix"])
            if place in places:
                raise InvalidField(f"{where}.path_prefix", f"two routes share {''.join(place)}")
            places.add(place)
            if (route["target_service"] is None) == (route["weighted"] is None):
                raise InvalidField(f"{where}.target_service", "either this or weighted is needed")
            for number, (service, _) in enumerate(targets(route)):
                field = f"weighted[{number}].target_service" if route["weighted"] else "target_service"
                if service not in chart.services:
                    raise InvalidField(f"{where}.{field}", f"unknown service {service[:60]!r}")
            if sum(share for _, share in targets(route)) <= 0:
                raise InvalidField(f"{where}.weighted", "the shares add up to 0")


def targets(route: dict[str, Any]) -> list[tuple[str, float]]:
    """A route's services, each with its share."""
    if route["weighted"]:
        return [(part["target_service"], part["share"]) for part in route["weighted"]]
    return [(route["target_service"], 1.0)]
