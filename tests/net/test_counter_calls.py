"""Calls to the counter: pipelined, limited, and lost with their connection."""

import asyncio

import pytest
from helpers import StandIn, on_loop, total, until

from stoneyoke.control.actions import AddToCounter
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.metrics import Metrics
from stoneyoke.single_gateway import counter
from stoneyoke.single_gateway.counter import CounterClient


class Counted:
    """Calls to a counter, and what the module would be told."""

    def __init__(self, address, limit_us=80_000):
        self.told, self.metrics = [], Metrics()
        self.counter = CounterClient(Clock(), self.metrics, self, address, limit_us)

    def counter_replied(self, name, added, total):
        self.told.append((name, total if added or total else None))

    def add(self, *names):
        for name in names:
            self.counter.add(AddToCounter(name, 4_000_000, -2.5))


@on_loop
async def test_counter_calls_go_apart_and_at_the_limit_one_after_another_answered_in_order(monkeypatch):
    async with StandIn(total(b"2")) as stand_in:
        calls = Counted(stand_in.address)
        calls.add(*range(9))
        await until(lambda: len(calls.told) == 9)
        assert stand_in.connections == counter.CONNECTIONS_MAX
    monkeypatch.setattr(counter, "CONNECTIONS_MAX", 1)

    async def answer(request, writer):
        if len(stand_in.got) < 3:
            return None
        return total(b"1.5") + b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n" + total(b"-2.5e0")

    async with StandIn(answer) as stand_in:
        calls = Counted(stand_in.address)
        calls.add(1, 2, 2**64 - 1)
        await until(lambda: len(calls.told) == 3)
        assert calls.told == [(1, 1.5), (2, None), (2**64 - 1, -2.5)] and stand_in.connections == 1
        assert stand_in.got[2][0][0].split()[:2] == [b"POST", b"/counters/ffffffffffffffff?by=-2.500000&expire_ms=4000"]


@on_loop
async def test_a_silent_connection_blocks_no_later_call_and_late_answers_find_nobody():
    async def answer(request, writer):
        if b"/counters/%016x" % 1 in request[0][0]:
            await asyncio.sleep(0.4)
            return total(b"11")
        return total(b"2")

    async with StandIn(answer) as stand_in:
        calls = Counted(stand_in.address, limit_us=300_000)
        calls.add(1)
        await until(lambda: calls.told)
        calls.add(2)
        await until(lambda: len(calls.told) == 2)
        assert calls.told == [(1, None), (2, 2.0)] and stand_in.connections == 2
        await until(lambda: not any(connection.queries for connection in calls.counter.connections))
        calls.add(3)
        await until(lambda: len(calls.told) == 3)
        assert calls.told[2] == (3, 2.0) and stand_in.connections == 2


@on_loop
async def test_a_counter_that_is_silent_or_gone_costs_its_limit_and_a_few_connections():
    async with StandIn(None) as stand_in:
        calls = Counted(stand_in.address, limit_us=10_000)
        for name in range(12):
            calls.add(name)
            await until(lambda name=name: len(calls.told) > name)
            assert len(calls.counter.connections) <= counter.CONNECTIONS_MAX
    assert calls.told == [(name, None) for name in range(12)]
    calls = Counted(stand_in.address)
    calls.add(1, 2)
    await until(lambda: len(calls.told) == 2)
    await until(lambda: not calls.counter.connections and not calls.counter.tasks)


@pytest.mark.parametrize(
    "answer, told",
    [
        (b"HTP\r\n\r\n", "nan"),
        (b"", "nan"),
        *((total(text), "nan") for text in (b"many", b"", b"nan", b"inf", b"1_0", b" 1", b"+1", b"0x1", b"1,5")),
    ],
)
@on_loop
async def test_a_count_without_a_usable_number_was_added_and_its_connection_is_not_used_again(answer, told):
    async with StandIn(answer) as stand_in:
        calls = Counted(stand_in.address)
        calls.add(1, 2)
        await until(lambda: len(calls.told) == 2)
        assert sorted((name, str(total)) for name, total in calls.told) == [(1, told), (2, told)]
        await until(lambda: not calls.counter.connections)
        stand_in.answer = total(b"-2.5e1")
        calls.add(3)
        await until(lambda: len(calls.told) == 3)
        assert calls.told[2] == (3, -25.0) and stand_in.connections == 3
