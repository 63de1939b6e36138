"""Clients that disconnect at any moment, among responses, drains and sweeps, in random orders, each given by a seed."""

import asyncio
import random

from configurations import route
from departures import WAYS_TO_DISCONNECT, assert_nothing_in_use, run_loop_turns
from event_loop import on_loop
from gateway_fixture import GatewayUnderTest
from holding_backend import DelayingBackend, DisconnectingClient
from raw_backend import until
from ward import each, test


def drawn_steps(seed, backend, gateway, clients):
    """Returns 70 or 71 steps in a random order: requests, disconnections, responses, sweeps; for odd seeds a drain."""
    draw = random.Random(seed)

    def send():
        if len(clients) < 8:
            clients.append(DisconnectingClient(gateway.port))
            clients[-1].send(path=draw.choice((b"/a/b/x", b"/a/x")))

    def leave():
        if clients:
            draw.choice(WAYS_TO_DISCONNECT)(clients.pop(draw.randrange(len(clients))))

    def answer():
        backend.released.set()

    def hold():
        backend.released.clear()

    def drain():
        gateway.handler.draining, gateway.backends.may_cancel_attempts = True, False

    def sweep():
        gateway.handler.connections.close_expired()
        for upstream in gateway.upstreams.upstreams.values():
            upstream.runtime.departures.sweep()

    steps = [send] * 8 + [leave] * 8 + [answer, hold, hold, sweep, sweep] + [lambda: None] * 6
    return [draw.choice(steps) for _ in range(60)] + [drain] * (seed % 2) + [draw.choice(steps) for _ in range(10)]


@test("random orders of requests, disconnects, responses, drains and sweeps leak nothing and violate no invariant")
@on_loop
async def _(first_seed=each(0, 10, 20, 30)):
    def mixed(configuration):
        route(configuration, 0, 0).update(weighted=None, target_service="quay")
        route(configuration, 0, 0).pop("weighted")

    for seed in range(first_seed, first_seed + 10):
        backend, clients = DelayingBackend(), []
        async with GatewayUnderTest([backend], change=mixed) as gateway:
            turns = random.Random(-seed)
            for step in drawn_steps(seed, backend, gateway, clients):
                step()
                for _ in range(turns.choice((0, 0, 1, 2, 5, 40))):
                    await asyncio.sleep(0)
            for client in clients:
                client.close()
            await run_loop_turns()
            backend.released.set()
            await until(lambda gateway=gateway: not gateway.handler.connections.open)
            idle = sum(len(pool.idle) for pool in gateway.backends.pools.values())
            assert_nothing_in_use(gateway, idle_connections=idle)
            assert len(set(backend.cut)) == len(backend.cut) and not set(backend.cut) & set(backend.finished)
