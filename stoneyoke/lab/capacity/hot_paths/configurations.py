"""Hot paths of configurations: reading, compression, the routing table and look-ups in it."""

import zlib

from stoneyoke.api.configuration import Configuration, Version, read_configuration, read_json
from stoneyoke.api.configuration_schema import CONFIGURATION
from stoneyoke.api.schema import read_table
from stoneyoke.gateway.routes import RoutingTable, build_routing_table
from stoneyoke.lab.capacity.figures import Figure
from stoneyoke.lab.capacity.meters import cpu_seconds, cpu_seconds_once, measure_heap, megabytes, sample_indexes
from stoneyoke.lab.capacity.workloads import configuration

LOOK_UPS = 200  # number of look-ups that are timed together


def configuration_by_routes(size: int) -> list[Figure]:
    """Measures a configuration with this number of routes: its text, reading, the routing table and look-ups."""
    body = configuration(routes=size)
    deflated = zlib.compress(body, 6)
    parsed = read_configuration(body)
    table = build_routing_table(parsed)
    return [
        Figure("text", "B", len(body)),
        Figure("deflated", "B", len(deflated)),
        Figure("deflate once", "s", cpu_seconds(lambda: zlib.compress(body, 6))),
        Figure("inflate", "s", cpu_seconds(lambda: zlib.decompress(deflated))),
        Figure("read and check", "s", cpu_seconds(lambda: read_configuration(body))),
        Figure("make the table", "s", cpu_seconds(lambda: build_routing_table(parsed))),
        Figure("one look-up, 20 routes a host", "s", look_up_s(table, parsed)),
        *configuration_heap(body),
    ]


def configuration_heap(body: bytes) -> list[Figure]:
    """Measures the memory of a configuration: its text and parsed content at a controller, the table at a gateway."""
    parsed, parsed_heap = measure_heap(lambda: read_configuration(body))
    _, table_heap = measure_heap(lambda: build_routing_table(parsed))
    return [
        Figure("chart held", "MB", megabytes(parsed_heap.retained)),
        Figure("reading at the peak", "MB", megabytes(parsed_heap.peak)),
        Figure("table held", "MB", megabytes(table_heap.retained)),
    ]


def look_up_s(table: RoutingTable, parsed: Configuration) -> float:
    """Returns the processor time of one look-up, averaged over requests for randomly drawn routes."""
    routes = list(parsed.routes())
    requests = [
        (routes[index][0], routes[index][1]["path_prefix"] + "x") for index in sample_indexes(len(routes), LOOK_UPS)
    ]

    def find_all() -> None:
        for host, path in requests:
            table.find_route(host, path)

    return cpu_seconds(find_all) / len(requests)


def look_up_by_host_routes(size: int) -> list[Figure]:
    """Measures look-ups with all routes on one host, which is the worst case of a host_map."""
    parsed = read_configuration(configuration(routes=size, routes_per_host=size))
    return [Figure("one look-up, all routes on one host", "s", look_up_s(build_routing_table(parsed), parsed))]


def configuration_by_tenants(size: int) -> list[Figure]:
    """Measures a configuration with this number of tenants, without the check of their keys (see check_keys)."""
    body = configuration(tenants=size)
    deflated = zlib.compress(body, 6)

    def parse() -> Configuration:
        fields = read_table(read_json(body), CONFIGURATION)
        services = {one["label"]: one for one in fields["service_list"]}
        return Configuration(
            version=Version(1),
            body=body,
            services=services,
            limits=fields["limits"],
            tenants=fields["tenant_list"],
            hosts=fields["host_map"],
        )

    parsed, parse_s = cpu_seconds_once(parse)
    table_s = cpu_seconds_once(lambda: build_routing_table(parsed))[1]
    del parsed
    parsed, parsed_heap = measure_heap(parse)
    table, table_heap = measure_heap(lambda: build_routing_table(parsed))
    assert table.tenants_by_key is not None
    return [
        Figure("text", "B", len(body)),
        Figure("deflated", "B", len(deflated)),
        Figure("parse, keys not checked", "s", parse_s),
        Figure("make the table", "s", table_s),
        Figure("chart held", "MB", megabytes(parsed_heap.retained)),
        Figure("parsing at the peak", "MB", megabytes(parsed_heap.peak)),
        Figure("keys and tenants held", "MB", megabytes(table_heap.retained)),
    ]


def check_keys(size: int) -> list[Figure]:
    """Measures reading a configuration, with the check that no two tenants share a key or a label."""
    body = configuration(tenants=size)
    return [Figure("read and check", "s", cpu_seconds_once(lambda: read_configuration(body))[1])]
