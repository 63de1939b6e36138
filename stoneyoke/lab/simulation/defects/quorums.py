"""Defects in majorities, and in which voters count."""

from collections.abc import Iterable
from dataclasses import replace

from stoneyoke.consensus import quorum
from stoneyoke.consensus.proposal_round import ProposalRound
from stoneyoke.consensus.quorum import majority
from stoneyoke.consensus.register_value import RegisterValue, ReplicaId
from stoneyoke.lab.simulation.defects.patches import Patch


def majority_one_short() -> list[Patch]:
    """Half of the voters count as a majority."""

    def one_short(voters: int) -> int:
        return max(1, voters // 2)

    return [Patch(quorum, "majority", one_short)]


def only_new_voters() -> list[Patch]:
    """A change of voters is chosen by a majority of the new voters alone."""
    return [Patch(RegisterValue, "quorum_groups", lambda self: (self.voters.members,))]


def only_old_voters() -> list[Patch]:
    """A change of voters is chosen by a majority of the old voters alone."""

    def quorum_groups(self: RegisterValue) -> tuple[tuple[ReplicaId, ...], ...]:
        return (self.previous or self.voters.members,)

    return [Patch(RegisterValue, "quorum_groups", quorum_groups)]


def any_member_counts() -> list[Patch]:
    """Every response counts for a majority, even one of a non-voter."""

    def has_majority(group: Iterable[ReplicaId], heard: Iterable[ReplicaId]) -> bool:
        return len(set(heard)) >= majority(len(set(group)))

    return [Patch(quorum, "has_majority", has_majority)]


def read_quorum_one_short() -> list[Patch]:
    """A read counts as complete with one response too few."""

    def one_short(voters: int) -> int:
        return max(1, (voters + 1) // 2 - 1)

    return [Patch(quorum, "read_quorum", one_short)]


def change_without_old_voters() -> list[Patch]:
    """A change of voters drops the old voters immediately, and needs a majority of the new voters only."""
    real = ProposalRound.build_value

    def build_value(self: ProposalRound, found: RegisterValue) -> RegisterValue:
        return replace(real(self, found), previous=())

    return [Patch(ProposalRound, "build_value", build_value)]
