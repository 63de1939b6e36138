"""The operator's word at one core: the highest configuration it was told, who votes, and whether it votes itself.

A configuration is a register that only rises, so no order of messages matters; who votes is a numbered list that
changes by one member at a time (docs/design/system.md)."""

from dataclasses import dataclass

from stoneyoke.controlplane.quorum import copies, majority
from stoneyoke.api.configuration import Version

NOTHING = Version()
Ballot = tuple[int, str]  # of a round of a change of who votes: a number, who began it
NO_BALLOT: Ballot = (0, "")


@dataclass(frozen=True, slots=True)
class VoterSet:
    """Who votes: addresses of cores. number 0: not known. A list is told only once it is sure (harbour.crew)."""

    number: int = 0
    names: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """What a core says of itself."""

    version: Version
    crew: VoterSet
    standing: bool


class Replica:
    def __init__(self, own: str) -> None:
        self.own = own
        self.version, self.body = NOTHING, b""
        self.crew = VoterSet()
        # It counts as a voter: its disk has been whole since it joined, or it has copied enough since.
        self.standing = False
        self.promised: Ballot = NO_BALLOT  # in the change to the list after this one
        self.pending: tuple[Ballot, tuple[str, ...]] | None = None  # accepted in it

    def found(self, crew: VoterSet | None, standing: bool, version: Version, body: bytes) -> None:
        """What the disk holds at the start."""
        self.crew, self.standing = crew or VoterSet(), standing and crew is not None
        self.version, self.body = version, body

    def first(self, seeds: tuple[str, ...]) -> None:
        """The very first start, on empty disks: all are told the same seeds, and they vote."""
        self.crew = VoterSet(1, tuple(sorted(seeds)))
        self.standing = self.own in self.crew.names

    def rises(self, version: Version) -> bool:
        return version > self.version

    def hold(self, version: Version, body: bytes) -> None:
        """It is on this core's disk now."""
        if self.rises(version):
            self.version, self.body = version, body

    def votes(self) -> bool:
        """Whether what it holds counts: its disk is whole, and no change of who votes has its word."""
        return self.member() and self.pending is None

    def member(self) -> bool:
        return self.standing and self.own in self.crew.names

    def vote(self) -> ReplicaStatus:
        return ReplicaStatus(self.version, self.crew, self.votes())

    def holders(self, version: Version, votes: dict[str, ReplicaStatus]) -> int:
        """How many voters hold this version or a higher one, by what they said themselves, this one included."""
        said = votes | {self.own: self.vote()}
        return sum(
            name in said
            and said[name].standing
            and said[name].crew.number == self.crew.number
            and said[name].version >= version
            for name in self.crew.names
        )

    def kept(self, version: Version, votes: dict[str, ReplicaStatus]) -> bool:
        """Enough voters hold it that it may be acknowledged."""
        return self.crew.number > 0 and self.holders(version, votes) >= majority(len(self.crew.names))

    def newest(self, votes: dict[str, ReplicaStatus]) -> Version | None:
        """The highest version of enough voters that all that was acknowledged is no higher; None: too few."""
        said = votes | {self.own: self.vote()}
        heard = [
            said[name].version
            for name in self.crew.names
            if name in said and said[name].standing and said[name].crew.number == self.crew.number
        ]
        if self.crew.number == 0 or len(heard) < copies(len(self.crew.names)):
            return None
        return max(heard)

    def may_stand(self, votes: dict[str, ReplicaStatus]) -> bool:
        """A voter without a vote may have it back: enough others of the same list have told what they hold, and
        it holds no less. Its own copy does not count: it may have lost one that it had acknowledged."""
        others = {name: vote for name, vote in votes.items() if name != self.own}
        newest = replace_own(self).newest(others)
        return self.own in self.crew.names and not self.standing and newest is not None and self.version >= newest

    def learn_crew(self, votes: dict[str, ReplicaStatus]) -> VoterSet | None:
        """A newer list of voters that another core tells of."""
        newest = max((vote.crew for vote in votes.values()), key=lambda crew: crew.number, default=VoterSet())
        return newest if newest.number > self.crew.number and newest.names else None

    # ---- a change of who votes, at one voter ----

    def promise(self, number: int, ballot: Ballot) -> bool:
        if number != self.crew.number + 1 or not self.member() or ballot < self.promised:
            return False
        self.promised = ballot
        return True

    def accept(self, number: int, ballot: Ballot, names: tuple[str, ...]) -> bool:
        if not self.promise(number, ballot):
            return False
        self.pending = (ballot, names)
        return True

    def sure(self, crew: VoterSet) -> bool:
        """A newer list is decided, and what was acknowledged is held by a majority of it."""
        if crew.number <= self.crew.number:
            return False
        self.crew, self.promised, self.pending = crew, NO_BALLOT, None
        # Who did not vote before copies first, like one that lost its disk.
        self.standing = self.standing and self.own in crew.names
        return True


def replace_own(word: Replica) -> Replica:
    """The same core as one that votes for nothing."""
    bare = Replica(word.own)
    bare.crew = word.crew
    return bare
