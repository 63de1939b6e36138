"""The backends that discovery lists, with their addresses and the decision logic's indices."""

from collections.abc import Callable
from typing import Protocol

from stoneyoke.control.events import Endpoint, EndpointsChanged, KnownBackend
from stoneyoke.control.parameters import BackendState
from stoneyoke.runtime.id_index import IdIndex
from stoneyoke.single_gateway.endpoints import EndpointUpdate, ListedEndpoint

Address = tuple[str, int]


class AddressBook(Protocol):
    """Receives the backends' addresses; implemented by the component that connects to them."""

    def set_address(self, backend: int, address: Address) -> None:
        """Sets a backend's address."""

    def remove(self, backend: int) -> None:
        """Removes a backend."""


class EndpointTable:
    """Converts discovery's updates to events for the decision logic, and updates the backends' addresses.

    Attributes:
        indices: The index of each backend that is listed, or that the decision logic still has a row for.
        address_by_name: The address of each backend that is not gone.
        endpoint_by_address: The backend at each of these addresses.
    """

    def __init__(self, zones: list[str], addresses: AddressBook, is_in_use: Callable[[int], bool]) -> None:
        """Starts empty.

        Args:
            zones: The zones' names, in the order of the settings.
            addresses: Receives each backend's address.
            is_in_use: Returns whether the decision logic still has a row for a backend.
        """
        self.zones, self.addresses, self.is_in_use = zones, addresses, is_in_use
        self.indices = IdIndex[str]()  # released by release_unused()
        self.address_by_name: dict[str, Address] = {}
        self.endpoint_by_address: dict[Address, ListedEndpoint] = {}

    def apply(self, update: EndpointUpdate) -> EndpointsChanged:
        """Applies an update, and returns the event for the decision logic."""
        if update.complete:
            for name in self.address_by_name.keys() - {endpoint.name for endpoint in update.endpoints}:
                self.remove_address(name)
        changed: dict[str, Endpoint] = {}
        for endpoint in update.endpoints:
            self.resolve_address_conflict(endpoint, changed)
            if endpoint.state is not BackendState.GONE:
                self.set_address(endpoint)
            elif endpoint.name not in self.indices.index_by_id:
                continue
            changed[endpoint.name] = self.to_event(endpoint)
        return EndpointsChanged(update.complete, False, list(changed.values()))

    def resolve_address_conflict(self, endpoint: ListedEndpoint, changed: dict[str, Endpoint]) -> None:
        """Marks one of two backends that are listed with the same address as gone, and leaves the one with precedence.

        An address belongs to one backend only. A backend that has restarted under another name can be listed while its
        former name is still listed.
        """
        current = self.endpoint_by_address.get(endpoint.address)
        if endpoint.state is BackendState.GONE or current is None or current.name == endpoint.name:
            return
        if precedence(endpoint) > precedence(current):
            endpoint.state = BackendState.GONE
        else:
            current.state = BackendState.GONE
            changed[current.name] = self.to_event(current)

    def set_address(self, endpoint: ListedEndpoint) -> None:
        """Sets the address of a backend to that of its endpoint."""
        if self.address_by_name.get(endpoint.name) != endpoint.address:
            self.remove_address(endpoint.name)
        self.address_by_name[endpoint.name] = endpoint.address
        self.endpoint_by_address[endpoint.address] = endpoint
        self.addresses.set_address(self.indices.acquire(endpoint.name), endpoint.address)

    def remove_address(self, name: str) -> None:
        """Removes the address of a backend, if it has one."""
        if address := self.address_by_name.pop(name, None):
            del self.endpoint_by_address[address]
            self.addresses.remove(self.indices.index_by_id[name])

    def to_event(self, endpoint: ListedEndpoint) -> Endpoint:
        """Converts an endpoint to the form of the decision logic's event; removes the address of one that is gone."""
        if endpoint.state is BackendState.GONE:
            self.remove_address(endpoint.name)
        known_zone = endpoint.zone in self.zones
        return Endpoint(
            backend=self.indices.index_by_id[endpoint.name],
            zone=self.zones.index(endpoint.zone) if known_zone else len(self.zones),
            cell=endpoint.cell,
            started_us=endpoint.started_us,
            state=endpoint.state,
        )

    def accepts_new_work(self, backend: int) -> bool:
        """Whether a backend takes new requests, by the latest update."""
        address = self.address_by_name.get(self.indices.id_by_index[backend])
        return address is not None and self.endpoint_by_address[address].state is BackendState.READY

    def ready(self) -> list[KnownBackend]:
        """Returns all backends that take new requests, by the latest update."""
        return [
            KnownBackend(self.indices.index_by_id[endpoint.name], endpoint.name, endpoint.zone, endpoint.started_us)
            for endpoint in self.endpoint_by_address.values()
            if endpoint.state is BackendState.READY
        ]

    def release_unused(self) -> None:
        """Releases the indices of backends that are gone and have no row any more. Called several times a second."""
        for name, backend in list(self.indices.index_by_id.items()):
            if name not in self.address_by_name and not self.is_in_use(backend):
                self.indices.release(backend)


def precedence(endpoint: ListedEndpoint) -> tuple[bool, int]:
    """Sort key of endpoints that share an address, the preferred one first: ready before draining, then youngest."""
    return endpoint.state is not BackendState.READY, -endpoint.started_us
