"""Read transitions: controllers query a majority, and a gateway compares the views of controllers."""

from collections.abc import Iterator

from stoneyoke.consensus.majority_read import newest_view
from stoneyoke.consensus.register_value import Proposal
from stoneyoke.lab.simulation.exhaustive import invariants
from stoneyoke.lab.simulation.exhaustive.models import Model
from stoneyoke.lab.simulation.exhaustive.rounds import check_known, finish_operation
from stoneyoke.lab.simulation.exhaustive.snapshots import restore_query, restore_replica, snapshot_query
from stoneyoke.lab.simulation.exhaustive.state import (
    Gateway,
    OngoingOperation,
    QuerySnapshot,
    State,
    Transition,
    process_at,
    with_ongoing,
)


def begin_query(model: Model, state: State, ongoing: OngoingOperation) -> State:
    """Starts the query of an operation, as Reader.query does."""
    address = model.operations[ongoing.operation].address
    replica = restore_replica(process_at(state, address))
    known = replica.view()
    assert known
    state = check_known(state, replica, address)
    query = QuerySnapshot(known, replica.chosen_voters_number(), frozenset())
    return with_ongoing(state, None, ongoing._replace(query=query))


def query_responses(model: Model, state: State) -> Iterator[Transition]:
    """Yields the response of each voter that a query still needs.

    The response arrives at once: the reader does nothing until then, so a late response reaches no other state.
    """
    for ongoing in state.ongoing:
        if not ongoing.query:
            continue
        reader = model.operations[ongoing.operation].address
        query = restore_query(ongoing.query)
        for address in sorted(query.addresses_to_ask() - ongoing.contacted):
            yield Transition(
                f"{address} answers the read of {reader}", add_query_response(model, state, ongoing, address)
            )


def add_query_response(model: Model, state: State, ongoing: OngoingOperation, address: str) -> State:
    """Adds the response of a voter to a query; finishes the operation if the query now has a result."""
    assert ongoing.query
    query = restore_query(ongoing.query)
    voter = process_at(state, address)
    query.on_response(voter.replica, voter.accepted)
    if chosen := query.chosen_proposal():
        return finish_operation(model, state, ongoing, chosen)
    after = ongoing._replace(query=snapshot_query(query), contacted=ongoing.contacted | {address})
    return with_ongoing(state, ongoing, after)


def gateway_views(state: State) -> Iterator[Transition]:
    """Yields each view that the gateway may receive next: the newest value that a controller knows, without its body.

    The lower bound is read with the first view. The gateway is done once `newest_view` returns a view.
    """
    gateway = state.gateway
    if gateway is None:
        return
    received_from = {member.address for member, _ in gateway.views}
    for process in state.processes:
        view = restore_replica(process).view()
        if process.replica.address in received_from or view is None:
            continue
        lower_bound = gateway.lower_bound if gateway.views else state.history.newest_received
        received = Proposal(view.ballot, view.value.without_body())
        after = Gateway(lower_bound, gateway.views | {(process.replica, received)})
        result = state._replace(gateway=after)
        if newest := newest_view(dict(after.views)):
            result = invariants.check_view(result, newest, lower_bound)._replace(gateway=None)
        yield Transition(f"a gateway hears {process.replica.address}", result)
