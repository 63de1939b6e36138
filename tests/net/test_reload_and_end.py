"""SIGHUP and SIGTERM: what moves, what is still answered, and what ends when."""

import asyncio
import json
import time

import pytest
from helpers import OK, SETTINGS, GatewayUnderTest, StandIn, json_answer, on_loop, rpc, total, until
from loguru import logger

from stoneyoke.control.actions import AddToCounter
from stoneyoke.single_gateway import rpc_handler


@on_loop
async def test_sigterm_s_finish_takes_in_what_still_comes_and_answers_what_is_held(monkeypatch):
    monkeypatch.setattr(rpc_handler, "DRAIN_S", 0.5)
    release = asyncio.Event()

    async def late(_, writer):
        await release.wait()
        return OK

    async with GatewayUnderTest(late) as town, town.caller() as held, town.caller() as idle:
        assert (await idle.ask(b"GET /healthz HTTP/1.1\r\n\r\n"))[0] == 200
        held.writer.write(rpc())
        await until(lambda: town.backend.got)
        finishing = asyncio.create_task(town.program.finish())
        await asyncio.sleep(0)
        async with town.caller() as newcomer:
            newcomer.writer.write(rpc())
            await until(lambda: len(town.backend.got) == 2)
            status, headers, _ = await idle.ask(b"GET /healthz HTTP/1.1\r\n\r\n")
            assert status == 503 and b"Connection" not in headers, "kept for as long as clients use it"
            assert await idle.reader.read() == b""
            await until(lambda: not town.program.server.is_serving())
            with pytest.raises(ConnectionRefusedError):  # else a front that goes on would keep it for ever
                await town.caller().__aenter__()
            assert not finishing.done()
            release.set()
            for caller in (held, newcomer):
                status, headers, body = await caller.hear()
                assert (status, body, headers[b"Connection"]) == (200, b"yes", b"close")
        await finishing


@on_loop
async def test_after_sigterm_a_long_deadline_ends_before_the_process_can_be_killed(monkeypatch):
    monkeypatch.setattr(rpc_handler, "DEADLINE_MIN_S", 0.0)
    monkeypatch.setattr(rpc_handler, "KILL_MARGIN_S", -1.3)  # the longest deadline of these settings is 2 s
    async with GatewayUnderTest(None) as town, town.caller() as caller:
        finishing = asyncio.create_task(town.program.finish())
        await asyncio.sleep(0)
        start = time.monotonic()
        assert (await caller.ask(rpc(b"order", Req_Deadline="9.000")))[0] == 429
        assert time.monotonic() - start < 1.0
        await finishing


@pytest.mark.parametrize(
    "unusable",
    ["{", None, {"counter": "x:y"}, {"settings": {}}, {"settings": SETTINGS | {"clients": 7}}, {"seed": "-"}],
)
@on_loop
async def test_a_reload_moves_discovery_and_counter_and_an_unusable_file_changes_nothing(
    unusable, monkeypatch, tmp_path
):
    path, lines = tmp_path / "config.json", []
    monkeypatch.setenv("NODE_CONFIG", str(path))
    release = asyncio.Event()

    async def late(_, writer):
        await release.wait()
        return OK

    async def tell(request, _):
        return json_answer(town.list) if b"hold_ms" not in request[0][0] else None

    def reload(**changes):
        path.write_text(json.dumps(town.given | changes))
        town.program.reload()

    async with (
        GatewayUnderTest(late) as town,
        town.caller() as held,
        StandIn(tell) as list_2,
        StandIn(total(b"7")) as count_2,
    ):
        runtime, told = town.program.runtime, []
        counted, runtime.counter_replied = (
            runtime.counter_replied,
            lambda *answer: (told.append(answer), counted(*answer)),
        )
        town.counter.answer = None
        runtime.send_to_counter(AddToCounter(1, 4_000_000, 2.0))
        held.writer.write(rpc())
        await until(lambda: town.backend.got and town.counter.got and len(town.discovery.got) == 2)
        if unusable is None:
            path.unlink(missing_ok=True)
        else:
            path.write_text(unusable if unusable == "{" else json.dumps(town.given | unusable))
        sink = logger.add(lambda text: lines.append(text), format="{message}")
        town.program.reload()
        logger.remove(sink)
        assert len(lines) == 1 and "old configuration stays" in lines[0]
        assert len(town.program.discovery.watches) == 1 and len(town.program.counter.connections) == 1
        reload(discovery="127.0.0.1:1")  # nobody listens there: the old one is watched on
        reload(discovery=list_2.text, counter=count_2.text)
        await until(lambda: len(list_2.got) == 2 and town.discovery.closed == 1)
        assert len(town.program.discovery.watches) == 1
        runtime.send_to_counter(AddToCounter(2, 4_000_000, 2.0))
        await until(lambda: (2, True, 7.0) in told)
        assert len(town.counter.got) == 1 and len(count_2.got) == 1
        release.set()
        assert (await held.hear())[2] == b"yes" and not town.program.metrics.violations
