"""What a gateway's control client is given at its start, and whom it notifies."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from stoneyoke.api.bounds import ServiceBounds
from stoneyoke.api.configuration import Configuration
from stoneyoke.transport.peer_client import PeerClient


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlClientSettings:
    """Who this gateway is, and where its controllers are.

    Attributes:
        name: This gateway's name.
        ip: The address at which it serves.
        zone: Its zone.
        port: The port of the controllers' own protocol, the same on each of them.
        seeds: Addresses of controllers, without ports. More of them are learned from these.
        bounds: The figures of the service's rules.
    """

    name: str
    ip: str
    zone: str
    port: int
    seeds: tuple[str, ...]
    bounds: ServiceBounds


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlEnvironment:
    """What differs between a process and a simulation.

    Attributes:
        clock: Seconds of a steady clock.
        dial: Makes the client for a controller's address. It connects with its first call.
        random_source: For identities and the decisions' seed.
    """

    clock: Callable[[], float]
    dial: Callable[[tuple[str, int]], PeerClient] = PeerClient
    random_source: random.Random = field(default_factory=random.SystemRandom)


class ControlListener(Protocol):
    """Who uses what the controllers report."""

    def take(self, configuration: Configuration) -> None:
        """Puts a configuration in force. Each is newer than the one before."""

    def on_update(self) -> None:
        """A controller has answered: instances, gateways or readiness may have changed."""
