"""What a backend is at work on when SIGTERM comes, and answers that name another request, through a whole gateway."""

import asyncio

from configurations import route
from event_loop import on_loop
from gateway_fixture import GatewayUnderTest, ScriptedBackend, ok, read_head
from raw_backend import RawBackend, arrived, until
from ward import test

from stoneyoke.control.context import TICK_US
from stoneyoke.control.events import TimerFired
from stoneyoke.control.parameters import AttemptOutcome
from stoneyoke.gateway.upstreams import classify_answer
from stoneyoke.net.message_reader import Message

GRACE_S = 60.0
BEATS = 100  # of the module: 5 s, well beyond its patience with a quiet backend


def pure(given):
    route(given, 0, 1).update(route_kind="pure", timeout_s=60)


async def at_a_quiet_backend(gateway, peer):
    """A repeatable request that the only backend is at work on, and the backend's end of its connection."""
    gateway.report_instance("i-0", peer.address[1])
    gateway.upstreams.refresh()
    asked = asyncio.ensure_future(gateway.send(method=b"GET", body=b"", wait_ms=b"60000"))
    await until(peer.waiting)
    connection = peer.accept()
    await until(lambda: arrived(connection))
    return asked, connection


def let_the_module_wait(gateway):
    """Time passes for the decisions alone, beat by beat."""
    runtime = gateway.upstreams.get(gateway.service).runtime
    for _ in range(BEATS):
        gateway.clock.monotonic_to_unix_us += TICK_US
        runtime.dispatch(TimerFired(0))


@test("after SIGTERM a backend at work is not called off, and its answer reaches the client; before, it may be")
@on_loop
async def _():
    for leaving in (False, True):
        with RawBackend() as peer:
            async with GatewayUnderTest([], change=pure) as gateway:
                asked, connection = await at_a_quiet_backend(gateway, peer)
                if leaving:
                    ends = asyncio.ensure_future(gateway.handler.drain(GRACE_S, lambda: None))
                    await asyncio.sleep(0)
                let_the_module_wait(gateway)
                if not leaving:
                    assert (await asked)[0] == 502  # the module's own wish, which the case rests on
                    continue
                for _ in range(5):
                    await asyncio.sleep(0)
                connection.sendall(ok({"attempt-id": b"a-1"}, more=b"Connection: close\r\n"))
                status, headers, body = await asked
                assert (status, body, headers["server-stamp"]) == (200, b"yes", b"s1")
                assert not ends.done()


@test("after SIGTERM a request that has been read behind another one is answered before its connection closes")
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


@test("an answer that names two requests is taken for neither")
@on_loop
async def _():
    backend = ScriptedBackend(lambda request: ok(request, more=b"Attempt-Id: %s\r\n" % request["attempt-id"]))
    async with GatewayUnderTest([backend]) as gateway:
        assert (await gateway.send(wait_ms=b"200"))[0] == 504 and len(backend.requests) == 1


@test("a success that says it has not run, or with two stamps, is neither a success nor a promise")
def _():
    for headers, repeated in (({b"not-run": b"1"}, ()), ({}, (b"server-stamp",))):
        message = Message()
        message.status, message.headers = 200, {b"server-stamp": b"s", **headers}
        message.repeated = set(repeated)
        assert classify_answer(message) is AttemptOutcome.BROKEN
