"""Reads the endpoint lists of the discovery service."""

import re
from dataclasses import dataclass
from typing import Any, NamedTuple

from stoneyoke.control.parameters import BackendState
from stoneyoke.net.errors import MalformedMessage

PORTS = 65_536
STATES = {"active": BackendState.READY, "leaving": BackendState.DRAINING, "left": BackendState.GONE}
QUOTED_CHARACTERS = 80  # of a malformed list, in an error message

is_host = re.compile(r"[0-9A-Za-z._:-]{1,253}").fullmatch  # the characters of a host name or a numeric address


@dataclass(slots=True, kw_only=True, eq=False)
class ListedEndpoint:
    """One backend, as discovery lists it.

    Attributes:
        name: The backend's name, the same for all gateways.
        address: Host and port.
        state: The state that discovery reports, or GONE once another backend has taken over its address.
        zone: The name of its zone.
        cell: The number of its cell within its zone.
        started_us: When its process started, in microseconds; 0 if that is not known, or long ago.
    """

    name: str
    address: tuple[str, int]
    state: BackendState
    zone: str
    cell: int
    started_us: int


class EndpointUpdate(NamedTuple):
    """The content of one response of discovery.

    Attributes:
        position: The version of the list, from which the next query continues.
        complete: Whether this is the whole list, so that backends that are not in it are gone. Else, it holds only the
            backends that have changed.
        endpoints: The valid endpoints of the list.
        omitted: Why the last endpoint that was left out is invalid; empty if all are valid.
    """

    position: int
    complete: bool
    endpoints: list[ListedEndpoint]
    omitted: str = ""


def read_endpoint(row: Any) -> ListedEndpoint:
    """Reads one row of a list.

    Raises:
        MalformedMessage: A field is missing or invalid, or a backend that is not gone has no valid address.
    """
    try:
        name, state = str(row["name"]), STATES[row["status"]]
        host, port = str(row.get("address") or ":0").rsplit(":", 1)
        endpoint = ListedEndpoint(
            name=name,
            address=(host.strip("[]"), int(port)),
            state=state,
            zone=str(row.get("zone", "")),
            cell=max(0, int(row.get("group", 0))),
            started_us=max(0, int(row.get("since_ms", 0))) * 1000,
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise MalformedMessage(f"endpoint has a missing or invalid field: {row!r}") from error
    if endpoint.state is not BackendState.GONE and not is_usable_address(endpoint.address):
        raise MalformedMessage(f"endpoint has no valid address: {row!r}")
    return endpoint


def is_usable_address(address: tuple[str, int]) -> bool:
    """Whether an address has a valid host and port."""
    host, port = address
    return bool(is_host(host)) and 0 < port < PORTS


def read_endpoint_update(value: Any) -> EndpointUpdate:
    """Reads a list, and leaves out the invalid rows.

    A complete list with an invalid row is treated as a list of changes, because that row may describe a backend that is
    not gone.

    Raises:
        MalformedMessage: The value is not a list of endpoints.
    """
    try:
        position, complete = int(value["index"]), bool(value["snapshot"])
        rows = list(value["endpoints"])
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        raise MalformedMessage(f"not a list of endpoints: {str(value)[:QUOTED_CHARACTERS]}") from error
    endpoints, omitted = [], ""
    for row in rows:
        try:
            endpoints.append(read_endpoint(row))
        except MalformedMessage as error:
            omitted = str(error)
    return EndpointUpdate(position=position, complete=complete and not omitted, endpoints=endpoints, omitted=omitted)
