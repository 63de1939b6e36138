"""The settings file of a process: its schema, and the dataclass that is read from it.

Source: DEPLOY, What a process is told.
"""

import os
import tomllib
from dataclasses import dataclass
from typing import Any

from stoneyoke.api.bounds import BOUND_SETTINGS, ServiceBounds, service_bounds
from stoneyoke.api.checks import above, address_error, at_least, not_empty
from stoneyoke.api.errors import InvalidField
from stoneyoke.api.schema import REQUIRED, Setting, Table, read_table

PATH_VARIABLE = "STONEYOKE_NODE_FILE"


class InvalidSettings(Exception):
    """The settings file is missing or invalid; the text names the file or the field."""


def port_range_error(value: list[int]) -> str:
    """Checks a port range, which consists of two ports, the lower one first."""
    fits = len(value) == 2 and 0 < value[0] <= value[1] < 65_536
    return "" if fits else f"{value!r} is not a port range (two ports, the lower one first)"


def optional_address_error(value: str) -> str:
    """Checks an address that may be empty."""
    return address_error(value) if value else ""


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
            Setting("port_range", [int], REQUIRED, port_range_error),
            Setting("seed_addrs", [str], REQUIRED, not_empty),
            Setting(
                "binds",
                (
                    Setting("front_addr", str, "", optional_address_error),
                    Setting("ready_addr", str, "", optional_address_error),
                    Setting("control_addr", str, "", optional_address_error),
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
TERMS = next(setting.kind for setting in SETTINGS if setting.name == "term_set")


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """The settings of a process. Addresses are a host and a port; None if the process does not have this address.

    Attributes:
        name: This process's name.
        ip: The machine's IP address.
        zone: The machine's zone.
        first_start: Whether the cluster starts for the first time, so that there is no existing data to wait for.
        data_dir: The data folder; "" if there is none.
        memory_bytes: The memory that the process may use.
        descriptors: The number of file descriptors that the process may open.
        port: The port of the protocol between the system's processes: the first of the machine's port range.
        seeds: IP addresses of machines that run controllers, without ports.
        front_address: The address to which clients connect.
        ready_address: The address of the readiness check.
        control_address: The address to which operators and backends connect.
        zones: The names of all zones, sorted.
        heartbeat_interval_s: The time between two heartbeats of a backend, in seconds.
        machine_losses: The number of machines that may be lost at the same time.
        bounds: The operators' bounds on retries, quotas and times.
    """

    name: str
    ip: str
    zone: str
    first_start: bool
    data_dir: str
    memory_bytes: int
    descriptors: int
    port: int
    seeds: tuple[str, ...]
    front_address: tuple[str, int] | None
    ready_address: tuple[str, int] | None
    control_address: tuple[str, int] | None
    zones: tuple[str, ...]
    heartbeat_interval_s: float
    machine_losses: int
    bounds: ServiceBounds


def parse_address(text: str) -> tuple[str, int] | None:
    """Parses HOST:PORT; returns None for an empty text."""
    host, _, port = text.rpartition(":")
    return (host, int(port)) if host else None


def read_settings(path: str | None = None) -> Settings:
    """Reads a settings file.

    Args:
        path: The file; None: the file that the environment variable STONEYOKE_NODE_FILE names.

    Raises:
        InvalidSettings: There is no file, or it is invalid. The text names the file, and the field if one is invalid.
    """
    path = path or os.environ.get(PATH_VARIABLE)
    if not path:
        raise InvalidSettings(f"no settings file: {PATH_VARIABLE} is not set")
    try:
        with open(path, "rb") as file:
            return parse_settings(tomllib.load(file))
    except (OSError, ValueError) as error:
        raise InvalidSettings(f"{path}: can't be read: {error}") from error
    except InvalidField as error:
        raise InvalidSettings(f"{path}: {error}") from error


def parse_settings(content: dict[str, Any]) -> Settings:
    """Validates the content of a settings file.

    Raises:
        InvalidField: A field is invalid; the error names its path.
    """
    tables = read_table(content, SETTINGS)
    process, network, limits = tables["self"], tables["network"], tables["self"]["limits"]
    binds, terms = network["binds"], tables["term_set"] or read_table({}, TERMS)
    for number, seed in enumerate(network["seed_addrs"]):
        if reason := address_error(seed):
            raise InvalidField(f"network.seed_addrs[{number}]", reason)
    return Settings(
        name=process["node_name"],
        ip=process["ip_addr"],
        zone=process["zone_name"],
        first_start=process["first_start"],
        data_dir=process["data_dir"],
        memory_bytes=int(limits["memory_mb"] * (1 << 20)),
        descriptors=limits["max_fds"],
        port=network["port_range"][0],
        seeds=tuple(dict.fromkeys(seed.rpartition(":")[0] for seed in network["seed_addrs"])),
        front_address=parse_address(binds["front_addr"]),
        ready_address=parse_address(binds["ready_addr"]),
        control_address=parse_address(binds["control_addr"]),
        zones=tuple(sorted(network["zones"])),
        heartbeat_interval_s=tables["provider"]["beat_s"],
        machine_losses=terms["tolerance"]["machine_losses"],
        bounds=service_bounds(terms["bound_set"]),
    )
