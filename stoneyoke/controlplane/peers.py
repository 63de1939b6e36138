"""The other controllers: the connection to each, the state that it last reported, and since when it responds."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Protocol

from stoneyoke.consensus.ballot import NO_BALLOT, Ballot
from stoneyoke.consensus.message_rows import value_from_row
from stoneyoke.consensus.quorum import majority
from stoneyoke.consensus.register_value import Proposal, ReplicaId
from stoneyoke.transport.messages import Message, PullResponse

CONTACT_TIMEOUT_S = 1.2  # a peer that responded to a pull within this many seconds is reachable
NEVER = -1e9


class PeerLink(Protocol):
    """A connection to another process of the system."""

    address: tuple[str, int]

    async def call(self, message: Message, timeout_s: float) -> Message:
        """Sends a message and returns the response.

        Raises:
            PeerUnreachable: there is no response within `timeout_s` seconds.
        """


@dataclass(slots=True)
class Peer:
    """Another controller. All attributes but `link` come from its last response to a pull.

    Attributes:
        link: the connection to it.
        replica: its replica; None before its first response.
        view: the newest proposal of the register that it knows, chosen or not, without the configuration's text.
        chosen_ballot: the ballot of the newest proposal that it knows to be chosen.
        last_response_at: when it last responded to a pull.
        incarnation: identifies its process.
        seq: the change number of its instance registry up to which this controller has received the changes.
        instances_synced: whether it knows each acknowledged drain (see startup_sync).
        gateways: names of the gateways whose heartbeats it receives.
        lease_holder: the address of the quota lease's holder as far as it knows; empty if it knows none.
        leaving: whether it is shutting down.
        reachable_since: since when it has responded without a break, as the same process with the same disk.
    """

    link: PeerLink
    replica: ReplicaId | None = None
    view: Proposal | None = None
    chosen_ballot: Ballot = NO_BALLOT
    last_response_at: float = NEVER
    incarnation: str = ""
    seq: int = 0
    instances_synced: bool = False
    gateways: tuple[str, ...] = ()
    lease_holder: str = ""
    leaving: bool = False
    reachable_since: float = NEVER

    def record_response(self, response: PullResponse, now: float) -> None:
        """Updates the attributes from a peer's response to a pull."""
        replica = ReplicaId(*response.replica)
        was_silent = now - self.last_response_at > CONTACT_TIMEOUT_S
        if was_silent or self.incarnation != response.incarnation or self.replica != replica:
            self.reachable_since = now
        self.replica, self.last_response_at = replica, now
        self.incarnation, self.seq = response.incarnation, response.seq
        self.view = Proposal(Ballot(*response.view_ballot), value_from_row(response.view))
        self.chosen_ballot = Ballot(*response.chosen_ballot)
        self.instances_synced, self.gateways = response.instances_synced, tuple(response.gateways)
        self.lease_holder, self.leaving = response.lease_holder, response.leaving


class Peers(Mapping[str, Peer]):
    """The known peers, by address. A peer is never removed."""

    def __init__(
        self,
        own_address: str,
        port: int,
        dial: Callable[[tuple[str, int]], PeerLink],
        clock: Callable[[], float],
        on_new_peer: Callable[[str, Peer], None],
    ) -> None:
        """Starts without peers.

        Args:
            own_address: this controller's address, which is never added.
            port: the port on which all controllers listen for each other.
            dial: returns a connection to an address and port, without waiting until it is established.
            clock: returns seconds of the controller's monotonic clock.
            on_new_peer: called with each peer that is added.
        """
        self.own_address, self.port, self.dial, self.clock = own_address, port, dial, clock
        self.on_new_peer = on_new_peer
        self.known: dict[str, Peer] = {}

    def __getitem__(self, address: str) -> Peer:
        """Returns the peer at an address."""
        return self.known[address]

    def __iter__(self) -> Iterator[str]:
        """Iterates over the addresses, in the order in which they became known."""
        return iter(self.known)

    def __len__(self) -> int:
        """Returns the number of known peers."""
        return len(self.known)

    def add_peers(self, *addresses: str) -> bool:
        """Adds the peers that are not known yet; returns whether there were any."""
        new = [one for one in dict.fromkeys(addresses) if one and one != self.own_address and one not in self.known]
        for address in new:
            peer = self.known[address] = Peer(self.dial((address, self.port)))
            self.on_new_peer(address, peer)
        return bool(new)

    def links(self) -> dict[str, PeerLink]:
        """Returns the connection to each peer, by address."""
        return {address: peer.link for address, peer in self.known.items()}

    def reachable(self) -> dict[str, Peer]:
        """Returns the peers that responded to a pull within CONTACT_TIMEOUT_S, by address."""
        now = self.clock()
        return {
            address: peer for address, peer in self.known.items() if now - peer.last_response_at < CONTACT_TIMEOUT_S
        }

    def majority_reachable(self, members: tuple[ReplicaId, ...], own: ReplicaId) -> bool:
        """Returns whether a majority of these members is reachable; `own`, this controller's replica, always is.

        A member is an address with a disk: a peer that responds at a member's address with another disk doesn't count.
        """
        reachable = {own, *(peer.replica for peer in self.reachable().values())}
        return bool(members) and sum(member in reachable for member in members) >= majority(len(members))
