"""Reads the platform's configuration file, and the gateway's own options if a file of them is named."""

import json
import os
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

from stoneyoke.control.parameters import GatewayParameters
from stoneyoke.net.errors import MalformedMessage
from stoneyoke.single_gateway.endpoints import EndpointUpdate, read_endpoint_update
from stoneyoke.single_gateway.errors import InvalidConfiguration
from stoneyoke.single_gateway.parameters import read_parameters, required
from stoneyoke.single_gateway.request_head import RpcDefinitions

if TYPE_CHECKING:
    from stoneyoke.fleet.parameters import FleetParameters
    from stoneyoke.single_gateway.options import Options

CONFIGURATION_VARIABLE = "NODE_CONFIG"
OPTIONS_VARIABLE = "STONEYOKE_OPTIONS"
PORT_MAX = 65_535
DESCRIPTORS_MIN = 80  # with fewer file descriptors, a gateway would be of no use, so it does not start
MEMORY_MIN_MB = 32  # assumed if the limits name none; the operators' page: no machine has less

Address = tuple[str, int]


class GatewaySettings(NamedTuple):
    """The whole configuration, read and validated.

    Attributes:
        parameters: The decision logic's parameters.
        rpc_definitions: The methods, plans and bounds that the heads of requests are checked against.
        connect_timeout_us: How long to wait for a connection to a backend.
        idle_timeout_us: The time without a request after which a backend closes a connection.
        response_margin_us: How long before the client's deadline a response must be written.
        zones: The zones' names; the decision logic identifies a zone by its index in this list.
        descriptors: The number of file descriptors that the process may use.
        memory_bytes: The memory that the process may use, in bytes.
        listen: The address that clients connect to.
        discovery: The address of the discovery service.
        counter: The address of the counter service; None if the settings have no counter service.
        counter_timeout_us: How long the decision logic waits for the counter service.
        known_endpoints: The endpoint list at the start.
    """

    parameters: GatewayParameters
    rpc_definitions: RpcDefinitions
    connect_timeout_us: int
    idle_timeout_us: int
    response_margin_us: int
    zones: list[str]
    descriptors: int
    memory_bytes: int
    listen: Address
    discovery: Address
    counter: Address | None
    counter_timeout_us: int
    known_endpoints: EndpointUpdate

    def own_zone(self) -> str:
        """Returns the name of this gateway's zone; an empty string if the settings don't name it."""
        zone = self.parameters.zone
        return str(self.zones[zone]) if zone < len(self.zones) else ""


def read_configuration() -> dict[str, Any]:
    """Returns the content of the file that NODE_CONFIG names.

    Raises:
        InvalidConfiguration: NODE_CONFIG names no file, or the file can't be read.
    """
    path = os.environ.get(CONFIGURATION_VARIABLE)
    if not path:
        raise InvalidConfiguration(f"{CONFIGURATION_VARIABLE} names no file")
    try:
        with open(path, "rb") as file:
            configuration = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise InvalidConfiguration(f"{CONFIGURATION_VARIABLE}: {path!r} can't be read: {error}") from error
    if not isinstance(configuration, dict):
        raise InvalidConfiguration(f"{CONFIGURATION_VARIABLE}: {path!r} holds no JSON object")
    return configuration


def read_settings(configuration: dict[str, Any]) -> GatewaySettings:
    """Reads and validates the whole configuration.

    Raises:
        InvalidConfiguration: A value is missing or invalid; the text names the first such key.
    """
    settings = required(configuration, "settings", dict)
    parameters = read_parameters(read_seed(configuration), settings)
    method_names = [required(row, "name", str) for row in settings["classes"]]
    plan_names = [required(row, "name", str) for row in settings["tariffs"]]
    capabilities = settings["caps"]
    return GatewaySettings(
        parameters=parameters,
        rpc_definitions=RpcDefinitions(method_names, plan_names, parameters),
        connect_timeout_us=required(capabilities, "dial-timeout-us", int, 1),
        idle_timeout_us=required(capabilities, "conn-idle-us", int, 1),
        response_margin_us=required(settings["rules"], "answer-slack-us", int),
        zones=required(settings, "zones", list),
        descriptors=required(required(configuration, "limits", dict), "sockets", int, DESCRIPTORS_MIN),
        memory_bytes=required({"memory_mb": MEMORY_MIN_MB} | configuration["limits"], "memory_mb", int, 1) << 20,
        listen=read_address(configuration, "listen"),
        discovery=read_address(configuration, "discovery"),
        counter=read_address(configuration, "counter") if parameters.has_counter else None,
        counter_timeout_us=required(settings["extra"], "count-limit-us", int, 1) if parameters.has_counter else 0,
        known_endpoints=read_known_endpoints(configuration),
    )


def read_seed(configuration: dict[str, Any]) -> int:
    """Reads the seed of the random numbers, a hexadecimal number."""
    try:
        return int(required(configuration, "seed", str), 16)
    except ValueError as error:
        raise InvalidConfiguration(f"'seed' is not a hexadecimal number: {configuration['seed']!r}") from error


def read_address(table: Any, key: str) -> Address:
    """Reads host and port of a value of the form HOST:PORT."""
    text = required(table, key, str)
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or int(port) > PORT_MAX:
        raise InvalidConfiguration(f"{key!r} is not an address of the form HOST:PORT: {text!r}")
    return host, int(port)


def read_known_endpoints(configuration: dict[str, Any]) -> EndpointUpdate:
    """Reads the endpoint list at the start."""
    try:
        return read_endpoint_update(required(configuration, "known", dict))
    except MalformedMessage as error:
        raise InvalidConfiguration(f"'known': {error}") from error


def read_options(configuration: dict[str, Any]) -> "Options | None":
    """Returns the gateway's own options; None if no file of options is named.

    The library that reads them is imported only if one is named, because most platforms name none.

    Raises:
        InvalidConfiguration: The file or the library is missing, or the file is invalid.
    """
    named = os.environ.get(OPTIONS_VARIABLE) or configuration.get("options")
    if not named:
        return None
    if not isinstance(named, str):
        raise InvalidConfiguration(f"'options' is not the name of a file: {named!r}")
    try:
        from stoneyoke.single_gateway.options import read_options_file
    except ImportError as error:
        message = f"options: the library that reads them is missing: pip install .[options] ({error})"
        raise InvalidConfiguration(message) from error
    return read_options_file(Path(named))


def read_fleet_parameters(options: "Options | None", configuration: dict[str, Any]) -> "FleetParameters | None":
    """Returns the parameters of the fleet component; None if the options don't enable it."""
    if options is None:
        return None
    from stoneyoke.single_gateway.options import fleet_parameters

    return fleet_parameters(options.fleet, str(configuration.get("name", "")))
