"""What the fleet part of one gateway is started with."""

from typing import NamedTuple

Address = tuple[str, int]


class FleetParameters(NamedTuple):
    """The fleet part's options, read and checked.

    Attributes:
        name: This gateway's name, the same after each restart, another one at each gateway.
        listen: Where datagrams of other gateways are received.
        advertise: Where the others reach this gateway.
        seeds: Where some of the others are reached.
        keys: One or two keys. Datagrams are sealed with the first, and accepted with any of them.
    """

    name: str
    listen: Address
    advertise: Address
    seeds: list[Address]
    keys: list[bytes]
