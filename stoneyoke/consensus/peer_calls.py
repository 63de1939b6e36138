"""Calls of this package to other controllers. The control plane provides the directory of controllers."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from typing import Any, Protocol

from stoneyoke.transport.errors import PeerUnreachable
from stoneyoke.transport.messages import Message

CALL_TIMEOUT_S = 0.7
"""Time-out in seconds for the response to one call."""
TRANSFER_S_PER_BYTE = 1.0 / (1 << 20)
"""Seconds added to a time-out for each byte of a configuration: one second for each MiB."""

Spawn = Callable[[Coroutine[Any, Any, Any]], "asyncio.Task[Any]"]
"""Starts a task and keeps a reference to it until it is done."""


class Link(Protocol):
    """A connection to another controller."""

    async def call(self, message: Message, timeout_s: float) -> Message:
        """Sends a message and returns the response. Raises PeerUnreachable."""


class Peer(Protocol):
    """Another controller."""

    @property
    def link(self) -> Link:
        """The connection to this controller."""


class PeerDirectory(Protocol):
    """The other controllers, by address."""

    own_address: str

    def add_peers(self, *addresses: str) -> bool:
        """Adds the controllers that aren't known yet; returns whether there were any."""

    def __getitem__(self, address: str) -> Peer:
        """Returns the controller at an address that was added."""

    def __iter__(self) -> Iterator[str]:
        """Iterates over the addresses of all other controllers."""


async def call_peer(peers: PeerDirectory, address: str, message: Message, timeout_s: float) -> Message | None:
    """Returns the response of the controller at an address, None if there was none in time.

    An address that isn't in the directory is added: a value may name voters that this process doesn't know yet.
    """
    peers.add_peers(address)
    try:
        return await peers[address].link.call(message, timeout_s)
    except PeerUnreachable:
        return None
