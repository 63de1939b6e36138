from dataclasses import replace

from configurations import example, route
from event_loop import on_loop
from gateway_fixture import GatewayUnderTest, ScriptedBackend, ok
from ward import each, test

from stoneyoke.api.configuration import read_configuration
from stoneyoke.control import Gateway as DecisionLogic
from stoneyoke.control.actions import StartAttempt
from stoneyoke.control.events import Arrival, AttemptEnded, Endpoint, EndpointsChanged
from stoneyoke.control.parameters import (
    AttemptOutcome,
    BackendState,
    DeduplicationScope,
    GatewayParameters,
    Idempotency,
    Method,
    Plan,
)
from stoneyoke.controlplane.instance_registry import Phase
from stoneyoke.gateway.control_client import GatewayFleet
from stoneyoke.gateway.routes import build_routing_table


def rejecting(status, more=b"Not-Run: 1\r\n"):
    return lambda request: (
        b"HTTP/1.1 %d X\r\nAttempt-Id: %s\r\n%sContent-Length: 0\r\n\r\n" % (status, request["attempt-id"], more)
    )


@test("a request is forwarded unchanged but for the API key, with the tenant and the expected instance added")
@on_loop
async def _():
    backend = ScriptedBackend()
    async with GatewayUnderTest([backend]) as gateway:
        status, headers, body = await gateway.send(
            more=(b"X-Odd: 1\r\nX-Odd: 2\r\nTenant: liar\r\nConnection: x-hop\r\nX-Hop: 1\r\n")
        )
        assert (status, body, headers["server-stamp"]) == (200, b"yes", b"s1")
        (got,) = backend.requests
        assert got["line"] == b"POST /a/b/x HTTP/1.1" and got["body"] == b"order" and got["x-odd"] == b"2"
        assert got["tenant"] == b"anna" and got["expect-instance"] == b"i-0" and 2500 < int(got["deadline-ms"]) <= 3000
        assert "api-key" not in got and "x-hop" not in got and got["attempt-id"] == b"a-1"


@test("a request without a route gets 404, one with an unknown key 401, and a public route needs no key")
@on_loop
async def _():
    backend = ScriptedBackend()
    async with GatewayUnderTest([backend], service="mast") as gateway:
        assert (await gateway.send(path=b"/none/"))[0] == 404
        assert (await gateway.send(key=b"key-x"))[0] == 401 and (await gateway.send(key=None))[0] == 401
        status, _, _ = await gateway.send(path=b"/z", host=b"Two.example:80", key=None, method=b"GET", body=b"")
        assert status == 200 and "tenant" not in backend.requests[0]


@test("a newer routing table replaces the whole current one, and an older one is ignored")
@on_loop
async def _():
    async with GatewayUnderTest([ScriptedBackend()]) as gateway:
        gateway.handler.install(
            build_routing_table(
                read_configuration(example(9, lambda c: c["tenant_list"][0].update(api_keys=["key-n"])))
            )
        )
        assert (await gateway.send())[0] == 401 and (await gateway.send(key=b"key-n"))[0] == 200
        gateway.handler.install(build_routing_table(read_configuration(example(8))))
        assert (await gateway.send())[0] == 401


@test("a request proven not to have run is retried at another backend; a 421 removes the instance permanently")
@on_loop
async def _(rejection=each((503, b"Not-Run: 1\r\n"), (421, b"Instance-Id: i-other\r\n"))):
    status, more = rejection
    refused = []

    def reject_once(request):
        if refused:
            return ok(request)
        refused.append(request["expect-instance"].decode())
        return rejecting(status, more)(request)

    backends = [ScriptedBackend(reject_once), ScriptedBackend(reject_once)]
    async with GatewayUnderTest(backends) as gateway:
        assert (await gateway.send())[0] == 200
        assert [len(one.requests) for one in backends] == [1, 1]
        if status == 421:
            assert refused[0] in gateway.instance_directory.gone_at


NO_STAMP = b"HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nContent-Length: 3\r\n\r\nyes"
TRUNCATED = b"HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nServer-Stamp: s\r\nContent-Length: 30\r\n\r\nyes\x00"
BUSY = rejecting(503, b"")({"attempt-id": b"a-1"})  # without Not-Run
TOO_MANY = rejecting(429, b"")({"attempt-id": b"a-1"})


@test("a non-idempotent request that may have run is not retried, and its response has no stamp")
@on_loop
async def _(
    data=each(
        b"",
        b"gibberish\r\n\r\n",
        NO_STAMP,
        TRUNCATED,
        BUSY,
        TOO_MANY,
    ),
):
    sent = []

    def answer(request):
        sent.append(request)
        return data

    async with GatewayUnderTest([ScriptedBackend(answer), ScriptedBackend(answer)]) as gateway:
        status, headers, _ = await gateway.send(wait_ms=b"400" if data is TRUNCATED else b"3000")
        assert len(sent) == 1
        assert status in (502, 504)
        assert "server-stamp" not in headers


@test("an idempotent request that failed at one backend is retried at another, up to the route's maximum of attempts")
@on_loop
async def _():
    failed = []

    def fail_once(request):
        if failed:
            return ok(request)
        failed.append(request)
        return b""

    backends = [ScriptedBackend(fail_once), ScriptedBackend(fail_once)]
    async with GatewayUnderTest(backends, change=lambda c: route(c, 0, 1).update(route_kind="pure")) as gateway:
        assert (await gateway.send(method=b"GET", body=b""))[0] == 200
        assert [len(one.requests) for one in backends] == [1, 1]
    alone = ScriptedBackend(lambda _: b"")
    async with GatewayUnderTest(
        [alone, ScriptedBackend(lambda _: b"")], change=lambda c: route(c, 0, 1).update(route_kind="pure", max_tries=1)
    ) as gateway:
        await gateway.send(method=b"GET", body=b"")
        assert sum(len(one.requests) for one in gateway.scripted_backends) == 1


@test("retries stay within this gateway's part of the retry budget, and requests beyond it are rejected at once")
@on_loop
async def _():
    backends = [ScriptedBackend(rejecting(503)) for _ in range(4)]
    async with GatewayUnderTest(backends) as gateway:
        gateway.upstreams.bounds = replace(gateway.upstreams.bounds, retry_slack_attempts=8.0)
        gateway.upstreams.set_fleet(GatewayFleet(2, 0))
        answers = [await gateway.send() for _ in range(30)]
        arrivals = sum(len(one.requests) for one in backends)
        assert {status for status, _, _ in answers} == {503} and all("retry-after" in more for _, more, _ in answers)
        assert 30 < arrivals <= 30 + 0.2 * 30 + 4


@test("a backend's 500 response to a non-idempotent request that ran is forwarded unchanged")
@on_loop
async def _():
    async with GatewayUnderTest(
        [
            ScriptedBackend(
                lambda r: b"HTTP/1.1 500 Oops\r\nAttempt-Id: %s\r\nServer-Stamp: s9\r\n"
                b"Content-Length: 4\r\n\r\noops" % r["attempt-id"]
            )
        ]
    ) as gateway:
        status, headers, body = await gateway.send()
        assert (status, body, headers["server-stamp"]) == (500, b"oops", b"s9")


@test("a response to another request, or a second response, is never returned for this request")
@on_loop
async def _():
    def twice(request):
        other = dict(request, **{"attempt-id": b"z-9"})
        return ok(other, b"not yours") + ok(request, b"yours") + ok(request, b"again")

    async with GatewayUnderTest([ScriptedBackend(twice)]) as gateway:
        for _ in range(3):
            assert (await gateway.send())[2] == b"yours"


@test("a chunked response is forwarded completely")
@on_loop
async def _():
    chunked = (
        b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    async with GatewayUnderTest([ScriptedBackend(lambda r: chunked % r["attempt-id"])]) as gateway:
        assert (await gateway.send())[2] == b"abcde"


@test("a draining instance gets no more requests, and a late report does not restore an instance that is gone")
@on_loop
async def _():
    drains, stays = ScriptedBackend(), ScriptedBackend()
    async with GatewayUnderTest([drains, stays]) as gateway:
        gateway.report_instance("i-0", drains.port, Phase.DRAINING, 5)
        gateway.upstreams.refresh()
        for _ in range(5):
            assert (await gateway.send())[0] == 200
        gateway.report_instance("i-0", drains.port, Phase.READY, 4)
        gateway.report_instance("i-0", drains.port, Phase.GONE, 5)
        gateway.report_instance("i-0", drains.port, Phase.READY, 9)
        gateway.upstreams.refresh()
        for _ in range(5):
            assert (await gateway.send())[0] == 200
        assert not drains.requests and len(stays.requests) == 10
        assert "i-0" not in gateway.instance_directory.instances


@test("a request over quota gets a 429 with Retry-After and reaches no backend; with units it is forwarded")
@on_loop
async def _():
    backend = ScriptedBackend()
    async with GatewayUnderTest([backend]) as gateway:
        gateway.quota_client.grant = (0.0, 0.5, 0.5, 0.0)
        status, headers, _ = await gateway.send()
        assert status == 429 and 0.4 < float(headers["retry-after"]) < 2 and not backend.requests
        gateway.admission.local_quotas["anna"].next_request_at = 0.0
        gateway.quota_client.grant = (2.0, 0.0, 0.5, 0.0)
        assert [(await gateway.send())[0] for _ in range(2)] == [200, 200]
        assert (await gateway.send(key=b"key-c"))[0] == 200  # bert has no limit


@test("without backends a request is rejected at once with a 503 and Retry-After")
@on_loop
async def _():
    async with GatewayUnderTest([]) as gateway:
        status, headers, _ = await gateway.send()
        assert status == 503 and float(headers["retry-after"]) > 0


@test("if a backend does not respond, the client gets a 504 at its deadline")
@on_loop
async def _():
    async with GatewayUnderTest([ScriptedBackend(lambda _: None)]) as gateway:
        assert (await gateway.send(wait_ms=b"150"))[0] == 504


@test("malformed request heads are rejected, reach no backend, and the gateway keeps serving")
@on_loop
async def _():
    head = (
        b"POST /a/b/x HTTP/1.1\r\nHost: one.example\r\nAttempt-Id: a-1\r\nDeadline-Ms: 900\r\nApi-Key: key-a\r\n"
        b"Content-Length: 5\r\n\r\norder"
    )
    wrongs = [
        head.replace(*swap)
        for swap in (
            (b"Attempt-Id: a-1\r\n", b""),
            (b"Attempt-Id: a-1", b"Attempt-Id: a 1"),
            (b"Host: one.example\r\n", b""),
            (b"Api-Key: key-a", b"Api-Key: key-a\r\nApi-Key: key-b"),
            (b"900", b"-1"),
            (b"900", b"1e9"),
            (b"900", b"nan"),
            (b"HTTP/1.1", b"HTTP/1.0"),
            (b"POST /a", b"POST a"),
            (b"POST", b"po st"),
            (b"Content-Length: 5", b"Content-Length: 5\r\nContent-Length: 6"),
            (b"Content-Length: 5", b"Content-Length: -5"),
            (b"Content-Length: 5", b"Content-Length: 99999999999"),
            (b"Content-Length: 5", b"Content-Length: 5\r\nTransfer-Encoding: chunked"),
            (b"Content-Length: 5", b"Transfer-Encoding: gzip"),
            (b"Api-Key", b"X" * 20_000 + b": 1\r\nApi-Key"),
            (b"Host", b"Expect: 100-continue\r\nHost"),
        )
    ]
    backend = ScriptedBackend()
    async with GatewayUnderTest([backend]) as gateway:
        for wrong in wrongs:
            status, _, _ = await gateway.send(raw=wrong)
            assert 400 <= status < 600 and status not in (408, 421, 429, 503), f"{wrong!r} {status}"
        assert not backend.requests and not gateway.metrics.violations
        assert (await gateway.send())[0] == 200


@test("after SIGTERM each response closes its connection, and draining ends with no connection open")
@on_loop
async def _():
    backend = ScriptedBackend()
    async with GatewayUnderTest([backend]) as gateway:
        gateway.handler.draining = True
        status, headers, _ = await gateway.send()
        assert status == 200 and headers["connection"] == b"close"
        ended = []
        await gateway.handler.drain(0.6, lambda: ended.append(1))
        assert ended and not gateway.handler.connections.open


@test("each kind of backend response is classified by its status and its headers")
def _():
    from stoneyoke.gateway.upstreams import classify_response
    from stoneyoke.net.message_reader import Message

    def outcome_of(status, **headers):
        message = Message()
        message.status = status
        message.headers = {name.replace("_", "-").encode(): value for name, value in headers.items()}
        return classify_response(message)

    assert outcome_of(200, server_stamp=b"s") is AttemptOutcome.OK and outcome_of(200) is AttemptOutcome.BROKEN
    assert outcome_of(503, not_run=b"1") is outcome_of(421) is outcome_of(400, not_run=b"1") is AttemptOutcome.REJECTED
    assert outcome_of(503) is outcome_of(429) is outcome_of(408) is AttemptOutcome.BROKEN
    assert (
        outcome_of(500) is outcome_of(504) is AttemptOutcome.ERROR
        and outcome_of(404) is AttemptOutcome.OK
        and classify_response(None) is AttemptOutcome.BROKEN
    )


@test("retries stay within this gateway's part of the retry budget, and only attempts that reached a backend count")
def _():
    def count_attempts(outcome, depth):
        """Returns the number of attempts for ten requests at nine backends if each attempt has this outcome."""
        method = Method(
            idempotency=Idempotency.IDEMPOTENT,
            deduplication_scope=DeduplicationScope.CELL,
            soft_deadline_us=1_000_000,
            deadline_us=9_000_000,
            deduplication_window_us=0,
            utility=1.0,
            attempts_max=3,
        )
        decisions = DecisionLogic(
            GatewayParameters(
                seed=7,
                gateways=1,
                own_index=0,
                zone=0,
                methods=(method,),
                plans=(Plan(rate=0.0, burst=0.0, price=1.0, concurrency_max=0, ceiling_rate=0.0, ceiling_burst=0.0),),
                attempts_max=9,
                can_cancel_attempts=False,
                has_counter=False,
                clients_mark_retries=False,
                sends_retry_after=True,
                settles_units=False,
                must_subscribe=False,
                units_max=1.0,
                cold_share=1.0,
                warm_up_us=1,
                overload_factor=9.0,
                overload_window_us=1,
                retry_budget_ratio=0.1,
                retry_budget_per_s=0.0,
                retry_budget_depth=depth,
            ),
            0,
        )
        decisions.handle(
            EndpointsChanged(True, False, [Endpoint(at, 0, 0, 0, BackendState.READY) for at in range(9)]), 0
        )
        count = 0
        for rpc in range(10):
            actions, sent = (
                decisions.handle(
                    Arrival(
                        rpc=rpc,
                        method=0,
                        plan=0,
                        customer=0,
                        customer_id=0,
                        wait_us=9_000_000,
                        units=1.0,
                        customer_gateways=1.0,
                    ),
                    1000 + rpc,
                ),
                0,
            )
            while out := [one for one in actions if isinstance(one, StartAttempt)]:
                actions = decisions.handle(
                    AttemptEnded(
                        rpc=rpc,
                        attempt=sent,
                        backend=out[0].backend,
                        outcome=outcome,
                        is_final=False,
                        settled_units=0.0,
                    ),
                    1000 + rpc,
                )
                sent += 1
            count += sent
        return count

    free = count_attempts(AttemptOutcome.ERROR, 0.0)
    assert free > 14  # without a budget: up to three attempts per request while backends are not ejected
    assert count_attempts(AttemptOutcome.ERROR, 2.0) <= 10 + 1 + 0.1 * 10
    # No attempt reached a backend, so none uses the budget: each backend is tried once, and then all are ejected.
    assert count_attempts(AttemptOutcome.NO_CONNECTION, 2.0) == 9
