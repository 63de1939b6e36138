"""What must hold in each state. What is chosen is counted here from the acceptors' records over all time, by counting
of its own: the code under test is not asked for it."""

from collections.abc import Iterable

from stoneyoke.api.configuration import Version
from stoneyoke.consensus.protocol import Accepted, Ballot, RegisterValue, ReplicaId
from stoneyoke.lab.simulation.exhaustive.state import Floor, Ghost, State, voters_text


def by_more_than_half(group: Iterable[ReplicaId], members: set[ReplicaId]) -> bool:
    all_members = set(group)
    return 2 * len(all_members & members) > len(all_members)


def is_decided(value: RegisterValue, holders: set[ReplicaId]) -> bool:
    """By the voters and, while a change to them is under way, by those before."""
    before = not value.previous or by_more_than_half(value.previous, holders)
    return before and by_more_than_half(value.voters.members, holders)


def breaks(state: State, what: str) -> State:
    return state if state.broken else state._replace(broken=what)


def told(value: Accepted) -> str:
    version = value.value.version
    return (
        f"{version}{version.digest.decode()} under {value.ballot.counter}{value.ballot.proposer} "
        f"by {voters_text(value.value.voters)}" + (" joint" if value.value.previous else "")
    )


# ---- what the ghost notes ----


def note_vote(state: State, voter: ReplicaId, proposal: Accepted) -> State:
    """A member has accepted a proposal."""
    ghost = state.ghost
    if any(one == proposal for one in ghost.chosen):
        return state
    votes = ghost.votes | {(proposal, voter)}
    holders = {member for value, member in votes if value == proposal}
    if not is_decided(proposal.value, holders):
        return state._replace(ghost=ghost._replace(votes=votes))
    left = frozenset(vote for vote in votes if vote[0] != proposal)
    chosen = tuple(sorted((*ghost.chosen, proposal), key=lambda one: one.ballot))
    state = state._replace(ghost=ghost._replace(votes=left, chosen=chosen))
    wrong = disordered(state.ghost)
    return breaks(state, wrong) if wrong else state


def note_parent(state: State, ballot: Ballot, parent: Ballot) -> State:
    ghost = state.ghost
    return state._replace(ghost=ghost._replace(parents=ghost.parents | {(ballot, parent)}))


def note_shown(state: State, chosen: Accepted, acknowledged: tuple[Version, ...] = ()) -> State:
    """An operator was told of this value."""
    ghost = state.ghost
    shown = Floor(max(ghost.shown.ballot, chosen.ballot), max(ghost.shown.number, chosen.value.version.number))
    return state._replace(ghost=ghost._replace(shown=shown, acknowledged=ghost.acknowledged | frozenset(acknowledged)))


# ---- what must hold ----


def disordered(ghost: Ghost) -> str:
    """Any two chosen values are ordered: the later one is built on the earlier one."""
    parents = dict(ghost.parents)
    for earlier, later in zip(ghost.chosen, ghost.chosen[1:], strict=False):
        if earlier.ballot == later.ballot:
            return f"two values chosen under one ballot: {told(earlier)}; {told(later)}"
        at = later.ballot
        while at > earlier.ballot and at in parents:
            if parents[at] >= at:  # and a check that went on would not end
                return f"a ballot used twice: {at.counter}{at.proposer}"
            at = parents[at]
        if at != earlier.ballot:
            return f"chosen past each other: {told(earlier)}; {told(later)}"
        if wrong := unlike(earlier.value, later.value):
            return f"{wrong}: {told(earlier)}; {told(later)}"
    return ""


def unlike(earlier: RegisterValue, later: RegisterValue) -> str:
    if later.version.number < earlier.version.number:
        return "an older configuration chosen"
    if later.version.number == earlier.version.number and later.version != earlier.version:
        return "two contents under one number"
    if later.body != later.version.digest:
        return "a text that is not of its version"
    if later.voters.number not in (earlier.voters.number, earlier.voters.number + 1):
        return "a set of voters left out"
    if later.voters.number == earlier.voters.number and later.voters != earlier.voters:
        return "two sets of voters under one number"
    return ""


def check_claim(state: State, chosen: Accepted, who: str) -> State:
    """Somebody takes a value for chosen."""
    if any(one == chosen for one in state.ghost.chosen):
        return state
    return breaks(state, f"{who} takes for chosen what is not: {told(chosen)}")


def check_number(state: State, number: int, who: str) -> State:
    """Somebody takes a set of voters for chosen."""
    if number <= max(one.value.voters.number for one in state.ghost.chosen):
        return state
    return breaks(state, f"{who} takes voters {number} for chosen, and they are not")


def check_fresh(state: State, chosen: Accepted, floor: Floor, who: str) -> State:
    """A result is no older than what had been shown when its operation began."""
    if chosen.ballot < floor.ballot or chosen.value.version.number < floor.number:
        return breaks(state, f"{who} goes back to {told(chosen)} from {floor}")
    return state


def check_conflict(state: State, version: Version) -> State:
    """An order is refused: another content is chosen under its number, and it was never chosen itself."""
    versions = {one.value.version for one in state.ghost.chosen}
    if version in versions or version in state.ghost.acknowledged:
        return breaks(state, f"{version}{version.digest.decode()} is refused, and it was in force")
    if not any(one.number == version.number for one in versions):
        return breaks(state, f"{version}{version.digest.decode()} is refused, and nothing is chosen under its number")
    return state


def check_acknowledged(state: State, version: Version) -> State:
    """An order is acknowledged: it, or something above it, is chosen."""
    versions = {one.value.version for one in state.ghost.chosen}
    if version in versions or any(one.number > version.number for one in versions):
        return state
    return breaks(state, f"{version}{version.digest.decode()} is acknowledged, and not chosen")


def check_view(state: State, newest: Accepted, floor: Floor) -> State:
    """What a gateway takes for new enough."""
    if newest.ballot < floor.ballot or newest.value.version.number < floor.number:
        return breaks(state, f"a gateway takes {told(newest)} for new, {floor} was shown before")
    return state
