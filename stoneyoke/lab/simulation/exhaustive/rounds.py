"""Rounds: what Replication does around Replica and Round, without sockets and timers: who is asked, what an answer
does, and who learns what was chosen."""

from collections.abc import Iterator

from stoneyoke.consensus.protocol import Accepted, Ballot, Phase, Round
from stoneyoke.consensus.replica import Replica
from stoneyoke.lab.simulation.exhaustive import invariants, operations
from stoneyoke.lab.simulation.exhaustive.models import Model
from stoneyoke.lab.simulation.exhaustive.state import (
    OngoingOperation,
    Reply,
    Request,
    State,
    Transition,
    process_at,
    restore_replica,
    restore_round,
    round_of,
    run_to_completion,
    snapshot_replica,
    snapshot_round,
    with_ongoing,
    with_process,
)


def describe(request: Request) -> str:
    what = "prepare" if request.proposal is None else "accept"
    return f"{what} {request.ballot.counter}{request.ballot.proposer} at {request.to}"


def begin_round(model: Model, state: State, before: OngoingOperation | None, ongoing: OngoingOperation) -> State:
    """As Replication.run_round: a fresh ballot above all that is known here."""
    operation = model.operations[ongoing.operation]
    process = process_at(state, operation.at)
    replica = restore_replica(process)
    known = replica.view()
    assert known
    state = check_known(state, replica, operation.at)
    highest = ongoing.round.highest.counter if ongoing.round else 0
    counter = max(process.counter, highest, replica.acceptor.promised.counter, known.ballot.counter) + 1
    state = with_process(state, process._replace(counter=counter))
    ballot = Ballot(counter, process.proposer())
    current = Round(ballot, known, replica.chosen_number(), operations.change(operation, ongoing.desired))
    started = ongoing._replace(tries=ongoing.tries - 1, query=None, contacted=frozenset())
    return ask(model, state, before, started, current)


def ask(
    model: Model, state: State, before: OngoingOperation | None, ongoing: OngoingOperation, current: Round
) -> State:
    """As Replication.drive: whoever the round needs now and was not asked in this phase is asked."""
    process = process_at(state, model.operations[ongoing.operation].at)
    new = current.targets() - ongoing.contacted
    proposal = current.proposal if current.phase is Phase.ACCEPT else None
    requests = {Request(address, process.proposer(), current.ballot, proposal) for address in new}
    after = ongoing._replace(round=snapshot_round(current), contacted=ongoing.contacted | new)
    return with_ongoing(state, before, after)._replace(
        requests=state.requests | requests if requests else state.requests
    )


def request_deliveries(model: Model, state: State, request: Request) -> Iterator[Transition]:
    """A request comes. Unless answers are messages of their own, one comes at once or never. To hear of a promise late
    or never adds nothing: it only holds others up; so does hearing late that a proposal was accepted."""
    what = describe(request)
    after, reply = at_acceptor(state, request)
    if not model.duplicates:
        after = after._replace(requests=after.requests - {request})
    if model.separate_replies:
        yield what, after._replace(replies=after.replies | {reply})
        return
    yield what, apply_reply(model, after, reply)
    if request.proposal is not None and reply.ok and round_of(state, request.ballot):
        yield what + ", answer lost", after


def at_acceptor(state: State, request: Request) -> tuple[State, Reply]:
    """As Replication.prepared and accepted."""
    process = process_at(state, request.to)
    replica = restore_replica(process)
    if request.proposal is None:
        ok = run_to_completion(replica.prepare(request.ballot))
        accepted = replica.acceptor.accepted if ok else None
    else:
        ok, accepted = run_to_completion(replica.accept(Accepted(request.ballot, request.proposal))), None
    reply = Reply(request, ok, replica.identity, replica.acceptor.promised, accepted)
    after = with_process(state, snapshot_replica(replica, process))
    if request.proposal is not None and ok and replica.acceptor.accepted:
        after = invariants.record_vote(after, replica.identity, replica.acceptor.accepted)
    return after, reply


def apply_reply(model: Model, state: State, reply: Reply) -> State:
    """As Replication.prepare_at and accept_at, after the answer."""
    request = reply.request
    if reply in state.replies:
        state = state._replace(replies=state.replies - {reply})
    found = round_of(state, request.ballot)
    if found is None:
        return state
    ongoing, snapshot = found
    current = restore_round(snapshot, operations.change(model.operations[ongoing.operation], ongoing.desired))
    before = current.phase
    if not reply.ok:
        if reply.promised > current.ballot:
            current.refused(reply.promised)
    elif request.proposal is None:
        current.promised(reply.voter, reply.accepted)
    else:
        current.accepted(reply.voter)
    if before is Phase.PREPARE and current.phase is Phase.ACCEPT:
        state = invariants.record_parent(state, current.ballot, current.found().ballot)
        running_next = ongoing._replace(contacted=frozenset())
        return ask(model, state, ongoing, running_next, current)
    if current.phase is Phase.CHOSEN:
        return decided(model, state, ongoing, current.chosen())
    return ask(model, state, ongoing, ongoing, current)


def check_known(state: State, replica: Replica, who: str) -> State:
    """What a round or a query rests on is chosen."""
    state = invariants.check_voter_set_number(state, replica.chosen_number(), who)
    return invariants.check_chosen(state, replica.chosen, who) if replica.chosen else state


def decided(model: Model, state: State, ongoing: OngoingOperation, chosen: Accepted) -> State:
    """The process learns the value, and its operator is told."""
    operation = model.operations[ongoing.operation]
    state = invariants.check_chosen(state, chosen, operation.at)
    state = invariants.check_not_stale(state, chosen, ongoing.lower_bound, operation.at)
    state = learn(state, operation.at, chosen)
    state = with_ongoing(state, ongoing, None)._replace(known=state.known | {chosen})
    return operations.answer(state, operation, chosen)


def learn(state: State, address: str, chosen: Accepted) -> State:
    process = process_at(state, address)
    replica = restore_replica(process)
    run_to_completion(replica.learn(chosen))
    return with_process(state, snapshot_replica(replica, process))


def value_deliveries(model: Model, state: State) -> Iterator[Transition]:
    """As Replication.catch_up: a value that somebody knows, or knew, to be chosen comes to another one."""
    for process in state.processes:
        address = process.replica.address
        if model.may_learn is not None and address not in model.may_learn:
            continue
        for chosen in state.known:
            if process.chosen is None or chosen.ballot > process.chosen.ballot:
                what = f"{address} learns {chosen.ballot.counter}{chosen.ballot.proposer}"
                yield what, invariants.check_chosen(learn(state, address, chosen), chosen, address)
