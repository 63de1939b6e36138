"""Rounds: what Replication does around Replica and Round, without sockets and timers: who is asked, what an answer
does, and who learns what was chosen."""

from collections.abc import Iterator

from stoneyoke.consensus.protocol import Accepted, Ballot, Phase, Round
from stoneyoke.consensus.replica import Replica
from stoneyoke.lab.simulation.exhaustive import checks, operations
from stoneyoke.lab.simulation.exhaustive.state import (
    Reply,
    Request,
    Running,
    State,
    Step,
    freeze_replica,
    freeze_round,
    process_at,
    round_of,
    run,
    thaw_replica,
    thaw_round,
    with_process,
    with_running,
)
from stoneyoke.lab.simulation.exhaustive.worlds import World


def text(request: Request) -> str:
    what = "prepare" if request.proposal is None else "accept"
    return f"{what} {request.ballot.counter}{request.ballot.proposer} at {request.to}"


def begin_round(world: World, state: State, before: Running | None, running: Running) -> State:
    """As Replication.run_round: a fresh ballot above all that is known here."""
    operation = world.operations[running.operation]
    process = process_at(state, operation.at)
    replica = thaw_replica(process)
    known = replica.view()
    assert known
    state = check_known(state, replica, operation.at)
    highest = running.round.highest.counter if running.round else 0
    counter = max(process.counter, highest, replica.acceptor.promised.counter, known.ballot.counter) + 1
    state = with_process(state, process._replace(counter=counter))
    ballot = Ballot(counter, process.proposer())
    current = Round(ballot, known, replica.chosen_number(), operations.change(operation, running.wish))
    started = running._replace(tries=running.tries - 1, query=None, asked=frozenset())
    return ask(world, state, before, started, current)


def ask(world: World, state: State, before: Running | None, running: Running, current: Round) -> State:
    """As Replication.drive: whoever the round needs now and was not asked in this phase is asked."""
    process = process_at(state, world.operations[running.operation].at)
    new = current.targets() - running.asked
    proposal = current.proposal if current.phase is Phase.ACCEPT else None
    requests = {Request(address, process.proposer(), current.ballot, proposal) for address in new}
    after = running._replace(round=freeze_round(current), asked=running.asked | new)
    return with_running(state, before, after)._replace(
        requests=state.requests | requests if requests else state.requests
    )


def handled(world: World, state: State, request: Request) -> Iterator[Step]:
    """A request comes. Unless answers are messages of their own, one comes at once or never. To hear of a promise late
    or never adds nothing: it only holds others up; so does hearing late that a proposal was accepted."""
    what = text(request)
    after, reply = at_acceptor(state, request)
    if not world.duplicates:
        after = after._replace(requests=after.requests - {request})
    if world.replies_apart:
        yield what, after._replace(replies=after.replies | {reply})
        return
    yield what, replied(world, after, reply)
    if request.proposal is not None and reply.ok and round_of(state, request.ballot):
        yield what + ", answer lost", after


def at_acceptor(state: State, request: Request) -> tuple[State, Reply]:
    """As Replication.prepared and accepted."""
    process = process_at(state, request.to)
    replica = thaw_replica(process)
    if request.proposal is None:
        ok = run(replica.prepare(request.ballot))
        accepted = replica.acceptor.accepted if ok else None
    else:
        ok, accepted = run(replica.accept(Accepted(request.ballot, request.proposal))), None
    reply = Reply(request, ok, replica.identity, replica.acceptor.promised, accepted)
    after = with_process(state, freeze_replica(replica, process))
    if request.proposal is not None and ok and replica.acceptor.accepted:
        after = checks.note_vote(after, replica.identity, replica.acceptor.accepted)
    return after, reply


def replied(world: World, state: State, reply: Reply) -> State:
    """As Replication.prepare_at and accept_at, after the answer."""
    request = reply.request
    if reply in state.replies:
        state = state._replace(replies=state.replies - {reply})
    found = round_of(state, request.ballot)
    if found is None:
        return state
    running, frozen = found
    current = thaw_round(frozen, operations.change(world.operations[running.operation], running.wish))
    before = current.phase
    if not reply.ok:
        if reply.promised > current.ballot:
            current.refused(reply.promised)
    elif request.proposal is None:
        current.promised(reply.voter, reply.accepted)
    else:
        current.accepted(reply.voter)
    if before is Phase.PREPARE and current.phase is Phase.ACCEPT:
        state = checks.note_parent(state, current.ballot, current.found().ballot)
        running_next = running._replace(asked=frozenset())
        return ask(world, state, running, running_next, current)
    if current.phase is Phase.CHOSEN:
        return decided(world, state, running, current.chosen())
    return ask(world, state, running, running, current)


def check_known(state: State, replica: Replica, who: str) -> State:
    """What a round or a query rests on is chosen."""
    state = checks.check_number(state, replica.chosen_number(), who)
    return checks.check_claim(state, replica.chosen, who) if replica.chosen else state


def decided(world: World, state: State, running: Running, chosen: Accepted) -> State:
    """The process learns the value, and its operator is told."""
    operation = world.operations[running.operation]
    state = checks.check_claim(state, chosen, operation.at)
    state = checks.check_fresh(state, chosen, running.floor, operation.at)
    state = learn(state, operation.at, chosen)
    state = with_running(state, running, None)._replace(known=state.known | {chosen})
    return operations.answer(state, operation, chosen)


def learn(state: State, address: str, chosen: Accepted) -> State:
    process = process_at(state, address)
    replica = thaw_replica(process)
    run(replica.learn(chosen))
    return with_process(state, freeze_replica(replica, process))


def learns(world: World, state: State) -> Iterator[Step]:
    """As Replication.catch_up: a value that somebody knows, or knew, to be chosen comes to another one."""
    for process in state.processes:
        address = process.replica.address
        if world.told is not None and address not in world.told:
            continue
        for chosen in state.known:
            if process.chosen is None or chosen.ballot > process.chosen.ballot:
                what = f"{address} learns {chosen.ballot.counter}{chosen.ballot.proposer}"
                yield what, checks.check_claim(learn(state, address, chosen), chosen, address)
