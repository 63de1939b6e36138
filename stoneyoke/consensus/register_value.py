"""The value of the replicated register: the voter set and the operator's configuration."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import NamedTuple

from stoneyoke.api.configuration import Version
from stoneyoke.consensus.ballot import NO_BALLOT, Ballot

INITIAL_DISK_NAME = "first"
"""The disk name of every machine at the first start of the whole system."""


class ReplicaId(NamedTuple):
    """The identity of a replica: its address and its disk.

    A machine that restarts with an empty disk has lost its promises, so it must count as another replica.

    Attributes:
        address: IP address of the machine.
        disk: Name that was written to the disk when it was first used.
    """

    address: str
    disk: str


Group = tuple[ReplicaId, ...]
"""Replicas, of which a majority has to promise, accept or respond."""


def replica_ids(rows: Iterable[tuple[str, str]]) -> Group:
    """Returns the replicas of rows of address and disk, the form that messages and records use."""
    return tuple(ReplicaId(*row) for row in rows)


@dataclass(frozen=True, slots=True)
class VoterSet:
    """The replicas that vote.

    Attributes:
        number: Rises by one with each change of the voters; 0: the voters aren't known.
        members: The voters, sorted.
    """

    number: int = 0
    members: Group = ()

    def addresses(self) -> tuple[str, ...]:
        """Returns the addresses of the voters, in the order of the members."""
        return tuple(member.address for member in self.members)


@dataclass(frozen=True, slots=True)
class RegisterValue:
    """One value of the register.

    The voter set is part of the value, so that a change of the voters and a change of the configuration can't both be
    chosen without one building on the other. A value with previous voters is joint: it needs a majority of both sets,
    until the change is known to be chosen.

    Attributes:
        voters: The replicas that vote from this value on.
        previous: The previous voters, while the change to `voters` isn't known to be chosen; empty after that.
        version: Version of the configuration.
        body: Text of the configuration, as its operator sent it; empty where a message omits it.
    """

    voters: VoterSet
    previous: Group = ()
    version: Version = Version()
    body: bytes = b""

    def quorum_groups(self) -> tuple[Group, ...]:
        """Returns the groups of which a majority each has to accept this value before it is chosen."""
        return (self.voters.members, self.previous) if self.previous else (self.voters.members,)

    def without_body(self) -> "RegisterValue":
        """Returns the same value without the text of its configuration."""
        return replace(self, body=b"")


class Proposal(NamedTuple):
    """A value and the ballot under which it was proposed. One ballot never has two values.

    Voters accept a proposal one by one. It is chosen once a majority of each of its groups has accepted it.
    """

    ballot: Ballot
    value: RegisterValue


ChangeFunction = Callable[[RegisterValue], RegisterValue]
"""Maps the value that a round found to the value that it proposes."""


def unchanged(value: RegisterValue) -> RegisterValue:
    """Returns the value as it is: the change function of a round that only completes an unfinished one."""
    return value


def initial_value(seeds: Iterable[str]) -> Proposal:
    """Returns the proposal that every voter starts from at the system's first start, when all disks are empty.

    Args:
        seeds: Addresses of the first voters. Every replica has to get the same ones, in any order.
    """
    members = tuple(ReplicaId(address, INITIAL_DISK_NAME) for address in sorted(set(seeds)))
    return Proposal(NO_BALLOT, RegisterValue(VoterSet(1, members)))
