"""Helpers for tests in which a client disconnects while its request is in flight at a backend."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

from configurations import route
from gateway_fixture import GatewayUnderTest
from holding_backend import HoldingBackend, LeavingClient
from raw_backend import until

WAYS_TO_LEAVE = (LeavingClient.close, LeavingClient.half_close, LeavingClient.reset)
TURNS = 50  # turns of the event loop, far more than this process needs to handle a closed connection


def repeatable(configuration: dict[str, Any]) -> None:
    """Makes the route of a LeavingClient's requests idempotent."""
    route(configuration, 0, 1).update(route_kind="pure")


async def turn_loop() -> None:
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
    change: Callable[[dict[str, Any]], Any] | None = repeatable, backend: HoldingBackend | None = None
) -> AsyncIterator[tuple[GatewayUnderTest, HoldingBackend, LeavingClient]]:
    """Yields a gateway, a backend, and a client with a request in flight there: idempotent unless `change` is None."""
    backend = backend or HoldingBackend()
    async with GatewayUnderTest([backend], change=change) as gateway:
        client = LeavingClient(gateway.port)
        client.send()
        await until(lambda: backend.requests)
        yield gateway, backend, client


def assert_nothing_held(gateway: GatewayUnderTest, idle_connections: int = 0) -> None:
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


async def leave_and_wait(
    gateway: GatewayUnderTest, client: LeavingClient, leave: Callable[[LeavingClient], None] = LeavingClient.close
) -> None:
    """Ends a client's connection and waits until the gateway has closed its end."""
    leave(client)
    await until(lambda: not gateway.handler.connections.open)
