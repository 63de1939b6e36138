"""Defects in the steps of the model itself: its failures, its reads and its ballots."""

from collections.abc import Mapping
from typing import Any

from stoneyoke.consensus import quorum
from stoneyoke.consensus.majority_read import MajorityRead
from stoneyoke.consensus.register_value import Proposal, ReplicaId
from stoneyoke.lab.simulation.defects.patches import Patch
from stoneyoke.lab.simulation.exhaustive import failures, operations, reads, snapshots, state


def lost_disk_same_member() -> list[Patch]:
    """A machine that restarts with an empty disk counts as the same member."""
    real = failures.restart

    def restart(model: Any, before: state.State, process: state.Process, disk: str) -> state.State:
        after = real(model, before, process, disk)
        if not disk:
            return after
        empty = state.process_at(after, process.replica.address)
        return state.with_process(after, empty._replace(replica=process.replica))

    return [Patch(failures, "restart", restart)]


def conflict_from_undecided() -> list[Patch]:
    """A controller rejects a configuration change because of a value that it has accepted and that is not chosen."""
    real = operations.reads_first

    def reads_first(process: state.Process, operation: state.Operation) -> bool:
        view = snapshots.restore_replica(process).view()
        known = view.value.version.number if view else 0
        orders = operation.kind is state.OperationKind.ORDER
        return real(process, operation) or orders and all(one.number <= known for one in operation.versions)

    def chosen_proposal(self: MajorityRead) -> Proposal:
        return self.known

    return [Patch(operations, "reads_first", reads_first), Patch(MajorityRead, "chosen_proposal", chosen_proposal)]


def one_view_enough() -> list[Patch]:
    """A gateway considers the view of a single controller the newest."""

    def newest_view(views: Mapping[ReplicaId, Proposal]) -> Proposal | None:
        return max(views.values(), key=lambda view: view.ballot, default=None)

    return [Patch(reads, "newest_view", newest_view)]


def views_of_new_voters() -> list[Patch]:
    """A gateway needs a quorum of the newest voters only, though the change to them may not be chosen."""

    def newest_view(views: Mapping[ReplicaId, Proposal]) -> Proposal | None:
        newest = max(views.values(), key=lambda view: view.ballot)
        return newest if quorum.has_read_quorum(newest.value.voters.members, views) else None

    return [Patch(reads, "newest_view", newest_view)]


def ballot_used_twice() -> list[Patch]:
    """A process reuses the ballots of its previous incarnation."""
    return [Patch(state.Process, "proposer", lambda self: self.replica.address)]
