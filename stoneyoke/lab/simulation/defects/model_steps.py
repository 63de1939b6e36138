"""Defects of the model's own steps: of the failures, the reads and the ballots that it builds."""

from collections.abc import Mapping
from typing import Any

from stoneyoke.consensus import quorum
from stoneyoke.consensus.majority_read import MajorityRead
from stoneyoke.consensus.register_value import Proposal, ReplicaId
from stoneyoke.lab.simulation.defects.patches import Patch
from stoneyoke.lab.simulation.exhaustive import failures, operations, reads, snapshots, state


def lost_disk_same_member() -> list[Patch]:
    """A machine that comes back with an empty disk counts as the same member."""
    real = failures.restart

    def restart(model: Any, before: state.State, process: state.Process, disk: str) -> state.State:
        after = real(model, before, process, disk)
        if not disk:
            return after
        empty = state.process_at(after, process.replica.address)
        return state.with_process(after, empty._replace(replica=process.replica))

    return [Patch(failures, "restart", restart)]


def conflict_from_undecided() -> list[Patch]:
    """An order is refused by a value that its controller has accepted and nobody has chosen."""
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
    """A gateway takes one controller's view for the newest."""

    def newest_view(views: Mapping[ReplicaId, Proposal]) -> Proposal | None:
        return max(views.values(), key=lambda view: view.ballot, default=None)

    return [Patch(reads, "newest_view", newest_view)]


def views_of_new_voters() -> list[Patch]:
    """A gateway asks only the newest voters that it hears of, even while the change to them may fail."""

    def newest_view(views: Mapping[ReplicaId, Proposal]) -> Proposal | None:
        newest = max(views.values(), key=lambda view: view.ballot)
        return newest if quorum.has_read_quorum(newest.value.voters.members, views) else None

    return [Patch(reads, "newest_view", newest_view)]


def ballot_used_twice() -> list[Patch]:
    """A process uses the ballots of its incarnation before again."""
    return [Patch(state.Process, "proposer", lambda self: self.replica.address)]
