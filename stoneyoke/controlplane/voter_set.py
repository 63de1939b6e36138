"""Changes of who votes, one member at a time. No I/O.

The list with number n + 1 is decided once, by the voters of list n: a round asks them to promise, then to accept (the
highest accepted list of those that promised is taken on, as in any single decision by majority). Who has accepted does
not vote any more until the new list is sure: so nothing is acknowledged under n once a majority has accepted, and what
was acknowledged before is held by one of them. It is copied to a majority of the new list, then the list is sure.
Neighbouring lists differ by one member, and any majorities of theirs meet."""

from collections.abc import Mapping
from dataclasses import dataclass

from stoneyoke.controlplane.quorum import majority
from stoneyoke.controlplane.replica import Ballot, VoterSet

STEADY_S = 2.0  # a core in touch for so long may vote
LOST_S = 30.0  # a voter silent for so long is replaced: longer than any start, cut or slow disk that it comes back from


def wanted_size(losses: int) -> int:
    """So many voters that a majority outlives as many losses."""
    return max(3, 2 * losses + 1)


def change(crew: VoterSet, silent_s: Mapping[str, float], steady_s: Mapping[str, float], size: int) -> tuple[str, ...]:
    """The next list, the same one if nothing is to change. silent_s: for how long each voter was not heard, 0 for this
    core; steady_s: for how long each core that does not vote has been in touch without a break."""
    names = set(crew.names)
    lost = sorted((name for name in names if silent_s.get(name, 0.0) > LOST_S), key=lambda name: -silent_s[name])
    ready = sorted(name for name, for_s in steady_s.items() if for_s >= STEADY_S and name not in names)
    if len(names) > size and lost:
        rest = names - {lost[0]}
        heard = sum(silent_s.get(name, 0.0) < STEADY_S for name in rest)
        return tuple(sorted(rest)) if heard >= majority(len(rest)) else crew.names
    if ready and (len(names) < size or lost and len(names) == size):
        return tuple(sorted(names | {ready[0]}))
    return crew.names


@dataclass(frozen=True, slots=True)
class Reply:
    """A voter's answer to a round."""

    ok: bool
    crew: VoterSet
    promised: Ballot
    pending: tuple[Ballot, tuple[str, ...]] | None


def to_propose(wish: tuple[str, ...], replies: list[Reply]) -> tuple[str, ...]:
    """What a round may ask to accept, told by those that promised: a list that may be decided already goes first."""
    accepted = [reply.pending for reply in replies if reply.ok and reply.pending]
    return max(accepted)[1] if accepted else wish
