"""The watch on discovery: news in order, silence, nonsense, and a new life's first list."""

import asyncio
import time

import pytest
from helpers import GatewayUnderTest, StandIn, entry, json_answer, on_loop, rpc, total, until

from stoneyoke.net.backends import BackendLimits, Backends
from stoneyoke.net.descriptor_budget import DescriptorBudget
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.metrics import Metrics
from stoneyoke.single_gateway.discovery import Discovery
from stoneyoke.single_gateway.endpoint_table import EndpointTable
from stoneyoke.single_gateway.endpoints import read_endpoint_update


class Addresses:
    """An address book in a dict."""

    def __init__(self, placed):
        self.placed = placed

    def set_address(self, backend, address):
        self.placed[backend] = address

    def remove(self, backend):
        self.placed.pop(backend, None)


def told_list(*entries, index=1, whole=True):
    return json_answer({"index": index, "snapshot": whole, "endpoints": list(entries)})


def line_of(name, address="10.1.0.1:7070", **changes):
    return {
        "name": name,
        "address": address,
        "zone": "hall-b",
        "group": 3,
        "status": "active",
        "weight": 1.0,
        "since_ms": 0,
    } | changes


@on_loop
async def test_the_watch_goes_on_at_once_and_the_news_reaches_the_module_s_words():
    placed, news = {}, []
    fleet = EndpointTable(["hall-a", "hall-b"], Addresses(placed), lambda backend: backend == 0)
    at = []

    async def answer(request, writer):
        at.append(time.monotonic())
        return [
            told_list(line_of("s-1"), line_of("s-2", "10.1.0.2:80", since_ms=1_700_000_000_000), index=41),
            told_list(
                line_of("s-2", "10.1.0.2:80", status="leaving"), line_of("s-1", status="left"), index=43, whole=False
            ),
            told_list(line_of("s-3", zone="hall-z"), index=44),
            None,
        ][len(at) - 1]

    async with StandIn(answer) as stand_in:
        discovery = Discovery(Metrics(), lambda one: news.append(fleet.apply(one)))
        discovery.watch_address(stand_in.address)
        await until(lambda: len(at) == 4)
        discovery.stop()
    assert [x[0][0].split()[1] for x in stand_in.got] == [
        b"/v1/servers",
        b"/v1/servers?from=41&hold_ms=1000",
        b"/v1/servers?from=43&hold_ms=1000",
        b"/v1/servers?from=44&hold_ms=1000",
    ]
    assert max(b - a for a, b in zip(at, at[1:], strict=False)) < 0.2
    told = [(n.complete, [(e.backend, e.zone, e.started_us, e.state.name) for e in n.endpoints]) for n in news]
    assert told == [
        (True, [(0, 1, 0, "READY"), (1, 1, 1_700_000_000_000_000, "READY")]),
        (False, [(1, 1, 0, "DRAINING"), (0, 1, 0, "GONE")]),
        (True, [(2, 2, 0, "READY")]),
    ]
    assert placed == {2: ("10.1.0.1", 7070)}
    assert fleet.indices.index_by_id == {"s-1": 0, "s-2": 1, "s-3": 2}
    fleet.release_unused()  # the module has dropped s-2, not s-1
    assert fleet.indices.index_by_id == {"s-1": 0, "s-3": 2} and list(fleet.address_by_name) == ["s-3"]


@on_loop
async def test_a_watch_that_falls_silent_is_made_anew_well_before_its_news_count_as_told():
    async def answer(request, writer):
        return told_list(line_of("s-1")) if b"hold_ms" not in request[0][0] else None

    async with StandIn(answer) as stand_in:
        discovery, start = Discovery(Metrics(), lambda news: None), time.monotonic()
        discovery.watch_address(stand_in.address)
        await until(lambda: stand_in.connections == 2 and len(stand_in.got) == 4)
        assert time.monotonic() - start < 3.0
        discovery.stop()


@pytest.mark.parametrize("order", [1, -1])
def test_an_address_under_a_new_id_takes_the_old_backend_away_whatever_comes_first(order):
    limits = BackendLimits(connect_timeout_us=1, idle_timeout_us=1)
    pools = Backends(Clock(), Metrics(), DescriptorBudget(9, 0), limits)
    fleet = EndpointTable(["hall-b"], pools, lambda backend: False)

    def news(*rows):
        return {
            e.backend: e.state.name
            for e in fleet.apply(
                read_endpoint_update({"index": 1, "snapshot": False, "endpoints": rows[::order]})
            ).endpoints
        }

    assert set(news(line_of("s-1"), line_of("s-2", "10.1.0.2:80")).values()) == {"READY"}
    old, before = fleet.indices.index_by_id["s-1"], pools.pools[fleet.indices.index_by_id["s-1"]]
    told = news(line_of("s-3", since_ms=5), line_of("s-1", status="leaving"))
    assert told == {old: "GONE", fleet.indices.index_by_id["s-3"]: "READY"}
    assert news(line_of("s-1", status="leaving"), line_of("s-4", status="left")) == {old: "GONE"}
    assert sorted(site.address for site in pools.pools.values()) == [("10.1.0.1", 7070), ("10.1.0.2", 80)]
    assert before not in pools.pools.values()
    fleet.release_unused()
    assert set(fleet.indices.index_by_id) == {"s-2", "s-3"} and old in fleet.indices.free_indices


@pytest.mark.parametrize(
    "bad",
    [
        b"",
        b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
        b"?\r\n\r\n",
        json_answer([]),
        json_answer({"index": 1}),
        total(b"{"),
        json_answer({"index": 1, "snapshot": True, "endpoints": 7}),
    ],
)
@on_loop
async def test_nonsense_or_silence_from_discovery_is_no_news(bad):
    news = []

    async def answer(request, writer):
        return [bad, told_list(line_of("s-1")), None][len(stand_in.got) - 1]

    async with StandIn(answer) as stand_in:
        discovery = Discovery(Metrics(), news.append)
        discovery.watch_address(stand_in.address)
        await until(lambda: len(stand_in.got) == 3)
        discovery.stop()
    assert [len(one.endpoints) for one in news] == [1]


@pytest.mark.parametrize(
    "bad",
    [
        {"name": "s-2"},
        7,
        line_of("s-2", "nowhere"),
        line_of("s-2", status="odd"),
        line_of("s-2", "h:70000"),
        line_of("s-2", "h:-1"),
        line_of("s-2", "a b:80"),
        line_of("s-2", group=float("inf")),
        line_of("s-2", since_ms=None),
    ],
)
def test_an_entry_that_cannot_be_used_is_left_out_and_takes_no_other_backend_away(bad):
    news = read_endpoint_update({"index": 4, "snapshot": True, "endpoints": [line_of("s-1", "[::1]:80"), bad]})
    assert [(entry.name, entry.address) for entry in news.endpoints] == [("s-1", ("::1", 80))]
    assert not news.complete and news.omitted


@on_loop
async def test_after_standing_still_news_is_read_before_any_rpc_is_sent_on():
    watch = asyncio.Event()

    async def tell(request, writer):
        if b"hold_ms" in request[0][0]:
            town.watcher = writer
            watch.set()
            return None
        return json_answer(town.list)

    town = GatewayUnderTest()
    town.discovery.answer = tell
    async with town, town.caller() as caller:
        await watch.wait()
        await until(lambda: len(town.program.clients.connections.open) == 1)
        caller.writer.write(rpc())
        news = {"index": 5, "snapshot": False, "endpoints": [entry("s-1", town.backend.text, "leaving")]}
        town.watcher.write(json_answer(news))
        time.sleep(0.3)  # noqa: ASYNC251 -- the process stands still, and the loop finds both at once
        assert (await caller.hear())[0] == 429 and not town.backend.got
        assert town.count("process stalled") == 1


@on_loop
async def test_an_rpc_of_a_new_life_waits_for_the_first_list_and_spares_what_drains_since():
    """Started with a list in which s-1 is ready; discovery knows that it drains, and says so 0.1 s later."""
    town = GatewayUnderTest()
    hold = asyncio.Event()
    tell = town.tell

    async def later(request, writer):
        await hold.wait()
        return await tell(request, writer)

    town.discovery.answer = later
    async with town, town.caller() as caller:
        town.list = {"index": 5, "snapshot": True, "endpoints": [entry("s-1", town.backend.text, "leaving")]}
        asking = asyncio.create_task(caller.ask(rpc()))
        await until(lambda: town.count("RPCs: waited for the first endpoint list") == 1)
        hold.set()
        status, _, _ = await asking
        assert status == 429 and town.backend.got == []


@pytest.mark.parametrize("answer", [None, b"", b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"])
@on_loop
async def test_a_discovery_that_is_down_holds_a_new_life_back_for_a_moment_only(answer):
    town = GatewayUnderTest()
    town.discovery.answer = answer
    async with town, town.caller() as caller:
        status, _, _ = await caller.ask(rpc())
        assert status == 200


@on_loop
async def test_a_backend_that_drains_while_it_is_dialled_gets_nothing(monkeypatch):
    dialled, up = asyncio.Event(), asyncio.Event()
    connect = Backends.connect

    async def slowly(self, site):
        dialled.set()
        await up.wait()
        return await connect(self, site)

    async with GatewayUnderTest() as town, town.caller() as caller:
        await until(town.program.discovery.first_response.is_set)
        monkeypatch.setattr(Backends, "connect", slowly)
        asking = asyncio.create_task(caller.ask(rpc()))
        await dialled.wait()
        town.program.update_endpoints(
            read_endpoint_update(
                {"index": 6, "snapshot": False, "endpoints": [entry("s-1", town.backend.text, "leaving")]}
            )
        )
        up.set()
        status, _, _ = await asking
        assert status == 429 and town.backend.got == []
        assert town.count("attempts: backend left meanwhile") == 1
