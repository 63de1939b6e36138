"""What operators and the tending of the voters ask for, as rounds and reads, and what is made of the result."""

import functools

from stoneyoke.api.calls import Acknowledged, Rejected
from stoneyoke.consensus import voter_set
from stoneyoke.consensus.protocol import Accepted, Change, ReplicaId
from stoneyoke.consensus.replication import unchanged
from stoneyoke.consensus.voter_set import MemberReport
from stoneyoke.controlplane import configuration_service
from stoneyoke.lab.simulation.exhaustive import checks
from stoneyoke.lab.simulation.exhaustive.state import Kind, Operation, Process, State, Wish, configuration
from stoneyoke.lab.simulation.exhaustive.worlds import World

SILENT_S, LOST_S = 2.0, 1.0


def wish(world: World, state: State, process: Process, operation: Operation) -> Wish | None:
    """As Membership.change, with what it would have heard of the others."""
    if operation.kind is not Kind.CHANGE or process.chosen is None:
        return None
    value = process.chosen.value
    report = member_report(state, process, operation)
    wanted = voter_set.next_members(value.voters.members, report, world.size, LOST_S)
    if operation.members:
        wanted = tuple(one for one in value.voters.members if one.address in operation.members)
    return Wish(value, wanted) if voter_set.change_of_voters(value, wanted) else None


def member_report(state: State, process: Process, operation: Operation) -> MemberReport:
    """As Membership.report and learners."""
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


def may_begin(operation: Operation, wish: Wish | None) -> bool:
    return operation.kind is not Kind.CHANGE or wish is not None


def reads_first(process: Process, operation: Operation) -> bool:
    """As ConfigurationService.already_chosen: orders that are not above what is known are settled by a read."""
    if operation.kind is Kind.READ:
        return True
    known = process.chosen.value.version.number if process.chosen else 0
    return operation.kind is Kind.ORDER and all(version.number <= known for version in operation.versions)


def change(operation: Operation, wish: Wish | None) -> Change:
    if operation.kind is Kind.ORDER:
        orders = tuple(configuration(version) for version in operation.versions)
        return functools.partial(configuration_service.applied, orders)
    if wish and (wished := voter_set.change_of_voters(wish.on, wish.members)):
        return wished
    return unchanged


def answer(state: State, operation: Operation, chosen: Accepted) -> State:
    """What the operator is told."""
    if operation.kind is Kind.READ:
        return checks.note_shown(state, chosen)
    for version in operation.versions:
        told = configuration_service.verdict(configuration(version), chosen.value)
        match told:
            case Acknowledged():
                state = checks.check_acknowledged(state, version)
                in_force = (version,) if chosen.value.version == version else ()
                state = checks.note_shown(state, chosen, in_force)
            case Rejected():
                state = checks.check_conflict(state, version)
            case _:
                state = checks.breaks(state, f"{version} has no answer after its round")
    return state
