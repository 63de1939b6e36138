"""Operations as rounds and reads: what each operation proposes, and what its result means for the operator."""

import functools

from stoneyoke.api.calls import Acknowledged, Rejected
from stoneyoke.consensus import voter_set
from stoneyoke.consensus.register_value import ChangeFunction, Proposal, ReplicaId, unchanged
from stoneyoke.consensus.voter_set import MemberReport
from stoneyoke.controlplane import configuration_service
from stoneyoke.lab.simulation.exhaustive import invariants
from stoneyoke.lab.simulation.exhaustive.models import Model
from stoneyoke.lab.simulation.exhaustive.snapshots import configuration
from stoneyoke.lab.simulation.exhaustive.state import DesiredMembers, Operation, OperationKind, Process, State

SILENT_S = 2.0  # for how long a silent voter has sent nothing
LOST_S = 1.0  # after this time without a message a voter counts as lost


def desired_members(model: Model, state: State, process: Process, operation: Operation) -> DesiredMembers | None:
    """Returns the voters that a change requests, as Membership.change does; None if there is nothing to change."""
    if operation.kind is not OperationKind.CHANGE or process.chosen is None:
        return None
    value = process.chosen.value
    report = member_report(state, process, operation)
    members = voter_set.next_voters(value.voters.members, report, model.size, LOST_S)
    if operation.members:
        members = tuple(one for one in value.voters.members if one.address in operation.members)
    return DesiredMembers(value, members) if voter_set.voter_change(value, members) else None


def member_report(state: State, process: Process, operation: Operation) -> MemberReport:
    """Returns what the proposer of a change believes of the other controllers, as Membership.report does."""
    assert process.chosen
    members = process.chosen.value.voters.members
    learners: tuple[ReplicaId, ...] = tuple(
        one.replica
        for one in state.processes
        if one.replica not in members and one.chosen and one.chosen.ballot >= process.chosen.ballot
    )
    silent = {member: SILENT_S if member.address in operation.silent else 0.0 for member in members}
    leaving = frozenset(one.replica for one in state.processes if one.replica.address in operation.leaving)
    return MemberReport(silent, leaving, learners)


def may_begin(operation: Operation, desired: DesiredMembers | None) -> bool:
    """Returns whether an operation can start: a change of voters needs something to change."""
    return operation.kind is not OperationKind.CHANGE or desired is not None


def reads_first(process: Process, operation: Operation) -> bool:
    """Returns whether an operation starts with a read.

    Like ConfigurationService.already_chosen: a configuration whose number is not above the one in force needs only a
    read, and no round.
    """
    if operation.kind is OperationKind.READ:
        return True
    known = process.chosen.value.version.number if process.chosen else 0
    return operation.kind is OperationKind.ORDER and all(version.number <= known for version in operation.versions)


def change(operation: Operation, desired: DesiredMembers | None) -> ChangeFunction:
    """Returns the function with which the operation's round changes the value of the register."""
    if operation.kind is OperationKind.ORDER:
        configurations = tuple(configuration(version) for version in operation.versions)
        return functools.partial(configuration_service.apply_replacements, configurations)
    if desired and (membership_change := voter_set.voter_change(desired.based_on, desired.members)):
        return membership_change
    return unchanged


def record_result(state: State, operation: Operation, chosen: Proposal) -> State:
    """Records what the operator receives as the result; checks each acknowledgement and each conflict."""
    if operation.kind is OperationKind.READ:
        return invariants.record_received(state, chosen)
    for version in operation.versions:
        match configuration_service.outcome_of(configuration(version), chosen.value):
            case Acknowledged():
                state = invariants.check_acknowledged(state, version)
                in_force = (version,) if chosen.value.version == version else ()
                state = invariants.record_received(state, chosen, in_force)
            case Rejected():
                state = invariants.check_conflict(state, version)
            case _:
                state = invariants.with_violation(state, f"{version} has no outcome after its round")
    return state
