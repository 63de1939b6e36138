"""Reads the platform's configuration file, and the gateway's own options where the file names some."""

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
DESCRIPTORS_MIN = 80  # with fewer there is no use in starting
MEMORY_MIN_MB = 32  # the operators' page: no machine has less

Address = tuple[str, int]


class GatewaySettings(NamedTuple):
    """What the configuration says, read and checked as a whole.

    Attributes:
        parameters: The decision logic's.
        rpc_definitions: The methods, plans and bounds that the heads of requests are checked against.
        connect_timeout_us: How long to wait for a connection to a backend.
        idle_timeout_us: After how long without a request a backend closes a connection.
        response_margin_us: How long before the client's deadline a response has to be written.
        zones: The zones' names; the decision logic knows them by their place here.
        descriptors: How many file descriptors the process may use.
        memory_bytes: How much memory the process may use.
        listen: Where clients connect to.
        discovery: Where the discovery service is reached.
        counter: Where the counter service is reached; None where the settings have none.
        counter_timeout_us: How long the decision logic waits for the counter service.
        known_endpoints: The endpoint list to start with.
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
        """The name of this gateway's zone; empty where the settings name none."""
        zone = self.parameters.zone
        return str(self.zones[zone]) if zone < len(self.zones) else ""


def read_configuration() -> dict[str, Any]:
    """The content of the file that NODE_CONFIG names.

    Raises:
        InvalidConfiguration: There is none, or it can't be read.
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
        raise InvalidConfiguration(f"{CONFIGURATION_VARIABLE}: not an object")
    return configuration


def read_settings(configuration: dict[str, Any]) -> GatewaySettings:
    """Reads and checks the whole configuration.

    Raises:
        InvalidConfiguration: The text names the first key that can't be used.
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
    """The seed of the random draws, a hexadecimal number."""
    try:
        return int(required(configuration, "seed", str), 16)
    except ValueError as error:
        raise InvalidConfiguration(f"'seed' is no hex number: {configuration['seed']!r}") from error


def read_address(table: Any, key: str) -> Address:
    """Host and port of a table's HOST:PORT."""
    text = required(table, key, str)
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or int(port) > PORT_MAX:
        raise InvalidConfiguration(f"{key!r} is no address: {text!r}")
    return host, int(port)


def read_known_endpoints(configuration: dict[str, Any]) -> EndpointUpdate:
    """The endpoint list to start with."""
    try:
        return read_endpoint_update(required(configuration, "known", dict))
    except MalformedMessage as error:
        raise InvalidConfiguration(f"'known': {error}") from error


def read_options(configuration: dict[str, Any]) -> "Options | None":
    """The gateway's own options, or None where no file of them is named.

    Their library is loaded only where one is, since most platforms name none.

    Raises:
        InvalidConfiguration: The file or its library is missing, or the file can't be used.
    """
    named = os.environ.get(OPTIONS_VARIABLE) or configuration.get("options")
    if not named:
        return None
    if not isinstance(named, str):
        raise InvalidConfiguration(f"'options' names no file: {named!r}")
    try:
        from stoneyoke.single_gateway.options import read_options_file
    except ImportError as error:
        message = f"options: their library is missing, pip install .[options] ({error})"
        raise InvalidConfiguration(message) from error
    return read_options_file(Path(named))


def fleet_parameters_of(options: "Options | None", configuration: dict[str, Any]) -> "FleetParameters | None":
    """The fleet part's parameters, or None where no fleet part is asked for."""
    if options is None:
        return None
    from stoneyoke.single_gateway.options import fleet_parameters

    return fleet_parameters(options.fleet, str(configuration.get("name", "")))
