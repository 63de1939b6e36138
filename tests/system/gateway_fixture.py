"""Runs a gateway's request handler on loopback sockets, with scripted backends and without controllers."""

import asyncio
import time
from collections.abc import Callable
from typing import Any, Self, cast

from configurations import example

from stoneyoke.api.bounds import ServiceBounds
from stoneyoke.api.configuration import read_configuration
from stoneyoke.controlplane.instance_registry import Phase
from stoneyoke.gateway.admission import Admission
from stoneyoke.gateway.control_client import GatewayFleet
from stoneyoke.gateway.instance_directory import InstanceDirectory
from stoneyoke.gateway.quota_client import QuotaClient
from stoneyoke.gateway.request_handler import RequestHandler, RequestServices
from stoneyoke.gateway.routes import build_routing_table
from stoneyoke.gateway.upstreams import Upstreams, UpstreamSettings, classify_response
from stoneyoke.limits.local_quota import LocalQuota
from stoneyoke.net.backends import BackendLimits, Backends
from stoneyoke.net.descriptor_budget import DescriptorBudget
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.metrics import Metrics
from stoneyoke.transport.messages import InstanceRow, QuotaGrant

BOUNDS = ServiceBounds(retry_slack_attempts=6000.0)
HOUR_US = 3_600_000_000
HOST = "127.0.0.1"
SILENCE_S = 30

Head = dict[str, bytes]  # headers by lower-case name; "line": the first line; "body": the body
Answer = Callable[[Head], bytes | None]


def ok(request: Head, body: bytes = b"yes", more: bytes = b"") -> bytes:
    """Returns a 200 response with a stamp for this request."""
    return (
        b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: s1\r\n%sContent-Length: %d\r\n\r\n"
        % (request["attempt-id"], more, len(body))
    ) + body


class ScriptedBackend:
    """A backend that responds with the result of a function of the request: bytes, None for no response, b"" to close.

    `requests` records the requests that it received.
    """

    def __init__(self, answer: Answer = ok) -> None:
        self.answer = answer
        self.requests: list[Head] = []
        self.connections = 0

    async def open(self) -> None:
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port: int = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                request = await read_head(reader)
                request["body"] = await reader.readexactly(int(request.get("content-length", b"0")))
                self.requests.append(request)
                data = self.answer(request)
                if data is None:
                    await asyncio.sleep(SILENCE_S)
                if not data:
                    break
                writer.write(data)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Reads the head of a request or a response."""
    lines = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
    headers = {name.decode().lower(): value.strip() for name, _, value in (line.partition(b":") for line in lines[1:])}
    headers["line"] = lines[0]
    return headers


class GrantingQuotaClient:
    """A fake quota client whose lease holder responds at once with `grant` (units, wait, share, reserve)."""

    def __init__(self, local_quotas: dict[str, LocalQuota]) -> None:
        self.local_quotas = local_quotas
        self.grant = (5.0, 0.0, 0.5, 0.0)
        self.asked = 0

    async def wait_for_units(self, tenant: str) -> None:
        self.asked += 1
        self.local_quotas[tenant].apply_grant(QuotaGrant(tenant, *self.grant), time.time())


class GatewayUnderTest:
    """A request handler with its components, as an asynchronous context manager.

    Args:
        scripted_backends: The instances i-0, i-1, ... of the service.
        change: Changes the example configuration before it is put in force.
        service: The service that the backends belong to.
        clock: The gateway's clock; None for one that shows the real time.
    """

    def __init__(
        self,
        scripted_backends: list[ScriptedBackend],
        change: Callable[[dict[str, Any]], Any] | None = None,
        service: str = "quay",
        clock: Clock | None = None,
    ) -> None:
        self.clock = clock or Clock()
        self.scripted_backends, self.change, self.service = scripted_backends, change, service
        self.requests_sent = 0

    async def __aenter__(self) -> Self:
        self.metrics = Metrics()
        descriptor_budget = DescriptorBudget(200, 20)
        limits = BackendLimits(connect_timeout_us=300_000, idle_timeout_us=4_000_000, response_max_bytes=1 << 20)
        self.backends = Backends(self.clock, self.metrics, descriptor_budget, limits)
        self.backends.classify = classify_response
        self.instance_directory = InstanceDirectory(("10.0.0.1",))
        settings = UpstreamSettings(zones=("east",), zone="east", seed=7, bounds=BOUNDS)
        self.upstreams = Upstreams(self.clock, self.metrics, self.backends, self.instance_directory, settings)
        self.admission = Admission(7, self.clock.now(), BOUNDS)
        self.admission.lease_holder_responded(self.clock.now() + HOUR_US)
        self.quota_client = GrantingQuotaClient(self.admission.local_quotas)
        services = RequestServices(
            admission=self.admission,
            quota_client=cast(QuotaClient, self.quota_client),
            backends=self.backends,
            upstreams=self.upstreams,
            instance_directory=self.instance_directory,
            random_point=lambda: 0.5,
        )
        self.handler = RequestHandler(self.clock, self.metrics, descriptor_budget, 300, services)
        self.upstreams.set_fleet(GatewayFleet(1, 0))
        self.handler.install(build_routing_table(read_configuration(example(7, self.change))))
        for number, backend in enumerate(self.scripted_backends):
            await backend.open()
            self.report_instance(f"i-{number}", backend.port)
        self.upstreams.refresh()
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self.handler.make_protocol, HOST, 0)
        self.port: int = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()

    def report_instance(self, instance: str, port: int, phase: Phase = Phase.READY, call_seq: int = 1) -> None:
        """Merges a report of an instance, as if from a controller."""
        address = f"{HOST}:{port}"
        row = InstanceRow(instance, address, self.service, "east", "v1", 2, int(phase), call_seq, 0.0)
        self.instance_directory.merge_row(row, self.clock.now() / 1_000_000)

    async def send(  # noqa: PLR0913 -- each part of a request has a default that one test or another changes
        self,
        path: bytes = b"/a/b/x",
        host: bytes = b"one.example",
        key: bytes | None = b"key-a",
        method: bytes = b"POST",
        body: bytes = b"order",
        more: bytes = b"",
        wait_ms: bytes = b"3000",
        raw: bytes | None = None,
    ) -> tuple[int, Head, bytes]:
        """Sends one request on a new connection, and returns the status, headers and body of the response."""
        self.requests_sent += 1
        key_line = b"Api-Key: %s\r\n" % key if key else b""
        request = raw or (
            b"%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: a-%d\r\nDeadline-Ms: %s\r\n%s%s"
            b"Content-Length: %d\r\n\r\n%s"
            % (method, path, host, self.requests_sent, wait_ms, key_line, more, len(body), body)
        )
        reader, writer = await asyncio.open_connection(HOST, self.port)
        try:
            writer.write(request)
            async with asyncio.timeout(5):
                headers = await read_head(reader)
                data = await reader.readexactly(int(headers.get("content-length", b"0")))
            return int(headers["line"].split()[1]), headers, data
        finally:
            writer.transport.abort()
