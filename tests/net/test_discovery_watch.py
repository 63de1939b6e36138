"""The watch on discovery: updates in order, missing and malformed responses, and the first list of a new process."""

import asyncio
import time

import pytest
from gateway_under_test import (
    GatewayUnderTest,
    StubServer,
    entry,
    json_response,
    rpc,
    runs_on_loop,
    total_response,
    until,
)

from stoneyoke.net.backends import BackendLimits, Backends
from stoneyoke.net.descriptor_budget import DescriptorBudget
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.metrics import Metrics
from stoneyoke.single_gateway.discovery import Discovery
from stoneyoke.single_gateway.endpoint_table import EndpointTable
from stoneyoke.single_gateway.endpoints import read_endpoint_update


class Addresses:
    """An AddressBook that stores the addresses in a dict."""

    def __init__(self, addresses):
        self.addresses = addresses

    def set_address(self, backend, address):
        self.addresses[backend] = address

    def remove(self, backend):
        self.addresses.pop(backend, None)


def list_response(*entries, index=1, whole=True):
    return json_response({"index": index, "snapshot": whole, "endpoints": list(entries)})


def endpoint_row(name, address="10.1.0.1:7070", **changes):
    return entry(name, address) | {"zone": "hall-b"} | changes


@runs_on_loop
async def test_the_watch_continues_immediately_and_updates_become_events():
    addresses, updates = {}, []
    endpoints = EndpointTable(["hall-a", "hall-b"], Addresses(addresses), lambda backend: backend == 0)
    query_times = []

    async def answer(request, writer):
        query_times.append(time.monotonic())
        return [
            list_response(
                endpoint_row("s-1"), endpoint_row("s-2", "10.1.0.2:80", since_ms=1_700_000_000_000), index=41
            ),
            list_response(
                endpoint_row("s-2", "10.1.0.2:80", status="leaving"),
                endpoint_row("s-1", status="left"),
                index=43,
                whole=False,
            ),
            list_response(endpoint_row("s-3", zone="hall-z"), index=44),
            None,
        ][len(query_times) - 1]

    async with StubServer(answer) as server:
        discovery = Discovery(Metrics(), lambda one: updates.append(endpoints.apply(one)))
        discovery.watch_address(server.address)
        await until(lambda: len(query_times) == 4)
        discovery.stop()
    assert [x[0][0].split()[1] for x in server.requests] == [
        b"/v1/servers",
        b"/v1/servers?from=41&hold_ms=1000",
        b"/v1/servers?from=43&hold_ms=1000",
        b"/v1/servers?from=44&hold_ms=1000",
    ]
    assert max(b - a for a, b in zip(query_times, query_times[1:], strict=False)) < 0.2
    states = [(n.complete, [(e.backend, e.zone, e.started_us, e.state.name) for e in n.endpoints]) for n in updates]
    assert states == [
        (True, [(0, 1, 0, "READY"), (1, 1, 1_700_000_000_000_000, "READY")]),
        (False, [(1, 1, 0, "DRAINING"), (0, 1, 0, "GONE")]),
        (True, [(2, 2, 0, "READY")]),
    ]
    assert addresses == {2: ("10.1.0.1", 7070)}
    assert endpoints.indices.index_by_id == {"s-1": 0, "s-2": 1, "s-3": 2}
    endpoints.release_unused()  # the decision logic has a row for s-1, and none for s-2 any more
    assert endpoints.indices.index_by_id == {"s-1": 0, "s-3": 2} and list(endpoints.address_by_name) == ["s-3"]


@runs_on_loop
async def test_a_silent_watch_reconnects_well_before_a_change_counts_as_notified():
    async def answer(request, writer):
        return list_response(endpoint_row("s-1")) if b"hold_ms" not in request[0][0] else None

    async with StubServer(answer) as server:
        discovery, start = Discovery(Metrics(), lambda update: None), time.monotonic()
        discovery.watch_address(server.address)
        await until(lambda: server.connections == 2 and len(server.requests) == 4)
        assert time.monotonic() - start < 3.0
        discovery.stop()


@pytest.mark.parametrize("order", [1, -1])
def test_an_address_under_a_new_name_replaces_the_old_backend_in_any_order(order):
    limits = BackendLimits(connect_timeout_us=1, idle_timeout_us=1)
    pools = Backends(Clock(), Metrics(), DescriptorBudget(9, 0), limits)
    endpoints = EndpointTable(["hall-b"], pools, lambda backend: False)

    def apply(*rows):
        return {
            e.backend: e.state.name
            for e in endpoints.apply(
                read_endpoint_update({"index": 1, "snapshot": False, "endpoints": rows[::order]})
            ).endpoints
        }

    assert set(apply(endpoint_row("s-1"), endpoint_row("s-2", "10.1.0.2:80")).values()) == {"READY"}
    old_index, old_pool = endpoints.indices.index_by_id["s-1"], pools.pools[endpoints.indices.index_by_id["s-1"]]
    states = apply(endpoint_row("s-3", since_ms=5), endpoint_row("s-1", status="leaving"))
    assert states == {old_index: "GONE", endpoints.indices.index_by_id["s-3"]: "READY"}
    assert apply(endpoint_row("s-1", status="leaving"), endpoint_row("s-4", status="left")) == {old_index: "GONE"}
    assert sorted(pool.address for pool in pools.pools.values()) == [("10.1.0.1", 7070), ("10.1.0.2", 80)]
    assert old_pool not in pools.pools.values()
    endpoints.release_unused()
    assert set(endpoints.indices.index_by_id) == {"s-2", "s-3"} and old_index in endpoints.indices.free_indices


@pytest.mark.parametrize(
    "invalid",
    [
        b"",
        b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
        b"?\r\n\r\n",
        json_response([]),
        json_response({"index": 1}),
        total_response(b"{"),
        json_response({"index": 1, "snapshot": True, "endpoints": 7}),
    ],
)
@runs_on_loop
async def test_malformed_or_missing_responses_of_discovery_change_nothing(invalid):
    updates = []

    async def answer(request, writer):
        return [invalid, list_response(endpoint_row("s-1")), None][len(server.requests) - 1]

    async with StubServer(answer) as server:
        discovery = Discovery(Metrics(), updates.append)
        discovery.watch_address(server.address)
        await until(lambda: len(server.requests) == 3)
        discovery.stop()
    assert [len(one.endpoints) for one in updates] == [1]


@pytest.mark.parametrize(
    "invalid",
    [
        {"name": "s-2"},
        7,
        endpoint_row("s-2", "nowhere"),
        endpoint_row("s-2", status="odd"),
        endpoint_row("s-2", "h:70000"),
        endpoint_row("s-2", "h:-1"),
        endpoint_row("s-2", "a b:80"),
        endpoint_row("s-2", group=float("inf")),
        endpoint_row("s-2", since_ms=None),
    ],
)
def test_an_invalid_endpoint_is_omitted_and_removes_no_other_backend(invalid):
    updates = read_endpoint_update(
        {"index": 4, "snapshot": True, "endpoints": [endpoint_row("s-1", "[::1]:80"), invalid]}
    )
    assert [(entry.name, entry.address) for entry in updates.endpoints] == [("s-1", ("::1", 80))]
    assert not updates.complete and updates.omitted


@runs_on_loop
async def test_after_a_stall_endpoint_updates_are_read_before_any_rpc_is_forwarded():
    watch = asyncio.Event()

    async def answer_query(request, writer):
        if b"hold_ms" in request[0][0]:
            gateway.watcher = writer
            watch.set()
            return None
        return json_response(gateway.endpoint_list)

    gateway = GatewayUnderTest()
    gateway.discovery.answer = answer_query
    async with gateway, gateway.connect() as client:
        await watch.wait()
        await until(lambda: len(gateway.program.clients.connections.open) == 1)
        client.writer.write(rpc())
        updates = {"index": 5, "snapshot": False, "endpoints": [entry("s-1", gateway.backend.host_port, "leaving")]}
        gateway.watcher.write(json_response(updates))
        time.sleep(0.3)  # noqa: ASYNC251 -- stalls the process, so that the event loop finds both inputs in one iteration
        assert (await client.receive())[0] == 429 and not gateway.backend.requests
        assert gateway.count("process stalled") == 1


@runs_on_loop
async def test_the_first_rpc_waits_for_the_first_endpoint_list_and_avoids_draining_backends():
    """The process starts with a list in which s-1 is ready. Discovery reports that s-1 drains once an RPC waits."""
    gateway = GatewayUnderTest()
    release = asyncio.Event()
    answer_query = gateway.answer_discovery

    async def answer_when_released(request, writer):
        await release.wait()
        return await answer_query(request, writer)

    gateway.discovery.answer = answer_when_released
    async with gateway, gateway.connect() as client:
        gateway.endpoint_list = {
            "index": 5,
            "snapshot": True,
            "endpoints": [entry("s-1", gateway.backend.host_port, "leaving")],
        }
        response = asyncio.create_task(client.request(rpc()))
        await until(lambda: gateway.count("RPCs: waited for the first endpoint list") == 1)
        release.set()
        status, _, _ = await response
        assert status == 429 and gateway.backend.requests == []


@pytest.mark.parametrize("answer", [None, b"", b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"])
@runs_on_loop
async def test_a_new_process_waits_only_briefly_for_an_unavailable_discovery(answer):
    gateway = GatewayUnderTest()
    gateway.discovery.answer = answer
    async with gateway, gateway.connect() as client:
        status, _, _ = await client.request(rpc())
        assert status == 200


@runs_on_loop
async def test_a_backend_that_begins_to_drain_during_the_connect_receives_no_request(monkeypatch):
    connect_started, connect_released = asyncio.Event(), asyncio.Event()
    connect = Backends.connect

    async def connect_when_released(self, pool):
        connect_started.set()
        await connect_released.wait()
        return await connect(self, pool)

    async with GatewayUnderTest() as gateway, gateway.connect() as client:
        await until(gateway.program.discovery.first_response.is_set)
        monkeypatch.setattr(Backends, "connect", connect_when_released)
        response = asyncio.create_task(client.request(rpc()))
        await connect_started.wait()
        gateway.program.update_endpoints(
            read_endpoint_update(
                {"index": 6, "snapshot": False, "endpoints": [entry("s-1", gateway.backend.host_port, "leaving")]}
            )
        )
        connect_released.set()
        status, _, _ = await response
        assert status == 429 and gateway.backend.requests == []
        assert gateway.count("attempts: backend left meanwhile") == 1
