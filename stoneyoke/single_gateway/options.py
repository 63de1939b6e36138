"""The gateway's own options, which the platform's configuration lacks: a typed TOML file, all off by default.

Imported only if a file of options is named. Most platforms name none, and then don't need the library that reads it.
"""

from pathlib import Path
from typing import Literal

import msgspec

from stoneyoke.fleet.parameters import Address, FleetParameters
from stoneyoke.single_gateway.errors import InvalidConfiguration

NAME_MAX_CHARACTERS = 64
HOST_MAX_CHARACTERS = 64
PORT_MAX = 65_535
KEYS_MAX = 2  # a new key and the one that it replaces
KEY_MIN_BYTES, KEY_MAX_BYTES = 16, 64
UNSPECIFIED_HOSTS = ("0.0.0.0", "::")  # a gateway can listen on these, but others can't connect to them


class LogOptions(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The format of log lines.

    Attributes:
        form: "plain" for text, "json" for one JSON object per line.
    """

    form: Literal["plain", "json"] = "plain"


class FleetOptions(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The fleet component: the addresses of this gateway and of others, and their keys.

    Attributes:
        listen: The HOST:PORT that receives datagrams of other gateways; if empty, the fleet component is off.
        advertise: The HOST:PORT at which the others reach this gateway, if it differs from `listen`.
        name: This gateway's name, unique in the fleet and the same after each restart; if empty, the configuration's
            name is used.
        seeds: The addresses of some of the other gateways.
        keys: The path of a file with one or two keys, each a line of 32 to 128 hexadecimal digits.
    """

    listen: str = ""
    advertise: str = ""
    name: str = ""
    seeds: list[str] = []
    keys: str = ""


class Options(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """All of the gateway's own options."""

    log: LogOptions = LogOptions()
    fleet: FleetOptions = FleetOptions()


def read_options_file(path: Path) -> Options:
    """Reads a file of options.

    Raises:
        InvalidConfiguration: The text names file, key and reason.
    """
    try:
        return msgspec.toml.decode(path.read_bytes(), type=Options)
    except OSError as error:
        raise InvalidConfiguration(f"options: {path} can't be read: {error.strerror}") from error
    except msgspec.ValidationError as error:
        reason, _, key = str(error).partition(" - at `$")
        key = key.rstrip("`").lstrip(".") or "top"
        raise InvalidConfiguration(f"options: {path}: {key}: {reason}") from error
    except msgspec.DecodeError as error:
        raise InvalidConfiguration(f"options: {path}: not valid TOML: {error}") from error


def read_host_port(key: str, text: str) -> Address:
    """Reads host and port of an option of the form HOST:PORT.

    Raises:
        InvalidConfiguration: The text names the option.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= PORT_MAX or len(host) > HOST_MAX_CHARACTERS:
        raise InvalidConfiguration(f"options: fleet.{key}: no HOST:PORT: {text!r}")
    return host, int(port)


def read_keys(path: Path) -> list[bytes]:
    """Reads the keys of a file.

    Raises:
        InvalidConfiguration: The file can't be read, or holds no valid keys. The text never contains a key.
    """
    try:
        lines = path.read_text().split()
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidConfiguration(f"options: fleet.keys: {path} can't be read: {error}") from error
    try:
        keys = [bytes.fromhex(line) for line in lines]
    except ValueError as error:
        raise InvalidConfiguration(f"options: fleet.keys: {path}: a line that is no hex number") from error
    if not 1 <= len(keys) <= KEYS_MAX or not all(KEY_MIN_BYTES <= len(key) <= KEY_MAX_BYTES for key in keys):
        raise InvalidConfiguration(f"options: fleet.keys: {path}: one or two keys of 32 to 128 hex digits are needed")
    return keys


def fleet_parameters(fleet: FleetOptions, name: str) -> FleetParameters | None:
    """Returns the parameters of the fleet component; None if the options don't enable it.

    Args:
        fleet: The options of the fleet component.
        name: This gateway's name in the configuration.

    Raises:
        InvalidConfiguration: The text names the option.
    """
    if not fleet.listen:
        return None
    name = fleet.name or name
    if not 0 < len(name) <= NAME_MAX_CHARACTERS:
        raise InvalidConfiguration(f"options: fleet.name: one of 1 to 64 characters is needed: {name!r}")
    listen = read_host_port("listen", fleet.listen)
    advertise = read_host_port("advertise", fleet.advertise or fleet.listen)
    if advertise[0] in UNSPECIFIED_HOSTS:
        raise InvalidConfiguration("options: fleet.advertise: others can't reach 0.0.0.0; name an address")
    seeds = [read_host_port(f"seeds[{number}]", seed) for number, seed in enumerate(fleet.seeds)]
    if not fleet.keys:
        raise InvalidConfiguration("options: fleet.keys: no file of keys is named")
    return FleetParameters(name, listen, advertise, seeds, read_keys(Path(fleet.keys)))
