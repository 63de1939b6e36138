"""Idle connections of the clients to the gateways."""

from dataclasses import dataclass, field

from stoneyoke.lab.http import ClientConnection


@dataclass(slots=True)
class ConnectionPool:
    """Idle connections, by gateway."""

    idle: dict[int, list[ClientConnection]] = field(default_factory=dict)

    def take(self, gateway: int) -> ClientConnection | None:
        """Removes an open connection from the pool and returns it; None if there is none."""
        connections = self.idle.setdefault(gateway, [])
        while connections:
            connection = connections.pop()
            if not connection.closed:
                return connection
        return None

    def put_back(self, gateway: int, connection: ClientConnection) -> None:
        """Adds a connection to the pool, if it is open."""
        if not connection.closed:
            self.idle.setdefault(gateway, []).append(connection)

    def close(self) -> None:
        """Closes all idle connections."""
        for connections in self.idle.values():
            while connections:
                connections.pop().close()
