"""A controller's settings, and its interfaces to the process and the machine."""

import asyncio
import functools
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from stoneyoke.api.bounds import ServiceBounds
from stoneyoke.consensus.replica_disk import RecordStorage
from stoneyoke.controlplane.peers import PeerLink
from stoneyoke.transport.peer_client import PeerClient


async def run_in_thread(work: Callable[..., Any], *args: Any, **kwargs: Any) -> Any:
    """Runs a function that may wait for the disk in a thread, so that it doesn't block the event loop."""
    return await asyncio.get_running_loop().run_in_executor(None, functools.partial(work, *args, **kwargs))


@dataclass(frozen=True, slots=True, kw_only=True)
class ControllerSettings:
    """One controller's settings.

    Attributes:
        name: the machine's name.
        ip: the IP address at which the other controllers and the gateways reach this controller.
        port: the port of the protocol between controllers and gateways.
        zone: the machine's zone.
        seeds: addresses of the controllers to contact first; at the system's first start these are the voters.
        first_start: whether the whole system starts for the first time.
        silence_timeout_s: an instance without a heartbeat for this many seconds counts as silent.
        bounds: the operators' bounds, by name.
        losses: how many controller machines, with their disks, may be lost at once.
    """

    name: str
    ip: str
    port: int
    zone: str
    seeds: tuple[str, ...]
    first_start: bool
    silence_timeout_s: float
    bounds: ServiceBounds
    losses: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ControllerEnvironment:
    """A controller's interfaces to its process and machine; simulations and tests replace them.

    Attributes:
        store: records on this machine's disk.
        clock: returns seconds of a monotonic clock; only differences are used.
        dial: returns a connection to an address and port, without waiting until it is established.
        run_blocking: runs a function that may wait for the disk.
        random_source: draws identities and jitter.
    """

    store: RecordStorage
    clock: Callable[[], float] = time.monotonic
    dial: Callable[[tuple[str, int]], PeerLink] = PeerClient
    run_blocking: Callable[..., Awaitable[Any]] = run_in_thread
    random_source: random.Random = field(default_factory=random.SystemRandom)
