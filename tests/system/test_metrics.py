import asyncio

from event_loop import on_loop
from gateway_fixture import HOST, read_head
from raw_backend import until
from ward import each, test

from stoneyoke.programs.metrics_server import CONNECTIONS_MAX, MetricsServer
from stoneyoke.runtime.metrics import Metrics
from stoneyoke.runtime.metrics_text import metrics_text, read_metrics_text


@test("metrics are rendered as text: counters and violated invariants by name, gauges, and total violations even if 0")
def _():
    metrics = Metrics()
    text = metrics_text(metrics, {"ready": 1.0})
    assert read_metrics_text(text) == {"stoneyoke_invariant_violations_total": 0, "stoneyoke_ready": 1}
    metrics.add('attempts: "odd" \\ ok')
    metrics.violations["x"] += 2
    figures = read_metrics_text(metrics_text(metrics, {"ready": 0.5}))
    assert figures == {
        "stoneyoke_invariant_violations_total": 2,
        'stoneyoke_invariant_violations_total{invariant="x"}': 2,
        'stoneyoke_events_total{event="attempts: \\"odd\\" \\\\ ok"}': 1,
        "stoneyoke_ready": 0.5,
    }


@test(
    "the metrics server serves only its path, repeatedly on one connection, and closes the connection on malformed HTTP"
)
@on_loop
async def _(target=each((b"/metrics", b"200"), (b"/metrics?x=1", b"200"), (b"/", b"404"))):
    path, status = target
    server = MetricsServer(lambda: "figure 1\n")
    listener = await asyncio.start_server(server.serve, HOST, 0)
    reader, writer = await asyncio.open_connection(*listener.sockets[0].getsockname())
    for _ in range(2):
        writer.write(b"GET %s HTTP/1.1\r\nHost: x\r\n\r\n" % path)
        head = await read_head(reader)
        body = await reader.readexactly(int(head["content-length"]))
        assert head["line"].split()[1] == status
        assert (body == b"figure 1\n") == (status == b"200")
    writer.write(b"NONSENSE\r\n\r\n")
    assert await reader.read() == b""
    writer.close()
    listener.close()


@test("connections beyond the maximum are closed, and accepted again once others have been closed")
@on_loop
async def _():
    server = MetricsServer(lambda: "figure 1\n")
    listener = await asyncio.start_server(server.serve, HOST, 0)
    address = listener.sockets[0].getsockname()
    kept = [await asyncio.open_connection(*address) for _ in range(CONNECTIONS_MAX)]
    await until(lambda: server.connections == CONNECTIONS_MAX)
    reader, _ = await asyncio.open_connection(*address)
    assert await reader.read() == b""
    for _, writer in kept:
        writer.close()
    await until(lambda: server.connections == 0)
    reader, writer = await asyncio.open_connection(*address)
    writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
    assert (await read_head(reader))["line"].split()[1] == b"200"
    writer.close()
    listener.close()


@test("if its port is in use, the metrics server does not listen and raises no error")
@on_loop
async def _():
    listener = await asyncio.start_server(lambda *_: None, HOST, 0)
    await MetricsServer(lambda: "").open(listener.sockets[0].getsockname())
    listener.close()
