"""Whatever may happen next in a state.

The logic of each step is the real code: Replica, Acceptor, Round, Query, applied, verdict, next_members. Only what
Replication does around them, with sockets and timers, is written here: who is asked, and who is told of an answer. A
message that never comes is one that is never taken; a request that a process sends to itself ends with it."""

from collections.abc import Iterator

from stoneyoke.consensus.protocol import Acceptor, Phase
from stoneyoke.lab.simulation.exhaustive import operations
from stoneyoke.lab.simulation.exhaustive.failures import failures
from stoneyoke.lab.simulation.exhaustive.models import Model
from stoneyoke.lab.simulation.exhaustive.reads import answers_to_queries, begin_query, gateway_views
from stoneyoke.lab.simulation.exhaustive.rounds import (
    apply_reply,
    begin_round,
    describe,
    request_deliveries,
    value_deliveries,
)
from stoneyoke.lab.simulation.exhaustive.state import (
    OngoingOperation,
    Reply,
    Request,
    State,
    Transition,
    process_at,
    restore_query,
    restore_replica,
)


def initial_state(model: Model) -> State:
    """The state in which the walk begins: after the steps that the world names."""
    state = model.start()
    for wanted in model.prefix:
        state = next(after for what, after in transitions(model, state) if what == wanted)
        assert not state.violation, state.violation
    return state


def transitions(model: Model, state: State) -> Iterator[Transition]:
    for what, after in unpruned_transitions(model, state):
        yield what, after if after.violation else prune(model, after)


def unpruned_transitions(model: Model, state: State) -> Iterator[Transition]:
    yield from operation_starts(model, state)
    for request in state.requests:
        yield from request_deliveries(model, state, request)
    for reply in state.replies:
        yield f"{describe(reply.request)} answered", apply_reply(model, state, reply)
    yield from answers_to_queries(model, state)
    yield from retries(model, state)
    yield from value_deliveries(model, state)
    yield from failures(model, state)
    yield from gateway_views(state)


def operation_starts(model: Model, state: State) -> Iterator[Transition]:
    for number in state.not_started:
        operation = model.operations[number]
        process = process_at(state, operation.at)
        if restore_replica(process).view() is None:
            continue
        desired = operations.desired_members(model, state, process, operation)
        if not operations.may_begin(operation, desired):
            continue
        left = state._replace(not_started=tuple(one for one in state.not_started if one != number))
        ongoing = OngoingOperation(number, operation.tries, state.history.shown, desired=desired)
        what = f"{operation.at} begins {operation.kind.value}"
        if operations.reads_first(process, operation):
            yield what, begin_query(model, left, ongoing)
        else:
            yield what, begin_round(model, left, None, ongoing)


def retries(model: Model, state: State) -> Iterator[Transition]:
    """A round that was lost or is given up is begun anew; a read whose replies do not agree runs a round."""
    for ongoing in state.ongoing:
        at = model.operations[ongoing.operation].at
        if ongoing.tries <= 0:
            continue
        if ongoing.round:
            yield f"{at} tries again", begin_round(model, state, ongoing, ongoing)
        elif ongoing.query and restore_query(ongoing.query).complete():
            yield f"{at} settles by a round", begin_round(model, state, ongoing, ongoing)


def prune(model: Model, state: State) -> State:
    """Messages that can only hold others up, or change nothing, are left out: to get them is like never to get them."""
    phases = {one.round.ballot: one.round.phase for one in state.ongoing if one.round}
    tries = {one.round.ballot: one.tries for one in state.ongoing if one.round}
    processes = {one.replica.address: one for one in state.processes}

    def counts(request: Request) -> bool:
        live = phases.get(request.ballot)
        acceptor = Acceptor(processes[request.to].promised)
        allowed = acceptor.may_promise if request.proposal is None else acceptor.may_accept
        if not state.losses and not allowed(request.ballot):
            return live in (Phase.PREPARE, Phase.ACCEPT) and tries[request.ballot] > 0
        if request.proposal is None:
            return live is Phase.PREPARE
        if model.duplicates and live is None:
            accepted = processes[request.to].accepted
            return accepted is None or accepted.ballot != request.ballot
        return True

    def is_heard(reply: Reply) -> bool:
        wanted = Phase.PREPARE if reply.request.proposal is None else Phase.ACCEPT
        return phases.get(reply.request.ballot) is wanted

    lost = [one for one in state.requests if not counts(one)]
    late = [one for one in state.replies if not is_heard(one)]
    if not lost and not late:
        return state
    return state._replace(requests=state.requests.difference(lost), replies=state.replies.difference(late))
