"""SIGHUP and SIGTERM: the addresses that a reload changes, and the requests that are answered before the shutdown."""

import asyncio
import json
import time

import pytest
from gateway_under_test import (
    OK,
    SETTINGS,
    GatewayUnderTest,
    StubServer,
    json_response,
    rpc,
    runs_on_loop,
    total_response,
    until,
)
from loguru import logger

from stoneyoke.control.actions import AddToCounter
from stoneyoke.single_gateway import rpc_handler


@runs_on_loop
async def test_after_sigterm_new_and_pending_rpcs_are_answered(monkeypatch):
    monkeypatch.setattr(rpc_handler, "DRAIN_S", 0.5)
    release = asyncio.Event()

    async def respond_when_released(_, writer):
        await release.wait()
        return OK

    async with (
        GatewayUnderTest(respond_when_released) as gateway,
        gateway.connect() as pending_client,
        gateway.connect() as idle,
    ):
        assert (await idle.request(b"GET /healthz HTTP/1.1\r\n\r\n"))[0] == 200
        pending_client.writer.write(rpc())
        await until(lambda: gateway.backend.requests)
        shutdown = asyncio.create_task(gateway.program.shut_down())
        await asyncio.sleep(0)
        async with gateway.connect() as new_client:
            new_client.writer.write(rpc())
            await until(lambda: len(gateway.backend.requests) == 2)
            status, headers, _ = await idle.request(b"GET /healthz HTTP/1.1\r\n\r\n")
            assert status == 503 and b"Connection" not in headers, (
                "the connection stays open for as long as clients use it"
            )
            assert await idle.reader.read() == b""
            await until(lambda: not gateway.program.server.is_serving())
            with pytest.raises(ConnectionRefusedError):  # else a front that goes on would keep it for ever
                await gateway.connect().__aenter__()
            assert not shutdown.done()
            release.set()
            for client in (pending_client, new_client):
                status, headers, body = await client.receive()
                assert (status, body, headers[b"Connection"]) == (200, b"yes", b"close")
        await shutdown


@runs_on_loop
async def test_after_sigterm_a_long_deadline_is_shortened_to_end_before_sigkill(monkeypatch):
    monkeypatch.setattr(rpc_handler, "DEADLINE_MIN_S", 0.0)
    monkeypatch.setattr(rpc_handler, "KILL_MARGIN_S", -1.3)  # the longest deadline of these settings is 2 s
    async with GatewayUnderTest(None) as gateway, gateway.connect() as client:
        shutdown = asyncio.create_task(gateway.program.shut_down())
        await asyncio.sleep(0)
        start = time.monotonic()
        assert (await client.request(rpc(b"order", Req_Deadline="9.000")))[0] == 429
        assert time.monotonic() - start < 1.0
        await shutdown


@runs_on_loop
async def test_an_rpc_at_work_until_the_exit_and_the_one_behind_it_get_their_responses(monkeypatch):
    # Guards against an exit that leaves an RPC without any response because another one is at work in front of it.
    monkeypatch.setattr(rpc_handler, "DRAIN_S", 0.0)
    monkeypatch.setattr(rpc_handler, "DEADLINE_MIN_S", 0.0)
    monkeypatch.setattr(rpc_handler, "KILL_MARGIN_S", -1.3)  # the longest deadline of these settings is 2 s

    async def never_respond(_, writer):
        await writer.wait_closed()

    async with GatewayUnderTest(never_respond) as gateway, gateway.connect() as client:
        shutdown = asyncio.create_task(gateway.program.shut_down())
        await asyncio.sleep(0)
        client.writer.write(
            rpc(b"order", Req_Deadline="2.000") + rpc(b"order", Req_Id="r-behind", Req_Deadline="2.000")
        )
        first, second = await client.receive(), await client.receive()
        # 429 also for the first: the backends recognise a repeat of an order, so it may be sent again although it ran.
        assert (first[0], second[0]) == (429, 429) and second[1][b"Connection"] == b"close"
        assert len(gateway.backend.requests) == 1
        await shutdown
        assert not gateway.program.metrics.violations and not gateway.count("requests: unanswered at the exit")


@pytest.mark.parametrize(
    "unusable",
    ["{", None, {"counter": "x:y"}, {"settings": {}}, {"settings": SETTINGS | {"clients": 7}}, {"seed": "-"}],
)
@runs_on_loop
async def test_a_reload_moves_discovery_and_counter_and_an_invalid_file_changes_nothing(
    unusable, monkeypatch, tmp_path
):
    path, lines = tmp_path / "config.json", []
    monkeypatch.setenv("NODE_CONFIG", str(path))
    release = asyncio.Event()

    async def respond_when_released(_, writer):
        await release.wait()
        return OK

    async def answer_query(request, _):
        return json_response(gateway.endpoint_list) if b"hold_ms" not in request[0][0] else None

    def reload(**changes):
        path.write_text(json.dumps(gateway.configuration | changes))
        gateway.program.reload()

    async with (
        GatewayUnderTest(respond_when_released) as gateway,
        gateway.connect() as pending_client,
        StubServer(answer_query) as new_discovery,
        StubServer(total_response(b"7")) as new_counter,
    ):
        runtime, replies = gateway.program.runtime, []
        counter_replied, runtime.counter_replied = (
            runtime.counter_replied,
            lambda *answer: (replies.append(answer), counter_replied(*answer)),
        )
        gateway.counter.answer = None
        runtime.send_to_counter(AddToCounter(1, 4_000_000, 2.0))
        pending_client.writer.write(rpc())
        await until(
            lambda: gateway.backend.requests and gateway.counter.requests and len(gateway.discovery.requests) == 2
        )
        if unusable is None:
            path.unlink(missing_ok=True)
        else:
            path.write_text(unusable if unusable == "{" else json.dumps(gateway.configuration | unusable))
        sink = logger.add(lambda text: lines.append(text), format="{message}")
        gateway.program.reload()
        logger.remove(sink)
        assert len(lines) == 1 and "old configuration stays" in lines[0]
        assert len(gateway.program.discovery.watches) == 1 and len(gateway.program.counter.connections) == 1
        reload(discovery="127.0.0.1:1")  # no process listens there, so the old address is still watched
        reload(discovery=new_discovery.host_port, counter=new_counter.host_port)
        await until(lambda: len(new_discovery.requests) == 2 and gateway.discovery.closed == 1)
        assert len(gateway.program.discovery.watches) == 1
        runtime.send_to_counter(AddToCounter(2, 4_000_000, 2.0))
        await until(lambda: (2, True, 7.0) in replies)
        assert len(gateway.counter.requests) == 1 and len(new_counter.requests) == 1
        release.set()
        assert (await pending_client.receive())[2] == b"yes" and not gateway.program.metrics.violations
