"""Parameters of the fleet part of a gateway."""

from typing import NamedTuple

Address = tuple[str, int]


class FleetParameters(NamedTuple):
    """The validated options of the fleet part.

    Attributes:
        name: This gateway's name, unique in the fleet and the same after each restart.
        listen: Address at which this gateway receives datagrams.
        advertise: Address at which other gateways reach this one.
        seeds: Addresses of some other gateways, to join through.
        keys: One or two keys. Datagrams are authenticated with the first, and accepted with either.
    """

    name: str
    listen: Address
    advertise: Address
    seeds: list[Address]
    keys: list[bytes]
