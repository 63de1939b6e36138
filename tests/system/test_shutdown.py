"""Requests that a gateway reads late after SIGTERM, and what each client hears before the process exits."""

import asyncio

from configurations import route
from driven_clock import DrivenClock, settle
from event_loop import on_loop
from gateway_fixture import HOST, GatewayUnderTest, read_head
from raw_backend import RawBackend, read_available, until
from ward import each, raises, test

from stoneyoke.gateway.request_handler import ATTEMPTS_CUT, LATE_REQUEST_CUT
from stoneyoke.gateway.shutdown_schedule import ShutdownSchedule

GRACE_S = 6.0
LATE_S = 2.9  # after SIGTERM; the gateway no longer accepts connections then
REST_S = GRACE_S - LATE_S
LATE_ARRIVALS = (
    "new connection",
    "head still arriving",
    "body still arriving",
    "pipelined behind an answer",
    "unread while the process is stopped",
)
LONG_MS = 12_000  # a deadline after the end of the grace period


def order(number=1, wait_ms=LONG_MS, method=b"POST"):
    """Returns an order, or another request, with a short body."""
    return (
        b"%s /a/b/x HTTP/1.1\r\nHost: one.example\r\nApi-Key: key-a\r\nAttempt-Id: a-%d\r\nDeadline-Ms: %d\r\n"
        b"Content-Length: 5\r\n\r\norder" % (method, number, wait_ms)
    )


def long_timeout(given):
    route(given, 0, 1).update(timeout_s=60)


class DrainingGateway:
    """A gateway with one silent backend, which has just received SIGTERM, and a driven clock."""

    async def __aenter__(self):
        self.clock, self.peer = DrivenClock(), RawBackend()
        self.gateway = GatewayUnderTest([], change=long_timeout, clock=self.clock)
        await self.gateway.__aenter__()
        self.gateway.report_instance("i-0", self.peer.address[1])
        self.gateway.upstreams.refresh()
        return self

    async def __aexit__(self, *_):
        self.peer.close()
        await self.gateway.__aexit__()

    async def connect(self):
        return await asyncio.open_connection(HOST, self.gateway.port)

    async def terminate(self):
        """Begins the shutdown, as the program does when SIGTERM arrives."""
        self.drained = asyncio.ensure_future(self.gateway.handler.drain(GRACE_S, lambda: None))
        await settle()

    async def backend_connection(self):
        """Returns the backend's end of the connection that has carried the next order, once it has arrived."""
        await until(self.peer.has_waiting_connection)
        connection = self.peer.accept()
        await until(lambda: read_available(connection))
        return connection


def answer(number):
    return b"HTTP/1.1 200 OK\r\nAttempt-Id: a-%d\r\nServer-Stamp: s\r\nContent-Length: 3\r\n\r\nyes" % number


async def read_response(reader):
    """Returns the status, the headers and the body of a response."""
    async with asyncio.timeout(5):
        headers = await read_head(reader)
        body = await reader.readexactly(int(headers["content-length"]))
    return int(headers["line"].split()[1]), headers, body


@test("an order read too late after SIGTERM to be answered is refused as not run, and no backend gets it: {how}")
@on_loop
async def _(how=each(*LATE_ARRIVALS)):
    # Guards against review/1: such an order ran, and its connection closed at the exit without an answer.
    async with DrainingGateway() as draining:
        first, second = order(1), order(2)
        reader, writer = await draining.connect()
        await draining.terminate()
        if how == "head still arriving":
            writer.write(second[:40])
        elif how == "body still arriving":
            writer.write(second[:-2])
        elif how == "pipelined behind an answer":
            writer.write(first + second)
            connection = await draining.backend_connection()
        if how == "unread while the process is stopped":
            writer.write(second)
        else:
            await settle()
        await draining.clock.advance(LATE_S)
        if how == "new connection":  # accepted just before the listener closed
            reader, writer = await draining.connect()
        if how == "head still arriving":
            writer.write(second[40:])
        elif how == "body still arriving":
            writer.write(second[-2:])
        elif how == "pipelined behind an answer":
            connection.sendall(answer(1))
            assert (await read_response(reader))[0] == 200
        elif how != "unread while the process is stopped":
            writer.write(second)
        await settle()
        assert not any(map(read_available, draining.peer.connections)) and not draining.peer.has_waiting_connection()
        status, headers, _ = await read_response(reader)
        assert (status, headers["attempt-id"], headers["connection"]) == (503, b"a-2", b"close")
        assert float(headers["retry-after"]) > 0
        await draining.clock.advance(REST_S)
        await draining.drained
        assert not draining.gateway.metrics.violations


@test("an order read late after SIGTERM whose deadline ends before the exit is forwarded and gets its response")
@on_loop
async def _():
    async with DrainingGateway() as draining:
        await draining.terminate()
        await draining.clock.advance(LATE_S)
        reader, writer = await draining.connect()
        writer.write(order(wait_ms=2_000))
        connection = await draining.backend_connection()
        await draining.clock.advance(1.5)
        assert not draining.drained.done()
        connection.sendall(answer(1))
        assert (await read_response(reader))[::2] == (200, b"yes")
        await draining.drained


@test(
    "an order still at work when the grace period ends gets a 502, and the order behind it learns that it has not run"
)
@on_loop
async def _():
    async with DrainingGateway() as draining:
        reader, writer = await draining.connect()
        await draining.terminate()
        await draining.clock.advance(1.0)
        writer.write(order(1) + order(2))
        connection = await draining.backend_connection()
        await draining.clock.advance(GRACE_S - 1.5)
        assert not draining.drained.done() and connection.fileno() > 0
        await draining.clock.advance(0.2)
        first, second = await read_response(reader), await read_response(reader)
        assert (first[0], first[1]["attempt-id"], "retry-after" in first[1]) == (502, b"a-1", False)
        assert (second[0], second[1]["attempt-id"], second[1]["connection"]) == (503, b"a-2", b"close")
        await draining.drained
        metrics = draining.gateway.metrics
        assert metrics.counts[ATTEMPTS_CUT] == 1 and not metrics.violations


@test("in the last sixth of the grace period, an order that a backend has refused is not tried again but refused")
@on_loop
async def _():
    async with DrainingGateway() as draining:
        draining.gateway.report_instance("i-1", draining.peer.address[1])
        draining.gateway.upstreams.refresh()
        reader, writer = await draining.connect()
        await draining.terminate()
        writer.write(order())
        connection = await draining.backend_connection()
        await draining.clock.advance(GRACE_S * 5 / 6 + 0.1)
        connection.sendall(b"HTTP/1.1 503 Full\r\nAttempt-Id: a-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
        status, headers, _ = await read_response(reader)
        assert status == 503 and float(headers["retry-after"]) < 0.1
        assert not draining.peer.has_waiting_connection()
        await draining.drained


@test("an order that is forwarded too late and cut violates an invariant")
@on_loop
async def _():
    async with DrainingGateway() as draining:
        await draining.terminate()
        await draining.clock.advance(LATE_S)
        _, writer = await draining.connect()
        forwarding = draining.gateway.handler.forwarding
        forwarding.schedule = NeverRefuses(forwarding.schedule)
        writer.write(order())
        await draining.backend_connection()
        with raises(AssertionError):  # a release build counts it and goes on
            await draining.clock.advance(REST_S)
            await draining.drained
        assert draining.gateway.metrics.violations[LATE_REQUEST_CUT] == 1


class NeverRefuses:
    """A schedule with the fault put back: it does not ask how much time is left."""

    def __init__(self, schedule):
        self.schedule = schedule

    def __getattr__(self, name):
        return getattr(self.schedule, name)

    def may_forward(self, _now_us, _deadline_us):
        return True


@test("for a grace period of {grace_s} s each phase of the shutdown ends in its place, and before SIGKILL")
def _(grace_s=each(0.2, 1.0, 2.0, 3.0, 4.0, 6.0, 12.0, 30.0, 120.0)):
    schedule = ShutdownSchedule.after_sigterm(0, grace_s)
    kill_at_us, late_from_us = grace_s * 1_000_000, 3_000_000
    assert 0 < schedule.close_idle_at_us < schedule.accept_until_us < schedule.attempt_until_us
    assert schedule.attempt_until_us <= schedule.respond_by_us < schedule.exit_by_us < kill_at_us
    assert schedule.accept_until_us <= min(late_from_us - 200_000, kill_at_us / 2)
    # An attempt in flight is cut only where a backend that is at work excuses the missing response.
    assert schedule.respond_by_us > kill_at_us * 5 / 6
    beyond, within = schedule.respond_by_us, schedule.respond_by_us - 50_000
    before, after = schedule.accept_until_us - 1, schedule.accept_until_us
    assert schedule.may_forward(before, beyond) and not schedule.may_forward(after, beyond)
    assert schedule.may_forward(after, within)
