"""The settings file of a process (DEPLOY, What a process is told): its table of settings, read and checked."""

import os
import tomllib
from dataclasses import dataclass
from typing import Any

from stoneyoke.api.bounds import BOUND_SETTINGS, ServiceBounds, service_bounds
from stoneyoke.api.checks import above, address_error, at_least, not_empty
from stoneyoke.api.errors import InvalidField
from stoneyoke.api.schema import REQUIRED, Setting, Table, read_table

VARIABLE = "STONEYOKE_NODE_FILE"


class BadSettings(Exception):
    """The file that says how to start can't be used; the text names the field."""


def ports(value: list[int]) -> str:
    """What is wrong with a range of ports, which is two of them, the lower first."""
    fits = len(value) == 2 and 0 < value[0] <= value[1] < 65_536
    return "" if fits else f"{value!r} is no range of ports"


SETTINGS: Table = (
    Setting(
        "self",
        (
            Setting("node_name", str, REQUIRED, not_empty),
            Setting("ip_addr", str, REQUIRED, lambda value: address_error(f"{value}:1")),
            Setting("zone_name", str, ""),
            Setting("region_name", str, ""),
            Setting("first_start", bool, False),
            Setting("data_dir", str, ""),
            Setting(
                "limits",
                (
                    Setting("memory_mb", float, 256.0, above(0)),
                    Setting("max_fds", int, 1024, at_least(300)),
                    Setting("link_mbps", float, 1000.0, above(0)),
                ),
                {"memory_mb": 256.0, "max_fds": 1024, "link_mbps": 1000.0},
            ),
        ),
    ),
    Setting(
        "network",
        (
            Setting("port_range", [int], REQUIRED, ports),
            Setting("seed_addrs", [str], REQUIRED, not_empty),
            Setting(
                "binds",
                (
                    Setting("front_addr", str, "", lambda value: address_error(value) if value else ""),
                    Setting("ready_addr", str, "", lambda value: address_error(value) if value else ""),
                    Setting("control_addr", str, "", lambda value: address_error(value) if value else ""),
                ),
                {"front_addr": "", "ready_addr": "", "control_addr": ""},
            ),
            Setting("zones", dict, {}),
        ),
    ),
    Setting("provider", (Setting("beat_s", float, 1.5, above(0)),), {"beat_s": 1.5}),
    Setting(
        "term_set",
        (
            Setting("contract_set", [str], []),
            Setting("tolerance", (Setting("machine_losses", int, 1, at_least(0)),), {"machine_losses": 1}),
            Setting(
                "bound_set",
                BOUND_SETTINGS,
                None,
            ),
        ),
        None,
    ),
)
TERMS = next(one.kind for one in SETTINGS if one.name == "term_set")


@dataclass(frozen=True, slots=True)
class Settings:
    """Addresses are (host, port). bounds: of the operators' rules."""

    name: str
    ip: str
    zone: str
    first_start: bool
    data_dir: str
    memory: int  # bytes
    descriptors: int
    port: int  # the first of those that are free for what gateways say to each other
    seeds: tuple[str, ...]  # addresses of machines that serve control, without ports
    front: tuple[str, int] | None
    ready: tuple[str, int] | None
    control: tuple[str, int] | None
    zones: tuple[str, ...]
    beat_s: float
    losses: int
    bounds: ServiceBounds


def address(text: str) -> tuple[str, int] | None:
    """HOST:PORT as a pair; none where there is no host."""
    host, _, port = text.rpartition(":")
    return (host, int(port)) if host else None


def read_settings(path: str | None = None) -> Settings:
    """Raises BadSettings."""
    path = path or os.environ.get(VARIABLE)
    if not path:
        raise BadSettings(f"{VARIABLE} names no file")
    try:
        with open(path, "rb") as file:
            given = tomllib.load(file)
        return make(given)
    except (OSError, ValueError) as bad:
        raise BadSettings(f"{path} can't be read: {bad}") from bad
    except InvalidField as bad:
        raise BadSettings(f"{path}: {bad}") from bad


def make(given: dict[str, Any]) -> Settings:
    """Settings out of a whole file's content. Raises InvalidField."""
    found = read_table(given, SETTINGS)
    own, network, limits = found["self"], found["network"], found["self"]["limits"]
    terms = found["term_set"] or read_table({}, TERMS)
    for at, seed in enumerate(network["seed_addrs"]):
        if why := address_error(seed):
            raise InvalidField(f"network.seed_addrs[{at}]", why)
    return Settings(
        own["node_name"],
        own["ip_addr"],
        own["zone_name"],
        own["first_start"],
        own["data_dir"],
        int(limits["memory_mb"] * (1 << 20)),
        limits["max_fds"],
        network["port_range"][0],
        tuple(dict.fromkeys(seed.rpartition(":")[0] for seed in network["seed_addrs"])),
        address(network["binds"]["front_addr"]),
        address(network["binds"]["ready_addr"]),
        address(network["binds"]["control_addr"]),
        tuple(sorted(network["zones"])),
        found["provider"]["beat_s"],
        terms["tolerance"]["machine_losses"],
        service_bounds(terms["bound_set"]),
    )
