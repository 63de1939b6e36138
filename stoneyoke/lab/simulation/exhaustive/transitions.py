"""The successors of a state.

Each transition runs the real code: Replica, Acceptor, ProposalRound, MajorityRead, apply_replacements, outcome_of
and next_voters. Only what Proposer and Reader do around them with sockets and timers is modelled here: which processes
receive a request or a response. A lost message is one that no transition delivers. A request that a process sends to
itself is removed when the process restarts.
"""

from collections.abc import Iterator

from stoneyoke.consensus.acceptor import Acceptor
from stoneyoke.consensus.proposal_round import Phase
from stoneyoke.lab.simulation.exhaustive import operations
from stoneyoke.lab.simulation.exhaustive.failures import failures
from stoneyoke.lab.simulation.exhaustive.models import Model
from stoneyoke.lab.simulation.exhaustive.reads import begin_query, gateway_views, query_responses
from stoneyoke.lab.simulation.exhaustive.rounds import (
    apply_response,
    begin_round,
    describe_request,
    request_deliveries,
    value_deliveries,
)
from stoneyoke.lab.simulation.exhaustive.snapshots import restore_query, restore_replica
from stoneyoke.lab.simulation.exhaustive.state import OngoingOperation, Request, Response, State, Transition, process_at


def initial_state(model: Model) -> State:
    """Returns the state in which the search starts: the state after the transitions of the model's prefix."""
    state = model.start()
    for label in model.prefix:
        state = next(transition.after for transition in transitions(model, state) if transition.label == label)
        assert not state.violation, state.violation
    return state


def transitions(model: Model, state: State) -> Iterator[Transition]:
    """Yields every transition out of a state, and prunes messages that lead to no additional state."""
    for transition in unpruned_transitions(model, state):
        if transition.after.violation:
            yield transition
        else:
            yield Transition(transition.label, prune(model, transition.after))


def unpruned_transitions(model: Model, state: State) -> Iterator[Transition]:
    """Yields every transition out of a state."""
    yield from operation_starts(model, state)
    for request in state.requests:
        yield from request_deliveries(model, state, request)
    for response in state.responses:
        yield Transition(f"{describe_request(response.request)} answered", apply_response(model, state, response))
    yield from query_responses(model, state)
    yield from retries(model, state)
    yield from value_deliveries(model, state)
    yield from failures(model, state)
    yield from gateway_views(state)


def operation_starts(model: Model, state: State) -> Iterator[Transition]:
    """Yields the start of each operation that can start in this state, with a query or with a round."""
    for index in state.not_started:
        operation = model.operations[index]
        process = process_at(state, operation.address)
        if restore_replica(process).view() is None:
            continue
        desired = operations.desired_members(model, state, process, operation)
        if not operations.may_begin(operation, desired):
            continue
        remaining = state._replace(not_started=tuple(one for one in state.not_started if one != index))
        ongoing = OngoingOperation(index, operation.max_rounds, state.history.newest_received, desired=desired)
        if operations.reads_first(process, operation):
            after = begin_query(model, remaining, ongoing)
        else:
            after = begin_round(model, remaining, None, ongoing)
        yield Transition(f"{operation.address} begins {operation.kind.value}", after)


def retries(model: Model, state: State) -> Iterator[Transition]:
    """Yields the next round of each operation that may start one: after a lost round, or a query without agreement."""
    for ongoing in state.ongoing:
        address = model.operations[ongoing.operation].address
        if ongoing.rounds_left <= 0:
            continue
        if ongoing.round:
            yield Transition(f"{address} tries again", begin_round(model, state, ongoing, ongoing))
        elif ongoing.query and restore_query(ongoing.query).has_quorum():
            yield Transition(f"{address} settles by a round", begin_round(model, state, ongoing, ongoing))


def prune(model: Model, state: State) -> State:
    """Removes messages whose delivery changes nothing or only blocks others: that equals their loss."""
    lost = [request for request in state.requests if not request_matters(model, state, request)]
    late = [response for response in state.responses if not response_matters(state, response)]
    if not lost and not late:
        return state
    return state._replace(requests=state.requests.difference(lost), responses=state.responses.difference(late))


def request_matters(model: Model, state: State, request: Request) -> bool:
    """Returns whether the delivery of a request can lead to a state that its loss can't lead to."""
    process = process_at(state, request.to)
    phase, rounds_left = phase_and_rounds_left(state, request)
    acceptor = Acceptor(process.promised)
    allowed = acceptor.may_promise if request.proposal is None else acceptor.may_accept
    if not state.losses and not allowed(request.ballot):
        return phase in (Phase.PREPARE, Phase.ACCEPT) and rounds_left > 0
    if request.proposal is None:
        return phase is Phase.PREPARE
    if model.duplicates and phase is None:
        return process.accepted is None or process.accepted.ballot != request.ballot
    return True


def phase_and_rounds_left(state: State, request: Request) -> tuple[Phase | None, int]:
    """Returns the phase of a request's round, None if it has ended, and the number of rounds its operation has left."""
    for ongoing in state.ongoing:
        if ongoing.round and ongoing.round.ballot == request.ballot:
            return ongoing.round.phase, ongoing.rounds_left
    return None, 0


def response_matters(state: State, response: Response) -> bool:
    """Returns whether a round still waits for this response."""
    expected = Phase.PREPARE if response.request.proposal is None else Phase.ACCEPT
    return phase_and_rounds_left(state, response.request)[0] is expected
