"""Work must not outlive the client that it is done for: attempts at backends after their client has left."""

import asyncio
from itertools import product

from departures import (
    WAYS_TO_LEAVE,
    assert_nothing_held,
    clients_gone,
    leave_and_wait,
    orphaned_attempts,
    repeatable,
    request_at_backend,
    turn_loop,
)
from event_loop import on_loop
from gateway_fixture import GatewayUnderTest
from holding_backend import HoldingBackend, LeavingClient
from raw_backend import until
from ward import each, raises, test

from stoneyoke.control.parameters import AttemptOutcome
from stoneyoke.net.attempt import OutgoingRequest
from stoneyoke.runtime.client_departures import ATTEMPT_OUTLIVED_CLIENT
from stoneyoke.runtime.pending_request import RequestDescription

LEAVES = each(*WAYS_TO_LEAVE)
WAYS_AND_FLAG = each(*product(WAYS_TO_LEAVE, (True, False)))
WAYS_AND_PART = each(*product(WAYS_TO_LEAVE, (10, 60, -1)))  # bytes of a request that were sent
KIND_AND_FLAG = each(*product((repeatable, None), (True, False)))


@test("a read ends at its backend once its client has left")
@on_loop
async def _(leave=LEAVES):
    async with request_at_backend() as (gateway, backend, client):
        attempt_id = client.attempt_id
        leave(client)
        await until(lambda: clients_gone(gateway))
        await turn_loop()
        assert orphaned_attempts(gateway) == 0
        await until(lambda: backend.cut)
        assert backend.cut == [attempt_id] and not backend.finished


# Of the next request: more than the gateway reads while it owes an answer (48 KiB at most), and less than the kernel
# takes besides (some 77 KiB). Behind a full receive window no FIN arrives: with 150,000 it did 38 times in 40.
UNREAD_BYTES = 80_000


@test("a client that leaves while input of it waits unread is noticed at the next sweep")
@on_loop
async def _(leave=LEAVES):
    async with request_at_backend() as (gateway, backend, client):
        attempt_id = client.attempt_id
        (connection,) = gateway.handler.connections.open.values()
        client.send(body=b"x" * UNREAD_BYTES)
        await until(lambda: not connection.writer.transport.is_reading())
        leave(client)
        await turn_loop()
        gateway.handler.connections.close_expired()
        await turn_loop()
        assert clients_gone(gateway) == 1
        assert orphaned_attempts(gateway) == 0
        await until(lambda: backend.cut)
        assert backend.cut == [attempt_id] and len(backend.requests) == 1


@test("an order that has been sent is let finish after its client has left, also while the gateway drains")
@on_loop
async def _(case=WAYS_AND_FLAG):
    leave, draining = case
    async with request_at_backend(change=None) as (gateway, backend, client):
        attempt_id = client.attempt_id
        gateway.handler.draining, gateway.backends.may_cancel_attempts = draining, not draining
        leave(client)
        await until(lambda: clients_gone(gateway))
        await turn_loop()
        assert not backend.cut and gateway.handler.has_work(), "the end of the process would cut the run"
        backend.released.set()
        await until(lambda: not gateway.handler.connections.open)
        assert backend.finished == [attempt_id] and not gateway.handler.has_work()
        assert_nothing_held(gateway, idle_connections=1)


@test("a read ends with its client while the gateway drains, and when its instance is listed no more")
@on_loop
async def _(draining=each(True, False)):
    async with request_at_backend() as (gateway, backend, client):
        if draining:
            gateway.handler.draining, gateway.backends.may_cancel_attempts = True, False
        else:
            gateway.instance_directory.mark_gone("i-0", gateway.clock.now() / 1_000_000)
            gateway.upstreams.refresh()
        await leave_and_wait(gateway, client)
        await until(lambda: backend.cut)
        assert_nothing_held(gateway)


WHOLE_REQUEST = (
    b"POST /a/b/x HTTP/1.1\r\nHost: one.example\r\nAttempt-Id: p\r\nApi-Key: key-a\r\nContent-Length: 5\r\n\r\norder"
)


@test("a client that leaves within its request begins nothing and costs no quota")
@on_loop
async def _(case=WAYS_AND_PART):
    leave, part = case
    backend = HoldingBackend()
    async with GatewayUnderTest([backend], change=repeatable) as gateway:
        client = LeavingClient(gateway.port)
        client.socket.sendall(WHOLE_REQUEST[:part])
        await until(lambda: gateway.handler.connections.open)
        await leave_and_wait(gateway, client, leave)
        assert not backend.requests and not gateway.quota_client.asked and gateway.metrics.counts["requests"] == 0
        assert_nothing_held(gateway)


@test("a client that leaves with the last byte of its request has nothing run on for it")
@on_loop
async def _(leave=LEAVES):
    backend = HoldingBackend()
    async with GatewayUnderTest([backend], change=repeatable) as gateway:
        client = LeavingClient(gateway.port)
        client.socket.sendall(WHOLE_REQUEST)
        leave(client)
        await until(lambda: gateway.metrics.counts["client connections"] and not gateway.handler.connections.open)
        await until(lambda: len(backend.requests) == len(backend.cut))
        assert not backend.finished
        assert_nothing_held(gateway)


@test("a client that leaves while the lease holder is asked takes no unit, and nothing is begun for it")
@on_loop
async def _(leave=LEAVES):
    backend = HoldingBackend()
    async with GatewayUnderTest([backend], change=repeatable) as gateway:
        asked, answered = asyncio.Event(), asyncio.Event()
        grant = gateway.quota_client.wait_for_units

        async def grant_late(tenant):
            asked.set()
            await answered.wait()
            await grant(tenant)

        gateway.quota_client.wait_for_units = grant_late
        client = LeavingClient(gateway.port)
        client.send()
        await asked.wait()
        leave(client)
        (connection,) = gateway.handler.connections.open.values()
        await until(lambda: connection.disconnected)
        answered.set()
        await until(lambda: not gateway.handler.connections.open)
        units, _, _, _ = gateway.quota_client.grant
        assert gateway.admission.local_quotas["anna"].level == units and not backend.requests
        assert_nothing_held(gateway)


@test("a client that leaves while a connection comes up has nothing sent for it, read or order")
@on_loop
async def _(case=KIND_AND_FLAG):
    change, same_turn = case
    backend = HoldingBackend()
    async with GatewayUnderTest([backend], change=change) as gateway:
        connecting, connected = asyncio.Event(), asyncio.Event()
        connect = gateway.backends.connect

        async def connect_late(pool):
            connection = await connect(pool)
            connecting.set()
            await connected.wait()
            return connection

        gateway.backends.connect = connect_late
        client = LeavingClient(gateway.port)
        client.send()
        await connecting.wait()
        (serving,) = gateway.handler.connections.open.values()
        if same_turn:
            serving.protocol.eof_received()  # what the loop would call; the connection comes up before it turns again
            connected.set()
        await leave_and_wait(gateway, client)
        connected.set()
        await turn_loop()
        assert not backend.requests and gateway.metrics.counts["attempts: not sent"] == 1
        assert_nothing_held_but_connecting(gateway)


def assert_nothing_held_but_connecting(gateway):
    """As above; a connection that was given up while it came up is closed by its stand-in, not by the pool."""
    assert all(not upstream.runtime.pending for upstream in gateway.upstreams.upstreams.values())
    assert gateway.backends.descriptor_budget.used in (0, 1) and not gateway.metrics.violations


@test("a client that leaves during a second attempt ends that one, and no third begins")
@on_loop
async def _(leave=LEAVES):
    first = []

    class FailsOnce(HoldingBackend):
        async def is_cut(self, reader):
            if not first:
                first.append(self)
                return True
            return await super().is_cut(reader)

    backends = [FailsOnce(), FailsOnce(), FailsOnce()]
    async with GatewayUnderTest(backends, change=repeatable) as gateway:
        client = LeavingClient(gateway.port)
        client.send()
        await until(lambda: sum(len(backend.requests) for backend in backends) == 2)
        await leave_and_wait(gateway, client, leave)
        await until(lambda: sum(len(backend.cut) for backend in backends) == 2)
        assert sum(len(backend.requests) for backend in backends) == 2
        assert_nothing_held(gateway)


@test("an order that a backend turns away after its client has left is not sent again")
@on_loop
async def _(status=each(503, 421)):
    def turn_away(request):
        return b"HTTP/1.1 %d X\r\nAttempt-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n" % (
            status,
            request["attempt-id"],
        )

    backends = [HoldingBackend(turn_away), HoldingBackend(turn_away)]
    async with GatewayUnderTest(backends) as gateway:
        client = LeavingClient(gateway.port)
        client.send()
        await until(lambda: backends[0].requests or backends[1].requests)
        client.close()
        await until(lambda: clients_gone(gateway))
        for backend in backends:
            backend.released.set()
        await until(lambda: not gateway.handler.connections.open)
        assert sum(len(backend.requests) for backend in backends) == 1
        assert not gateway.metrics.violations


@test("a read ends with its client while its answer has begun and stalls")
@on_loop
async def _(
    part=each(b"HTTP/1.1 200 OK\r\nSer", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nServer-Stamp: s\r\n\r\nhalf"),
):
    backend = HoldingBackend(first_part=part)
    async with GatewayUnderTest([backend], change=repeatable) as gateway:
        client = LeavingClient(gateway.port)
        client.send()
        await until(lambda: gateway.backends.pools and any(pool.busy for pool in gateway.backends.pools.values()))
        await until(lambda: backend.requests)
        await turn_loop()
        await leave_and_wait(gateway, client)
        await until(lambda: backend.cut)
        assert_nothing_held(gateway)


@test("a read ends with its client while its body is held up by a backend that does not read")
@on_loop
async def _():
    reading = asyncio.Event()
    ended = asyncio.Event()

    class NotReading(HoldingBackend):
        async def serve(self, reader, writer):
            writer.transport.pause_reading()
            reading.set()
            await until(ended.is_set)
            writer.transport.abort()

    body = b"x" * (1 << 20)
    async with GatewayUnderTest([NotReading()], change=repeatable) as gateway:
        client = LeavingClient(gateway.port)
        sending = asyncio.ensure_future(asyncio.to_thread(client.send, body=body))
        await reading.wait()
        await sending
        await until(lambda: orphaned_attempts(gateway) == 0 and any(p.busy for p in gateway.backends.pools.values()))
        await leave_and_wait(gateway, client)
        ended.set()
        assert gateway.metrics.counts["attempts: client gone"] == 1
        assert_nothing_held(gateway)


@test("of requests on one connection the one in flight ends with the client, and the one behind never begins")
@on_loop
async def _(leave=LEAVES):
    backend = HoldingBackend()
    async with GatewayUnderTest([backend], change=repeatable) as gateway:
        client = LeavingClient(gateway.port)
        backend.released.set()
        first = client.send()
        await until(lambda: backend.finished == [first])
        await until(lambda: all(one.phase.name == "IDLE" for one in gateway.handler.connections.open.values()))
        backend.released.clear()
        second = client.send()
        client.send()  # pipelined
        await until(lambda: len(backend.requests) == 2)
        await leave_and_wait(gateway, client, leave)
        await until(lambda: backend.cut == [second])
        assert len(backend.requests) == 2 and gateway.metrics.counts["requests"] == 2
        assert_nothing_held(gateway)


@test("a client's close and the backend's answer that come together leave nothing behind, whichever is seen first")
@on_loop
async def _(case=WAYS_AND_FLAG):
    leave, client_first = case
    async with request_at_backend() as (gateway, backend, client):
        steps = [lambda: leave(client), backend.released.set]
        for step in steps if client_first else reversed(steps):
            step()
        await until(lambda: not gateway.handler.connections.open)
        await turn_loop()
        idle = sum(len(pool.idle) for pool in gateway.backends.pools.values())
        assert_nothing_held(gateway, idle_connections=idle)


@test("an attempt that ends with its client is no failure of its backend, and teaches no better latency than was known")
@on_loop
async def _():
    backend = HoldingBackend()
    async with GatewayUnderTest([backend], change=repeatable) as gateway:
        for _ in range(8):
            client = LeavingClient(gateway.port)
            client.send()
            await until(lambda: gateway.metrics.counts["requests"] and clients_gone(gateway) < len(backend.requests))
            await leave_and_wait(gateway, client)
        (upstream,) = gateway.upstreams.upstreams.values()
        decisions = upstream.runtime.gateway
        (measured,) = decisions.backends.table.by_index.values()
        assert measured.failure_share == 0 and measured.relative_latency == 1.0 and not measured.ejected_until
        assert decisions.backends.concurrency.refused_share == 0
        assert gateway.metrics.counts["attempts: client gone"] == 8


@test("an attempt that outlives its client is counted once, at the second sweep")
@on_loop
async def _():
    async with request_at_backend() as (gateway, backend, client):
        (upstream,) = gateway.upstreams.upstreams.values()
        upstream.runtime.gateway.rpcs.cancel_attempts = lambda rpc: None  # the mend undone
        client.close()
        await until(lambda: clients_gone(gateway))
        upstream.runtime.departures.sweep()
        assert not gateway.metrics.violations
        with raises(AssertionError):  # a debug build fails on it
            upstream.runtime.departures.sweep()
        upstream.runtime.departures.sweep()
        assert gateway.metrics.violations == {ATTEMPT_OUTLIVED_CLIENT: 1}
        backend.released.set()
        await until(lambda: not gateway.handler.connections.open)


@test("an attempt that would start for a client that has gone is counted, and not made in a release build")
@on_loop
async def _():
    backend = HoldingBackend()
    async with GatewayUnderTest([backend], change=repeatable) as gateway:
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
