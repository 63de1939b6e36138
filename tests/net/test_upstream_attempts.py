"""Attempts at backends: the outcome of each response and error, and which connections are reused."""

import asyncio
import socket
import time

import pytest
from gateway_under_test import OK, SETTINGS, GatewayUnderTest, StubServer, rpc, runs_on_loop, until
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from stoneyoke.control.parameters import AttemptOutcome
from stoneyoke.net.attempt import OutgoingRequest
from stoneyoke.net.backends import BackendLimits, Backends
from stoneyoke.net.descriptor_budget import DescriptorBudget
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.metrics import Metrics
from stoneyoke.runtime.pending_request import PendingRequest

RESPONSES = [
    OK,
    b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
    b"gibberish\r\n\r\n",
    OK[:-1],
    b"",
    None,
    b"HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n",
    OK + b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\nyes",
]


@settings(max_examples=25, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(
    st.lists(st.sampled_from(RESPONSES), min_size=1, max_size=12),
    st.lists(st.sampled_from([b"look", b"order"]), min_size=1, max_size=4),
)
@runs_on_loop
async def test_whatever_a_backend_does_each_rpc_gets_one_response_in_time(answers, kinds):
    remaining = list(answers)

    async def answer(request, writer):
        return remaining.pop(0) if remaining else OK

    async def ask(number, kind):
        async with gateway.connect() as client:
            start = time.monotonic()
            status, _, body = await client.request(rpc(kind, Req_Id=f"id-{number}", Req_Deadline="0.150"))
            assert (status, body) in ((200, b"yes"), (429, b"")) and time.monotonic() - start < 1.0
            client.writer.write_eof()
            assert await client.reader.read() == b"", "a second response"

    async with GatewayUnderTest(answer) as gateway:
        await asyncio.gather(*(ask(number, kind) for number, kind in enumerate(kinds)))
        ids = [line for lines, _ in gateway.backend.requests for line in lines if line.startswith(b"Req-Id: ")]
        assert max(map(ids.count, ids), default=0) <= SETTINGS["caps"]["try-limit"]
        runtime = gateway.program.runtime
        assert (
            not runtime.pending
            and runtime.gateway.backends.concurrency.in_flight == 0
            and not gateway.program.metrics.violations
        )


def responds_then_closes(data):
    async def answer(_, writer):
        writer.write(data)
        return b""

    return answer


@pytest.mark.parametrize(
    "answer, expected",
    [
        (OK, AttemptOutcome.OK),
        (b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", AttemptOutcome.ERROR),
        (b"HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", AttemptOutcome.REJECTED),
        (b"HTTP/1.1 504 X\r\nsrv-declined: 1\r\nContent-Length: 0\r\n\r\n", AttemptOutcome.REJECTED),
        (b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", AttemptOutcome.ERROR),
        (b"", AttemptOutcome.BROKEN),
        (b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n", AttemptOutcome.ERROR),
        (b"gibberish\r\n\r\n", AttemptOutcome.BROKEN),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + b"x" * 65537, AttemptOutcome.BROKEN),
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\n" + OK, AttemptOutcome.OK),
        (None, AttemptOutcome.TIMED_OUT),
        (b"HTTP/1.1 200 OK\r\n\r\nyes", AttemptOutcome.BROKEN),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nyes", AttemptOutcome.BROKEN),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nyes", AttemptOutcome.BROKEN),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nyes", AttemptOutcome.BROKEN),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nyes", AttemptOutcome.BROKEN),
        (b"HTTP/1.1 101 X\r\nUpgrade: a\r\nConnection: upgrade\r\n\r\n" + OK, AttemptOutcome.BROKEN),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n", AttemptOutcome.OK),
        (OK.replace(b"OK\r\n", b'OK\r\nSrv-Load: {\xff"\r\n'), AttemptOutcome.OK),
        (OK + OK, AttemptOutcome.OK),
        (OK + b"\x00\xffnoise", AttemptOutcome.OK),
    ],
)
@runs_on_loop
async def test_each_response_is_classified(answer, expected):
    async with StubServer(answer) as server:
        outcome, got = await Sender(server.address).send_attempt()
        assert outcome is expected
        assert outcome is not AttemptOutcome.OK or got.body == b"yes"
        assert len(server.requests) == 1


class Sender:
    """Makes attempts at one backend without a gateway."""

    def __init__(self, address, idle_us=30_000_000, descriptors=9):
        self.clock, self.pending = Clock(), PendingRequest(1, Clock(), None)
        limits = BackendLimits(connect_timeout_us=250_000, idle_timeout_us=idle_us)
        self.backends = Backends(self.clock, Metrics(), DescriptorBudget(descriptors, 0), limits)
        self.backends.set_address(0, address)

    async def send_attempt(self, number=0, backend=0, timeout_us=200_000, body=b""):
        line = [b"POST /x HTTP/1.1\r\nContent-Length: %d\r\n" % len(body)]
        request = OutgoingRequest(head=line, body=body, deadline_us=self.clock.now() + timeout_us)
        return await self.backends.send_attempt(self.pending, number, backend, request)


@runs_on_loop
async def test_a_response_may_be_as_long_as_the_memory_allows():
    body = b"x" * 1_000_000
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    async with GatewayUnderTest(answer) as gateway, gateway.connect() as client:
        assert (await client.request(rpc()))[2] == body


@runs_on_loop
async def test_a_truncated_response_or_one_without_framing_is_broken():
    for data in (OK[:-1], OK[:20], b"HTTP/1.1 200 OK\r\n\r\nyes"):
        async with StubServer(responds_then_closes(data)) as server:
            assert (await Sender(server.address).send_attempt())[0] is AttemptOutcome.BROKEN


@runs_on_loop
async def test_a_failed_connect_has_not_run_and_a_partly_written_request_may_have():
    async with StubServer() as server:
        address = server.address
    assert (await Sender(address).send_attempt())[0] is AttemptOutcome.NO_CONNECTION
    assert (await Sender(address).send_attempt(backend=1))[0] is AttemptOutcome.NOT_SENT

    async def reads_little(reader, writer):
        await reader.read(1)  # a part was sent; since it is not all read, the rest can't be sent
        writer.transport.abort()

    server = await asyncio.start_server(reads_little, "127.0.0.1", 0, limit=1)
    backend = Sender(server.sockets[0].getsockname())
    assert (await backend.send_attempt(timeout_us=5_000_000, body=b"x" * 30_000_000))[0] is AttemptOutcome.BROKEN
    server.close()


@runs_on_loop
async def test_a_refused_connection_means_a_dead_backend_only_if_no_other_connection_is_open():
    async with StubServer() as server:
        sender = Sender(server.address)
        await sender.send_attempt()
        server.answer = None
        attempt = asyncio.create_task(sender.send_attempt(timeout_us=5_000_000))
        await until(lambda: len(server.requests) == 2)
        server.server.close()  # accepts no more connections; the open one stays open
        assert (await sender.send_attempt())[0] is AttemptOutcome.CUT
        attempt.cancel()
        await asyncio.wait([attempt])
        assert (await sender.send_attempt())[0] is AttemptOutcome.NO_CONNECTION
        assert sender.backends.descriptor_budget.used == sender.backends.pools[0].busy == 0


@runs_on_loop
async def test_a_connect_without_any_reply_times_out():
    with socket.socket() as silent:  # its accept queue is full, so further connects get no reply
        silent.bind(("127.0.0.1", 0))
        silent.listen(0)
        with socket.create_connection(silent.getsockname()):
            sender, start = Sender(silent.getsockname()), time.monotonic()
            assert (await sender.send_attempt(timeout_us=5_000_000))[0] is AttemptOutcome.NO_CONNECTION
            assert 0.2 < time.monotonic() - start < 1.0 and sender.backends.descriptor_budget.used == 0
            attempt = asyncio.create_task(sender.send_attempt(timeout_us=5_000_000))
            await until(lambda: sender.pending.cancel_attempt)
            sender.pending.cancel_attempt(0, False)
            assert (await attempt)[0] is AttemptOutcome.NOT_SENT and sender.backends.descriptor_budget.used == 0


@runs_on_loop
async def test_a_cancellation_closes_the_connection_so_that_no_other_rpc_receives_a_late_response():
    async with StubServer(None) as server:
        sender = Sender(server.address)
        attempt = asyncio.create_task(sender.send_attempt(number=3, timeout_us=5_000_000))
        await until(lambda: server.requests)
        sender.pending.cancel_attempt(2, False)
        sender.pending.cancel_attempt(3, False)
        assert (await attempt)[0] is AttemptOutcome.CANCELLED
        await until(lambda: server.closed == 1)
        server.answer = OK
        assert (await sender.send_attempt())[0] is AttemptOutcome.OK and server.connections == 2
        assert sender.backends.descriptor_budget.used == 1


@runs_on_loop
async def test_a_cancellation_in_the_same_loop_iteration_as_the_deadline_is_ignored():
    async with StubServer(None) as server:
        sender = Sender(server.address)
        attempt = asyncio.create_task(sender.send_attempt(timeout_us=20_000))
        await until(lambda: server.requests)
        time.sleep(0.05)  # noqa: ASYNC251 -- makes the deadline pass in the same loop iteration as the cancellation
        loop, errors = asyncio.get_running_loop(), []
        loop.set_exception_handler(lambda _, context: errors.append(context))
        loop.call_later(0.0, lambda: sender.pending.cancel_attempt(0, False))
        assert (await attempt)[0] is AttemptOutcome.TIMED_OUT and not errors


@runs_on_loop
async def test_no_attempt_uses_a_connection_that_closed_sent_bytes_or_is_near_its_idle_time_out():
    async def sends_extra_bytes(request, writer):
        writer.write(OK + b"HTTP/1.1 408 Late\r\n" if len(server.requests) == 1 else OK)
        return b"" if len(server.requests) == 2 else None

    async with StubServer(sends_extra_bytes) as server:
        sender = Sender(server.address)
        pool = sender.backends.pools[0]
        for expected_connections in (1, 2, 3, 3):
            assert (await sender.send_attempt())[0] is AttemptOutcome.OK
            assert server.connections == expected_connections
            await until(lambda expected_connections=expected_connections: server.closed >= min(expected_connections, 2))
            await until(lambda: not pool.idle or len(server.requests) > 2)
        pool.idle[0].idle_since -= sender.backends.idle_max_us
        assert (await sender.send_attempt())[0] is AttemptOutcome.OK and server.connections == 4
        pool.idle[0].idle_since -= sender.backends.idle_max_us
        sender.backends.close_expired()
        assert not pool.idle and sender.backends.descriptor_budget.used == 0
        assert len(server.requests) == 5, "each attempt was written once"


@runs_on_loop
async def test_a_backend_s_new_address_is_used_and_its_old_connections_are_not():
    async with StubServer() as old, StubServer() as new:
        sender = Sender(old.address)
        await sender.send_attempt()
        sender.backends.set_address(0, new.address)
        await until(lambda: old.closed == 1)
        assert (await sender.send_attempt())[0] is AttemptOutcome.OK
        assert len(new.requests) == sender.backends.descriptor_budget.used == 1


@runs_on_loop
async def test_without_a_descriptor_idle_connections_are_closed_or_nothing_is_sent():
    async with StubServer() as first, StubServer(None) as second:
        sender = Sender(first.address, descriptors=1)
        sender.backends.set_address(1, second.address)
        await sender.send_attempt()
        attempt = asyncio.create_task(sender.send_attempt(backend=1))
        await until(lambda: second.requests and first.closed)
        assert (await sender.send_attempt())[0] is AttemptOutcome.NOT_SENT
        assert (await attempt)[0] is AttemptOutcome.TIMED_OUT
