"""Conversions between the hashable states of a model and the real objects whose code the transitions run."""

from collections.abc import Callable, Coroutine
from typing import Any, cast

from stoneyoke.api.configuration import Configuration, Version
from stoneyoke.api.configuration_schema import LimitSettings
from stoneyoke.consensus.acceptor import Acceptor
from stoneyoke.consensus.majority_read import MajorityRead
from stoneyoke.consensus.proposal_round import Phase, ProposalRound
from stoneyoke.consensus.register_value import ChangeFunction
from stoneyoke.consensus.replica import Replica
from stoneyoke.lab.simulation.exhaustive.state import Process, QuerySnapshot, RoundSnapshot
from stoneyoke.storage.record_store import LoadedRecord


class NullRecordStore:
    """A record store that stores nothing: the contents of the disks are part of the state of the model."""

    def save(self, family: str, record: Any) -> None:
        """Ignores the record."""

    def load(self, family: str) -> LoadedRecord:  # noqa: ARG002 -- the signature of RecordStore
        """Returns no record and no damaged files."""
        return LoadedRecord(None, [])


NULL_RECORD_STORE = NullRecordStore()


async def run_inline(work: Callable[..., Any], *arguments: Any) -> Any:
    """Runs work immediately that a controller would run in a thread."""
    return work(*arguments)


def run_to_completion(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Returns the result of a coroutine that never suspends.

    Raises:
        AssertionError: The coroutine suspends.
    """
    try:
        coroutine.send(None)
    except StopIteration as done:
        return done.value
    raise AssertionError("the coroutine waits")


def do_nothing() -> None:
    """Replaces the callback that a replica calls when its chosen value changes."""


def restore_replica(process: Process) -> Replica:
    """Returns a replica with the state of a process."""
    replica = Replica(process.replica.address, NULL_RECORD_STORE, run_inline, do_nothing)
    replica.identity = process.replica
    replica.acceptor = Acceptor(process.promised, process.accepted)
    replica.chosen = process.chosen
    return replica


def snapshot_replica(replica: Replica, process: Process) -> Process:
    """Returns the process with the current state of its replica."""
    acceptor = replica.acceptor
    return process._replace(promised=acceptor.promised, accepted=acceptor.accepted, chosen=replica.chosen)


def restore_round(snapshot: RoundSnapshot, change: ChangeFunction) -> ProposalRound:
    """Returns the round of a snapshot. Its change is a function, so the snapshot does not contain it."""
    return ProposalRound(
        ballot=snapshot.ballot,
        known=snapshot.known,
        chosen_voters_number=snapshot.chosen_voters_number,
        change=change,
        phase=snapshot.phase,
        promises=dict(snapshot.promises),
        acceptances=set(snapshot.accepts),
        proposed_value=snapshot.proposal,
        highest_refusal=snapshot.highest,
    )


def snapshot_round(current: ProposalRound) -> RoundSnapshot:
    """Returns the snapshot of a round. It omits the promises after the first phase: the proposal has their result."""
    return RoundSnapshot(
        current.ballot,
        current.known,
        current.chosen_voters_number,
        current.phase,
        frozenset(current.promises.items()) if current.phase is Phase.PREPARE else frozenset(),
        frozenset(current.acceptances),
        current.proposed_value,
        current.highest_refusal,
    )


def restore_query(snapshot: QuerySnapshot) -> MajorityRead:
    """Returns the query of a snapshot."""
    return MajorityRead(snapshot.known, snapshot.chosen_voters_number, dict(snapshot.responses))


def snapshot_query(current: MajorityRead) -> QuerySnapshot:
    """Returns the snapshot of a query."""
    return QuerySnapshot(current.known, current.chosen_voters_number, frozenset(current.responses.items()))


def configuration(version: Version) -> Configuration:
    """Returns an operator's configuration. Its body is its digest, so that a body of another version is detected."""
    no_limits = cast(LimitSettings, {})  # the models read no limits
    return Configuration(version=version, body=version.digest, services={}, limits=no_limits, tenants=None, hosts=[])
