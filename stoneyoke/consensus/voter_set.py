"""Which change of voters to propose. No I/O: the change itself is decided in the register (consensus)."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace

from stoneyoke.consensus.register_value import Change, RegisterValue, ReplicaId, VoterSet

# A voter that is silent for this part of catch_up_s is replaced if a learner stands ready. A lost machine counts as
# lost until catch_up_s after its successor's start: the other half is left for the successor's start and the rounds.
LOST_FRACTION = 0.5
STEADY_S = 0.5  # a learner in touch for so long, with all that is chosen, may vote


@dataclass(frozen=True, slots=True)
class MemberReport:
    """What the proposer of a change knows of the others.

    silent_s: for how long each voter was not heard, 0 for the proposer itself. leaving: members that were told to end.
    learners: members without a vote that hold the newest chosen value, the one steady for longest first."""

    silent_s: Mapping[ReplicaId, float]
    leaving: Collection[ReplicaId]
    learners: tuple[ReplicaId, ...]


def voter_count(losses: int) -> int:
    """So many voters that a majority outlives as many losses."""
    return max(3, 2 * losses + 1)


def next_voters(
    members: tuple[ReplicaId, ...], report: MemberReport, size: int, lost_s: float
) -> tuple[ReplicaId, ...]:
    """The voters to propose; the same ones if nothing is to change.

    A voter gives its place to a learner if it leaves, was silent for lost_s, or lost its disk: then its address
    belongs to another member. Without a learner it keeps its place: it may be back, cut off as it is. Voters are added
    only up to an odd number, since an even one bears no more losses than the odd one below it."""
    ready = [learner for learner in report.learners if learner not in members and learner not in report.leaving]
    gone = [member for member in members if is_gone(member, report, ready, lost_s)]
    result = list(members)
    for member in gone:
        successor = next((one for one in ready if one.address == member.address), ready[0] if ready else None)
        if successor is None:
            break
        ready.remove(successor)
        result[result.index(member)] = successor
    added = ready[: max(0, size - len(result))]
    if (len(result) + len(added)) % 2 == 0 and added:
        added.pop()
    return tuple(sorted((*result, *added)))


def is_gone(member: ReplicaId, report: MemberReport, ready: list[ReplicaId], lost_s: float) -> bool:
    superseded = any(learner.address == member.address for learner in ready)
    return superseded or member in report.leaving or report.silent_s.get(member, 0.0) > lost_s


def voter_change(chosen: RegisterValue, wanted: tuple[ReplicaId, ...]) -> Change | None:
    """What a round makes of the value found so that these vote; None: there is nothing to do.

    chosen: the value that the wish was made for. A change that is not known to be chosen goes first."""
    if wanted == chosen.voters.members and not chosen.previous:
        return None
    members = chosen.voters.members if chosen.previous else wanted

    def with_members(found: RegisterValue) -> RegisterValue:
        """Only on top of the voters that the wish was made for."""
        if found.voters != chosen.voters or members == found.voters.members:
            return found
        return replace(found, voters=VoterSet(found.voters.number + 1, members))

    return with_members
