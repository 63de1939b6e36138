"""The configuration register: one value that the voters decide by ballots. No I/O.

A round prepares at a majority, takes on the value that was accepted under the highest ballot there, applies a change
to it and has the result accepted by a majority (single-register consensus with a change function; it needs no log and
no leader). Who votes is part of the value, so a change of voters and a change of the configuration cannot pass each
other. A value that changes the voters is joint: it is chosen only once a majority of the voters before and a majority
of the new voters have accepted it. docs/design/control-safety.md has the argument; lab/simulation/exhaustive walks
every order of messages of small clusters with this code."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import NamedTuple

from stoneyoke.api.configuration import Version
from stoneyoke.consensus.quorum import copies, majority


class Ballot(NamedTuple):
    """Orders rounds. proposer: address and life of the process that began it, so that none is used twice."""

    counter: int = 0
    proposer: str = ""


class ReplicaId(NamedTuple):
    """A member by its disk: a machine that comes back with an empty one is another member."""

    address: str
    disk: str


NO_BALLOT = Ballot()
FIRST_DISK = "first"  # the disk of every machine at the first start of the whole system


@dataclass(frozen=True, slots=True)
class VoterSet:
    """Who votes. number: rises by one with each change; 0: not known."""

    number: int = 0
    members: tuple[ReplicaId, ...] = ()

    def addresses(self) -> tuple[str, ...]:
        return tuple(member.address for member in self.members)


@dataclass(frozen=True, slots=True)
class RegisterValue:
    """What is decided: the voters and the operator's configuration. previous: the voters before, while the change to
    these is not known to be chosen; a majority of both is needed then."""

    voters: VoterSet
    previous: tuple[ReplicaId, ...] = ()
    version: Version = Version()
    body: bytes = b""

    def groups(self) -> tuple[tuple[ReplicaId, ...], ...]:
        """Sets of members, a majority of each of which makes a quorum."""
        return (self.voters.members, self.previous) if self.previous else (self.voters.members,)

    def without_body(self) -> "RegisterValue":
        return replace(self, body=b"")


class Accepted(NamedTuple):
    """A value and the ballot under which it was accepted, or chosen."""

    ballot: Ballot
    value: RegisterValue


def has_majority(group: Iterable[ReplicaId], heard: Iterable[ReplicaId]) -> bool:
    members = set(group)
    return len(members.intersection(heard)) >= majority(len(members))


def has_copies(group: Iterable[ReplicaId], heard: Iterable[ReplicaId]) -> bool:
    """So many members that one of them holds whatever a majority has accepted."""
    members = set(group)
    return len(members.intersection(heard)) >= copies(len(members))


class Acceptor:
    """One voter's durable part. The caller writes the new state to disk before anybody is told of it: each method
    returns the state to write, None if the request is refused or changes nothing that may be acknowledged."""

    def __init__(self, promised: Ballot = NO_BALLOT, accepted: Accepted | None = None) -> None:
        self.accepted = accepted
        self.promised = max(promised, accepted.ballot) if accepted else promised

    def accepted_ballot(self) -> Ballot:
        return self.accepted.ballot if self.accepted else NO_BALLOT

    def may_promise(self, ballot: Ballot) -> bool:
        return ballot >= self.promised

    def promise(self, ballot: Ballot) -> None:
        """It is on disk."""
        self.promised = max(self.promised, ballot)

    def may_accept(self, ballot: Ballot) -> bool:
        return ballot >= self.promised

    def accept(self, proposal: Accepted) -> None:
        """It is on disk."""
        self.promised = max(self.promised, proposal.ballot)
        self.accepted = proposal

    def lacks(self, chosen: Accepted) -> bool:
        """Whether a chosen value is newer than what is accepted here: it may be taken on whatever was promised,
        since every later value is built on it."""
        return self.accepted is None or chosen.ballot > self.accepted.ballot


def needed_groups(value: RegisterValue, chosen_number: int) -> tuple[tuple[ReplicaId, ...], ...]:
    """Whose majorities hold a trace of whatever is chosen after this value. Where its voters are known to be chosen,
    the voters before them are not asked any more: most of those may be gone."""
    return (value.voters.members,) if value.voters.number <= chosen_number else value.groups()


class Phase(Enum):
    PREPARE = "prepare"
    ACCEPT = "accept"
    CHOSEN = "chosen"
    LOST = "lost"  # another proposer's ballot is higher, or there is nothing to build on


Change = Callable[[RegisterValue], RegisterValue]


@dataclass(slots=True)
class Round:
    """One proposer's round under one ballot.

    known: the newest value that this process knows: chosen, or accepted here. chosen_number: the highest number of a
    voter set that is known to be chosen (0: none). change: what to make of the value found; it may be called once only.
    """

    ballot: Ballot
    known: Accepted
    chosen_number: int
    change: Change
    phase: Phase = Phase.PREPARE
    promises: dict[ReplicaId, Accepted | None] = field(default_factory=dict)
    accepts: set[ReplicaId] = field(default_factory=set)
    proposal: RegisterValue | None = None
    highest: Ballot = NO_BALLOT  # promised elsewhere: the next round has to be above it

    def found(self) -> Accepted:
        """The value under the highest ballot that was seen so far. Ballots of one value's copies are equal."""
        seen = [accepted for accepted in self.promises.values() if accepted]
        return max((self.known, *seen), key=lambda accepted: accepted.ballot)

    def groups(self) -> tuple[tuple[ReplicaId, ...], ...]:
        """A majority of each is needed now. To prepare: of the voters that are known, and of those of the newest value
        found. A majority of older voters always holds a trace of the next set, so this ends at the newest one."""
        if self.proposal:
            return self.proposal.groups()
        values = (self.known.value, self.found().value)
        return tuple(group for value in values for group in needed_groups(value, self.chosen_number))

    def targets(self) -> set[str]:
        """Addresses to be asked in this phase."""
        return {member.address for group in self.groups() for member in group}

    def refused(self, promised: Ballot) -> None:
        """A voter has promised a higher ballot to somebody else."""
        if self.phase in (Phase.PREPARE, Phase.ACCEPT):
            self.highest = max(self.highest, promised)
            self.phase = Phase.LOST

    def promised(self, voter: ReplicaId, accepted: Accepted | None) -> None:
        """A voter has promised this ballot, and tells what it had accepted before."""
        if self.phase is not Phase.PREPARE:
            return
        self.promises[voter] = accepted
        if all(has_majority(group, self.promises) for group in self.groups()):
            self.proposal = self.build(self.found().value)
            self.phase = Phase.ACCEPT

    def build(self, found: RegisterValue) -> RegisterValue:
        """The value to propose. A change of voters that is not known to be chosen stays joint, and no other one is
        begun on top of it."""
        proposal = self.change(found)
        undecided = found.previous and found.voters.number > self.chosen_number
        if undecided or proposal.voters == found.voters:
            previous = found.previous if undecided else ()
            return replace(proposal, voters=found.voters, previous=previous)
        return replace(proposal, previous=found.voters.members)

    def accepted(self, voter: ReplicaId) -> None:
        """A voter holds the proposal on its disk."""
        if self.phase is not Phase.ACCEPT:
            return
        self.accepts.add(voter)
        if all(has_majority(group, self.accepts) for group in self.groups()):
            self.phase = Phase.CHOSEN

    def chosen(self) -> Accepted:
        """What was decided. Valid in phase CHOSEN only."""
        assert self.phase is Phase.CHOSEN and self.proposal
        return Accepted(self.ballot, self.proposal)


@dataclass(slots=True)
class Query:
    """A read without writes: it succeeds where a quorum holds the newest value already. Bodies need not be told."""

    known: Accepted
    chosen_number: int
    replies: dict[ReplicaId, Accepted | None] = field(default_factory=dict)

    def found(self) -> Accepted:
        seen = [accepted for accepted in self.replies.values() if accepted]
        return max((self.known, *seen), key=lambda accepted: accepted.ballot)

    def groups(self) -> tuple[tuple[ReplicaId, ...], ...]:
        values = (self.known.value, self.found().value)
        return tuple(group for value in values for group in needed_groups(value, self.chosen_number))

    def targets(self) -> set[str]:
        return {member.address for group in self.groups() for member in group}

    def replied(self, voter: ReplicaId, accepted: Accepted | None) -> None:
        self.replies[voter] = accepted

    def complete(self) -> bool:
        """Enough voters have answered that nothing chosen before the read began is newer than what was found."""
        return all(has_majority(group, self.replies) for group in self.groups())

    def chosen(self) -> Accepted | None:
        """The newest chosen value, None if that is not proven by the replies so far."""
        newest = self.found()
        holders = [voter for voter, accepted in self.replies.items() if accepted and accepted.ballot == newest.ballot]
        if self.complete() and all(has_majority(group, holders) for group in newest.value.groups()):
            return newest
        return None


def initial_value(seeds: Iterable[str]) -> Accepted:
    """At the first start of the whole system, on empty disks: all are told the same seeds, and they vote."""
    members = tuple(ReplicaId(address, FIRST_DISK) for address in sorted(set(seeds)))
    return Accepted(NO_BALLOT, RegisterValue(VoterSet(1, members)))


def newest_view(views: Mapping[ReplicaId, Accepted]) -> Accepted | None:
    """The view under the highest ballot, if so many voters told theirs that nothing chosen is newer; None: too few."""
    if not views:
        return None
    newest = max(views.values(), key=lambda accepted: accepted.ballot)
    return newest if all(has_copies(group, views) for group in newest.value.groups()) else None
