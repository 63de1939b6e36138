"""Reads the endpoint lists of the discovery service."""

import re
from dataclasses import dataclass
from typing import Any, NamedTuple

from stoneyoke.control.parameters import BackendState
from stoneyoke.net.errors import MalformedMessage

PORTS = 65_536
STATES = {"active": BackendState.READY, "leaving": BackendState.DRAINING, "left": BackendState.GONE}
QUOTED_CHARACTERS = 80  # of a list that can't be read, in an error message

is_host = re.compile(r"[0-9A-Za-z._:-]{1,253}").fullmatch  # what a name or a numeric address can be made of


@dataclass(slots=True, kw_only=True, eq=False)
class ListedEndpoint:
    """One backend, as discovery lists it.

    Attributes:
        name: The backend's name, the same for all gateways.
        address: Host and port.
        state: What discovery says of it, or GONE once another backend has taken over its address.
        zone: Its zone's name.
        cell: Its number within the zone.
        started_us: When its process started; 0: not known, or long ago.
    """

    name: str
    address: tuple[str, int]
    state: BackendState
    zone: str
    cell: int
    started_us: int


class EndpointUpdate(NamedTuple):
    """What one response of discovery says.

    Attributes:
        position: The list's version, from which the next query goes on.
        complete: Backends that are not listed are gone. Else these are only the ones that changed.
        endpoints: What can be used of the list.
        omitted: Why the last endpoint that was left out can't be used; empty if all can.
    """

    position: int
    complete: bool
    endpoints: list[ListedEndpoint]
    omitted: str = ""


def read_endpoint(row: Any) -> ListedEndpoint:
    """One row of a list.

    Raises:
        MalformedMessage: The row lacks something, or a backend that is not gone has no usable address.
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
        raise MalformedMessage(f"an entry that can't be used: {row!r}") from error
    if endpoint.state is not BackendState.GONE and not is_usable_address(endpoint.address):
        raise MalformedMessage(f"an entry without an address of use: {row!r}")
    return endpoint


def is_usable_address(address: tuple[str, int]) -> bool:
    """Whether something can be reached at an address."""
    host, port = address
    return bool(is_host(host)) and 0 < port < PORTS


def read_endpoint_update(value: Any) -> EndpointUpdate:
    """Reads a list, and leaves out the rows that can't be used.

    A complete list with such a row counts as changes only, since the row may stand for a backend that is not gone.

    Raises:
        MalformedMessage: The value is no list of endpoints.
    """
    try:
        position, complete = int(value["index"]), bool(value["snapshot"])
        rows = list(value["endpoints"])
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        raise MalformedMessage(f"not a list of backends: {str(value)[:QUOTED_CHARACTERS]}") from error
    endpoints, omitted = [], ""
    for row in rows:
        try:
            endpoints.append(read_endpoint(row))
        except MalformedMessage as error:
            omitted = str(error)
    return EndpointUpdate(position=position, complete=complete and not omitted, endpoints=endpoints, omitted=omitted)
