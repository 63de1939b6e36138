"""Invariants of the register, which are checked in each state, and updates of the history variables that they use.

Which values are chosen is computed here from all votes ever cast, independently of the code under test.
"""

from collections.abc import Iterable

from stoneyoke.api.configuration import Version
from stoneyoke.consensus.ballot import Ballot
from stoneyoke.consensus.register_value import Proposal, RegisterValue, ReplicaId, VoterSet
from stoneyoke.lab.simulation.exhaustive.state import History, LowerBound, State


def is_majority_of(group: Iterable[ReplicaId], members: set[ReplicaId]) -> bool:
    """Returns whether the members include more than half of a group."""
    all_members = set(group)
    return 2 * len(all_members & members) > len(all_members)


def is_chosen(value: RegisterValue, accepted_by: set[ReplicaId]) -> bool:
    """Returns whether the members that accepted a value choose it.

    They need a majority of its voters and, during a change of voters, a majority of the previous voters, too.
    """
    before = not value.previous or is_majority_of(value.previous, accepted_by)
    return before and is_majority_of(value.voters.members, accepted_by)


def with_violation(state: State, violation: str) -> State:
    """Returns the state with a violation; keeps the first one if there is one already."""
    return state if state.violation else state._replace(violation=violation)


def describe_version(version: Version) -> str:
    """Returns the number and the content of a configuration, formatted for messages."""
    return f"{version}{version.digest.decode()}"


def describe_voters(voters: VoterSet) -> str:
    """Returns a voter set, formatted for messages."""
    return f"{voters.number}:" + ",".join(f"{one.address}/{one.disk}" for one in voters.members)


def describe_proposal(value: Proposal) -> str:
    """Returns a proposal, formatted for messages."""
    ballot, voters = value.ballot, describe_voters(value.value.voters)
    joint = " joint" if value.value.previous else ""
    return f"{describe_version(value.value.version)} under {ballot.counter}{ballot.proposer} by {voters}{joint}"


# ---- history variables ----


def record_vote(state: State, voter: ReplicaId, proposal: Proposal) -> State:
    """Records that a member has accepted a proposal; if that chooses it, checks the sequence of all chosen values."""
    history = state.history
    if any(one == proposal for one in history.chosen):
        return state
    votes = history.votes | {(proposal, voter)}
    accepted_by = {member for value, member in votes if value == proposal}
    if not is_chosen(proposal.value, accepted_by):
        return state._replace(history=history._replace(votes=votes))
    remaining = frozenset(vote for vote in votes if vote[0] != proposal)
    chosen = tuple(sorted((*history.chosen, proposal), key=lambda one: one.ballot))
    state = state._replace(history=history._replace(votes=remaining, chosen=chosen))
    violation = order_violation(state.history)
    return with_violation(state, violation) if violation else state


def record_parent(state: State, ballot: Ballot, parent: Ballot) -> State:
    """Records the ballot of the value that a proposal is based on."""
    history = state.history
    return state._replace(history=history._replace(parents=history.parents | {(ballot, parent)}))


def record_received(state: State, chosen: Proposal, acknowledged: tuple[Version, ...] = ()) -> State:
    """Records that an operator received a value, and which configurations were acknowledged as in force."""
    history = state.history
    ballot = max(history.newest_received.ballot, chosen.ballot)
    number = max(history.newest_received.number, chosen.value.version.number)
    in_force = history.acknowledged | frozenset(acknowledged)
    return state._replace(history=history._replace(newest_received=LowerBound(ballot, number), acknowledged=in_force))


# ---- invariants ----


def order_violation(history: History) -> str:
    """Checks that each chosen value is based on the previous chosen value.

    Returns:
        A description of the violation; empty if there is none.
    """
    parents = dict(history.parents)
    for earlier, later in zip(history.chosen, history.chosen[1:], strict=False):
        if earlier.ballot == later.ballot:
            return f"two values chosen with one ballot: {describe_proposal(earlier)}; {describe_proposal(later)}"
        ancestor = later.ballot
        while ancestor > earlier.ballot and ancestor in parents:
            if parents[ancestor] >= ancestor:  # otherwise the loop would not terminate
                return f"a ballot used twice: {ancestor.counter}{ancestor.proposer}"
            ancestor = parents[ancestor]
        if ancestor != earlier.ballot:
            return f"not based on the previous chosen value: {describe_proposal(earlier)}; {describe_proposal(later)}"
        if violation := succession_violation(earlier.value, later.value):
            return f"{violation}: {describe_proposal(earlier)}; {describe_proposal(later)}"
    return ""


def succession_violation(earlier: RegisterValue, later: RegisterValue) -> str:
    """Checks that a chosen value may directly follow another one; returns the violation, or "" if there is none."""
    same_number = later.version.number == earlier.version.number
    same_voter_number = later.voters.number == earlier.voters.number
    failed = [
        (later.version.number < earlier.version.number, "an older configuration chosen"),
        (same_number and later.version != earlier.version, "two contents under one number"),
        (later.body != later.version.digest, "a content that does not belong to its version"),
        (not 0 <= later.voters.number - earlier.voters.number <= 1, "a voter set skipped"),
        (same_voter_number and later.voters != earlier.voters, "two voter sets under one number"),
    ]
    return next((violation for is_violated, violation in failed if is_violated), "")


def check_chosen(state: State, value: Proposal, address: str) -> State:
    """Checks that a value that a process believes to be chosen is chosen."""
    if any(one == value for one in state.history.chosen):
        return state
    return with_violation(state, f"{address} believes that a value is chosen that is not: {describe_proposal(value)}")


def check_voter_set_number(state: State, number: int, address: str) -> State:
    """Checks that the voter set whose number a process believes to be chosen is chosen."""
    if number <= max(one.value.voters.number for one in state.history.chosen):
        return state
    return with_violation(state, f"{address} believes that voter set {number} is chosen, and it is not")


def is_older(value: Proposal, lower_bound: LowerBound) -> bool:
    """Returns whether a value is older than the newest one that an operator had received."""
    return value.ballot < lower_bound.ballot or value.value.version.number < lower_bound.number


def check_not_stale(state: State, chosen: Proposal, lower_bound: LowerBound, address: str) -> State:
    """Checks that a result is not older than what operators had received when its operation started."""
    if is_older(chosen, lower_bound):
        return with_violation(
            state, f"{address} returns {describe_proposal(chosen)}, although {lower_bound} was received before"
        )
    return state


def check_view(state: State, newest: Proposal, lower_bound: LowerBound) -> State:
    """Checks that the view that a gateway believes to be the newest is not older than what operators had received."""
    if is_older(newest, lower_bound):
        return with_violation(
            state, f"a gateway uses {describe_proposal(newest)}, although {lower_bound} was received before"
        )
    return state


def check_conflict(state: State, version: Version) -> State:
    """Checks a conflict response: another content is chosen under the number, and this one was never chosen."""
    versions = {one.value.version for one in state.history.chosen}
    name = describe_version(version)
    if version in versions or version in state.history.acknowledged:
        return with_violation(state, f"{name} is rejected as a conflict, and it was in force")
    if not any(one.number == version.number for one in versions):
        return with_violation(state, f"{name} is rejected as a conflict, and nothing is chosen under its number")
    return state


def check_acknowledged(state: State, version: Version) -> State:
    """Checks an acknowledgement: the configuration or one with a higher number is chosen."""
    versions = {one.value.version for one in state.history.chosen}
    if version in versions or any(one.number > version.number for one in versions):
        return state
    return with_violation(state, f"{describe_version(version)} is acknowledged and not chosen")
