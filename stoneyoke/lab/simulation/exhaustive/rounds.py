"""Round transitions: what Proposer does around Replica and ProposalRound, without sockets and timers."""

from collections.abc import Iterator

from stoneyoke.consensus.ballot import Ballot
from stoneyoke.consensus.proposal_round import Phase, ProposalRound
from stoneyoke.consensus.register_value import Proposal
from stoneyoke.consensus.replica import Replica
from stoneyoke.lab.simulation.exhaustive import invariants, operations
from stoneyoke.lab.simulation.exhaustive.models import Model
from stoneyoke.lab.simulation.exhaustive.snapshots import (
    restore_replica,
    restore_round,
    run_to_completion,
    snapshot_replica,
    snapshot_round,
)
from stoneyoke.lab.simulation.exhaustive.state import (
    OngoingOperation,
    Reply,
    Request,
    State,
    Transition,
    process_at,
    round_of,
    with_ongoing,
    with_process,
)


def describe_request(request: Request) -> str:
    """Returns the label of a request in transitions."""
    kind = "prepare" if request.proposal is None else "accept"
    return f"{kind} {request.ballot.counter}{request.ballot.proposer} at {request.to}"


def begin_round(model: Model, state: State, before: OngoingOperation | None, ongoing: OngoingOperation) -> State:
    """Starts a round with a ballot above all ballots that its process knows, as Proposer.run_round does.

    Args:
        model: The model.
        state: The state before the round.
        before: The ongoing operation whose round or query is replaced; None for an operation that starts.
        ongoing: The operation that the round is for.

    Returns:
        The state with the round and the requests of its first phase.
    """
    operation = model.operations[ongoing.operation]
    process = process_at(state, operation.address)
    replica = restore_replica(process)
    known = replica.view()
    assert known
    state = check_known(state, replica, operation.address)
    highest = ongoing.round.highest.counter if ongoing.round else 0
    counter = max(process.counter, highest, replica.acceptor.promised.counter, known.ballot.counter) + 1
    state = with_process(state, process._replace(counter=counter))
    ballot = Ballot(counter, process.proposer())
    current = ProposalRound(
        ballot=ballot,
        known=known,
        chosen_voters_number=replica.chosen_voters_number(),
        change=operations.change(operation, ongoing.desired),
    )
    started = ongoing._replace(tries=ongoing.tries - 1, query=None, contacted=frozenset())
    return send_requests(model, state, before, started, current)


def send_requests(
    model: Model, state: State, before: OngoingOperation | None, ongoing: OngoingOperation, current: ProposalRound
) -> State:
    """Sends the request of this phase to each target that does not have it yet, as Proposer.run_phases does."""
    process = process_at(state, model.operations[ongoing.operation].address)
    targets = current.addresses_to_ask() - ongoing.contacted
    proposal = current.proposed_value if current.phase is Phase.ACCEPT else None
    requests = {Request(address, process.proposer(), current.ballot, proposal) for address in targets}
    after = ongoing._replace(round=snapshot_round(current), contacted=ongoing.contacted | targets)
    state = with_ongoing(state, before, after)
    return state._replace(requests=state.requests | requests) if requests else state


def request_deliveries(model: Model, state: State, request: Request) -> Iterator[Transition]:
    """Yields the transitions that are possible when a request arrives.

    Unless responses are separate messages, a response arrives at once or never. A promise that arrives late or never
    leads to the same states as a promise that was never given, so it has no transition; nor has a late acceptance.
    """
    label = describe_request(request)
    after, reply = process_request(state, request)
    if not model.duplicates:
        after = after._replace(requests=after.requests - {request})
    if model.separate_replies:
        yield Transition(label, after._replace(replies=after.replies | {reply}))
        return
    yield Transition(label, apply_reply(model, after, reply))
    if request.proposal is not None and reply.ok and round_of(state, request.ballot):
        yield Transition(label + ", answer lost", after)


def process_request(state: State, request: Request) -> tuple[State, Reply]:
    """Handles a request at its acceptor, as ReplicaServer.prepare and accept do."""
    process = process_at(state, request.to)
    replica = restore_replica(process)
    accepted = None
    if request.proposal is None:
        ok = run_to_completion(replica.prepare(request.ballot))
        accepted = replica.acceptor.accepted if ok else None
    else:
        ok = run_to_completion(replica.accept(Proposal(request.ballot, request.proposal)))
    reply = Reply(request, ok, replica.identity, replica.acceptor.promised, accepted)
    after = with_process(state, snapshot_replica(replica, process))
    if request.proposal is not None and ok and replica.acceptor.accepted:
        after = invariants.record_vote(after, replica.identity, replica.acceptor.accepted)
    return after, reply


def apply_reply(model: Model, state: State, reply: Reply) -> State:
    """Handles a response in its round, as Proposer.send_prepare and send_accept do; a late response changes nothing."""
    request = reply.request
    if reply in state.replies:
        state = state._replace(replies=state.replies - {reply})
    found = round_of(state, request.ballot)
    if found is None:
        return state
    ongoing, snapshot = found
    current = restore_round(snapshot, operations.change(model.operations[ongoing.operation], ongoing.desired))
    phase_before = current.phase
    update_round(current, reply)
    if phase_before is Phase.PREPARE and current.phase is Phase.ACCEPT:
        state = invariants.record_parent(state, current.ballot, current.newest_found().ballot)
        return send_requests(model, state, ongoing, ongoing._replace(contacted=frozenset()), current)
    if current.phase is Phase.CHOSEN:
        return finish(model, state, ongoing, current.chosen_proposal())
    return send_requests(model, state, ongoing, ongoing, current)


def update_round(current: ProposalRound, reply: Reply) -> None:
    """Counts a response as a promise, an acceptance or a refusal."""
    if not reply.ok:
        if reply.promised > current.ballot:
            current.on_refused(reply.promised)
    elif reply.request.proposal is None:
        current.on_promised(reply.voter, reply.accepted)
    else:
        current.on_accepted(reply.voter)


def check_known(state: State, replica: Replica, address: str) -> State:
    """Checks that the value and the voter set from which a round or a query starts are chosen."""
    state = invariants.check_voter_set_number(state, replica.chosen_voters_number(), address)
    return invariants.check_chosen(state, replica.chosen, address) if replica.chosen else state


def finish(model: Model, state: State, ongoing: OngoingOperation, chosen: Proposal) -> State:
    """Finishes an operation: its process learns the chosen value, and its operator receives the result."""
    operation = model.operations[ongoing.operation]
    state = invariants.check_chosen(state, chosen, operation.address)
    state = invariants.check_not_stale(state, chosen, ongoing.lower_bound, operation.address)
    state = learn(state, operation.address, chosen)
    state = with_ongoing(state, ongoing, None)._replace(known=state.known | {chosen})
    return operations.answer(state, operation, chosen)


def learn(state: State, address: str, chosen: Proposal) -> State:
    """Returns the state in which a process has learned a chosen value."""
    process = process_at(state, address)
    replica = restore_replica(process)
    run_to_completion(replica.learn(chosen))
    return with_process(state, snapshot_replica(replica, process))


def value_deliveries(model: Model, state: State) -> Iterator[Transition]:
    """Yields each chosen value that a process may learn from another one, as Learner.catch_up does."""
    for process in state.processes:
        address = process.replica.address
        if model.may_learn is not None and address not in model.may_learn:
            continue
        for chosen in state.known:
            if process.chosen is None or chosen.ballot > process.chosen.ballot:
                label = f"{address} learns {chosen.ballot.counter}{chosen.ballot.proposer}"
                yield Transition(label, invariants.check_chosen(learn(state, address, chosen), chosen, address))
