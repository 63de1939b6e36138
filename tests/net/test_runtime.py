"""The runtime: events, decisions, timers and the clock; invariants and counters."""

import asyncio
import subprocess
import sys
import time

import pytest
from gateway_under_test import GatewayUnderTest, rpc, runs_on_loop, until
from loguru import logger

from stoneyoke.control.actions import Reject, StartAttempt
from stoneyoke.control.events import Arrival, TimerFired
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.metrics import Metrics
from stoneyoke.runtime.pending_request import PendingRequest, RequestDescription


@runs_on_loop
async def test_an_error_in_the_decision_logic_loses_one_event_and_its_rpc_is_still_answered():
    async with GatewayUnderTest() as gateway, gateway.connect() as client:
        handlers, metrics = gateway.program.runtime.gateway.handlers, gateway.program.metrics
        handle_arrival, handlers[Arrival] = handlers[Arrival], lambda _: 1 / 0
        metrics.check_invariant = lambda holds, what: holds or metrics.add(f"BROKEN {what}")  # as a release build does
        assert (await client.request(rpc(Req_Deadline="0.100")))[0] == 502
        assert gateway.count("BROKEN decision logic failed") == 1
        handlers[Arrival] = handle_arrival
        assert (await client.request(rpc()))[0] == 200


@runs_on_loop
async def test_after_a_stall_deadlines_count_from_its_start():
    async with GatewayUnderTest() as gateway:
        runtime = gateway.program.runtime
        now = runtime.clock.now()
        assert runtime.arrival_time() >= now
        runtime.next_timer_at = now - 3_000_000
        assert runtime.arrival_time() == now - 3_000_000
        runtime.timer_fired(runtime.next_timer_at, 0)
        assert (
            runtime.next_timer_at > now and runtime.arrival_time() == now - 3_000_000
        )  # for connections made during the stall
        runtime.stalled_until -= 1_000_000
        assert runtime.arrival_time() >= now


@runs_on_loop
async def test_the_wait_for_a_decision_ends_at_its_deadline():
    clock = Clock()
    pending = PendingRequest(1, clock, None)
    assert await pending.next_decision(clock.now() + 10_000) is None and not pending.client_gone
    asyncio.get_running_loop().call_soon(lambda: (pending.decisions.append(Reject(1, 5)), pending.wake()))
    assert await pending.next_decision(clock.now() + 10_000_000) == Reject(1, 5)


@runs_on_loop
async def test_a_decided_attempt_that_is_never_made_is_reported_as_not_sent():
    async with GatewayUnderTest() as gateway:
        runtime = gateway.program.runtime
        description = RequestDescription(method=0, plan=0, customer_id=5, units=1.0, customer_gateways=3.0)
        pending = runtime.open_request(description, runtime.clock.now() + 1_000_000)
        assert isinstance(pending.decisions[0], StartAttempt) and runtime.gateway.backends.concurrency.in_flight == 1
        runtime.close_request(pending)
        assert (
            runtime.gateway.backends.concurrency.in_flight == 0
            and not runtime.pending
            and not runtime.gateway.rpcs.open
        )


@runs_on_loop
async def test_timers_fire_and_one_clock_counts_whole_microseconds_of_unix_time():
    async with GatewayUnderTest() as gateway:
        events = []
        runtime = gateway.program.runtime
        runtime.gateway.handle = lambda event, now: events.append(event) or []
        await until(lambda: TimerFired(0) in events)
        assert abs(runtime.clock.now() - time.time_ns() // 1000) < 1_000_000
        assert isinstance(runtime.clock.now(), int)


def test_invariants_are_asserted_in_debug_and_counted_in_release():
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
