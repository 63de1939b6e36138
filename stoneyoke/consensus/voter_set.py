"""Computes which voters to propose. No I/O: the change takes effect once the voters choose it, in the register."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace

from stoneyoke.consensus.register_value import ChangeFunction, Group, RegisterValue, ReplicaId, VoterSet

LOST_FRACTION = 0.5
"""A voter that hasn't responded for this fraction of the operators' catch_up_s is replaced if a learner is ready.

The operators' bound counts a machine as lost until catch_up_s after its successor's start. The other half of that time
is left for the successor's start and for the rounds that make it a voter.
"""
MIN_REACHABLE_S = 0.5
"""A learner may become a voter once it has responded without a break for so many seconds and has the chosen value."""
MIN_VOTERS = 3


@dataclass(frozen=True, slots=True)
class MemberReport:
    """What the proposer of a voter change knows of the other replicas.

    Attributes:
        silent_s: Seconds since the last response of each voter; 0 for the proposer itself.
        leaving: Replicas that are shutting down.
        learners: Replicas without a vote that have the newest chosen value, the one reachable for longest first.
    """

    silent_s: Mapping[ReplicaId, float]
    leaving: Collection[ReplicaId]
    learners: Group


def voter_count(losses: int) -> int:
    """Returns how many voters are needed so that a majority is left after this many machines are lost."""
    return max(MIN_VOTERS, 2 * losses + 1)


def next_voters(members: Group, report: MemberReport, size: int, lost_after_s: float) -> Group:
    """Returns the voters to propose.

    A learner replaces a voter that is shutting down, that hasn't responded for too long, or whose address now belongs
    to another disk. Without a learner the voter stays: it may only be unreachable, and become reachable again.

    Args:
        members: The current voters.
        report: What is known of the replicas.
        size: How many voters there should be.
        lost_after_s: A voter that hasn't responded for this many seconds counts as lost.

    Returns:
        The voters, sorted; the current ones if nothing is to change.
    """
    ready = [learner for learner in report.learners if learner not in members and learner not in report.leaving]
    voters = replace_lost(members, report, ready, lost_after_s)
    return tuple(sorted((*voters, *learners_to_add(len(voters), ready, size))))


def replace_lost(members: Group, report: MemberReport, ready: list[ReplicaId], lost_after_s: float) -> list[ReplicaId]:
    """Returns the voters with lost ones replaced by learners from `ready`, which are removed from that list."""
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
    """Returns the learners to add to `count` voters, up to `size` and to an odd number of voters.

    An even number of voters tolerates no more losses than the odd number below it.
    """
    added = ready[: max(0, size - count)]
    if added and (count + len(added)) % 2 == 0:
        added.pop()
    return added


def is_lost(member: ReplicaId, report: MemberReport, ready: list[ReplicaId], lost_after_s: float) -> bool:
    """Returns whether to replace a voter: its disk is lost, it is shutting down, or it didn't respond for too long."""
    has_other_disk = any(learner.address == member.address for learner in ready)
    return has_other_disk or member in report.leaving or report.silent_s.get(member, 0.0) > lost_after_s


def voter_change(chosen: RegisterValue, desired: Group) -> ChangeFunction | None:
    """Returns the change function that makes these the voters, None if there is nothing to do.

    While the chosen value is joint (it has previous voters), `desired` is ignored and the round only completes that
    earlier change.

    Args:
        chosen: The chosen value for which `desired` was computed.
        desired: The voters to propose.
    """
    if desired == chosen.voters.members and not chosen.previous:
        return None
    members = chosen.voters.members if chosen.previous else desired

    def with_members(found: RegisterValue) -> RegisterValue:
        """Changes the voters unless others were chosen meanwhile: `desired` was computed for those of `chosen`."""
        if found.voters != chosen.voters or members == found.voters.members:
            return found
        return replace(found, voters=VoterSet(found.voters.number + 1, members))

    return with_members
