"""Whatever may happen next in a state.

The logic of each step is the real code: Replica, Acceptor, Round, Query, applied, verdict, next_members. Only what
Replication does around them, with sockets and timers, is written here: who is asked, and who is told of an answer. A
message that never comes is one that is never taken; a request that a process sends to itself ends with it."""

from collections.abc import Iterator

from stoneyoke.controlplane.consensus import Accepted, Acceptor, Ballot, Phase, Query, Round, newest_view
from stoneyoke.controlplane.replica import Replica
from stoneyoke.lab.simulation.exhaustive import checks, operations
from stoneyoke.lab.simulation.exhaustive.state import (
    FrozenQuery,
    FrozenRound,
    Gateway,
    Process,
    Reply,
    Request,
    Running,
    State,
    freeze_query,
    freeze_replica,
    freeze_round,
    run,
    thaw_query,
    thaw_replica,
    thaw_round,
)
from stoneyoke.lab.simulation.exhaustive.worlds import World

Step = tuple[str, State]


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


# ---- records in a state ----


def process_at(state: State, address: str) -> Process:
    return next(one for one in state.processes if one.replica.address == address)


def with_process(state: State, process: Process) -> State:
    address = process.replica.address
    return state._replace(
        processes=tuple(process if one.replica.address == address else one for one in state.processes)
    )


def with_running(state: State, before: Running | None, after: Running | None) -> State:
    """One operation's record replaced, added or taken out."""
    kept = [one for one in state.running if one is not before]
    return state._replace(running=tuple(sorted((*kept, *((after,) if after else ())), key=lambda one: one.operation)))


def round_of(state: State, ballot: Ballot) -> tuple[Running, FrozenRound] | None:
    for one in state.running:
        if one.round and one.round.ballot == ballot:
            return one, one.round
    return None


def text(request: Request) -> str:
    what = "prepare" if request.proposal is None else "accept"
    return f"{what} {request.ballot.counter}{request.ballot.proposer} at {request.to}"


# ---- operations: begin, try again, ask ----


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


# ---- acceptors ----


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


# ---- what is chosen ----


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


# ---- reads ----


def begin_query(world: World, state: State, running: Running) -> State:
    """As Replication.query."""
    at = world.operations[running.operation].at
    replica = thaw_replica(process_at(state, at))
    known = replica.view()
    assert known
    state = check_known(state, replica, at)
    return with_running(state, None, running._replace(query=FrozenQuery(known, replica.chosen_number(), frozenset())))


def answers_to_queries(world: World, state: State) -> Iterator[Step]:
    """A voter tells a reader what it has accepted. The answer comes at once: the reader does nothing until then."""
    for running in state.running:
        if not running.query:
            continue
        at = world.operations[running.operation].at
        current = thaw_query(running.query)
        for address in sorted(current.targets() - running.asked):
            yield f"{address} answers the read of {at}", query_answered(world, state, running, address)


def query_answered(world: World, state: State, running: Running, address: str) -> State:
    assert running.query
    current: Query = thaw_query(running.query)
    voter = process_at(state, address)
    current.replied(voter.replica, voter.accepted)
    if chosen := current.chosen():
        return decided(world, state, running, chosen)
    after = running._replace(query=freeze_query(current), asked=running.asked | {address})
    return with_running(state, running, after)


def views(state: State) -> Iterator[Step]:
    """A gateway hears from a controller: the newest value that it knows, without its text."""
    gateway = state.gateway
    if gateway is None:
        return
    heard = {member.address for member, _ in gateway.views}
    for process in state.processes:
        view = thaw_replica(process).view()
        if process.replica.address in heard or view is None:
            continue
        told = Accepted(view.ballot, view.value.without_body())
        floor = gateway.floor if gateway.views else state.ghost.shown
        after = Gateway(floor, gateway.views | {(process.replica, told)})
        newest = newest_view(dict(after.views))
        result = state._replace(gateway=after)
        if newest:
            result = checks.check_view(result, newest, floor)._replace(gateway=None)
        yield f"a gateway hears {process.replica.address}", result


# ---- failures ----


def failures(world: World, state: State) -> Iterator[Step]:
    for process in state.processes:
        address = process.replica.address
        if world.fallible is not None and address not in world.fallible:
            continue
        if state.crashes:
            yield f"{address} restarts", restart(world, state._replace(crashes=state.crashes - 1), process, "")
        if state.losses:
            disk = f"{process.replica.disk}+"
            yield f"{address} loses its disk", restart(world, state._replace(losses=state.losses - 1), process, disk)


def restart(world: World, state: State, process: Process, disk: str) -> State:
    """The process ends and comes back. disk: of the new, empty one; "": it has the old one."""
    address = process.replica.address
    after = process._replace(life=process.life + 1, chosen=None, counter=0)
    if disk:
        after = Process(process.replica._replace(disk=disk), life=process.life + 1)
    running = tuple(one for one in state.running if world.operations[one.operation].at != address)
    own = {one for one in state.requests if one.to == address and one.sender == process.proposer()}
    return with_process(state, after)._replace(running=running, requests=state.requests - own)


# ---- what can make no difference any more ----


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
