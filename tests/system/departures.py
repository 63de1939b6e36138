"""Helpers for tests in which a client disconnects while its request is in flight at a backend."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

from configurations import route
from gateway_fixture import GatewayUnderTest
from holding_backend import DelayingBackend, DisconnectingClient
from raw_backend import until

WAYS_TO_DISCONNECT = (DisconnectingClient.close, DisconnectingClient.half_close, DisconnectingClient.reset)
TURNS = 50  # turns of the event loop, far more than this process needs to handle a closed connection


def make_idempotent(configuration: dict[str, Any]) -> None:
    """Makes the route of a DisconnectingClient's requests idempotent."""
    route(configuration, 0, 1).update(route_kind="pure")


async def run_loop_turns() -> None:
    """Runs the event loop until this process has handled all pending events."""
    for _ in range(TURNS):
        await asyncio.sleep(0)


def orphaned_attempts(gateway: GatewayUnderTest) -> int:
    """Returns the number of attempts in flight whose client has disconnected."""
    return sum(upstream.runtime.orphaned_attempts() for upstream in gateway.upstreams.upstreams.values())


def clients_gone(gateway: GatewayUnderTest) -> int:
    """Returns the number of clients whose disconnection before their response the gateway has detected."""
    return sum(count for name, count in gateway.metrics.counts.items() if name.startswith("clients gone: "))


@asynccontextmanager
async def request_at_backend(
    change: Callable[[dict[str, Any]], Any] | None = make_idempotent, backend: DelayingBackend | None = None
) -> AsyncIterator[tuple[GatewayUnderTest, DelayingBackend, DisconnectingClient]]:
    """Yields a gateway, a backend, and a client with a request in flight there: idempotent unless `change` is None."""
    backend = backend or DelayingBackend()
    async with GatewayUnderTest([backend], change=change) as gateway:
        client = DisconnectingClient(gateway.port)
        client.send()
        await until(lambda: backend.requests)
        yield gateway, backend, client


def assert_nothing_in_use(gateway: GatewayUnderTest, idle_connections: int = 0) -> None:
    """Checks that no request, attempt, slot or descriptor is in use, and that no invariant was violated."""
    assert not gateway.handler.connections.open
    for upstream in gateway.upstreams.upstreams.values():
        decisions = upstream.runtime.gateway
        assert not upstream.runtime.pending and not upstream.runtime.departures.sweeps_by_request
        assert not decisions.rpcs.open and decisions.backends.concurrency.in_flight == 0
        assert all(backend.in_flight == 0 for backend in decisions.backends.table.by_index.values())
    pools = gateway.backends.pools.values()
    assert [pool.busy for pool in pools] == [0] * len(pools)
    assert sum(len(pool.idle) for pool in pools) == gateway.backends.descriptor_budget.used == idle_connections
    assert not gateway.metrics.violations


async def disconnect_and_wait(
    gateway: GatewayUnderTest,
    client: DisconnectingClient,
    leave: Callable[[DisconnectingClient], None] = DisconnectingClient.close,
) -> None:
    """Ends a client's connection and waits until the gateway has closed its end."""
    leave(client)
    await until(lambda: not gateway.handler.connections.open)
