"""The other controllers, as this one hears them: who answers at an address, what it holds, since when it is steady."""

import asyncio
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from stoneyoke.consensus.ballot import NO_BALLOT, Ballot
from stoneyoke.consensus.message_rows import value_from_row
from stoneyoke.consensus.quorum import majority
from stoneyoke.consensus.register_value import Proposal, ReplicaId
from stoneyoke.transport.messages import Message, PullResponse

CONTACT_TIMEOUT_S = 1.2  # a peer that answered within this is in touch
NEVER = -1e9


class PeerLink(Protocol):
    """A connection to another process of the system."""

    address: tuple[str, int]

    async def call(self, message: Message, within_s: float) -> Message:
        """The answer. Raises PeerUnreachable."""


@dataclass(slots=True)
class Peer:
    """Another controller: its connection, what it said of itself, and how far its news was heard."""

    link: PeerLink
    replica: ReplicaId | None = None
    view: Proposal | None = None  # without its text
    chosen_ballot: Ballot = NO_BALLOT
    last_heard_at: float = NEVER
    incarnation: str = ""
    seq: int = 0
    instances_synced: bool = False
    gateways: tuple[str, ...] = ()  # whose heartbeats it has heard
    lease_holder: str = ""  # who has the lease of the quotas, by its word
    leaving: bool = False
    steady_since: float = NEVER  # since when it has answered without a break
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def record_response(self, news: PullResponse, now: float) -> None:
        replica = ReplicaId(*news.replica)
        if (
            now - self.last_heard_at > CONTACT_TIMEOUT_S
            or self.incarnation != news.incarnation
            or self.replica != replica
        ):
            self.steady_since = now
        self.replica, self.last_heard_at, self.incarnation, self.seq = replica, now, news.incarnation, news.seq
        self.view = Proposal(Ballot(*news.view_ballot), value_from_row(news.view))
        self.chosen_ballot = Ballot(*news.chosen_ballot)
        self.instances_synced, self.gateways = news.instances_synced, tuple(news.gateways)
        self.lease_holder, self.leaving = news.lease_holder, news.leaving


class Peers(Mapping[str, Peer]):
    """By address. on_new_peer: called with each peer that is new."""

    def __init__(
        self,
        own_address: str,
        port: int,
        dial: Callable[[tuple[str, int]], PeerLink],
        clock: Callable[[], float],
        on_new_peer: Callable[[str, Peer], None],
    ) -> None:
        self.own_address, self.port, self.dial, self.clock, self.on_new_peer = (
            own_address,
            port,
            dial,
            clock,
            on_new_peer,
        )
        self.known: dict[str, Peer] = {}

    def __getitem__(self, address: str) -> Peer:
        return self.known[address]

    def __iter__(self) -> Iterator[str]:
        return iter(self.known)

    def __len__(self) -> int:
        return len(self.known)

    def add_peers(self, *addresses: str) -> bool:
        """Whether any of them is new."""
        new = [one for one in dict.fromkeys(addresses) if one and one != self.own_address and one not in self.known]
        for address in new:
            peer = self.known[address] = Peer(self.dial((address, self.port)))
            self.on_new_peer(address, peer)
        return bool(new)

    def links(self) -> dict[str, PeerLink]:
        """The way to each."""
        return {address: peer.link for address, peer in self.known.items()}

    def in_touch(self, address: str) -> bool:
        peer = self.known.get(address)
        return peer is not None and self.clock() - peer.last_heard_at < CONTACT_TIMEOUT_S

    def reachable(self) -> dict[str, Peer]:
        """Those that are in touch."""
        now = self.clock()
        return {address: peer for address, peer in self.known.items() if now - peer.last_heard_at < CONTACT_TIMEOUT_S}

    def majority_reachable(self, members: tuple[ReplicaId, ...], own: ReplicaId) -> bool:
        """Whether more than half of these members, with their disks, are heard, this one included."""
        near = {own, *(peer.replica for peer in self.reachable().values())}
        return bool(members) and sum(member in near for member in members) >= majority(len(members))
