"""Decides which voters to propose. No I/O: the voters themselves decide the change, in the register."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace

from stoneyoke.consensus.register_value import ChangeFunction, Group, RegisterValue, ReplicaId, VoterSet

LOST_FRACTION = 0.5
"""A voter silent for this fraction of the operators' catch_up_s is replaced if a learner is ready.

A lost machine counts as lost until catch_up_s after its successor's start. The other half of that time is left for the
successor's start and for the rounds.
"""
MIN_REACHABLE_S = 0.5
"""A learner that was in touch for so long, and has all that is chosen, may vote."""
MIN_VOTERS = 3


@dataclass(frozen=True, slots=True)
class MemberReport:
    """What the proposer of a change knows of the other replicas.

    Attributes:
        silent_s: Seconds since each voter was last heard; 0 for the proposer itself.
        leaving: Replicas that are shutting down.
        learners: Replicas without a vote that have the newest chosen value, the one steady for longest first.
    """

    silent_s: Mapping[ReplicaId, float]
    leaving: Collection[ReplicaId]
    learners: Group


def voter_count(losses: int) -> int:
    """How many voters there should be, so that a majority outlives this many lost machines."""
    return max(MIN_VOTERS, 2 * losses + 1)


def next_voters(members: Group, report: MemberReport, size: int, lost_after_s: float) -> Group:
    """Chooses the voters to propose.

    A learner replaces a voter that is leaving, that was silent for too long, or whose address now belongs to another
    disk. Without a learner the voter stays: it may only be cut off, and come back.

    Args:
        members: The voters now.
        report: What is known of the replicas.
        size: How many voters there should be.
        lost_after_s: Seconds of silence after which a voter counts as lost.

    Returns:
        The voters, sorted; the same ones if nothing is to change.
    """
    ready = [learner for learner in report.learners if learner not in members and learner not in report.leaving]
    voters = replace_lost(members, report, ready, lost_after_s)
    return tuple(sorted((*voters, *learners_to_add(len(voters), ready, size))))


def replace_lost(members: Group, report: MemberReport, ready: list[ReplicaId], lost_after_s: float) -> list[ReplicaId]:
    """The voters with lost ones replaced. Takes the successors out of `ready`."""
    lost = [member for member in members if is_lost(member, report, ready, lost_after_s)]
    voters = list(members)
    for member in lost:
        if not ready:
            break
        same_address = (learner for learner in ready if learner.address == member.address)
        successor = next(same_address, ready[0])
        ready.remove(successor)
        voters[voters.index(member)] = successor
    return voters


def learners_to_add(count: int, ready: list[ReplicaId], size: int) -> list[ReplicaId]:
    """Learners to add to so many voters, up to an odd number.

    An even number of voters outlives no more losses than the odd one below it.
    """
    added = ready[: max(0, size - count)]
    if added and (count + len(added)) % 2 == 0:
        added.pop()
    return added


def is_lost(member: ReplicaId, report: MemberReport, ready: list[ReplicaId], lost_after_s: float) -> bool:
    """Whether a voter should be replaced: its disk is lost, it is leaving, or it was silent for too long."""
    has_other_disk = any(learner.address == member.address for learner in ready)
    return has_other_disk or member in report.leaving or report.silent_s.get(member, 0.0) > lost_after_s


def voter_change(chosen: RegisterValue, desired: Group) -> ChangeFunction | None:
    """The change that makes these the voters.

    A change of the voters that isn't known to be chosen is completed first.

    Args:
        chosen: The chosen value for which `desired` was decided.
        desired: The voters to propose.

    Returns:
        The change for a round, None if there is nothing to do.
    """
    if desired == chosen.voters.members and not chosen.previous:
        return None
    members = chosen.voters.members if chosen.previous else desired

    def with_members(found: RegisterValue) -> RegisterValue:
        """Changes the voters, unless another change was chosen meanwhile: the decision was made for these voters."""
        if found.voters != chosen.voters or members == found.voters.members:
            return found
        return replace(found, voters=VoterSet(found.voters.number + 1, members))

    return with_members
