"""The operator's configuration: its version, its content, and the checks that span fields. No I/O."""

import json
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from functools import total_ordering
from hashlib import blake2b
from typing import Any, NamedTuple, cast

from stoneyoke.api.checks import match_version, visible_text_error
from stoneyoke.api.configuration_schema import (
    CONFIGURATION,
    LIMITS,
    ConfigurationSettings,
    HostSettings,
    LimitSettings,
    RouteSettings,
    ServiceSettings,
    TenantSettings,
)
from stoneyoke.api.errors import InvalidField
from stoneyoke.api.schema import read_table

DIGEST_BYTES = 16
MAX_REASON_LENGTH = 200


@total_ordering
@dataclass(frozen=True, slots=True)
class Version:
    """A configuration's version. Versions are ordered by their number, then by the digest of the text.

    The digest ensures that of two texts with the same number, the same one wins at every process. Number 0 stands for
    no configuration.
    """

    number: int = 0
    digest: bytes = b""

    def __lt__(self, other: "Version") -> bool:
        """Whether the other version replaces this one."""
        return (self.number, self.digest) < (other.number, other.digest)

    def __str__(self) -> str:
        """The version as the operator writes it."""
        return f"r{self.number}"


class WeightedTarget(NamedTuple):
    """A service to which a route forwards, and its share of the route's requests, relative to the other shares."""

    service: str
    share: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """A complete, validated configuration.

    Attributes:
        version: The configuration's version, which defines its order among others.
        body: The operator's text, byte for byte.
        services: Settings of each service, by label.
        limits: Settings of the limits on clients.
        tenants: Settings of each tenant; None: there are no tenants, and requests carry no API keys.
        hosts: Settings of each host with its routes.
    """

    version: Version
    body: bytes
    services: dict[str, ServiceSettings]
    limits: LimitSettings
    tenants: list[TenantSettings] | None
    hosts: list[HostSettings]

    def routes(self) -> Iterator[tuple[str, RouteSettings]]:
        """Returns each route's settings with its host's name in lower case."""
        return ((host["hostname"].lower(), route) for host in self.hosts for route in host["path_map"])


def weighted_targets(route: RouteSettings) -> list[WeightedTarget]:
    """Returns the services of a route, each with its share; none for a route without services, which is invalid."""
    if route["weighted"]:
        return [WeightedTarget(part["target_service"], part["share"]) for part in route["weighted"]]
    service = route["target_service"]
    return [] if service is None else [WeightedTarget(service, 1.0)]


def read_json(body: bytes) -> Any:
    """Parses JSON, but rejects the Infinity, -Infinity and NaN that Python's parser accepts in addition to JSON.

    Raises:
        InvalidField: The body is not valid JSON.
    """
    try:
        return json.loads(body, parse_constant=reject_constant)
    except (ValueError, RecursionError) as error:
        raise InvalidField("body", f"can't be read whole: {error}"[:MAX_REASON_LENGTH]) from error


def reject_constant(word: str) -> Any:
    """Raises ValueError for NaN, Infinity and -Infinity."""
    raise ValueError(f"{word} is no number")


def read_configuration(body: bytes) -> Configuration:
    """Parses and validates the text of a configuration.

    Raises:
        InvalidField: The configuration is invalid; the error names the first invalid field.

    Source:
        The operators' PROTOCOL, The operator: which configurations are invalid.
    """
    settings = cast(ConfigurationSettings, read_table(read_json(body), CONFIGURATION))
    number = version_number(settings["generation"])
    services = {service["label"]: service for service in settings["service_list"]}
    if len(services) < len(settings["service_list"]):
        raise InvalidField("service_list", "two services share a label")
    configuration = Configuration(
        version=Version(number, blake2b(body, digest_size=DIGEST_BYTES).digest()),
        body=body,
        services=services,
        limits=settings["limits"] or cast(LimitSettings, read_table({}, LIMITS)),
        tenants=settings["tenant_list"],
        hosts=settings["host_map"],
    )
    check_keys(configuration)
    check_routes(configuration)
    return configuration


def version_number(generation: str) -> int:
    """Parses the number of a version. Raises InvalidField for r0, which stands for no configuration."""
    match = match_version(generation)
    number = int(match[1]) if match else 0
    if number < 1:
        raise InvalidField("generation", "r0 is no version")
    return number


def check_keys(configuration: Configuration) -> None:
    """Raises InvalidField if two tenants share a key or a label."""
    tenants = configuration.tenants or []
    tenant_by_key: dict[str, str] = {}
    labels = Counter(tenant["label"] for tenant in tenants)
    for tenant_index, tenant in enumerate(tenants):
        for key_index, key in enumerate(tenant["api_keys"]):
            field = f"tenant_list[{tenant_index}].api_keys[{key_index}]"
            if reason := visible_text_error(key):
                raise InvalidField(field, reason)
            if tenant_by_key.setdefault(key, tenant["label"]) != tenant["label"] or labels[tenant["label"]] > 1:
                raise InvalidField(field, f"two tenants share a key or a label ({tenant['label']})")


def check_routes(configuration: Configuration) -> None:
    """Raises InvalidField if two routes share a host and a prefix, or the services of a route are invalid."""
    seen = set()
    for host_index, host in enumerate(configuration.hosts):
        for route_index, route in enumerate(host["path_map"]):
            field = f"host_map[{host_index}].path_map[{route_index}]"
            host_and_prefix = (host["hostname"].lower(), route["path_prefix"])
            if host_and_prefix in seen:
                raise InvalidField(f"{field}.path_prefix", f"two routes share {''.join(host_and_prefix)}")
            seen.add(host_and_prefix)
            check_targets(configuration, route, field)


def check_targets(configuration: Configuration, route: RouteSettings, field: str) -> None:
    """Raises InvalidField if a route has no or unknown services, both kinds of target, or shares that add up to 0."""
    if (route["target_service"] is None) == (route["weighted"] is None):
        raise InvalidField(f"{field}.target_service", "either this or weighted is needed")
    targets = weighted_targets(route)
    for target_index, target in enumerate(targets):
        if target.service not in configuration.services:
            name = f"weighted[{target_index}].target_service" if route["weighted"] else "target_service"
            raise InvalidField(f"{field}.{name}", f"unknown service {target.service[:60]!r}")
    if sum(target.share for target in targets) <= 0:
        raise InvalidField(f"{field}.weighted", "the shares add up to 0")
