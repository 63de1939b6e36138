"""The value of the replicated register: who votes, and the operator's configuration."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import NamedTuple

from stoneyoke.api.configuration import Version
from stoneyoke.consensus.ballot import NO_BALLOT, Ballot

INITIAL_DISK_NAME = "first"
"""The disk name of every machine at the first start of the whole system."""


class ReplicaId(NamedTuple):
    """A replica, identified by its disk.

    A machine that comes back with an empty disk has forgotten its promises, so it must count as another replica.

    Attributes:
        address: IP address of the machine.
        disk: Name that the disk was given when it was first used.
    """

    address: str
    disk: str


Group = tuple[ReplicaId, ...]
"""Replicas of which a majority is needed."""


def replica_ids(rows: Iterable[tuple[str, str]]) -> Group:
    """The replicas of rows of address and disk, as messages and records hold them."""
    return tuple(ReplicaId(*row) for row in rows)


@dataclass(frozen=True, slots=True)
class VoterSet:
    """The replicas that vote.

    Attributes:
        number: Rises by one with each change of the voters; 0: not known.
        members: The voters, sorted.
    """

    number: int = 0
    members: Group = ()

    def addresses(self) -> tuple[str, ...]:
        """Addresses of the voters, in the order of the members."""
        return tuple(member.address for member in self.members)


@dataclass(frozen=True, slots=True)
class RegisterValue:
    """One value of the register.

    Who votes is part of the value, so a change of the voters and a change of the configuration can't be chosen past
    each other. A value with previous voters is joint: it needs a majority of both sets, until the change is known to
    be chosen.

    Attributes:
        voters: The replicas that vote from this value on.
        previous: The voters before, while the change to `voters` isn't known to be chosen; empty after that.
        version: Version of the configuration.
        body: Text of the configuration, as its operator sent it; empty where it was left out of a message.
    """

    voters: VoterSet
    previous: Group = ()
    version: Version = Version()
    body: bytes = b""

    def quorum_groups(self) -> tuple[Group, ...]:
        """The groups that each have to accept this value by a majority before it is chosen."""
        return (self.voters.members, self.previous) if self.previous else (self.voters.members,)

    def without_body(self) -> "RegisterValue":
        """The same value without the text of its configuration."""
        return replace(self, body=b"")


class Proposal(NamedTuple):
    """A value and the ballot under which it was proposed. One ballot never has two values.

    A proposal is accepted by one voter after another, and chosen once each of its groups has a majority of them.
    """

    ballot: Ballot
    value: RegisterValue


ChangeFunction = Callable[[RegisterValue], RegisterValue]
"""What a round makes of the value that it found."""


def unchanged(value: RegisterValue) -> RegisterValue:
    """The change of a round that only completes what another one left unfinished."""
    return value


def initial_value(seeds: Iterable[str]) -> Proposal:
    """The value at the first start of the whole system, when all disks are empty.

    Args:
        seeds: Addresses of the first voters. Every replica is given the same ones, in any order.
    """
    members = tuple(ReplicaId(address, INITIAL_DISK_NAME) for address in sorted(set(seeds)))
    return Proposal(NO_BALLOT, RegisterValue(VoterSet(1, members)))
