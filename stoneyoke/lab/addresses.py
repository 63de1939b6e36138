"""Loopback addresses of the processes of a run and of the links to them, all in 127.0.0.0/8."""

import socket
from typing import NamedTuple

from stoneyoke.lab.scenario import Scenario

Address = tuple[str, int]

# The second numbers of the addresses, by what listens there. Each process has one address; each link that leads to it
# has another one.
GATEWAY, BACKEND, COUNTER, DISCOVERY_AGENT = 10, 11, 12, 13
LINK_TO_GATEWAY, LINK_TO_COUNTER, LINK_TO_DISCOVERY, LINK_TO_PEER = 14, 15, 16, 17
LINK_TO_BACKEND, BACKENDS_PER_PORT = 20, 200
COUNTER_HALVES = 2


class LinkAddresses(NamedTuple):
    """A link: the names of the processes at its two ends, the address where it listens and the one it connects to."""

    source: str
    destination: str
    entry: Address
    exit: Address


def numbered_address(block: int, number: int, port: int) -> Address:
    """Returns the address of a process or link, by its number within a block of addresses."""
    return f"127.{block}.{number // 250}.{number % 250 + 1}", port


class Addresses:
    """The addresses of all processes and links of a run.

    A gateway reaches every other process over a separate link, so each link has its own address. Gateways and backends
    are identified by their number in the scenario.
    """

    def __init__(self, scenario: Scenario, port: int) -> None:
        """Takes the names of the processes from the scenario.

        Args:
            scenario: The scenario of the run.
            port: The port of all processes. Links to backends beyond the 200th use the ports after it.
        """
        self.port = port
        self.gateway_names = scenario.gateway_names()
        self.backend_names = scenario.backend_names()
        self.clients_name = scenario.clients_name()
        self.counter_name = scenario.counter_name()
        self.discovery_name = scenario.discovery_name()

    def gateway(self, gateway: int) -> Address:
        """Returns where a gateway listens."""
        return numbered_address(GATEWAY, gateway, self.port)

    def backend(self, backend: int) -> Address:
        """Returns where a backend listens."""
        return numbered_address(BACKEND, backend, self.port)

    def counter_half(self, half: int) -> Address:
        """Returns where a half of the counter service listens."""
        return numbered_address(COUNTER, half, self.port)

    def discovery_agent(self, gateway: int) -> Address:
        """Returns where discovery listens for one gateway."""
        return numbered_address(DISCOVERY_AGENT, gateway, self.port)

    def link_to_gateway(self, gateway: int) -> Address:
        """Returns where clients reach a gateway."""
        return numbered_address(LINK_TO_GATEWAY, gateway, self.port)

    def link_to_counter(self, gateway: int) -> Address:
        """Returns where a gateway reaches the counter service."""
        return numbered_address(LINK_TO_COUNTER, gateway, self.port)

    def link_to_discovery(self, gateway: int) -> Address:
        """Returns where a gateway reaches discovery."""
        return numbered_address(LINK_TO_DISCOVERY, gateway, self.port)

    def link_to_backend(self, gateway: int, backend: int) -> Address:
        """Returns where a gateway reaches a backend."""
        block = LINK_TO_BACKEND + backend % BACKENDS_PER_PORT
        return numbered_address(block, gateway, self.port + backend // BACKENDS_PER_PORT)

    def peer(self, gateway: int) -> Address:
        """Returns where a gateway receives datagrams. It sends from there, too, so that a link knows the sender."""
        return self.gateway(gateway)

    def link_to_peer(self, gateway: int) -> Address:
        """Returns where other gateways send the datagrams for a gateway."""
        return numbered_address(LINK_TO_PEER, gateway, self.port)

    def links(self) -> list[LinkAddresses]:
        """Returns all TCP links."""
        links: list[LinkAddresses] = []
        for gateway, name in enumerate(self.gateway_names):
            counter_half = self.counter_half(gateway % COUNTER_HALVES)
            agent = self.discovery_agent(gateway)
            links += [
                LinkAddresses(self.clients_name, name, self.link_to_gateway(gateway), self.gateway(gateway)),
                LinkAddresses(name, self.counter_name, self.link_to_counter(gateway), counter_half),
                LinkAddresses(name, self.discovery_name, self.link_to_discovery(gateway), agent),
            ]
            links += [
                LinkAddresses(name, backend_name, self.link_to_backend(gateway, backend), self.backend(backend))
                for backend, backend_name in enumerate(self.backend_names)
            ]
        return links


def address_text(address: Address) -> str:
    """Returns the address as configurations contain it: HOST:PORT."""
    return f"{address[0]}:{address[1]}"


def can_listen(address: Address) -> bool:
    """Whether a socket can be bound to the address."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(address)
        except OSError:
            return False
    return True
