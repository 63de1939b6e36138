"""What a controller knows of the cluster at this moment: the voters, the links to peers, whether it has a quorum."""

from collections.abc import Mapping
from typing import Protocol

from stoneyoke.consensus.replica import Replica
from stoneyoke.controlplane.peers import PeerLink, Peers


class ClusterView(Protocol):
    """The cluster as a service of this controller needs to see it."""

    @property
    def own_address(self) -> str:
        """This controller's address."""

    def voters(self) -> tuple[str, ...]:
        """The addresses of the current voters; empty while they are not known."""

    def links(self) -> Mapping[str, PeerLink]:
        """The connections to the other controllers, by address."""

    def has_quorum(self) -> bool:
        """Whether a majority of the voters is reachable, this controller included if it votes."""


class ReplicatedClusterView:
    """The cluster view that the replica's voters and the peers' answers give."""

    def __init__(self, replica: Replica, peers: Peers) -> None:
        """Reads both parts at each call and keeps nothing itself."""
        self._replica, self._peers = replica, peers

    @property
    def own_address(self) -> str:
        """This controller's address."""
        return self._peers.own_address

    def voters(self) -> tuple[str, ...]:
        """The addresses of the newest voters that are known here."""
        return self._replica.voters().addresses()

    def links(self) -> Mapping[str, PeerLink]:
        """The connections to the other controllers, by address."""
        return self._peers.links()

    def has_quorum(self) -> bool:
        """Whether a majority of the voters answered a pull within the contact timeout.

        Voters count by disk: a machine that lost its disk is another member.
        """
        return self._peers.majority_reachable(self._replica.voters().members, self._replica.identity)
