"""A controller's current view of the cluster: the voters, the links to peers, whether a quorum is reachable."""

from collections.abc import Mapping
from typing import Protocol

from stoneyoke.consensus.replica import Replica
from stoneyoke.controlplane.peers import PeerLink, Peers


class ClusterView(Protocol):
    """The view of the cluster that a controller's services need."""

    @property
    def own_address(self) -> str:
        """This controller's address."""

    def voters(self) -> tuple[str, ...]:
        """Returns the addresses of the current voters; empty while they are not known."""

    def links(self) -> Mapping[str, PeerLink]:
        """Returns the connections to the other controllers, by address."""

    def has_quorum(self) -> bool:
        """Returns whether a majority of the voters is reachable, counting this controller if it votes."""


class ReplicatedClusterView:
    """The cluster view from the replica's voters and the peers' responses."""

    def __init__(self, replica: Replica, peers: Peers) -> None:
        """Stores references to both parts; each method reads their current state."""
        self._replica, self._peers = replica, peers

    @property
    def own_address(self) -> str:
        """This controller's address."""
        return self._peers.own_address

    def voters(self) -> tuple[str, ...]:
        """Returns the addresses of the newest voters that are known here."""
        return self._replica.voters().addresses()

    def links(self) -> Mapping[str, PeerLink]:
        """Returns the connections to the other controllers, by address."""
        return self._peers.links()

    def has_quorum(self) -> bool:
        """Returns whether a majority of the voters responded to a pull within CONTACT_TIMEOUT_S.

        Voters are identified by address and disk: a machine that lost its disk is another member.
        """
        return self._peers.majority_reachable(self._replica.voters().members, self._replica.identity)
