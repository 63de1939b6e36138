"""UDP links to one gateway. By sender, they drop datagrams or delay them, which reorders them."""

import asyncio
import random
from typing import cast

from stoneyoke.lab.addresses import Address
from stoneyoke.lab.link_conditions import Direction, LinkConditions
from stoneyoke.lab.scenario import Fault

UNKNOWN_SENDER = "?"


class DatagramLinks(asyncio.DatagramProtocol):
    """The links from all senders to one gateway. Each link forwards in one direction only."""

    def __init__(self, gateway: str, address: Address, senders: dict[Address, str]) -> None:
        """Forwards datagrams once its socket is open.

        Args:
            gateway: The name of the gateway.
            address: The address at which the gateway receives datagrams.
            senders: The names of the senders, by the addresses that they send from.
        """
        self.gateway = gateway
        self.bytes_carried = self.datagrams_carried = 0
        self._address = address
        self._senders = senders
        self._conditions: dict[str, LinkConditions] = {}  # by sender
        self._random_source = random.Random(f"0 {gateway}")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the open socket's transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def close(self) -> None:
        """Closes the socket."""
        self._transport.close()

    def datagram_received(self, data: bytes, source: Address) -> None:
        """Forwards a datagram, with the delay of its link, or drops it."""
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
        """Starts or ends a fault of the link from one sender."""
        self._conditions_from(sender).change(number, fault, begins)

    def _conditions_from(self, sender: str) -> LinkConditions:
        return self._conditions.setdefault(sender, LinkConditions())
