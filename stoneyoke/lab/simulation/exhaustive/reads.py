"""Reads by controllers and views of gateways: what is asked around Query and newest_view."""

from collections.abc import Iterator

from stoneyoke.consensus.protocol import Accepted, Query, newest_view
from stoneyoke.lab.simulation.exhaustive import checks
from stoneyoke.lab.simulation.exhaustive.rounds import check_known, decided
from stoneyoke.lab.simulation.exhaustive.state import (
    FrozenQuery,
    Gateway,
    Running,
    State,
    Step,
    freeze_query,
    process_at,
    thaw_query,
    thaw_replica,
    with_running,
)
from stoneyoke.lab.simulation.exhaustive.worlds import World


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
