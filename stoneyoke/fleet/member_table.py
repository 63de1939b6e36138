"""The known members, the rules that merge their records, and the digests that compare member tables. No I/O.

Times are microseconds.
"""

from enum import Enum, auto
from functools import lru_cache, reduce
from hashlib import blake2b
from operator import xor

import msgspec

from stoneyoke.fleet.messages import BUCKET_COUNT, Member, MemberState

MAX_MEMBERS = 1_024  # members beyond this are counted and not added
MAX_CONFIRMATIONS = 3  # independent confirmations of a suspicion; further ones have no effect (Lifeguard's K)
RECORD_OVERHEAD_BYTES = 34  # of an encoded record without its texts
CACHE_ENTRIES = 4 * MAX_MEMBERS


@lru_cache(CACHE_ENTRIES)
def max_encoded_bytes(record: Member) -> int:
    """Returns an upper bound of the encoded size of a record."""
    texts = len(record.name) + len(record.host) + len(record.zone) + len(record.suspected_by)
    return texts + RECORD_OVERHEAD_BYTES


@lru_cache(CACHE_ENTRIES)
def record_digest(record: Member) -> int:
    """Returns the digest of a present member. Digests are combined by XOR, so the order of members does not matter."""
    text = f"{record.name} {record.started_at_ms}"
    return int.from_bytes(blake2b(text.encode(), digest_size=4).digest(), "big")


@lru_cache(CACHE_ENTRIES)
def bucket_of(name: str) -> int:
    """Returns the bucket whose digest includes a member."""
    return blake2b(name.encode(), digest_size=1).digest()[0] % BUCKET_COUNT


class MergeOutcome(Enum):
    """The change that a received record made."""

    ADDED = auto()  # the member was not known
    UPDATED = auto()  # the record overrides the known one
    CONFIRMED = auto()  # one more member suspects it
    UNCHANGED = auto()
    TABLE_FULL = auto()  # the member is not known and does not fit


class Peer:
    """Another gateway. The failure detector removes it DEPARTED_RETENTION_US after its departure or death."""

    def __init__(self, record: Member, now_us: int) -> None:
        """Starts with the first record of a member."""
        self.record = record
        self.state_since_us = now_us
        self.suspected_by: set[str] = set()  # names of the members that suspect it

    def confirm_suspicion(self, by: str) -> bool:
        """Adds a member that suspects it. Returns false if that changes nothing."""
        if by in self.suspected_by or len(self.suspected_by) > MAX_CONFIRMATIONS:
            return False
        self.suspected_by.add(by)
        return True


class MemberTable:
    """This gateway's own record, and the records of the other gateways."""

    def __init__(self, own: Member) -> None:
        """Starts with this gateway as the only member."""
        self.own = own
        self.peers: dict[str, Peer] = {}  # by name
        self.present_count = 0  # number of peers that are alive or suspected
        self.bucket_digests = [0] * BUCKET_COUNT
        self.changes: list[Member] = []  # changed states, taken by take_changes
        self._toggle_digest(own)

    def present(self) -> list[Member]:
        """Returns the other members that are alive or suspected."""
        return [peer.record for peer in self.peers.values() if peer.record.present]

    def alive(self) -> list[Member]:
        """Returns the other members that are alive and not suspected."""
        return [peer.record for peer in self.peers.values() if peer.record.state == MemberState.ALIVE]

    def present_peer(self, name: str) -> Peer | None:
        """Returns the peer of this name if it is alive or suspected, else None."""
        peer = self.peers.get(name)
        return peer if peer and peer.record.present else None

    def size(self) -> int:
        """Returns the number of present members, this gateway included."""
        return 1 + self.present_count

    @property
    def digest(self) -> int:
        """Digest of all present members, this gateway included."""
        return reduce(xor, self.bucket_digests)

    def set_own(self, record: Member) -> None:
        """Replaces this gateway's own record."""
        if record.started_at_ms != self.own.started_at_ms:
            self._toggle_digest(self.own)
            self._toggle_digest(record)
        self.own = record

    def merge(self, record: Member, now_us: int) -> MergeOutcome:
        """Merges a record of another member. The record with the highest precedence wins, in any order of arrival."""
        peer = self.peers.get(record.name)
        if peer is None:
            return self._add(record, now_us)
        known = peer.record.precedence()
        if record.precedence() > known:
            self.replace(peer, record, now_us)
            return MergeOutcome.UPDATED
        same_suspicion = record.precedence() == known and record.state == MemberState.SUSPECT
        if same_suspicion and peer.confirm_suspicion(record.suspected_by):
            return MergeOutcome.CONFIRMED
        return MergeOutcome.UNCHANGED

    def _add(self, record: Member, now_us: int) -> MergeOutcome:
        if not record.present:
            return MergeOutcome.UNCHANGED  # no state depends on a departed member that was never known
        if len(self.peers) >= MAX_MEMBERS:
            return MergeOutcome.TABLE_FULL
        peer = self.peers[record.name] = Peer(record, now_us)
        self.present_count += 1
        self._toggle_digest(record)
        self.changes.append(record)
        if record.state == MemberState.SUSPECT:
            peer.suspected_by = {record.suspected_by}
        return MergeOutcome.ADDED

    def replace(self, peer: Peer, record: Member, now_us: int) -> None:
        """Replaces a peer's record, and with it the set of members that suspect the peer."""
        previous, peer.record = peer.record, record
        if previous.present:
            self._toggle_digest(previous)
            self.present_count -= 1
        if record.present:
            self._toggle_digest(record)
            self.present_count += 1
        peer.suspected_by = {record.suspected_by} if record.state == MemberState.SUSPECT else set()
        if previous.state != record.state or previous.started_at_ms != record.started_at_ms:
            peer.state_since_us = now_us
            self.changes.append(record)

    def suspect(self, peer: Peer, by: str, now_us: int) -> bool:
        """Records that a member suspects a present peer. Returns false if that changes nothing."""
        if peer.record.state == MemberState.ALIVE:
            suspected = msgspec.structs.replace(peer.record, state=MemberState.SUSPECT, suspected_by=by)
            self.replace(peer, suspected, now_us)
            return True
        if not peer.confirm_suspicion(by):
            return False
        peer.record = msgspec.structs.replace(peer.record, suspected_by=by)
        return True

    def declare_dead(self, peer: Peer, now_us: int) -> None:
        """Marks a peer dead that did not refute its suspicion in time."""
        dead = msgspec.structs.replace(peer.record, state=MemberState.DEAD, suspected_by="")
        self.replace(peer, dead, now_us)

    def clear_peers(self) -> None:
        """Removes all other members, when another gateway has superseded this one."""
        self.peers.clear()
        self.present_count = 0

    def take_changes(self) -> list[Member]:
        """Returns the records whose state has changed since the last call."""
        changes, self.changes = self.changes, []
        return changes

    def _toggle_digest(self, record: Member) -> None:
        """Adds a present member to the digest of its bucket, or removes it from there: XOR does both."""
        self.bucket_digests[bucket_of(record.name)] ^= record_digest(record)
