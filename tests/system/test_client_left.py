"""Attempts at backends whose client has disconnected.

An attempt of an idempotent request is cancelled when its client disconnects, so that no backend works for a client that
is gone. An attempt of a non-idempotent request is left to finish. Whenever the client disconnects, no request, slot,
connection or file descriptor stays in use.
"""

import asyncio
from itertools import product

from departures import (
    WAYS_TO_DISCONNECT,
    assert_nothing_in_use,
    clients_gone,
    disconnect_and_wait,
    make_idempotent,
    orphaned_attempts,
    request_at_backend,
    run_loop_turns,
)
from event_loop import on_loop
from gateway_fixture import GatewayUnderTest
from holding_backend import DelayingBackend, DisconnectingClient
from raw_backend import until
from ward import each, raises, test

from stoneyoke.control.parameters import AttemptOutcome
from stoneyoke.net.attempt import OutgoingRequest
from stoneyoke.runtime.client_departures import ATTEMPT_OUTLIVED_CLIENT
from stoneyoke.runtime.pending_request import RequestDescription

EACH_WAY = each(*WAYS_TO_DISCONNECT)
EACH_WAY_AND_FLAG = each(*product(WAYS_TO_DISCONNECT, (True, False)))
EACH_WAY_AND_LENGTH = each(*product(WAYS_TO_DISCONNECT, (10, 60, -1)))  # end of the part of the request that is sent
EACH_KIND_AND_FLAG = each(*product((make_idempotent, None), (True, False)))


@test("an attempt of an idempotent request is cancelled once its client has disconnected")
@on_loop
async def _(leave=EACH_WAY):
    async with request_at_backend() as (gateway, backend, client):
        attempt_id = client.attempt_id
        leave(client)
        await until(lambda: clients_gone(gateway))
        await run_loop_turns()
        assert orphaned_attempts(gateway) == 0
        await until(lambda: backend.cut)
        assert backend.cut == [attempt_id] and not backend.finished


# Size of the next request's body. It must be more than the gateway reads while a response is pending (48 KiB at most),
# and less than these and the kernel's receive buffer (about 77 KiB) together: behind a full receive window no FIN
# arrives. With 150,000 it did 38 times in 40.
UNREAD_BYTES = 80_000


@test("the disconnection of a client with unread input is detected at the next sweep")
@on_loop
async def _(leave=EACH_WAY):
    async with request_at_backend() as (gateway, backend, client):
        attempt_id = client.attempt_id
        (connection,) = gateway.handler.connections.open.values()
        client.send(body=b"x" * UNREAD_BYTES)
        await until(lambda: not connection.writer.transport.is_reading())
        leave(client)
        await run_loop_turns()
        gateway.handler.connections.close_expired()
        await run_loop_turns()
        assert clients_gone(gateway) == 1
        assert orphaned_attempts(gateway) == 0
        await until(lambda: backend.cut)
        assert backend.cut == [attempt_id] and len(backend.requests) == 1


@test("a non-idempotent request that was sent may finish after its client has disconnected, also during a drain")
@on_loop
async def _(case=EACH_WAY_AND_FLAG):
    leave, draining = case
    async with request_at_backend(change=None) as (gateway, backend, client):
        attempt_id = client.attempt_id
        gateway.handler.draining, gateway.backends.may_cancel_attempts = draining, not draining
        leave(client)
        await until(lambda: clients_gone(gateway))
        await run_loop_turns()
        assert not backend.cut and gateway.handler.has_work(), "the process could exit and break off the attempt"
        backend.released.set()
        await until(lambda: not gateway.handler.connections.open)
        assert backend.finished == [attempt_id] and not gateway.handler.has_work()
        assert_nothing_in_use(gateway, idle_connections=1)


@test("an idempotent attempt is cancelled with its client also during a drain, or if its instance has been removed")
@on_loop
async def _(draining=each(True, False)):
    async with request_at_backend() as (gateway, backend, client):
        if draining:
            gateway.handler.draining, gateway.backends.may_cancel_attempts = True, False
        else:
            gateway.instance_directory.mark_gone("i-0", gateway.clock.now() / 1_000_000)
            gateway.upstreams.refresh()
        await disconnect_and_wait(gateway, client)
        await until(lambda: backend.cut)
        assert_nothing_in_use(gateway)


WHOLE_REQUEST = (
    b"POST /a/b/x HTTP/1.1\r\nHost: one.example\r\nAttempt-Id: p\r\nApi-Key: key-a\r\nContent-Length: 5\r\n\r\norder"
)


@test("a client that disconnects before its request is complete starts no attempt and uses no quota")
@on_loop
async def _(case=EACH_WAY_AND_LENGTH):
    leave, part = case
    backend = DelayingBackend()
    async with GatewayUnderTest([backend], change=make_idempotent) as gateway:
        client = DisconnectingClient(gateway.port)
        client.socket.sendall(WHOLE_REQUEST[:part])
        await until(lambda: gateway.handler.connections.open)
        await disconnect_and_wait(gateway, client, leave)
        assert not backend.requests and not gateway.quota_client.asked and gateway.metrics.counts["requests"] == 0
        assert_nothing_in_use(gateway)


@test("no attempt keeps running for a client that disconnects right after the last byte of its request")
@on_loop
async def _(leave=EACH_WAY):
    backend = DelayingBackend()
    async with GatewayUnderTest([backend], change=make_idempotent) as gateway:
        client = DisconnectingClient(gateway.port)
        client.socket.sendall(WHOLE_REQUEST)
        leave(client)
        await until(lambda: gateway.metrics.counts["client connections"] and not gateway.handler.connections.open)
        await until(lambda: len(backend.requests) == len(backend.cut))
        assert not backend.finished
        assert_nothing_in_use(gateway)


@test("a client that disconnects while units are requested for it uses no unit, and no attempt is made")
@on_loop
async def _(leave=EACH_WAY):
    backend = DelayingBackend()
    async with GatewayUnderTest([backend], change=make_idempotent) as gateway:
        asked, answered = asyncio.Event(), asyncio.Event()
        grant = gateway.quota_client.wait_for_units

        async def grant_late(tenant):
            asked.set()
            await answered.wait()
            await grant(tenant)

        gateway.quota_client.wait_for_units = grant_late
        client = DisconnectingClient(gateway.port)
        client.send()
        await asked.wait()
        leave(client)
        (connection,) = gateway.handler.connections.open.values()
        await until(lambda: connection.disconnected)
        answered.set()
        await until(lambda: not gateway.handler.connections.open)
        units, _, _, _ = gateway.quota_client.grant
        assert gateway.admission.local_quotas["anna"].level == units and not backend.requests
        assert_nothing_in_use(gateway)


@test("no request is sent for a client that disconnects while the connection to the backend is being opened")
@on_loop
async def _(case=EACH_KIND_AND_FLAG):
    change, same_turn = case
    backend = DelayingBackend()
    async with GatewayUnderTest([backend], change=change) as gateway:
        connecting, connected = asyncio.Event(), asyncio.Event()
        connect = gateway.backends.connect

        async def connect_late(pool):
            connection = await connect(pool)
            connecting.set()
            await connected.wait()
            return connection

        gateway.backends.connect = connect_late
        client = DisconnectingClient(gateway.port)
        client.send()
        await connecting.wait()
        (serving,) = gateway.handler.connections.open.values()
        if same_turn:
            # As the event loop calls it; the connection to the backend is opened in the same turn of the loop.
            serving.protocol.eof_received()
            connected.set()
        await disconnect_and_wait(gateway, client)
        connected.set()
        await run_loop_turns()
        assert not backend.requests and gateway.metrics.counts["attempts: not sent"] == 1
        assert_nothing_in_use_but_connecting(gateway)


def assert_nothing_in_use_but_connecting(gateway):
    """Like assert_nothing_in_use, but allows a descriptor of a connection that was cancelled while it was being opened.

    This test's replacement of `connect` holds that connection, so the pool does not close it.
    """
    assert all(not upstream.runtime.pending for upstream in gateway.upstreams.upstreams.values())
    assert gateway.backends.descriptor_budget.used in (0, 1) and not gateway.metrics.violations


@test("if the client disconnects during a second attempt, that attempt is cancelled and no third one starts")
@on_loop
async def _(leave=EACH_WAY):
    first = []

    class FailsOnce(DelayingBackend):
        async def is_disconnected(self, reader):
            if not first:
                first.append(self)
                return True
            return await super().is_disconnected(reader)

    backends = [FailsOnce(), FailsOnce(), FailsOnce()]
    async with GatewayUnderTest(backends, change=make_idempotent) as gateway:
        client = DisconnectingClient(gateway.port)
        client.send()
        await until(lambda: sum(len(backend.requests) for backend in backends) == 2)
        await disconnect_and_wait(gateway, client, leave)
        await until(lambda: sum(len(backend.cut) for backend in backends) == 2)
        assert sum(len(backend.requests) for backend in backends) == 2
        assert_nothing_in_use(gateway)


@test("a non-idempotent request that a backend rejects after its client has disconnected is not retried")
@on_loop
async def _(status=each(503, 421)):
    def reject(request):
        return b"HTTP/1.1 %d X\r\nAttempt-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n" % (
            status,
            request["attempt-id"],
        )

    backends = [DelayingBackend(reject), DelayingBackend(reject)]
    async with GatewayUnderTest(backends) as gateway:
        client = DisconnectingClient(gateway.port)
        client.send()
        await until(lambda: backends[0].requests or backends[1].requests)
        client.close()
        await until(lambda: clients_gone(gateway))
        for backend in backends:
            backend.released.set()
        await until(lambda: not gateway.handler.connections.open)
        assert sum(len(backend.requests) for backend in backends) == 1
        assert not gateway.metrics.violations


@test("an idempotent attempt whose response has started and stalls is cancelled with its client")
@on_loop
async def _(
    part=each(b"HTTP/1.1 200 OK\r\nSer", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nServer-Stamp: s\r\n\r\nhalf"),
):
    backend = DelayingBackend(first_part=part)
    async with GatewayUnderTest([backend], change=make_idempotent) as gateway:
        client = DisconnectingClient(gateway.port)
        client.send()
        await until(lambda: gateway.backends.pools and any(pool.busy for pool in gateway.backends.pools.values()))
        await until(lambda: backend.requests)
        await run_loop_turns()
        await disconnect_and_wait(gateway, client)
        await until(lambda: backend.cut)
        assert_nothing_in_use(gateway)


@test("an idempotent attempt whose body the backend does not read is cancelled with its client")
@on_loop
async def _():
    reading = asyncio.Event()
    ended = asyncio.Event()

    class NotReading(DelayingBackend):
        async def serve(self, reader, writer):
            writer.transport.pause_reading()
            reading.set()
            await until(ended.is_set)
            writer.transport.abort()

    body = b"x" * (1 << 20)
    async with GatewayUnderTest([NotReading()], change=make_idempotent) as gateway:
        client = DisconnectingClient(gateway.port)
        sending = asyncio.ensure_future(asyncio.to_thread(client.send, body=body))
        await reading.wait()
        await sending
        await until(lambda: orphaned_attempts(gateway) == 0 and any(p.busy for p in gateway.backends.pools.values()))
        await disconnect_and_wait(gateway, client)
        ended.set()
        assert gateway.metrics.counts["attempts: client gone"] == 1
        assert_nothing_in_use(gateway)


@test("of two pipelined requests, the one in flight is cancelled with its client and the other never starts")
@on_loop
async def _(leave=EACH_WAY):
    backend = DelayingBackend()
    async with GatewayUnderTest([backend], change=make_idempotent) as gateway:
        client = DisconnectingClient(gateway.port)
        backend.released.set()
        first = client.send()
        await until(lambda: backend.finished == [first])
        await until(lambda: all(one.phase.name == "IDLE" for one in gateway.handler.connections.open.values()))
        backend.released.clear()
        second = client.send()
        client.send()  # pipelined
        await until(lambda: len(backend.requests) == 2)
        await disconnect_and_wait(gateway, client, leave)
        await until(lambda: backend.cut == [second])
        assert len(backend.requests) == 2 and gateway.metrics.counts["requests"] == 2
        assert_nothing_in_use(gateway)


@test("a disconnection and a backend response at the same time leave nothing in use, whichever is processed first")
@on_loop
async def _(case=EACH_WAY_AND_FLAG):
    leave, client_first = case
    async with request_at_backend() as (gateway, backend, client):
        steps = [lambda: leave(client), backend.released.set]
        for step in steps if client_first else reversed(steps):
            step()
        await until(lambda: not gateway.handler.connections.open)
        await run_loop_turns()
        idle = sum(len(pool.idle) for pool in gateway.backends.pools.values())
        assert_nothing_in_use(gateway, idle_connections=idle)


@test("an attempt cancelled with its client does not count as a backend failure and does not improve its latency")
@on_loop
async def _():
    backend = DelayingBackend()
    async with GatewayUnderTest([backend], change=make_idempotent) as gateway:
        for _ in range(8):
            client = DisconnectingClient(gateway.port)
            client.send()
            await until(lambda: gateway.metrics.counts["requests"] and clients_gone(gateway) < len(backend.requests))
            await disconnect_and_wait(gateway, client)
        (upstream,) = gateway.upstreams.upstreams.values()
        decisions = upstream.runtime.gateway
        (measured,) = decisions.backends.table.by_index.values()
        assert measured.failure_share == 0 and measured.relative_latency == 1.0 and not measured.ejected_until
        assert decisions.backends.concurrency.unserved_share == 0
        assert gateway.metrics.counts["attempts: client gone"] == 8


@test("an attempt that outlives its client is counted once, at the second sweep")
@on_loop
async def _():
    async with request_at_backend() as (gateway, backend, client):
        (upstream,) = gateway.upstreams.upstreams.values()
        upstream.runtime.gateway.rpcs.cancel_attempts = lambda rpc: None  # disables the cancellation
        client.close()
        await until(lambda: clients_gone(gateway))
        upstream.runtime.departures.sweep()
        assert not gateway.metrics.violations
        with raises(AssertionError):  # without -O, a violated invariant raises
            upstream.runtime.departures.sweep()
        upstream.runtime.departures.sweep()
        assert gateway.metrics.violations == {ATTEMPT_OUTLIVED_CLIENT: 1}
        backend.released.set()
        await until(lambda: not gateway.handler.connections.open)


@test("an attempt that would start for a disconnected client is counted as a violation, and with -O not made")
@on_loop
async def _():
    backend = DelayingBackend()
    async with GatewayUnderTest([backend], change=make_idempotent) as gateway:
        gateway.upstreams.refresh()
        (upstream,) = gateway.upstreams.upstreams.values()
        request = upstream.runtime.open_request(RequestDescription(method=0, plan=0), gateway.clock.now() + 1_000_000)
        request.client_gone = True
        outgoing = OutgoingRequest(head=[], body=b"", deadline_us=gateway.clock.now() + 1_000_000)
        with raises(AssertionError):
            await gateway.backends.send_attempt(request, 0, 0, outgoing)
        gateway.metrics.check_invariant = lambda holds, name: holds  # as with -O
        outcome, _ = await gateway.backends.send_attempt(request, 0, 0, outgoing)
        assert outcome is AttemptOutcome.NOT_SENT and not backend.connections
        assert sum(gateway.metrics.violations.values()) == 1
