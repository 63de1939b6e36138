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
    Request,
    Response,
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
    proposal_round = ProposalRound(
        ballot=ballot,
        known=known,
        chosen_voters_number=replica.chosen_voters_number(),
        change=operations.change(operation, ongoing.desired),
    )
    started = ongoing._replace(rounds_left=ongoing.rounds_left - 1, query=None, contacted=frozenset())
    return send_requests(model, state, before, started, proposal_round)


def send_requests(
    model: Model,
    state: State,
    before: OngoingOperation | None,
    ongoing: OngoingOperation,
    proposal_round: ProposalRound,
) -> State:
    """Sends the request of this phase to each target that does not have it yet, as Proposer.run_phases does."""
    process = process_at(state, model.operations[ongoing.operation].address)
    targets = proposal_round.addresses_to_ask() - ongoing.contacted
    proposal = proposal_round.proposed_value if proposal_round.phase is Phase.ACCEPT else None
    requests = {Request(address, process.proposer(), proposal_round.ballot, proposal) for address in targets}
    after = ongoing._replace(round=snapshot_round(proposal_round), contacted=ongoing.contacted | targets)
    state = with_ongoing(state, before, after)
    return state._replace(requests=state.requests | requests) if requests else state


def request_deliveries(model: Model, state: State, request: Request) -> Iterator[Transition]:
    """Yields the transitions that are possible when a request arrives.

    Unless responses are separate messages, a response arrives at once or never. A promise that arrives late or never
    leads to the same states as a promise that was never given, so it has no transition; nor has a late acceptance.
    """
    label = describe_request(request)
    after, response = process_request(state, request)
    if not model.duplicates:
        after = after._replace(requests=after.requests - {request})
    if model.separate_responses:
        yield Transition(label, after._replace(responses=after.responses | {response}))
        return
    yield Transition(label, apply_response(model, after, response))
    if request.proposal is not None and response.ok and round_of(state, request.ballot):
        yield Transition(label + ", answer lost", after)


def process_request(state: State, request: Request) -> tuple[State, Response]:
    """Handles a request at its acceptor, as ReplicaServer.prepare and accept do."""
    process = process_at(state, request.to)
    replica = restore_replica(process)
    accepted = None
    if request.proposal is None:
        ok = run_to_completion(replica.prepare(request.ballot))
        accepted = replica.acceptor.accepted if ok else None
    else:
        ok = run_to_completion(replica.accept(Proposal(request.ballot, request.proposal)))
    response = Response(request, ok, replica.identity, replica.acceptor.promised, accepted)
    after = with_process(state, snapshot_replica(replica, process))
    if request.proposal is not None and ok and replica.acceptor.accepted:
        after = invariants.record_vote(after, replica.identity, replica.acceptor.accepted)
    return after, response


def apply_response(model: Model, state: State, response: Response) -> State:
    """Handles a response in its round, as Proposer.send_prepare and send_accept do; a late response changes nothing."""
    request = response.request
    if response in state.responses:
        state = state._replace(responses=state.responses - {response})
    found = round_of(state, request.ballot)
    if found is None:
        return state
    ongoing, snapshot = found
    proposal_round = restore_round(snapshot, operations.change(model.operations[ongoing.operation], ongoing.desired))
    phase_before = proposal_round.phase
    update_round(proposal_round, response)
    if phase_before is Phase.PREPARE and proposal_round.phase is Phase.ACCEPT:
        state = invariants.record_parent(state, proposal_round.ballot, proposal_round.newest_found().ballot)
        return send_requests(model, state, ongoing, ongoing._replace(contacted=frozenset()), proposal_round)
    if proposal_round.phase is Phase.CHOSEN:
        return finish_operation(model, state, ongoing, proposal_round.chosen_proposal())
    return send_requests(model, state, ongoing, ongoing, proposal_round)


def update_round(proposal_round: ProposalRound, response: Response) -> None:
    """Counts a response as a promise, an acceptance or a refusal."""
    if not response.ok:
        if response.promised > proposal_round.ballot:
            proposal_round.on_refused(response.promised)
    elif response.request.proposal is None:
        proposal_round.on_promised(response.voter, response.accepted)
    else:
        proposal_round.on_accepted(response.voter)


def check_known(state: State, replica: Replica, address: str) -> State:
    """Checks that the value and the voter set from which a round or a query starts are chosen."""
    state = invariants.check_voter_set_number(state, replica.chosen_voters_number(), address)
    return invariants.check_chosen(state, replica.chosen, address) if replica.chosen else state


def finish_operation(model: Model, state: State, ongoing: OngoingOperation, chosen: Proposal) -> State:
    """Finishes an operation: its process learns the chosen value, and its operator receives the result."""
    operation = model.operations[ongoing.operation]
    state = invariants.check_chosen(state, chosen, operation.address)
    state = invariants.check_not_stale(state, chosen, ongoing.lower_bound, operation.address)
    state = learn(state, operation.address, chosen)
    state = with_ongoing(state, ongoing, None)._replace(known=state.known | {chosen})
    return operations.record_result(state, operation, chosen)


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
