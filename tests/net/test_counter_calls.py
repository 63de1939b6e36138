"""Queries to the counter service: pipelining, the limit of connections, time-outs and lost connections."""

import asyncio

import pytest
from gateway_under_test import StubServer, runs_on_loop, total_response, until

from stoneyoke.control.actions import AddToCounter
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.metrics import Metrics
from stoneyoke.single_gateway import counter
from stoneyoke.single_gateway.counter import CounterClient

# Longer than any stall of this process, for the tests that are not about the time-out of a query.
UNREACHED_LIMIT_US = 10_000_000


class CounterHarness:
    """Sends queries to a counter service, and records the replies that the decision logic would receive."""

    def __init__(self, address, limit_us=UNREACHED_LIMIT_US):
        self.replies, self.metrics = [], Metrics()
        self.counter = CounterClient(Clock(), self.metrics, self, address, limit_us)

    def counter_replied(self, name, added, total):
        self.replies.append((name, total if added or total else None))

    def add(self, *names):
        for name in names:
            self.counter.add(AddToCounter(name, 4_000_000, -2.5))


@runs_on_loop
async def test_counter_queries_use_separate_connections_and_are_pipelined_in_order_at_the_limit(monkeypatch):
    async with StubServer(total_response(b"2")) as server:
        calls = CounterHarness(server.address)
        calls.add(*range(9))
        await until(lambda: len(calls.replies) == 9)
        assert server.connections == counter.CONNECTIONS_MAX
    monkeypatch.setattr(counter, "CONNECTIONS_MAX", 1)

    async def answer(request, writer):
        if len(server.requests) < 3:
            return None
        return total_response(b"1.5") + b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n" + total_response(b"-2.5e0")

    async with StubServer(answer) as server:
        calls = CounterHarness(server.address)
        calls.add(1, 2, 2**64 - 1)
        await until(lambda: len(calls.replies) == 3)
        assert calls.replies == [(1, 1.5), (2, None), (2**64 - 1, -2.5)] and server.connections == 1
        assert server.requests[2][0][0].split()[:2] == [
            b"POST",
            b"/counters/ffffffffffffffff?by=-2.500000&expire_ms=4000",
        ]


@runs_on_loop
async def test_a_silent_connection_does_not_block_later_queries_and_late_replies_are_ignored():
    async def answer(request, writer):
        if b"/counters/%016x" % 1 in request[0][0]:
            await asyncio.sleep(0.4)
            return total_response(b"11")
        return total_response(b"2")

    async with StubServer(answer) as server:
        calls = CounterHarness(server.address, limit_us=300_000)
        calls.add(1)
        await until(lambda: calls.replies)
        calls.add(2)
        await until(lambda: len(calls.replies) == 2)
        assert calls.replies == [(1, None), (2, 2.0)] and server.connections == 2
        await until(lambda: not any(connection.queries for connection in calls.counter.connections))
        calls.add(3)
        await until(lambda: len(calls.replies) == 3)
        assert calls.replies[2] == (3, 2.0) and server.connections == 2


@runs_on_loop
async def test_queries_to_a_silent_counter_time_out_over_a_bounded_number_of_connections():
    async with StubServer(None) as server:
        calls = CounterHarness(server.address, limit_us=10_000)
        for name in range(12):
            calls.add(name)
            await until(lambda name=name: len(calls.replies) > name)
            assert len(calls.counter.connections) <= counter.CONNECTIONS_MAX
    assert calls.replies == [(name, None) for name in range(12)]
    calls = CounterHarness(server.address)
    calls.add(1, 2)
    await until(lambda: len(calls.replies) == 2)
    await until(lambda: not calls.counter.connections and not calls.counter.tasks)


@pytest.mark.parametrize(
    "answer, expected_total",
    [
        (b"HTP\r\n\r\n", "nan"),
        (b"", "nan"),
        *(
            (total_response(text), "nan")
            for text in (b"many", b"", b"nan", b"inf", b"1_0", b" 1", b"+1", b"0x1", b"1,5")
        ),
    ],
)
@runs_on_loop
async def test_an_invalid_total_counts_as_added_and_its_connection_is_not_reused(answer, expected_total):
    async with StubServer(answer) as server:
        calls = CounterHarness(server.address)
        calls.add(1, 2)
        await until(lambda: len(calls.replies) == 2)
        assert sorted((name, str(total)) for name, total in calls.replies) == [(1, expected_total), (2, expected_total)]
        await until(lambda: not calls.counter.connections)
        server.answer = total_response(b"-2.5e1")
        calls.add(3)
        await until(lambda: len(calls.replies) == 3)
        assert calls.replies[2] == (3, -25.0) and server.connections == 3
