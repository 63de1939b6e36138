"""Requests over the gateway's sockets: what passes, what is refused, and what bad input costs."""

import asyncio
import contextlib
import time

import pytest
from helpers import OK, GatewayUnderTest, on_loop, read_message, rpc, until
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from stoneyoke.control.events import ClientGone
from stoneyoke.net import http_server
from stoneyoke.net.message_reader import BODY_MAX_BYTES


@on_loop
async def test_an_rpc_passes_unchanged_and_so_does_its_answer():
    async with GatewayUnderTest() as town, town.caller() as caller:
        data = rpc(b"order", b"\x00body\r\n", Req_Id="9b1f03aa5c7e2d41", Req_Deadline="5.000")
        assert await caller.ask(data) == (200, {b"Content-Length": b"3"}, b"yes")
        ((lines, body),) = town.backend.got
        assert lines[0] == b"POST /order/x?y=1 HTTP/1.1" and body == b"\x00body\r\n"
        assert {b"Req-Id: 9b1f03aa5c7e2d41", b"Idempotency-Key: 5c0f6e1a", b"Host: app.svc"} <= set(lines)
        (told,) = (float(x[14:]) for x in lines if x.startswith(b"Req-Deadline: "))
        assert 4.0 < told <= 5.0
        assert (await caller.ask(rpc(X_Quota="units=4.0000002384185791,spread=3,first=0")))[0] == 200
        assert town.backend.connections == 1 and town.count("RPCs: ok") == 2
        assert not town.program.runtime.pending and not town.program.metrics.violations


@on_loop
async def test_over_quota_is_pushed_back_with_a_time_and_a_backend_s_fault_is_never_passed_on():
    async with GatewayUnderTest(b"HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops") as town, town.caller() as caller:
        for _ in range(400 // 3 // 4 + 2):  # a part of the burst, in the largest RPCs
            town.backend.got.clear()
            status, headers, body = await caller.ask(rpc(X_Quota="units=4,spread=3,first=1"))
        assert status == 429 and float(headers[b"Retry-After"]) > 0 and not town.backend.got
        status, headers, body = await caller.ask(rpc(X_Customer="0" * 16))
        assert status == 429 and body == b"" and town.count("attempts: error") >= 1


@on_loop
async def test_no_time_to_return_is_told_where_the_settings_allow_none():
    async with GatewayUnderTest(None, **{"retry-after": False}) as town, town.caller() as caller:
        status, headers, _ = await caller.ask(rpc(Req_Deadline="0.050"))
        assert status == 429 and b"Retry-After" not in headers


@on_loop
async def test_what_is_silent_is_answered_when_the_client_s_time_is_up_and_its_connection_closed():
    async with GatewayUnderTest(None) as town, town.caller() as caller:
        start = time.monotonic()
        status, _, _ = await caller.ask(rpc(b"order", Req_Deadline="0.200"))
        assert status == 429 and 0.15 < time.monotonic() - start < 1.0
        await until(lambda: town.backend.closed == 1)
        assert len(town.backend.got) == 1 and town.count("attempts: timed out") == 1


@on_loop
async def test_a_client_that_closes_is_told_of_at_once_and_its_call_out_runs_on():
    told, release = [], asyncio.Event()

    async def late(_, writer):
        await release.wait()
        return OK

    async with GatewayUnderTest(late) as town:
        gateway = town.program.runtime.gateway
        handle = gateway.handle
        gateway.handle = lambda event, now: (told.append(event), handle(event, now))[1]
        async with town.caller() as caller:
            caller.writer.write(rpc())
            await until(lambda: town.backend.got)
        await until(lambda: any(isinstance(e, ClientGone) for e in told))
        release.set()
        await until(lambda: not town.program.runtime.pending)
        assert town.count("attempts: ok") == 1 and town.count("RPCs: client gone") == 1
        async with town.caller() as caller:
            assert (await caller.ask(rpc()))[2] == b"yes" and town.backend.connections == 1


BAD = [
    (b"NONSENSE\r\n\r\n", 400),
    (b"GET /look HTTP/9.1\r\n\r\n", 400),
    (b"GET /look HTTP/1.1\r\nNo colon\r\n\r\n", 400),
    (b"GET /look HTTP/1.1\r\nX: " + b"y" * 20_000, 431),
    (rpc(Req_Kind="odd"), 404),
    (rpc(X_Plan="odd"), 400),
    (rpc(b"order", b"x" * (BODY_MAX_BYTES + 1)), 413),
    (rpc(b"order", b"", Idempotency_Key=None), 400),
    (rpc(Expect="100-continue"), 417),
    (rpc().replace(b"GET /", b"DELETE /"), 405),
    (rpc().replace(b"/look/", b"/lock/"), 400),
    (rpc(Content_Length="-1"), 400),
    (rpc().replace(b"\r\n\r\n", b"\r\nReq-Id: second\r\n\r\n"), 400),
    (rpc().replace(b"\r\n\r\n", b"\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n"), 400),
    (rpc().replace(b"GET /look/x?y=1 HTTP/1.1", b"GET /look/x?y=1 HTTP/1.0"), 505),
    (rpc(b"order", b"abc", Transfer_Encoding="chunked"), 400),
    (rpc(b"order", Content_Length="60000000"), 413),
    (rpc(b"order", Content_Length=None, Transfer_Encoding="gzip, chunked") + b"0\r\n\r\n", 501),
    (rpc(b"order", Content_Length=None, Transfer_Encoding="chunked") + b"1;" + b"y" * 400_000, 413),
    (rpc(b"order").replace(b"POST", b"GET"), 405),
    (rpc(Content_Length="1") + b"x", 400),
    (b"GET /look HTTP/1.1\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\n", 400),
    (b"CONNECT a:80 HTTP/1.1\r\n\r\n", 400),
    *(
        (rpc().replace(b"\r\n\r\n", b"\r\n%s: 1\r\n\r\n" % name), 400)
        for name in (b"host", b"REQ-KIND", b"X-Quota", b"Req-Deadline", b"X-Customer", b"X-Plan")
    ),
    *(
        (rpc(**{name: value}), 400)
        for name, values in {
            "Req_Id": [None, "a b", "\x7f"],
            "Host": [None],
            "Req_Kind": [None],
            "X_Plan": [None],
            "X_Customer": [None, "zz", "5", "f" * 16, "0x" + "0" * 14],
            "Req_Deadline": [None, "soon", "nan", "-1", "inf", "1e9", "1e0", "+1", "1_0", "1 0"],
            "X_Quota": [
                None,
                "units",
                "units=2",
                "units=0,spread=3,first=1",
                "units=nan,spread=3,first=1",
                "units=2,spread=0,first=1",
                "units=2,spread=3,first=-1",
                "units=4.1,spread=3,first=1",
                "units=2,spread=4,first=1",
                "units=2,spread=3,first=3",
                "units=+2,spread=3,first=1",
                "units=2,spread=1_0,first=1",
                "units=2, spread=3,first=1",
                "units=2,spread=3.0,first=1",
                "units=2,units=2,spread=3,first=1",
                "units=2,spread=3,first=1,first=1",
                "2,3,1",
            ],
        }.items()
        for value in values
    ),
]


@pytest.mark.parametrize("data, status", BAD)
@on_loop
async def test_bad_input_gets_a_plain_4xx_a_count_and_a_closed_connection(data, status):
    async with GatewayUnderTest() as town, town.caller() as caller:
        got, headers, body = await caller.ask(data)
        assert got == status and headers[b"Connection"] == b"close" and body
        assert await caller.reader.read() == b""
        assert town.count(f"bad input: {status}") == 1 and not town.backend.got
        assert not town.program.metrics.violations


@on_loop
async def test_an_id_that_is_open_is_not_taken_again_and_one_that_was_is():
    async with GatewayUnderTest(None) as town, town.caller() as one, town.caller() as two:
        one.writer.write(rpc(Req_Id="twice", Req_Deadline="1.000"))
        await until(lambda: town.backend.got)
        assert (await two.ask(rpc(Req_Id="twice")))[0] == 409
        assert (await one.hear())[0] == 429 and len(town.backend.got) == 1
        assert (await one.ask(rpc(Req_Id="twice", Req_Deadline="0.300")))[0] == 429
        assert len(town.backend.got) == 2 and not town.program.clients.open_ids


@on_loop
async def test_a_4xx_arrives_while_a_body_pours_in_and_the_pouring_has_an_end(monkeypatch):
    monkeypatch.setattr(http_server, "LINGER_S", 0.3)
    async with GatewayUnderTest() as town, town.caller() as caller:
        caller.writer.write(rpc(b"order", Content_Length="60000000"))

        async def pour():
            with contextlib.suppress(OSError):
                while True:
                    caller.writer.write(b"x" * 65_536)
                    await caller.writer.drain()

        pouring = asyncio.create_task(pour())
        start = time.monotonic()
        assert (await caller.hear())[0] == 413 and time.monotonic() - start < 0.3
        (client,) = town.program.clients.connections.open.values()
        assert not client.protocol.reader._buffer
        await pouring
        await until(lambda: not town.program.clients.connections.open)


@settings(max_examples=30, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(
    st.lists(
        st.one_of(
            st.binary(min_size=1, max_size=80),
            st.just(rpc()),
            st.just(b"\r\n"),
            st.tuples(st.integers(0, 200), st.binary(max_size=3)).map(
                lambda cut: rpc()[: cut[0]] + cut[1] + rpc()[cut[0] + 1 :]
            ),
        ),
        min_size=1,
        max_size=4,
    )
)
@on_loop
async def test_whatever_bytes_come_the_next_client_is_served(parts):
    async with GatewayUnderTest() as town:
        async with town.caller() as caller:
            for part in parts:
                caller.writer.write(part)
            caller.writer.write_eof()
            assert b"HTTP/1.1 5" not in await caller.reader.read()
        async with town.caller() as caller:
            assert (await caller.ask(rpc()))[0] == 200
        assert not town.program.metrics.violations


@on_loop
async def test_rpcs_written_one_after_another_share_a_connection():
    async with GatewayUnderTest() as town, town.caller() as caller:
        caller.writer.write(rpc() + rpc(b"order", b"abc") + rpc())
        assert [(await caller.hear())[0] for _ in range(3)] == [200, 200, 200]
        caller.writer.write_eof()
        assert await read_message(caller.reader) is None
