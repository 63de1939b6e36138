"""The state of a model: plain hashable values, which the search compares and stores."""

from enum import Enum
from typing import NamedTuple

from stoneyoke.api.configuration import Version
from stoneyoke.consensus.ballot import NO_BALLOT, Ballot
from stoneyoke.consensus.proposal_round import Phase
from stoneyoke.consensus.register_value import Proposal, RegisterValue, ReplicaId


class OperationKind(Enum):
    """What an operation does to the register."""

    ORDER = "order"  # an operator writes a configuration
    CHANGE = "change of voters"
    READ = "read"


class Operation(NamedTuple):
    """One operation that a model runs once, at any time.

    Attributes:
        kind: What it does.
        address: The process that runs it.
        versions: The configurations that it writes, all in one round.
        silent: Addresses that the proposer of a change believes to be silent.
        leaving: Addresses that have announced their shutdown to the proposer of a change.
        members: Addresses of the voters that stay; where empty, `next_members` decides.
        tries: Rounds that the operation may start.
    """

    kind: OperationKind
    address: str
    versions: tuple[Version, ...] = ()
    silent: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()
    members: tuple[str, ...] = ()
    tries: int = 1


class Process(NamedTuple):
    """A controller process.

    `promised` and `accepted` are on its disk and survive a restart; the other fields are lost with the process.

    Attributes:
        replica: Its address and the name of its disk.
        promised: The highest ballot that it has promised.
        accepted: The proposal that it has accepted, if any.
        incarnation: The number of restarts.
        chosen: The newest value that it knows to be chosen.
        counter: The counter of the last ballot that it used as a proposer.
    """

    replica: ReplicaId
    promised: Ballot = NO_BALLOT
    accepted: Proposal | None = None
    incarnation: int = 0
    chosen: Proposal | None = None
    counter: int = 0

    def proposer(self) -> str:
        """The name in its ballots. It differs between incarnations, so that no ballot is used twice."""
        return f"{self.replica.address}.{self.incarnation}"


class RoundSnapshot(NamedTuple):
    """The hashable form of a `ProposalRound`."""

    ballot: Ballot
    known: Proposal
    chosen_voters_number: int
    phase: Phase
    promises: frozenset[tuple[ReplicaId, Proposal | None]]
    accepts: frozenset[ReplicaId]
    proposal: RegisterValue | None
    highest: Ballot


class QuerySnapshot(NamedTuple):
    """The hashable form of a `MajorityRead`."""

    known: Proposal
    chosen_voters_number: int
    replies: frozenset[tuple[ReplicaId, Proposal | None]]


class DesiredMembers(NamedTuple):
    """The voters that a change asks for, based on one chosen value. Each round of the operation asks for the same."""

    based_on: RegisterValue
    members: tuple[ReplicaId, ...]


class LowerBound(NamedTuple):
    """The newest state shown to anybody before an operation started: its result may not be older.

    Attributes:
        ballot: Of the value that was shown.
        number: Of the configuration that was shown.
    """

    ballot: Ballot = NO_BALLOT
    number: int = 0


class OngoingOperation(NamedTuple):
    """An operation between its start and its result. It runs either a round or a query.

    Attributes:
        operation: Its index in the model's operations.
        tries: Rounds that it may still start.
        lower_bound: What its result may not be older than.
        round: The round that it runs, if any.
        query: The query that it runs, if any.
        contacted: Addresses that were asked in the current phase.
        desired: What a change of voters asks for.
    """

    operation: int
    tries: int
    lower_bound: LowerBound
    round: RoundSnapshot | None = None
    query: QuerySnapshot | None = None
    contacted: frozenset[str] = frozenset()
    desired: DesiredMembers | None = None


class Request(NamedTuple):
    """A message to an acceptor that is on its way: prepare where `proposal` is None, else accept."""

    to: str
    sender: str
    ballot: Ballot
    proposal: RegisterValue | None = None


class Reply(NamedTuple):
    """The answer to a request, on its way back. `accepted` comes with a promise only."""

    request: Request
    ok: bool
    voter: ReplicaId
    promised: Ballot
    accepted: Proposal | None


class Gateway(NamedTuple):
    """A gateway that collects the views of controllers until it knows which is the newest."""

    lower_bound: LowerBound
    views: frozenset[tuple[ReplicaId, Proposal]]


class History(NamedTuple):
    """History variables: what has happened over all time. Only the invariants read them, no process does.

    Attributes:
        votes: Pairs of a proposal that is not chosen yet and a member that has accepted it.
        chosen: The chosen values in the order of their ballots, counted from `votes`, not by the code under test.
        parents: Pairs of a proposal's ballot and the ballot of the value that it was built on.
        shown: The newest state that any operator was shown.
        acknowledged: Configurations that were acknowledged to operators as in force.
    """

    votes: frozenset[tuple[Proposal, ReplicaId]]
    chosen: tuple[Proposal, ...]
    parents: frozenset[tuple[Ballot, Ballot]] = frozenset()
    shown: LowerBound = LowerBound()
    acknowledged: frozenset[Version] = frozenset()


class State(NamedTuple):
    """One state of a model.

    Attributes:
        processes: The controllers, in a fixed order.
        ongoing: The operations that have started and not ended, by their index.
        requests: Requests on their way.
        replies: Replies on their way; always empty unless the model has separate replies.
        not_started: Indexes of the operations that have not started.
        crashes: Restarts that may still happen.
        losses: Disks that may still be lost.
        known: Values that any process knows, or once knew, to be chosen.
        gateway: A gateway that collects views; None if the model has none, or if it has its answer.
        history: The history variables.
        violation: The invariant that does not hold, in words; empty while all hold.
    """

    processes: tuple[Process, ...]
    ongoing: tuple[OngoingOperation, ...]
    requests: frozenset[Request]
    replies: frozenset[Reply]
    not_started: tuple[int, ...]
    crashes: int
    losses: int
    known: frozenset[Proposal]
    gateway: Gateway | None
    history: History
    violation: str = ""


class Transition(NamedTuple):
    """A step from one state to the next: what happens, in words, and the state after it."""

    label: str
    after: State


def process_at(state: State, address: str) -> Process:
    """Returns the process at an address."""
    return next(process for process in state.processes if process.replica.address == address)


def with_process(state: State, process: Process) -> State:
    """Returns the state with one process replaced; its address stays."""
    address = process.replica.address
    processes = tuple(process if other.replica.address == address else other for other in state.processes)
    return state._replace(processes=processes)


def with_ongoing(state: State, before: OngoingOperation | None, after: OngoingOperation | None) -> State:
    """Returns the state with one ongoing operation replaced, added (no `before`) or removed (no `after`)."""
    ongoing = [operation for operation in state.ongoing if operation is not before]
    if after is not None:
        ongoing.append(after)
    return state._replace(ongoing=tuple(sorted(ongoing, key=lambda one: one.operation)))


def round_of(state: State, ballot: Ballot) -> tuple[OngoingOperation, RoundSnapshot] | None:
    """Returns the ongoing operation and the round that use a ballot, if that round still runs."""
    for operation in state.ongoing:
        if operation.round and operation.round.ballot == ballot:
            return operation, operation.round
    return None
