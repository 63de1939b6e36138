"""Whatever may happen next in a state.

The logic of each step is the real code: Replica, Acceptor, Round, Query, applied, verdict, next_members. Only what
Replication does around them, with sockets and timers, is written here: who is asked, and who is told of an answer. A
message that never comes is one that is never taken; a request that a process sends to itself ends with it."""

from collections.abc import Iterator

from stoneyoke.consensus.protocol import Acceptor, Phase
from stoneyoke.lab.simulation.exhaustive import operations
from stoneyoke.lab.simulation.exhaustive.failures import failures
from stoneyoke.lab.simulation.exhaustive.reads import answers_to_queries, begin_query, views
from stoneyoke.lab.simulation.exhaustive.rounds import begin_round, handled, learns, replied, text
from stoneyoke.lab.simulation.exhaustive.state import (
    Reply,
    Request,
    Running,
    State,
    Step,
    process_at,
    thaw_query,
    thaw_replica,
)
from stoneyoke.lab.simulation.exhaustive.worlds import World


def begin(world: World) -> State:
    """The state in which the walk begins: after the steps that the world names."""
    state = world.start()
    for wanted in world.first:
        state = next(after for what, after in steps(world, state) if what == wanted)
        assert not state.broken, state.broken
    return state


def steps(world: World, state: State) -> Iterator[Step]:
    for what, after in every_step(world, state):
        yield what, after if after.broken else prune(world, after)


def every_step(world: World, state: State) -> Iterator[Step]:
    yield from begins(world, state)
    for request in state.requests:
        yield from handled(world, state, request)
    for reply in state.replies:
        yield f"{text(reply.request)} answered", replied(world, state, reply)
    yield from answers_to_queries(world, state)
    yield from fallbacks(world, state)
    yield from learns(world, state)
    yield from failures(world, state)
    yield from views(state)


def begins(world: World, state: State) -> Iterator[Step]:
    for number in state.waiting:
        operation = world.operations[number]
        process = process_at(state, operation.at)
        if thaw_replica(process).view() is None:
            continue
        wish = operations.wish(world, state, process, operation)
        if not operations.may_begin(operation, wish):
            continue
        left = state._replace(waiting=tuple(one for one in state.waiting if one != number))
        running = Running(number, operation.tries, state.ghost.shown, wish=wish)
        what = f"{operation.at} begins {operation.kind.value}"
        if operations.reads_first(process, operation):
            yield what, begin_query(world, left, running)
        else:
            yield what, begin_round(world, left, None, running)


def fallbacks(world: World, state: State) -> Iterator[Step]:
    """A round that was lost or is given up is begun anew; a read whose replies do not agree runs a round."""
    for running in state.running:
        at = world.operations[running.operation].at
        if running.tries <= 0:
            continue
        if running.round:
            yield f"{at} tries again", begin_round(world, state, running, running)
        elif running.query and thaw_query(running.query).complete():
            yield f"{at} settles by a round", begin_round(world, state, running, running)


def prune(world: World, state: State) -> State:
    """Messages that can only hold others up, or change nothing, are left out: to get them is like never to get them."""
    phases = {one.round.ballot: one.round.phase for one in state.running if one.round}
    tries = {one.round.ballot: one.tries for one in state.running if one.round}
    processes = {one.replica.address: one for one in state.processes}

    def counts(request: Request) -> bool:
        live = phases.get(request.ballot)
        acceptor = Acceptor(processes[request.to].promised)
        allowed = acceptor.may_promise if request.proposal is None else acceptor.may_accept
        if not state.losses and not allowed(request.ballot):
            return live in (Phase.PREPARE, Phase.ACCEPT) and tries[request.ballot] > 0
        if request.proposal is None:
            return live is Phase.PREPARE
        if world.duplicates and live is None:
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
