"""Reads by controllers and views of gateways: what is asked around Query and newest_view."""

from collections.abc import Iterator

from stoneyoke.consensus.protocol import Accepted, Query, newest_view
from stoneyoke.lab.simulation.exhaustive import invariants
from stoneyoke.lab.simulation.exhaustive.models import Model
from stoneyoke.lab.simulation.exhaustive.rounds import check_known, decided
from stoneyoke.lab.simulation.exhaustive.state import (
    Gateway,
    OngoingOperation,
    QuerySnapshot,
    State,
    Transition,
    process_at,
    restore_query,
    restore_replica,
    snapshot_query,
    with_ongoing,
)


def begin_query(model: Model, state: State, ongoing: OngoingOperation) -> State:
    """As Replication.query."""
    at = model.operations[ongoing.operation].at
    replica = restore_replica(process_at(state, at))
    known = replica.view()
    assert known
    state = check_known(state, replica, at)
    return with_ongoing(state, None, ongoing._replace(query=QuerySnapshot(known, replica.chosen_number(), frozenset())))


def answers_to_queries(model: Model, state: State) -> Iterator[Transition]:
    """A voter tells a reader what it has accepted. The answer comes at once: the reader does nothing until then."""
    for ongoing in state.ongoing:
        if not ongoing.query:
            continue
        at = model.operations[ongoing.operation].at
        current = restore_query(ongoing.query)
        for address in sorted(current.targets() - ongoing.contacted):
            yield f"{address} answers the read of {at}", query_answered(model, state, ongoing, address)


def query_answered(model: Model, state: State, ongoing: OngoingOperation, address: str) -> State:
    assert ongoing.query
    current: Query = restore_query(ongoing.query)
    voter = process_at(state, address)
    current.replied(voter.replica, voter.accepted)
    if chosen := current.chosen():
        return decided(model, state, ongoing, chosen)
    after = ongoing._replace(query=snapshot_query(current), contacted=ongoing.contacted | {address})
    return with_ongoing(state, ongoing, after)


def gateway_views(state: State) -> Iterator[Transition]:
    """A gateway hears from a controller: the newest value that it knows, without its text."""
    gateway = state.gateway
    if gateway is None:
        return
    heard = {member.address for member, _ in gateway.views}
    for process in state.processes:
        view = restore_replica(process).view()
        if process.replica.address in heard or view is None:
            continue
        told = Accepted(view.ballot, view.value.without_body())
        lower_bound = gateway.lower_bound if gateway.views else state.history.shown
        after = Gateway(lower_bound, gateway.views | {(process.replica, told)})
        newest = newest_view(dict(after.views))
        result = state._replace(gateway=after)
        if newest:
            result = invariants.check_view(result, newest, lower_bound)._replace(gateway=None)
        yield f"a gateway hears {process.replica.address}", result
