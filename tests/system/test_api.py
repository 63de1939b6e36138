import copy
import json

from configurations import EXAMPLE, example, route
from ward import each, test

from stoneyoke.api.calls import Heartbeat, Leave, ReadConfiguration, Rejected, ReplaceConfiguration, ask
from stoneyoke.api.configuration import Version, read_configuration, targets
from stoneyoke.api.schema import InvalidField
from stoneyoke.gateway.routes import table_of

INVALID = {
    "an unknown service": (
        lambda c: route(c, 1).update(target_service="nowhere"),
        "host_map[1].path_map[0].target_service",
    ),
    "an unknown service in parts": (
        lambda c: route(c)["weighted"][1].update(target_service="x"),
        "host_map[0].path_map[0].weighted[1].target_service",
    ),
    "two routes at one place": (
        lambda c: route(c, 0, 1).update(path_prefix="/a/"),
        "host_map[0].path_map[1].path_prefix",
    ),
    "one place over two entries": (
        lambda c: c["host_map"].append(dict(c["host_map"][1], hostname="TWO.example")),
        "host_map[2].path_map[0].path_prefix",
    ),
    "weights of nothing": (
        lambda c: [part.update(share=0) for part in route(c)["weighted"]],
        "host_map[0].path_map[0].weighted",
    ),
    "a time-out of 0": (lambda c: route(c).update(timeout_s=0), "host_map[0].path_map[0].timeout_s"),
    "no tries": (lambda c: route(c).update(max_tries=0), "host_map[0].path_map[0].max_tries"),
    "a shared key": (lambda c: c["tenant_list"][1].update(api_keys=["key-a"]), "tenant_list[1].api_keys[0]"),
    "a shared label": (lambda c: c["tenant_list"][1].update(label="anna"), "tenant_list[0].api_keys[0]"),
    "a negative weight": (
        lambda c: route(c)["weighted"][0].update(share=-1),
        "host_map[0].path_map[0].weighted[0].share",
    ),
    "both ways to a service": (
        lambda c: route(c).update(target_service="tide"),
        "host_map[0].path_map[0].target_service",
    ),
    "a truth for a number": (lambda c: route(c).update(max_tries=True), "host_map[0].path_map[0].max_tries"),
    "a number that is none": (lambda c: c["limits"].update(idle_timeout_s=float("nan")), "body"),
    "a version without a number": (lambda c: c.update(generation="7"), "generation"),
    "a prefix without its slash": (lambda c: route(c).update(path_prefix="/a"), "host_map[0].path_map[0].path_prefix"),
    "an unknown kind": (lambda c: route(c).update(route_kind="maybe"), "host_map[0].path_map[0].route_kind"),
}


for name, (change, path) in INVALID.items():

    @test(f"a configuration with {name} is refused with a 400 that names the field")
    def _(change=change, path=path):
        given = ask("POST", "/config/replace", example(change=change))
        assert isinstance(given, Rejected) and given.status == 400
        assert given.path == path


@test("a configuration cut short anywhere is refused")
def _():
    body = example()
    for end in range(0, len(body), 7):
        assert isinstance(ask("POST", "/config/replace", body[:end]), Rejected)


def places(value, path=()):
    """Every place in a JSON value, with how to reach it."""
    yield path
    for key in value if isinstance(value, dict) else range(len(value)) if isinstance(value, list) else ():
        yield from places(value[key], (*path, key))


@test("no mutation of one value of a configuration is half taken or ends in another error")
def _():
    taken = 0
    for path in [path for path in places(EXAMPLE) if path]:
        for wrong in (None, -1, 0, "", "x y", [], {}, 1e308, [[]], True, "é" * 10, 10**40):
            given = copy.deepcopy(EXAMPLE)
            spot = given
            for key in path[:-1]:
                spot = spot[key]
            spot[path[-1]] = wrong
            try:
                chart = read_configuration(json.dumps(given).encode())
            except InvalidField as bad:
                assert bad.path and bad.why
                continue
            taken += 1
            assert all(service in chart.services for _, one in chart.routes() for service, _ in targets(one))
            table_of(chart)
    assert taken > 20  # what may be left out may be null


@test("the longest prefix wins, hosts in any case, keys name their tenant")
def _():
    table = table_of(read_configuration(example()))
    assert table.find("one.example", "/a/b/c").label == "r-2"
    assert table.find("one.example", "/a/bc").label == "r-1"
    assert table.find("one.example", "/b") is None and table.find("three.example", "/a/") is None
    assert table.find("two.example", "/anything").public
    assert table.keys["key-b"].label == "anna" and "key-x" not in table.keys


@test("parts of a route draw by their shares")
def _():
    parts = table_of(read_configuration(example())).find("one.example", "/a/")
    drawn = [parts.service(at / 1000) for at in range(1000)]
    assert drawn.count("tide") == 900 and drawn.count("quay") == 100


@test("a higher number wins, then the digest: two texts under one number end as one")
def _():
    one, other = (
        read_configuration(example(7)).version,
        read_configuration(example(7, lambda c: c.update(limits=None))).version,
    )
    assert (
        Version(6, b"z") < min(one, other) and one != other and read_configuration(example(8)).version > max(one, other)
    )


BEAT = {
    "address": "10.0.0.9:8080",
    "details": {"target_service": "tide", "generation": "v1", "zone_name": "east", "capacity": 2},
    "observed": {"phase": "ready", "call_seq": 4, "warmup_left_s": 0},
}


@test("calls are told apart by method and path")
def _():
    beat = ask("POST", "/instances/i-1/heartbeat", json.dumps(BEAT).encode())
    assert isinstance(beat, Heartbeat) and beat.instance == "i-1" and beat.call_seq == 4 and not beat.draining
    assert ask("POST", "/instances/i-1/leave", b"") == Leave("i-1")
    assert ask("GET", "/config/read?x=1", b"") == ReadConfiguration()
    assert isinstance(ask("POST", "/config/replace", example()), ReplaceConfiguration)
    assert ask("GET", "/config/replace", b"").status == 405 and ask("GET", "/x", b"").status == 404


SPOTS = each(*[path for path in places(BEAT) if path])


@test("a beat with {path} mutated is refused or read, never an error of another kind")
def _(path=SPOTS):
    for wrong in (None, -1, "", [], {}, "10.0.0.9", "10.0.0.999:1", True, 1e400):
        given = copy.deepcopy(BEAT)
        spot = given
        for key in path[:-1]:
            spot = spot[key]
        spot[path[-1]] = wrong
        assert isinstance(ask("POST", "/instances/i-1/heartbeat", json.dumps(given).encode()), Heartbeat | Rejected)
