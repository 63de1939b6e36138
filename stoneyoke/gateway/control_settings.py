"""The settings and the environment of a gateway's control client, and the interface of its listener."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from stoneyoke.api.bounds import ServiceBounds
from stoneyoke.api.configuration import Configuration
from stoneyoke.transport.peer_client import PeerClient


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlClientSettings:
    """This gateway's identity, and the addresses of its controllers.

    Attributes:
        name: This gateway's name.
        ip: The IP address at which this gateway serves.
        zone: This gateway's zone.
        port: The port of the protocol between gateways and controllers, the same on every controller.
        seeds: Addresses of some controllers, without ports, from which the others are learned.
        bounds: The operators' bounds on retries, quotas and times.
    """

    name: str
    ip: str
    zone: str
    port: int
    seeds: tuple[str, ...]
    bounds: ServiceBounds


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlEnvironment:
    """The dependencies that differ between a real process and a simulation.

    Attributes:
        clock: Returns the seconds of a monotonic clock.
        dial: Creates the client for a controller's address. The client connects with its first call.
        random_source: Generates the incarnation and the seed of the decision logics.
    """

    clock: Callable[[], float]
    dial: Callable[[tuple[str, int]], PeerClient] = PeerClient
    random_source: random.Random = field(default_factory=random.SystemRandom)


class ControlListener(Protocol):
    """Receives configurations and is notified of changes that controllers report."""

    def apply_configuration(self, configuration: Configuration) -> None:
        """Puts a configuration in force. Each is newer than the previous one."""

    def on_update(self) -> None:
        """Called after a controller's response: instances, gateways or readiness may have changed."""
