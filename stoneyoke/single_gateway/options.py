"""The gateway's own options, which the platform's configuration lacks: a typed TOML file, all off by default.

Read only where a file is named; a platform that names none needs no library for it.
"""

from pathlib import Path
from typing import Literal, NamedTuple

import msgspec

from stoneyoke.single_gateway.parameters import InvalidConfiguration


class LogOptions(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How log lines are written."""

    form: Literal["plain", "json"] = "plain"  # json: a JSON object a line


class FleetOptions(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The fleet part: where this gateway and the others are reached."""

    listen: str = ""  # HOST:PORT where datagrams of other gateways come to; empty: no fleet part
    advertise: str = ""  # where the others reach it, if that is another address
    name: str = ""  # the same after each restart, another one at each gateway; empty: the configuration's
    seeds: list[str] = []  # where some of the others are reached
    keys: str = ""  # a file of one or two keys, a line of 32 to 128 hex digits each


class Options(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """All of the gateway's own options."""

    log: LogOptions = LogOptions()
    fleet: FleetOptions = FleetOptions()


class FleetParameters(NamedTuple):
    """The fleet part's options, read and checked."""

    name: str
    listen: tuple[str, int]
    advertise: tuple[str, int]
    seeds: list[tuple[str, int]]
    keys: list[bytes]


def read(path: Path) -> Options:
    """Raises BadStart naming file, key and reason."""
    try:
        return msgspec.toml.decode(path.read_bytes(), type=Options)
    except OSError as bad:
        raise InvalidConfiguration(f"options: {path} can't be read: {bad.strerror}") from bad
    except msgspec.ValidationError as bad:
        reason, _, where = str(bad).partition(" - at `$")
        raise InvalidConfiguration(f"options: {path}: {where.rstrip('`').lstrip('.') or 'top'}: {reason}") from bad
    except msgspec.DecodeError as bad:
        raise InvalidConfiguration(f"options: {path}: no TOML: {bad}") from bad


def host_port(key: str, text: str) -> tuple[str, int]:
    """HOST:PORT as a pair. Raises BadStart, which names the option."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= 65_535 or len(host) > 64:
        raise InvalidConfiguration(f"options: fleet.{key}: no HOST:PORT: {text!r}")
    return host, int(port)


def read_keys(path: Path) -> list[bytes]:
    """Raises BadStart; what it says never holds a key."""
    try:
        lines = path.read_text().split()
    except (OSError, UnicodeDecodeError) as bad:
        raise InvalidConfiguration(f"options: fleet.keys: {path} can't be read: {bad}") from bad
    try:
        keys = [bytes.fromhex(line) for line in lines]
    except ValueError as bad:
        raise InvalidConfiguration(f"options: fleet.keys: {path}: a line that is no hex number") from bad
    if not 1 <= len(keys) <= 2 or not all(16 <= len(key) <= 64 for key in keys):
        raise InvalidConfiguration(f"options: fleet.keys: {path}: one or two keys of 32 to 128 hex digits are needed")
    return keys


def fleet_parameters(fleet: FleetOptions, name: str) -> FleetParameters | None:
    """None where no fleet part is asked for. name: the configuration's. Raises BadStart naming the field."""
    if not fleet.listen:
        return None
    name = fleet.name or name
    if not 0 < len(name) <= 64:
        raise InvalidConfiguration(f"options: fleet.name: one of 1 to 64 characters is needed: {name!r}")
    listen = host_port("listen", fleet.listen)
    advertise = host_port("advertise", fleet.advertise or fleet.listen)
    if advertise[0] in ("0.0.0.0", "::"):
        raise InvalidConfiguration("options: fleet.advertise: others can't reach 0.0.0.0; name an address")
    seeds = [host_port(f"seeds[{at}]", seed) for at, seed in enumerate(fleet.seeds)]
    if not fleet.keys:
        raise InvalidConfiguration("options: fleet.keys: no file of keys is named")
    return FleetParameters(name, listen, advertise, seeds, read_keys(Path(fleet.keys)))
