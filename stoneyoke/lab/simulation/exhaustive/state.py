"""A state of a small world, as plain hashable values, and the real objects made from it and taken back into it."""

from collections.abc import Callable, Coroutine
from enum import Enum
from typing import Any, NamedTuple

from stoneyoke.api.configuration import Configuration, Version
from stoneyoke.consensus.protocol import (
    NO_BALLOT,
    Accepted,
    Acceptor,
    Ballot,
    Change,
    Phase,
    Query,
    RegisterValue,
    ReplicaId,
    Round,
    VoterSet,
)
from stoneyoke.consensus.replica import Replica


class OperationKind(Enum):
    """What an operation does."""

    ORDER = "order"
    CHANGE = "change of voters"
    READ = "read"


class Operation(NamedTuple):
    """Something that one process is to do, at any time.

    versions: what is ordered, all in one round. silent, leaving: addresses that the proposer of a change takes for
    silent, or was told are ending. members: addresses of the voters that are to stay, in
    place of what next_members would say. tries: rounds that it may begin."""

    kind: OperationKind
    at: str
    versions: tuple[Version, ...] = ()
    silent: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()
    members: tuple[str, ...] = ()
    tries: int = 1


class Process(NamedTuple):
    """A controller. promised and accepted are on its disk, the rest is lost with the process."""

    replica: ReplicaId
    promised: Ballot = NO_BALLOT
    accepted: Accepted | None = None
    incarnation: int = 0
    chosen: Accepted | None = None
    counter: int = 0  # of the last ballot that it has used

    def proposer(self) -> str:
        return f"{self.replica.address}.{self.incarnation}"


class RoundSnapshot(NamedTuple):
    ballot: Ballot
    known: Accepted
    chosen_number: int
    phase: Phase
    promises: frozenset[tuple[ReplicaId, Accepted | None]]
    accepts: frozenset[ReplicaId]
    proposal: RegisterValue | None
    highest: Ballot


class QuerySnapshot(NamedTuple):
    known: Accepted
    chosen_number: int
    replies: frozenset[tuple[ReplicaId, Accepted | None]]


class DesiredMembers(NamedTuple):
    """What a change of voters wants. It stays the same in each of its rounds."""

    on: RegisterValue
    members: tuple[ReplicaId, ...]


class LowerBound(NamedTuple):
    """What had been shown to anybody when something began: its result may not be older."""

    ballot: Ballot = NO_BALLOT
    number: int = 0  # of the configuration


class OngoingOperation(NamedTuple):
    """An operation under way: a round or a query. asked: addresses asked in this phase."""

    operation: int
    tries: int
    lower_bound: LowerBound
    round: RoundSnapshot | None = None
    query: QuerySnapshot | None = None
    contacted: frozenset[str] = frozenset()
    desired: DesiredMembers | None = None


class Request(NamedTuple):
    """A message to an acceptor. proposal: None to prepare."""

    to: str
    sender: str
    ballot: Ballot
    proposal: RegisterValue | None = None


class Reply(NamedTuple):
    """Its answer. accepted: told with a promise."""

    request: Request
    ok: bool
    voter: ReplicaId
    promised: Ballot
    accepted: Accepted | None


class Gateway(NamedTuple):
    """A gateway that collects views."""

    lower_bound: LowerBound
    views: frozenset[tuple[ReplicaId, Accepted]]


class History(NamedTuple):
    """What the checks know and no process: seen from outside, over all time.

    votes: members that have accepted under a ballot, of values that are not chosen yet. chosen: by ballot, counted here
    and not by the code under test. parents: on which ballot's value each proposal was built. shown: the newest that any
    operator was told. acknowledged: contents whose operators were told that they are in force."""

    votes: frozenset[tuple[Accepted, ReplicaId]]
    chosen: tuple[Accepted, ...]
    parents: frozenset[tuple[Ballot, Ballot]] = frozenset()
    shown: LowerBound = LowerBound()
    acknowledged: frozenset[Version] = frozenset()


class State(NamedTuple):
    """waiting: operations that have not begun. known: values that any process knows, or knew, to be chosen."""

    processes: tuple[Process, ...]
    ongoing: tuple[OngoingOperation, ...]
    requests: frozenset[Request]
    replies: frozenset[Reply]
    not_started: tuple[int, ...]
    crashes: int
    losses: int
    known: frozenset[Accepted]
    gateway: Gateway | None
    history: History
    violation: str = ""


Transition = tuple[str, State]  # what happens, and the state after it


# ---- the real objects ----


class NullRecordStore:
    """A disk that holds what the state holds."""

    def keep(self, family: str, record: Any) -> None:
        pass

    def load(self, family: str) -> tuple[None, list[str]]:
        return None, []


NULL_RECORD_STORE = NullRecordStore()


async def run_inline(step: Callable[..., Any], *arguments: Any) -> Any:
    return step(*arguments)


def run_to_completion(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """The result of one that never waits."""
    try:
        coroutine.send(None)
    except StopIteration as done:
        return done.value
    raise AssertionError("it waits")


def do_nothing() -> None:
    pass


def restore_replica(process: Process) -> Replica:
    replica = Replica(process.replica.address, NULL_RECORD_STORE, run_inline, do_nothing)
    replica.identity = process.replica
    replica.acceptor = Acceptor(process.promised, process.accepted)
    replica.chosen = process.chosen
    return replica


def snapshot_replica(replica: Replica, process: Process) -> Process:
    acceptor = replica.acceptor
    return process._replace(promised=acceptor.promised, accepted=acceptor.accepted, chosen=replica.chosen)


def restore_round(snapshot: RoundSnapshot, change: Change) -> Round:
    return Round(
        snapshot.ballot,
        snapshot.known,
        snapshot.chosen_number,
        change,
        snapshot.phase,
        dict(snapshot.promises),
        set(snapshot.accepts),
        snapshot.proposal,
        snapshot.highest,
    )


def snapshot_round(current: Round) -> RoundSnapshot:
    """Promises count in the first phase only: what was found there is in the proposal."""
    return RoundSnapshot(
        current.ballot,
        current.known,
        current.chosen_number,
        current.phase,
        frozenset(current.promises.items()) if current.phase is Phase.PREPARE else frozenset(),
        frozenset(current.accepts),
        current.proposal,
        current.highest,
    )


def restore_query(snapshot: QuerySnapshot) -> Query:
    return Query(snapshot.known, snapshot.chosen_number, dict(snapshot.replies))


def snapshot_query(current: Query) -> QuerySnapshot:
    return QuerySnapshot(current.known, current.chosen_number, frozenset(current.replies.items()))


def configuration(version: Version) -> Configuration:
    """An order's content: its text is its digest."""
    return Configuration(version, version.digest, {}, {}, None, [])


def voters_text(voters: VoterSet) -> str:
    return f"{voters.number}:" + ",".join(f"{one.address}/{one.disk}" for one in voters.members)


# ---- records in a state ----


def process_at(state: State, address: str) -> Process:
    return next(one for one in state.processes if one.replica.address == address)


def with_process(state: State, process: Process) -> State:
    address = process.replica.address
    return state._replace(
        processes=tuple(process if one.replica.address == address else one for one in state.processes)
    )


def with_ongoing(state: State, before: OngoingOperation | None, after: OngoingOperation | None) -> State:
    """One operation's record replaced, added or taken out."""
    kept = [one for one in state.ongoing if one is not before]
    return state._replace(ongoing=tuple(sorted((*kept, *((after,) if after else ())), key=lambda one: one.operation)))


def round_of(state: State, ballot: Ballot) -> tuple[OngoingOperation, RoundSnapshot] | None:
    for one in state.ongoing:
        if one.round and one.round.ballot == ballot:
            return one, one.round
    return None
