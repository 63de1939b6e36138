"""The runtime: events, wishes, timers and the clock; what must hold."""

import asyncio
import subprocess
import sys
import time

import pytest
from helpers import GatewayUnderTest, on_loop, rpc, until
from loguru import logger

from stoneyoke.control.actions import Reject, StartAttempt
from stoneyoke.control.events import Arrival, TimerFired
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.metrics import Metrics
from stoneyoke.runtime.pending_request import PendingRequest, RequestDescription


@on_loop
async def test_a_fault_in_the_module_costs_one_event_and_its_rpc_is_still_answered():
    async with GatewayUnderTest() as town, town.caller() as caller:
        handlers, metrics = town.program.runtime.gateway.handlers, town.program.metrics
        works, handlers[Arrival] = handlers[Arrival], lambda _: 1 / 0
        metrics.check_invariant = lambda holds, what: holds or metrics.add(f"BROKEN {what}")  # as a release build does
        assert (await caller.ask(rpc(Req_Deadline="0.100")))[0] == 502
        assert town.count("BROKEN decision logic failed") == 1
        handlers[Arrival] = works
        assert (await caller.ask(rpc()))[0] == 200


@on_loop
async def test_a_gateway_that_stood_still_counts_deadlines_from_before():
    async with GatewayUnderTest() as town:
        runtime = town.program.runtime
        now = runtime.clock.now()
        assert runtime.arrival_time() >= now
        runtime.next_timer_at = now - 3_000_000
        assert runtime.arrival_time() == now - 3_000_000
        runtime.timer_fired(runtime.next_timer_at, 0)
        assert runtime.next_timer_at > now and runtime.arrival_time() == now - 3_000_000  # connections made meanwhile
        runtime.stalled_until -= 1_000_000
        assert runtime.arrival_time() >= now


@on_loop
async def test_wishes_wait_for_the_module_and_no_longer_than_told():
    clock = Clock()
    held = PendingRequest(1, clock, None)
    assert await held.next_decision(clock.now() + 10_000) is None and not held.client_gone
    asyncio.get_running_loop().call_soon(lambda: (held.decisions.append(Reject(1, 5)), held.wake()))
    assert await held.next_decision(clock.now() + 10_000_000) == Reject(1, 5)


@on_loop
async def test_a_call_out_wished_for_and_never_made_is_told_as_not_sent():
    async with GatewayUnderTest() as town:
        runtime = town.program.runtime
        description = RequestDescription(method=0, plan=0, customer_id=5, units=1.0, customer_gateways=3.0)
        held = runtime.open_request(description, runtime.clock.now() + 1_000_000)
        assert isinstance(held.decisions[0], StartAttempt) and runtime.gateway.backends.concurrency.in_flight == 1
        runtime.close_request(held)
        assert (
            runtime.gateway.backends.concurrency.in_flight == 0
            and not runtime.pending
            and not runtime.gateway.rpcs.open
        )


@on_loop
async def test_timers_fire_and_one_clock_counts_whole_microseconds_of_unix_time():
    async with GatewayUnderTest() as town:
        told = []
        runtime = town.program.runtime
        runtime.gateway.handle = lambda event, now: told.append(event) or []
        await until(lambda: TimerFired(0) in told)
        assert abs(runtime.clock.now() - time.time_ns() // 1000) < 1_000_000
        assert isinstance(runtime.clock.now(), int)


def test_what_must_hold_is_asserted_in_debug_and_counted_in_release():
    with pytest.raises(AssertionError, match="sky"):
        Metrics().check_invariant(False, "sky")
    code = (
        "from stoneyoke.runtime.metrics import Metrics; metrics = Metrics(); "
        "metrics.check_invariant(False, 'sky'); metrics.add('rpc'); print(metrics.summary())"
    )
    out = subprocess.run([sys.executable, "-O", "-c", code], capture_output=True, text=True, check=True)
    assert out.stdout == "BROKEN sky=1, rpc=1\n"


def test_reports_are_all_counted_and_few_are_logged():
    lines = []
    sink = logger.add(lambda text: lines.append(text), format="{message}")
    metrics = Metrics()
    for _ in range(500):
        metrics.report("bad", "x")
    logger.remove(sink)
    assert metrics.counts["bad"] == 500 and 1 <= len(lines) <= 30
