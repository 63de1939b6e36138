"""Requests in flight at a backend when the gateway receives SIGTERM, and responses with wrong attempt ids or stamps."""

import asyncio

from configurations import route
from event_loop import on_loop
from gateway_fixture import GatewayUnderTest, ScriptedBackend, ok, read_head
from raw_backend import RawBackend, read_available, until
from ward import each, test

from stoneyoke.control.context import TICK_US
from stoneyoke.control.events import TimerFired
from stoneyoke.control.parameters import AttemptOutcome
from stoneyoke.gateway.upstreams import classify_response
from stoneyoke.net.message_reader import Message

GRACE_S = 60.0
TICKS = 100  # of the decision logic: 5 s, much longer than it waits for a silent backend before it cancels an attempt


def pure(given):
    route(given, 0, 1).update(route_kind="pure", timeout_s=60)


async def request_at_silent_backend(gateway, peer):
    """Returns an idempotent request in flight at the only backend, and the backend's end of its connection."""
    gateway.report_instance("i-0", peer.address[1])
    gateway.upstreams.refresh()
    asked = asyncio.ensure_future(gateway.send(method=b"GET", body=b"", wait_ms=b"60000"))
    await until(peer.has_waiting_connection)
    connection = peer.accept()
    await until(lambda: read_available(connection))
    return asked, connection


def advance_decision_time(gateway):
    """Advances the clock and the timer of the decision logic tick by tick, without real time passing."""
    runtime = gateway.upstreams.get(gateway.service).runtime
    for _ in range(TICKS):
        gateway.clock.monotonic_to_unix_us += TICK_US
        runtime.dispatch(TimerFired(0))


@test("before SIGTERM an attempt at a silent backend is cancelled, even if there is no other backend")
@on_loop
async def _():
    with RawBackend() as peer:
        async with GatewayUnderTest([], change=pure) as gateway:
            asked, _ = await request_at_silent_backend(gateway, peer)
            advance_decision_time(gateway)
            assert (await asked)[0] == 502  # the next test relies on this cancellation without a drain


@test("after SIGTERM an attempt at a silent backend is not cancelled, and its response reaches the client")
@on_loop
async def _():
    with RawBackend() as peer:
        async with GatewayUnderTest([], change=pure) as gateway:
            asked, connection = await request_at_silent_backend(gateway, peer)
            draining = asyncio.ensure_future(gateway.handler.drain(GRACE_S, lambda: None))
            await asyncio.sleep(0)
            advance_decision_time(gateway)
            for _ in range(5):
                await asyncio.sleep(0)
            connection.sendall(ok({"attempt-id": b"a-1"}, more=b"Connection: close\r\n"))
            status, headers, body = await asked
            assert (status, body, headers["server-stamp"]) == (200, b"yes", b"s1")
            assert not draining.done()


@test("after SIGTERM a pipelined request that has been read gets its response before the connection closes")
@on_loop
async def _():
    backend = ScriptedBackend()
    async with GatewayUnderTest([backend]) as gateway:
        gateway.handler.draining = True
        request = b"POST /a/b/x HTTP/1.1\r\nHost: one.example\r\nApi-Key: key-a\r\nAttempt-Id: a-%d\r\n"
        request += b"Content-Length: 0\r\n\r\n"
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        writer.write(request % 1 + request % 2)
        async with asyncio.timeout(5):
            first = await read_head(reader)
            assert await reader.readexactly(3) == b"yes"
            second = await read_head(reader)
            assert await reader.read() == b"yes"
        assert first["attempt-id"] == b"a-1" and "connection" not in first
        assert second["attempt-id"] == b"a-2" and second["connection"] == b"close"
        writer.transport.abort()


@test("a response with two attempt ids matches no request")
@on_loop
async def _():
    backend = ScriptedBackend(lambda request: ok(request, more=b"Attempt-Id: %s\r\n" % request["attempt-id"]))
    async with GatewayUnderTest([backend]) as gateway:
        assert (await gateway.send(wait_ms=b"200"))[0] == 504 and len(backend.requests) == 1


@test("a 200 response with Not-Run or two stamps is not a success, and does not prove that the request has not run")
def _(case=each(({b"not-run": b"1"}, ()), ({}, (b"server-stamp",)))):
    headers, repeated = case
    message = Message()
    message.status, message.headers = 200, {b"server-stamp": b"s", **headers}
    message.repeated = set(repeated)
    assert classify_response(message) is AttemptOutcome.BROKEN
