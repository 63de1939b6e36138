"""What must hold in each state. What is chosen is counted here from the acceptors' records over all time, by counting
of its own: the code under test is not asked for it."""

from collections.abc import Iterable

from stoneyoke.api.configuration import Version
from stoneyoke.consensus.protocol import Accepted, Ballot, RegisterValue, ReplicaId
from stoneyoke.lab.simulation.exhaustive.state import History, LowerBound, State, voters_text


def is_majority_of(group: Iterable[ReplicaId], members: set[ReplicaId]) -> bool:
    all_members = set(group)
    return 2 * len(all_members & members) > len(all_members)


def is_decided(value: RegisterValue, holders: set[ReplicaId]) -> bool:
    """By the voters and, while a change to them is under way, by those before."""
    before = not value.previous or is_majority_of(value.previous, holders)
    return before and is_majority_of(value.voters.members, holders)


def with_violation(state: State, what: str) -> State:
    return state if state.violation else state._replace(violation=what)


def describe(value: Accepted) -> str:
    version = value.value.version
    return (
        f"{version}{version.digest.decode()} under {value.ballot.counter}{value.ballot.proposer} "
        f"by {voters_text(value.value.voters)}" + (" joint" if value.value.previous else "")
    )


# ---- what the ghost notes ----


def record_vote(state: State, voter: ReplicaId, proposal: Accepted) -> State:
    """A member has accepted a proposal."""
    history = state.history
    if any(one == proposal for one in history.chosen):
        return state
    votes = history.votes | {(proposal, voter)}
    holders = {member for value, member in votes if value == proposal}
    if not is_decided(proposal.value, holders):
        return state._replace(history=history._replace(votes=votes))
    left = frozenset(vote for vote in votes if vote[0] != proposal)
    chosen = tuple(sorted((*history.chosen, proposal), key=lambda one: one.ballot))
    state = state._replace(history=history._replace(votes=left, chosen=chosen))
    wrong = order_violation(state.history)
    return with_violation(state, wrong) if wrong else state


def record_parent(state: State, ballot: Ballot, parent: Ballot) -> State:
    history = state.history
    return state._replace(history=history._replace(parents=history.parents | {(ballot, parent)}))


def record_shown(state: State, chosen: Accepted, acknowledged: tuple[Version, ...] = ()) -> State:
    """An operator was told of this value."""
    history = state.history
    shown = LowerBound(max(history.shown.ballot, chosen.ballot), max(history.shown.number, chosen.value.version.number))
    return state._replace(
        history=history._replace(shown=shown, acknowledged=history.acknowledged | frozenset(acknowledged))
    )


# ---- what must hold ----


def order_violation(history: History) -> str:
    """Any two chosen values are ordered: the later one is built on the earlier one."""
    parents = dict(history.parents)
    for earlier, later in zip(history.chosen, history.chosen[1:], strict=False):
        if earlier.ballot == later.ballot:
            return f"two values chosen under one ballot: {describe(earlier)}; {describe(later)}"
        at = later.ballot
        while at > earlier.ballot and at in parents:
            if parents[at] >= at:  # and a check that went on would not end
                return f"a ballot used twice: {at.counter}{at.proposer}"
            at = parents[at]
        if at != earlier.ballot:
            return f"chosen past each other: {describe(earlier)}; {describe(later)}"
        if wrong := incompatibility(earlier.value, later.value):
            return f"{wrong}: {describe(earlier)}; {describe(later)}"
    return ""


def incompatibility(earlier: RegisterValue, later: RegisterValue) -> str:
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


def check_chosen(state: State, chosen: Accepted, who: str) -> State:
    """Somebody takes a value for chosen."""
    if any(one == chosen for one in state.history.chosen):
        return state
    return with_violation(state, f"{who} takes for chosen what is not: {describe(chosen)}")


def check_voter_set_number(state: State, number: int, who: str) -> State:
    """Somebody takes a set of voters for chosen."""
    if number <= max(one.value.voters.number for one in state.history.chosen):
        return state
    return with_violation(state, f"{who} takes voters {number} for chosen, and they are not")


def check_not_stale(state: State, chosen: Accepted, lower_bound: LowerBound, who: str) -> State:
    """A result is no older than what had been shown when its operation began."""
    if chosen.ballot < lower_bound.ballot or chosen.value.version.number < lower_bound.number:
        return with_violation(state, f"{who} goes back to {describe(chosen)} from {lower_bound}")
    return state


def check_conflict(state: State, version: Version) -> State:
    """An order is refused: another content is chosen under its number, and it was never chosen itself."""
    versions = {one.value.version for one in state.history.chosen}
    if version in versions or version in state.history.acknowledged:
        return with_violation(state, f"{version}{version.digest.decode()} is refused, and it was in force")
    if not any(one.number == version.number for one in versions):
        return with_violation(
            state, f"{version}{version.digest.decode()} is refused, and nothing is chosen under its number"
        )
    return state


def check_acknowledged(state: State, version: Version) -> State:
    """An order is acknowledged: it, or something above it, is chosen."""
    versions = {one.value.version for one in state.history.chosen}
    if version in versions or any(one.number > version.number for one in versions):
        return state
    return with_violation(state, f"{version}{version.digest.decode()} is acknowledged, and not chosen")


def check_view(state: State, newest: Accepted, lower_bound: LowerBound) -> State:
    """What a gateway takes for new enough."""
    if newest.ballot < lower_bound.ballot or newest.value.version.number < lower_bound.number:
        return with_violation(state, f"a gateway takes {describe(newest)} for new, {lower_bound} was shown before")
    return state
