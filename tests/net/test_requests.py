"""Requests over the gateway's sockets: what is forwarded, what is rejected, and the handling of malformed input."""

import asyncio
import contextlib
import time

import pytest
from gateway_under_test import OK, GatewayUnderTest, read_message, rpc, runs_on_loop, until
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from stoneyoke.control.events import ClientGone
from stoneyoke.net import http_server
from stoneyoke.net.message_reader import BODY_MAX_BYTES


@runs_on_loop
async def test_an_rpc_and_its_response_are_forwarded_unchanged():
    async with GatewayUnderTest() as gateway, gateway.connect() as client:
        data = rpc(b"order", b"\x00body\r\n", Req_Id="9b1f03aa5c7e2d41", Req_Deadline="5.000")
        assert await client.request(data) == (200, {b"Content-Length": b"3"}, b"yes")
        ((lines, body),) = gateway.backend.requests
        assert lines[0] == b"POST /order/x?y=1 HTTP/1.1" and body == b"\x00body\r\n"
        assert {b"Req-Id: 9b1f03aa5c7e2d41", b"Idempotency-Key: 5c0f6e1a", b"Host: app.svc"} <= set(lines)
        (forwarded_deadline_s,) = (float(x[14:]) for x in lines if x.startswith(b"Req-Deadline: "))
        assert 4.0 < forwarded_deadline_s <= 5.0
        assert (await client.request(rpc(X_Quota="units=4.0000002384185791,spread=3,first=0")))[0] == 200
        assert gateway.backend.connections == 1 and gateway.count("RPCs: ok") == 2
        assert not gateway.program.runtime.pending and not gateway.program.metrics.violations


@runs_on_loop
async def test_an_rpc_over_quota_is_rejected_with_retry_after_and_backend_errors_are_not_forwarded():
    async with (
        GatewayUnderTest(b"HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops") as gateway,
        gateway.connect() as client,
    ):
        # The largest RPCs exhaust this gateway's share of the burst, some more of them if it refills meanwhile.
        for _ in range(400):
            gateway.backend.requests.clear()
            status, headers, body = await client.request(rpc(X_Quota="units=4,spread=3,first=1"))
            if not gateway.backend.requests:
                break
        assert status == 429 and float(headers[b"Retry-After"]) > 0 and not gateway.backend.requests
        status, headers, body = await client.request(rpc(X_Customer="0" * 16))
        assert status == 429 and body == b"" and gateway.count("attempts: error") >= 1


@runs_on_loop
async def test_no_retry_after_is_sent_if_the_settings_disable_it():
    async with GatewayUnderTest(None, **{"retry-after": False}) as gateway, gateway.connect() as client:
        status, headers, _ = await client.request(rpc(Req_Deadline="0.050"))
        assert status == 429 and b"Retry-After" not in headers


@runs_on_loop
async def test_a_silent_backend_s_connection_is_closed_and_its_client_answered_at_the_deadline():
    async with GatewayUnderTest(None) as gateway, gateway.connect() as client:
        start = time.monotonic()
        status, _, _ = await client.request(rpc(b"order", Req_Deadline="0.200"))
        assert status == 429 and 0.15 < time.monotonic() - start < 1.0
        await until(lambda: gateway.backend.closed == 1)
        assert len(gateway.backend.requests) == 1 and gateway.count("attempts: timed out") == 1


@pytest.mark.parametrize(
    ("kind", "can_cancel", "attempt_continues"),
    [(b"look", True, False), (b"look", False, True), (b"order", True, True)],
)
@runs_on_loop
async def test_a_client_disconnect_is_reported_immediately_and_cancels_its_attempt_if_that_is_allowed(
    kind, can_cancel, attempt_continues
):
    events, release = [], asyncio.Event()

    async def respond_when_released(_, writer):
        await release.wait()
        return OK

    async with GatewayUnderTest(respond_when_released, cancel=can_cancel) as gateway:
        decision_logic = gateway.program.runtime.gateway
        handle = decision_logic.handle
        decision_logic.handle = lambda event, now: (events.append(event), handle(event, now))[1]
        async with gateway.connect() as client:
            client.writer.write(rpc(kind))
            await until(lambda: gateway.backend.requests)
        await until(lambda: any(isinstance(e, ClientGone) for e in events))
        if attempt_continues:
            for _ in range(50):
                await asyncio.sleep(0)
            assert gateway.program.runtime.pending
            release.set()
        await until(lambda: not gateway.program.runtime.pending)
        assert gateway.count("attempts: ok" if attempt_continues else "attempts: client gone") == 1
        assert gateway.count("RPCs: client gone") == 1
        release.set()
        async with gateway.connect() as client:
            assert (await client.request(rpc()))[2] == b"yes" and gateway.backend.connections == (
                1 if attempt_continues else 2
            )


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
@runs_on_loop
async def test_malformed_input_is_rejected_and_counted_and_its_connection_closed(data, status):
    async with GatewayUnderTest() as gateway, gateway.connect() as client:
        got, headers, body = await client.request(data)
        assert got == status and headers[b"Connection"] == b"close" and body
        assert await client.reader.read() == b""
        assert gateway.count(f"bad input: {status}") == 1 and not gateway.backend.requests
        assert not gateway.program.metrics.violations


@runs_on_loop
async def test_the_id_of_a_pending_rpc_is_rejected_and_accepted_again_after_it_is_closed():
    async with GatewayUnderTest(None) as gateway, gateway.connect() as first, gateway.connect() as second:
        first.writer.write(rpc(Req_Id="twice", Req_Deadline="1.000"))
        await until(lambda: gateway.backend.requests)
        assert (await second.request(rpc(Req_Id="twice")))[0] == 409
        assert (await first.receive())[0] == 429 and len(gateway.backend.requests) == 1
        assert (await first.request(rpc(Req_Id="twice", Req_Deadline="0.300")))[0] == 429
        assert len(gateway.backend.requests) == 2 and not gateway.program.clients.open_ids


@runs_on_loop
async def test_a_rejection_arrives_while_a_body_is_still_sent_and_the_connection_is_closed(monkeypatch):
    monkeypatch.setattr(http_server, "LINGER_S", 0.3)
    async with GatewayUnderTest() as gateway, gateway.connect() as client:
        client.writer.write(rpc(b"order", Content_Length="60000000"))

        async def send_body():
            with contextlib.suppress(OSError):
                while True:
                    client.writer.write(b"x" * 65_536)
                    await client.writer.drain()

        sending = asyncio.create_task(send_body())
        start = time.monotonic()
        assert (await client.receive())[0] == 413 and time.monotonic() - start < 0.3
        (connection,) = gateway.program.clients.connections.open.values()
        assert not connection.protocol.reader._buffer
        await sending
        await until(lambda: not gateway.program.clients.connections.open)


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
@runs_on_loop
async def test_after_arbitrary_input_the_next_client_is_served(parts):
    async with GatewayUnderTest() as gateway:
        async with gateway.connect() as client:
            for part in parts:
                client.writer.write(part)
            client.writer.write_eof()
            assert b"HTTP/1.1 5" not in await client.reader.read()
        async with gateway.connect() as client:
            assert (await client.request(rpc()))[0] == 200
        assert not gateway.program.metrics.violations


@runs_on_loop
async def test_pipelined_rpcs_are_answered_over_one_connection():
    async with GatewayUnderTest() as gateway, gateway.connect() as client:
        client.writer.write(rpc() + rpc(b"order", b"abc") + rpc())
        assert [(await client.receive())[0] for _ in range(3)] == [200, 200, 200]
        client.writer.write_eof()
        assert await read_message(client.reader) is None
