"""Calls of this package to other controllers. Which controllers there are is known to the control plane."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from typing import Any, Protocol

from stoneyoke.transport.errors import PeerUnreachable
from stoneyoke.transport.messages import Message

CALL_TIMEOUT_S = 0.7
"""For one answer."""
TRANSFER_S_PER_BYTE = 1.0 / (1 << 20)
"""Added to a time-out for each byte of a configuration: a second for each MiB."""

Spawn = Callable[[Coroutine[Any, Any, Any]], "asyncio.Task[Any]"]
"""Starts a task that its owner keeps until it is done."""


class Link(Protocol):
    """A connection to another controller."""

    async def call(self, message: Message, timeout_s: float) -> Message:
        """The answer. Raises PeerUnreachable."""


class Peer(Protocol):
    """Another controller."""

    @property
    def link(self) -> Link:
        """The connection to it."""


class PeerDirectory(Protocol):
    """The other controllers, by address."""

    own_address: str

    def add_peers(self, *addresses: str) -> bool:
        """Adds those that aren't known yet."""

    def __getitem__(self, address: str) -> Peer:
        """The controller at an address that was added."""

    def __iter__(self) -> Iterator[str]:
        """Addresses of all of them."""


async def call_peer(peers: PeerDirectory, address: str, message: Message, timeout_s: float) -> Message | None:
    """The answer of the controller at an address, None if there was none in time.

    A voter that isn't known yet is added: a value may name voters that this process has never heard of.
    """
    peers.add_peers(address)
    try:
        return await peers[address].link.call(message, timeout_s)
    except PeerUnreachable:
        return None
