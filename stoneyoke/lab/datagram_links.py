"""UDP links that lead to one gateway: they lose, delay and so reorder datagrams, by their senders."""

import asyncio
import random
from typing import cast

from stoneyoke.lab.addresses import Address
from stoneyoke.lab.link_conditions import Direction, LinkConditions
from stoneyoke.lab.scenario import Fault

UNKNOWN_SENDER = "?"


class DatagramLinks(asyncio.DatagramProtocol):
    """The links from all senders to one gateway. Each leads one way only."""

    def __init__(self, gateway: str, address: Address, senders: dict[Address, str]) -> None:
        """Carries datagrams once it is connected.

        Args:
            gateway: Name of the gateway.
            address: Where the gateway receives.
            senders: Names by the addresses that datagrams come from.
        """
        self.gateway = gateway
        self.bytes_carried = self.datagrams_carried = 0
        self._address = address
        self._senders = senders
        self._conditions: dict[str, LinkConditions] = {}  # by sender
        self._random_source = random.Random(f"0 {gateway}")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the open socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def close(self) -> None:
        """Closes the socket."""
        self._transport.close()

    def datagram_received(self, data: bytes, source: Address) -> None:
        """Sends a datagram on, unless it gets lost."""
        conditions = self._conditions_from(self._senders.get(source, UNKNOWN_SENDER))
        self.bytes_carried += len(data)
        self.datagrams_carried += 1
        if conditions.silent[Direction.FORTH] or self._random_source.random() < conditions.loss:
            return
        wait_s = conditions.delay_s + self._random_source.random() * conditions.jitter_s
        if wait_s:
            asyncio.get_running_loop().call_later(wait_s, self._transport.sendto, data, self._address)
        else:
            self._transport.sendto(data, self._address)

    def change_fault(self, number: int, fault: Fault, begins: bool, sender: str) -> None:
        """Begins or ends a fault of the link from one sender."""
        self._conditions_from(sender).change(number, fault, begins)

    def _conditions_from(self, sender: str) -> LinkConditions:
        return self._conditions.setdefault(sender, LinkConditions())
