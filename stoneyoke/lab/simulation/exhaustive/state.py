"""The state of a model: hashable values, which the search compares and stores."""

from enum import Enum
from typing import NamedTuple

from stoneyoke.api.configuration import Version
from stoneyoke.consensus.ballot import NO_BALLOT, Ballot
from stoneyoke.consensus.proposal_round import Phase
from stoneyoke.consensus.register_value import Proposal, RegisterValue, ReplicaId


class OperationKind(Enum):
    """What an operation does with the register."""

    ORDER = "order"  # an operator writes a configuration
    CHANGE = "change of voters"
    READ = "read"


class Operation(NamedTuple):
    """An operation that a model runs once, at any time.

    Attributes:
        kind: What it does with the register.
        address: The address of the process that runs it.
        versions: The configurations that it writes, all in the same round.
        silent: Addresses of voters that the proposer of a change believes to be silent.
        leaving: Addresses of controllers that have announced their shutdown to the proposer of a change.
        members: Addresses of the voters that stay; if empty, `next_voters` decides.
        max_rounds: The number of rounds that the operation may start.
    """

    kind: OperationKind
    address: str
    versions: tuple[Version, ...] = ()
    silent: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()
    members: tuple[str, ...] = ()
    max_rounds: int = 1


class Process(NamedTuple):
    """A controller process.

    `promised` and `accepted` are on its disk and survive a restart; the other fields are lost with the process.

    Attributes:
        replica: The address of the process and the name of its disk.
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
        """Returns the name in its ballots, which differs between incarnations, so that no ballot is used twice."""
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
    responses: frozenset[tuple[ReplicaId, Proposal | None]]


class DesiredMembers(NamedTuple):
    """The voters that a change requests, based on one chosen value. All rounds of the operation request the same."""

    based_on: RegisterValue
    members: tuple[ReplicaId, ...]


class LowerBound(NamedTuple):
    """The newest state that an operator had received when an operation started: its result must not be older.

    Attributes:
        ballot: The ballot of the newest value that was received.
        number: The number of the newest configuration that was received.
    """

    ballot: Ballot = NO_BALLOT
    number: int = 0


class OngoingOperation(NamedTuple):
    """An operation that has started and has no result yet. It runs either a round or a query.

    Attributes:
        operation: The index of the operation in the model's operations.
        rounds_left: The number of rounds that it may still start.
        lower_bound: Its result must not be older than this.
        round: The round that it runs, if any.
        query: The query that it runs, if any.
        contacted: Addresses to which a request was sent in the current phase.
        desired: The voters that a change of voters requests.
    """

    operation: int
    rounds_left: int
    lower_bound: LowerBound
    round: RoundSnapshot | None = None
    query: QuerySnapshot | None = None
    contacted: frozenset[str] = frozenset()
    desired: DesiredMembers | None = None


class Request(NamedTuple):
    """A request to an acceptor that is in flight: prepare if `proposal` is None, else accept."""

    to: str
    sender: str
    ballot: Ballot
    proposal: RegisterValue | None = None


class Response(NamedTuple):
    """The response to a request, in flight. `accepted` is set only with a promise."""

    request: Request
    ok: bool
    voter: ReplicaId
    promised: Ballot
    accepted: Proposal | None


class Gateway(NamedTuple):
    """A gateway that collects the views of controllers until it can determine the newest."""

    lower_bound: LowerBound
    views: frozenset[tuple[ReplicaId, Proposal]]


class History(NamedTuple):
    """History variables, which record what has happened since the start. Only the invariants read them.

    Attributes:
        votes: Pairs of a proposal that is not chosen yet and a member that has accepted it.
        chosen: The chosen values in the order of their ballots, computed from `votes`, not by the code under test.
        parents: Pairs of a proposal's ballot and the ballot of the value that the proposal is based on.
        newest_received: The newest state that any operator has received.
        acknowledged: Configurations that were acknowledged to operators as in force.
    """

    votes: frozenset[tuple[Proposal, ReplicaId]]
    chosen: tuple[Proposal, ...]
    parents: frozenset[tuple[Ballot, Ballot]] = frozenset()
    newest_received: LowerBound = LowerBound()
    acknowledged: frozenset[Version] = frozenset()


class State(NamedTuple):
    """One state of a model.

    Attributes:
        processes: The controllers, in a fixed order.
        ongoing: The operations that have started and not finished, ordered by their index.
        requests: Requests in flight.
        responses: Responses in flight; always empty unless the model has `separate_responses`.
        not_started: Indexes of the operations that have not started.
        crashes: The number of restarts that may still happen.
        losses: The number of disks that may still be lost.
        known: The values that a process knows or knew to be chosen.
        gateway: The gateway that collects views; None if the model has none, or once it has determined the newest.
        history: The history variables.
        violation: A description of the invariant that does not hold; empty while all hold.
    """

    processes: tuple[Process, ...]
    ongoing: tuple[OngoingOperation, ...]
    requests: frozenset[Request]
    responses: frozenset[Response]
    not_started: tuple[int, ...]
    crashes: int
    losses: int
    known: frozenset[Proposal]
    gateway: Gateway | None
    history: History
    violation: str = ""


class Transition(NamedTuple):
    """A transition from one state to the next: a label that describes it, and the state after it."""

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
    """Returns the ongoing operation and the round that use a ballot; None if no round uses it any more."""
    for operation in state.ongoing:
        if operation.round and operation.round.ballot == ballot:
            return operation, operation.round
    return None
