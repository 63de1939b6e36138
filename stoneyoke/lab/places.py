"""Who is reached where: loopback addresses for processes and for the links to them. All in 127.0.0.0/8."""

import socket

from stoneyoke.lab.scenario import Scenario

Address = tuple[str, int]


def at(block: int, number: int, port: int) -> Address:
    """The address of the numbered party of a block."""
    return f"127.{block}.{number // 250}.{number % 250 + 1}", port


class Places:
    """A gateway reaches every other party over a link of its own, so each link has an address of its own."""

    def __init__(self, scenario: Scenario, port: int) -> None:
        self.port = port
        self.gateway_names, self.backend_names = scenario.gateway_names(), scenario.backend_names()
        self.front, self.counter, self.discovery = scenario.processes()[-3:]

    def gateway(self, g: int) -> Address:
        return at(10, g, self.port)

    def backend(self, b: int) -> Address:
        return at(11, b, self.port)

    def counter_half(self, half: int) -> Address:
        return at(12, half, self.port)

    def agent(self, g: int) -> Address:
        """Discovery's agent for a gateway."""
        return at(13, g, self.port)

    def to_gateway(self, g: int) -> Address:
        return at(14, g, self.port)

    def to_counter(self, g: int) -> Address:
        return at(15, g, self.port)

    def to_discovery(self, g: int) -> Address:
        return at(16, g, self.port)

    def to_backend(self, g: int, b: int) -> Address:
        return at(20 + b % 200, g, self.port + b // 200)

    def peer(self, g: int) -> Address:
        """Where a gateway's datagrams come to, and from where it sends its own: so a link knows who sends."""
        return self.gateway(g)

    def to_peer(self, g: int) -> Address:
        """Where others send what is meant for this gateway."""
        return at(17, g, self.port)

    def links(self) -> list[tuple[str, str, Address, Address]]:
        """From, to, where it is entered and where it leads."""
        rows = []
        for g, name in enumerate(self.gateway_names):
            rows += [
                (self.front, name, self.to_gateway(g), self.gateway(g)),
                (name, self.counter, self.to_counter(g), self.counter_half(g % 2)),
                (name, self.discovery, self.to_discovery(g), self.agent(g)),
            ]
            rows += [
                (name, backend, self.to_backend(g, b), self.backend(b)) for b, backend in enumerate(self.backend_names)
            ]
        return rows


def text(address: Address) -> str:
    """As configurations write it: HOST:PORT."""
    return f"{address[0]}:{address[1]}"


def can_listen(address: tuple[str, int]) -> bool:
    """Whether nobody listens there now."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(address)
        except OSError:
            return False
    return True
