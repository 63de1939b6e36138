"""Hot paths apart: each the real code on state of one size, without a network. Figures are of one process."""

import asyncio
import random
import time
import zlib
from collections.abc import Callable
from types import GenericAlias
from typing import Any, get_args, get_origin

from stoneyoke.api.calls import Heartbeat
from stoneyoke.api.configuration import Configuration, Version, read_configuration, read_json
from stoneyoke.api.configuration_schema import CONFIGURATION
from stoneyoke.api.http_mapping import read_call
from stoneyoke.api.schema import read_table
from stoneyoke.controlplane.instance_registry import InstanceRecord, InstanceRegistry, Phase, row_from_heartbeat
from stoneyoke.gateway.admission import Admission
from stoneyoke.gateway.instance_directory import InstanceDirectory
from stoneyoke.gateway.routes import Table, Tenant, table_of
from stoneyoke.gateway.upstreams import Upstreams
from stoneyoke.lab.capacity.figures import Figure
from stoneyoke.lab.capacity.meters import heap, processor_once_s, processor_s
from stoneyoke.lab.capacity.workloads import BOUNDS, configuration, heartbeat, instance_name, row
from stoneyoke.limits.local_quota import LocalQuota, take_demands
from stoneyoke.limits.quota_allocator import QuotaAllocator
from stoneyoke.limits.token_bucket import SECOND
from stoneyoke.net.backends import BackendLimits, Backends
from stoneyoke.net.descriptor_budget import DescriptorBudget
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.metrics import Metrics
from stoneyoke.transport.messages import (
    BallotRow,
    FetchRequest,
    FetchResponse,
    InstanceRow,
    MemberRow,
    Message,
    PullResponse,
    QuotaDemand,
    QuotaRequest,
    QuotaResponse,
    ValueRow,
    VersionRow,
    pack,
    unpack,
)
from stoneyoke.transport.peer_client import PeerClient
from stoneyoke.transport.peer_server import PeerServer

BEAT_S = 1.5
CONTROLLERS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
TENANTS_A_DRAW = 100  # 1.7 M requests a second over 3,800 gateways are 112 in a quarter second
LOOK_UPS = 200
CALLS = 200
PORT_ANY = 0


def megabytes(count: int) -> float:
    return count / 1e6


def sample(count: int, most: int) -> list[int]:
    return random.Random(3).sample(range(count), min(count, most))


# ---- configuration ----


def configuration_by_routes(size: int) -> list[Figure]:
    """A whole configuration of so many routes: on the wire, read and checked, made a table, looked up in."""
    body = configuration(routes=size)
    deflated = zlib.compress(body, 6)
    chart = read_configuration(body)
    table = table_of(chart)
    return [
        Figure("text", "B", len(body)),
        Figure("deflated", "B", len(deflated)),
        Figure("deflate once", "s", processor_s(lambda: zlib.compress(body, 6))),
        Figure("inflate", "s", processor_s(lambda: zlib.decompress(deflated))),
        Figure("read and check", "s", processor_s(lambda: read_configuration(body))),
        Figure("make the table", "s", processor_s(lambda: table_of(chart))),
        Figure("one look-up, 20 routes a host", "s", look_up_s(table, chart)),
        *configuration_heap(body),
    ]


def configuration_heap(body: bytes) -> list[Figure]:
    """What a process holds of it: a controller the text and the chart, a gateway the table."""
    chart, of_chart = heap(lambda: read_configuration(body))
    _, of_table = heap(lambda: table_of(chart))
    return [
        Figure("chart held", "MB", megabytes(of_chart.held)),
        Figure("reading at the peak", "MB", megabytes(of_chart.peak)),
        Figure("table held", "MB", megabytes(of_table.held)),
    ]


def look_up_s(table: Table, chart: Configuration) -> float:
    """Processor time of one find(), over requests for routes drawn by chance."""
    routes = list(chart.routes())
    asked = [(routes[at][0], routes[at][1]["path_prefix"] + "x") for at in sample(len(routes), LOOK_UPS)]

    def find_all() -> None:
        for host, path in asked:
            table.find(host, path)

    return processor_s(find_all) / len(asked)


def look_up_by_host_routes(size: int) -> list[Figure]:
    """All routes on one host: the worst that an operator's host_map can hold."""
    chart = read_configuration(configuration(routes=size, routes_per_host=size))
    return [Figure("one look-up, all routes on one host", "s", look_up_s(table_of(chart), chart))]


def configuration_by_tenants(size: int) -> list[Figure]:
    """Keys of so many tenants, without the check that no two tenants share one (see check_keys)."""
    body = configuration(tenants=size)
    deflated = zlib.compress(body, 6)

    def parse() -> Configuration:
        given = read_table(read_json(body), CONFIGURATION)
        services = {one["label"]: one for one in given["service_list"]}
        return Configuration(
            version=Version(1),
            body=body,
            services=services,
            limits=given["limits"],
            tenants=given["tenant_list"],
            hosts=given["host_map"],
        )

    chart, parse_s = processor_once_s(parse)
    table_s = processor_once_s(lambda: table_of(chart))[1]
    del chart
    chart, of_chart = heap(parse)
    table, of_table = heap(lambda: table_of(chart))
    assert table.keys is not None
    return [
        Figure("text", "B", len(body)),
        Figure("deflated", "B", len(deflated)),
        Figure("parse, keys not checked", "s", parse_s),
        Figure("make the table", "s", table_s),
        Figure("chart held", "MB", megabytes(of_chart.held)),
        Figure("parsing at the peak", "MB", megabytes(of_chart.peak)),
        Figure("keys and tenants held", "MB", megabytes(of_table.held)),
    ]


def check_keys(size: int) -> list[Figure]:
    """The whole reading, with the check that no two tenants share a key or a label."""
    body = configuration(tenants=size)
    return [Figure("read and check", "s", processor_once_s(lambda: read_configuration(body))[1])]


# ---- backends at a controller ----


def filled_registry(size: int) -> InstanceRegistry:
    """With ready records put in directly: hear() looks through all records for each new one (see first_beats)."""
    registry = InstanceRegistry(2.4 * BEAT_S + 0.5)
    for at in range(size):
        registry.records[instance_name(at)] = InstanceRecord(row(at), 0.0, 0.0, at + 1)
    registry.seq = size
    return registry


def empty(kind: Any) -> Any:
    """The value of a message's field that says nothing."""
    if isinstance(kind, GenericAlias):
        return [] if get_origin(kind) is list else tuple(empty(part) for part in get_args(kind))
    return kind()


def pull_response(registry: InstanceRegistry, rows: list[InstanceRow], whole: bool) -> PullResponse:
    """What a controller tells of backends; all that it tells besides is empty."""
    no_ballot = BallotRow(0, "")
    no_version = VersionRow(0, b"")
    return PullResponse(
        incarnation="life",
        seq=registry.seq,
        complete=whole,
        instances=list(rows),
        replica=MemberRow("", ""),
        view_ballot=no_ballot,
        view=ValueRow(0, [], [], no_version, b""),
        chosen_ballot=no_ballot,
        version=no_version,
        instances_synced=True,
        lease_holder="",
        leaving=False,
        zone="",
        membership_version=1,
        controllers=[],
        gateways=[],
    )


def heard(beat: object) -> InstanceRow:
    assert isinstance(beat, Heartbeat)
    return row_from_heartbeat(beat)


def beats(size: int) -> list[Figure]:
    """A controller that knows so many backends, all of which beat again; one change, one drain, a sweep."""
    registry, of_registry = heap(lambda: filled_registry(size))
    seq = 1

    def all_beat() -> None:
        nonlocal seq
        seq += 1
        for at in range(size):
            registry.merge(row(at, seq), 1.0)

    calls = [(f"/instances/{instance_name(at)}/heartbeat", heartbeat(at, 9)) for at in sample(size, CALLS)]

    def read_calls() -> None:
        for target, body in calls:
            heard(read_call("POST", target, body))

    registry.merge(row(0, 10**6, Phase.DRAINING), 1.0)
    news = registry.changes_since(registry.seq - 1, 1.0)
    whole = pull_response(registry, registry.changes_since(0, 1.0), True)
    of_rows = processor_s(lambda: [row(at, 1) for at in range(size)])
    return [
        Figure("registry held", "MB", megabytes(of_registry.held)),
        Figure("read one beat's call", "s", processor_s(read_calls) / len(calls)),
        Figure("all beat once, calls read already", "s", max(1e-9, processor_s(all_beat) - of_rows)),
        Figure("sweep", "s", processor_s(lambda: registry.sweep(1.0))),
        Figure(
            "one pull after one change: since()",
            "s",
            processor_s(lambda: registry.changes_since(registry.seq - 1, 1.0)),
        ),
        Figure("one pull after one drain", "B", len(pack(1, pull_response(registry, news, False)))),
        Figure("a first pull: pack", "s", processor_s(lambda: pack(1, whole))),
        Figure("a first pull", "B", len(pack(1, whole))),
    ]


def first_beats(size: int) -> list[Figure]:
    """So many backends that beat for the first time."""
    registry, rows = InstanceRegistry(2.4 * BEAT_S + 0.5), [row(at) for at in range(size)]

    def hear_all() -> None:
        for one in rows:
            registry.merge(one, 0.0)

    return [Figure("all beat for the first time", "s", processor_once_s(hear_all)[1])]


# ---- backends at a gateway ----


def directory_with(rows: list[InstanceRow]) -> InstanceDirectory:
    directory = InstanceDirectory(CONTROLLERS)
    registry = InstanceRegistry(1.0)
    for name in CONTROLLERS:
        directory.hear(name, pull_response(registry, rows, True), 0.0)
    return directory


def directory(size: int) -> list[Figure]:
    """A gateway that hears of so many backends from three controllers."""
    registry = InstanceRegistry(1.0)
    frame = pack(1, pull_response(registry, [row(at) for at in range(size)], True))[4:]

    def first_pulls() -> InstanceDirectory:
        known = InstanceDirectory(CONTROLLERS)
        for name in CONTROLLERS:
            told = unpack(frame)[1]
            assert isinstance(told, PullResponse)
            known.hear(name, told, 0.0)
        return known

    _, first_s = processor_once_s(first_pulls)
    known, of_directory = heap(first_pulls)
    seq = 1

    def one_change() -> None:
        nonlocal seq
        seq += 1
        known.hear(CONTROLLERS[0], pull_response(registry, [row(0, seq)], False), 0.5)

    one_change()  # frees the first answer, which is not what a change costs
    return [
        Figure("first pulls from three controllers", "s", first_s),
        Figure("directory held", "MB", megabytes(of_directory.held)),
        Figure("first pulls at the peak", "MB", megabytes(of_directory.peak)),
        Figure("one change merged", "s", processor_s(one_change)),
        Figure("sweep, four a second", "s", processor_s(lambda: known.sweep(0.6))),
    ]


def upstreams(size: int) -> list[Figure]:
    """A gateway that tells its modules of decisions of so many backends: at first, and after one of them drains."""

    async def renewals() -> list[Figure]:  # the modules set timers
        known, clock, metrics = directory_with([row(at) for at in range(size)]), Clock(), Metrics()

        def make() -> Upstreams:
            limits = BackendLimits(connect_timeout_us=300_000, idle_timeout_us=4_000_000)
            backends = Backends(clock, metrics, DescriptorBudget(1000, 100), limits)
            return Upstreams(clock, metrics, backends, known, (), "zone-00", 5, BOUNDS)

        def renewed_elsewhere() -> Upstreams:
            other = make()
            other.renew()
            return other

        made = make()
        (_, first_s), of_again = processor_once_s(made.renew), heap(renewed_elsewhere)[1]
        drained = pull_response(InstanceRegistry(1.0), [row(0, 2, Phase.DRAINING)], False)
        known.hear(CONTROLLERS[0], drained, 0.5)
        _, again_s = processor_once_s(made.renew)
        return [
            Figure("first renewal", "s", first_s),
            Figure("renewal after one drain", "s", again_s),
            Figure("modules of decisions held", "MB", megabytes(of_again.held)),
        ]

    return asyncio.run(renewals())


# ---- quotas ----


def allocator(size: int) -> list[Figure]:
    """The one process that hands out the units of so many tenants: one gateway's draw, four of which come a second."""
    plans = [{"label": f"tenant-{at:07d}", "rate_per_s": 33.0, "burst_size": 33.0} for at in range(size)]
    wants = [QuotaDemand(f"tenant-{at:07d}", 2.0, 2.0, 0.0, 0.0) for at in sample(size, TENANTS_A_DRAW)]

    def make() -> QuotaAllocator:
        made = QuotaAllocator(BOUNDS, 0.0)
        made.set_tenants(plans)
        return made

    request = QuotaRequest(
        name="gateway-0001", incarnation="0123456789ab", since_answer_ms=250, complete=False, demands=wants
    )
    quotas, of_quotas = heap(make)
    now = 0.0

    def draw() -> None:
        nonlocal now
        now += 0.25
        quotas.allocate(request, now)

    def quick_draw() -> None:
        nonlocal now
        now += 0.00001
        quotas.allocate(request, now)

    drawn = quotas.allocate(request, now)
    answered = QuotaResponse(ok=True, grants=drawn)
    return [
        Figure("stores held", "MB", megabytes(of_quotas.held)),
        Figure("one draw of 100 tenants, both ways", "B", len(pack(1, request) + pack(1, answered))),
        Figure("one draw of 100 tenants, 0.25 s after the last", "s", processor_s(draw)),
        Figure("one draw of 100 tenants, right after another", "s", processor_s(quick_draw)),
    ]


def local_quota(size: int) -> list[Figure]:
    """A gateway through which so many tenants' requests have come."""
    admission = Admission(5, 0, BOUNDS)
    tenants = [Tenant(f"tenant-{at:07d}", 1, 33.0, 33.0) for at in range(size)]

    def first() -> None:
        for one in tenants:
            admission.call(one, 2 * SECOND)

    (_, first_s), later = processor_once_s(first), [tenants[at] for at in sample(size, CALLS)]

    def decide() -> None:
        for one in later:
            arrival = admission.call(one, 2 * SECOND)
            admission.knock(arrival, admission.local_quotas[one.label], SECOND)

    quotas, of_quotas = heap(lambda: {f"tenant-{at:07d}": LocalQuota() for at in range(size)})
    return [
        Figure("first request of each tenant", "s", first_s),
        Figure("one decision", "s", processor_s(decide) / len(later)),
        Figure("wants of a quiet round", "s", processor_s(lambda: take_demands(quotas, {}, 0.0, False, 1.0))),
        Figure("local quotas held", "MB", megabytes(of_quotas.held)),
    ]


# ---- the wire ----


def socket_call(size: int) -> list[Figure]:
    """One call with an answer of so many bytes over loopback: processor time of both ends, sockets and loop counted."""
    body = random.Random(1).randbytes(size)

    async def answer(message: Message) -> Message | None:
        return FetchResponse(version=VersionRow(1, b"x"), body=body) if isinstance(message, FetchRequest) else None

    async def calls() -> float:
        server = PeerServer(answer)
        await server.open(("127.0.0.1", PORT_ANY))
        client = PeerClient(server.bound_address())
        await client.call(FetchRequest(), 5.0)
        done = await measured_calls(client)
        server.close()
        return done

    return [Figure("one call, both ends", "s", asyncio.run(calls()))]


async def measured_calls(client: PeerClient) -> float:
    """Processor time of one call, the best of three rounds."""

    async def once() -> float:
        start = time.process_time()
        for _ in range(CALLS):
            await client.call(FetchRequest(), 5.0)
        return (time.process_time() - start) / CALLS

    return min([await once() for _ in range(3)])


PATHS: dict[str, Callable[[int], list[Figure]]] = {
    "configuration by routes": configuration_by_routes,
    "look-up on one host": look_up_by_host_routes,
    "configuration by tenants": configuration_by_tenants,
    "configuration's key check": check_keys,
    "controller's registry": beats,
    "controller's first beats": first_beats,
    "gateway's directory": directory,
    "gateway's upstreams": upstreams,
    "quota allocator": allocator,
    "gateway's local quotas": local_quota,
    "socket call": socket_call,
}
