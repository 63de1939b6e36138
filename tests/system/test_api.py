"""The configuration and the API calls: which are accepted, and which field the rejection of others names."""

import copy
import json
from collections.abc import Callable, Iterator
from http import HTTPStatus
from typing import Any

from configurations import EXAMPLE, example, route
from ward import each, test

from stoneyoke.api.calls import Heartbeat, Leave, ReadConfiguration, Rejected, ReplaceConfiguration
from stoneyoke.api.configuration import Version, read_configuration, weighted_targets
from stoneyoke.api.errors import InvalidField
from stoneyoke.api.http_mapping import read_call
from stoneyoke.gateway.routes import build_routing_table

JsonPath = tuple[str | int, ...]
HEARTBEAT_PATH = "/instances/i-1/heartbeat"
HEARTBEAT: dict[str, Any] = {
    "address": "10.0.0.9:8080",
    "details": {"target_service": "tide", "generation": "v1", "zone_name": "east", "capacity": 2},
    "observed": {"phase": "ready", "call_seq": 4, "warmup_left_s": 0},
}
CONFIGURATION_MUTATIONS = (None, -1, 0, "", "x y", [], {}, 1e308, [[]], True, "é" * 10, 10**40)
HEARTBEAT_MUTATIONS = (None, -1, "", [], {}, "10.0.0.9", "10.0.0.999:1", True, 1e400)

# The fault, the change that introduces it, and the field that the rejection names.
INVALID: list[tuple[str, Callable[[dict[str, Any]], object], str]] = [
    (
        "an unknown service",
        lambda c: route(c, 1).update(target_service="nowhere"),
        "host_map[1].path_map[0].target_service",
    ),
    (
        "an unknown service among weighted ones",
        lambda c: route(c)["weighted"][1].update(target_service="x"),
        "host_map[0].path_map[0].weighted[1].target_service",
    ),
    (
        "two routes with one prefix",
        lambda c: route(c, 0, 1).update(path_prefix="/a/"),
        "host_map[0].path_map[1].path_prefix",
    ),
    (
        "one route in two entries of a host",
        lambda c: c["host_map"].append(dict(c["host_map"][1], hostname="TWO.example")),
        "host_map[2].path_map[0].path_prefix",
    ),
    (
        "weights that add up to 0",
        lambda c: [part.update(share=0) for part in route(c)["weighted"]],
        "host_map[0].path_map[0].weighted",
    ),
    ("a time-out of 0", lambda c: route(c).update(timeout_s=0), "host_map[0].path_map[0].timeout_s"),
    ("no tries", lambda c: route(c).update(max_tries=0), "host_map[0].path_map[0].max_tries"),
    ("a shared key", lambda c: c["tenant_list"][1].update(api_keys=["key-a"]), "tenant_list[1].api_keys[0]"),
    ("a shared label", lambda c: c["tenant_list"][1].update(label="anna"), "tenant_list[0].api_keys[0]"),
    (
        "a negative weight",
        lambda c: route(c)["weighted"][0].update(share=-1),
        "host_map[0].path_map[0].weighted[0].share",
    ),
    (
        "both a service and weighted ones",
        lambda c: route(c).update(target_service="tide"),
        "host_map[0].path_map[0].target_service",
    ),
    ("a bool for a number", lambda c: route(c).update(max_tries=True), "host_map[0].path_map[0].max_tries"),
    ("NaN for a number", lambda c: c["limits"].update(idle_timeout_s=float("nan")), "body"),
    ("a version without its r", lambda c: c.update(generation="7"), "generation"),
    ("version 0", lambda c: c.update(generation="r0"), "generation"),
    (
        "a prefix without its slash",
        lambda c: route(c).update(path_prefix="/a"),
        "host_map[0].path_map[0].path_prefix",
    ),
    ("an unknown kind", lambda c: route(c).update(route_kind="maybe"), "host_map[0].path_map[0].route_kind"),
]
EACH_FAULT = each(*[fault for fault, _, _ in INVALID])
EACH_CHANGE = each(*[change for _, change, _ in INVALID])
EACH_FIELD = each(*[field for _, _, field in INVALID])


@test("a configuration with {fault} is rejected with a 400 that names the field")
def _(
    fault: str = EACH_FAULT,
    change: Callable[[dict[str, Any]], object] = EACH_CHANGE,
    field: str = EACH_FIELD,
) -> None:
    result = read_call("POST", "/config/replace", example(change=change))
    assert isinstance(result, Rejected), fault
    assert result.status == HTTPStatus.BAD_REQUEST
    assert result.field == field


@test("a truncated configuration is rejected")
def _() -> None:
    body = example()
    for end in range(0, len(body), 7):
        assert isinstance(read_call("POST", "/config/replace", body[:end]), Rejected)


def json_paths(value: Any, path: JsonPath = ()) -> Iterator[JsonPath]:
    """Yields the path of every value nested in a JSON value."""
    keys = value if isinstance(value, dict) else range(len(value)) if isinstance(value, list) else ()
    for key in keys:
        yield (*path, key)
        yield from json_paths(value[key], (*path, key))


def mutated(original: dict[str, Any], path: JsonPath, value: Any) -> bytes:
    """Returns the JSON text of an object with one value replaced."""
    changed = copy.deepcopy(original)
    parent: Any = changed
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    return json.dumps(changed).encode()


@test("a configuration with one mutated value is either valid and usable, or rejected with InvalidField")
def _() -> None:
    accepted = 0
    for path in json_paths(EXAMPLE):
        for value in CONFIGURATION_MUTATIONS:
            try:
                configuration = read_configuration(mutated(EXAMPLE, path, value))
            except InvalidField as error:
                assert error.field and error.reason
                continue
            accepted += 1
            for _, one in configuration.routes():
                assert all(target.service in configuration.services for target in weighted_targets(one))
            build_routing_table(configuration)
    assert accepted > 20  # some mutations are valid: an optional value may be null


@test("the longest path prefix wins, hosts match in any case, and each API key maps to its tenant")
def _() -> None:
    table = build_routing_table(read_configuration(example()))
    assert table.find_route("one.example", "/a/b/c").label == "r-2"
    assert table.find_route("one.example", "/a/bc").label == "r-1"
    assert table.find_route("one.example", "/b") is None
    assert table.find_route("three.example", "/a/") is None
    assert table.find_route("two.example", "/anything").is_public
    assert table.tenants_by_key["key-b"].label == "anna"
    assert "key-x" not in table.tenants_by_key


@test("the services of a route are selected in proportion to their shares")
def _() -> None:
    found = build_routing_table(read_configuration(example())).find_route("one.example", "/a/")
    drawn = [found.choose_service(at / 1000) for at in range(1000)]
    assert drawn.count("tide") == 900
    assert drawn.count("quay") == 100


@test("versions are ordered by number and then by digest, so two texts with one number are ordered too")
def _() -> None:
    one = read_configuration(example(7)).version
    other = read_configuration(example(7, lambda c: c.update(limits=None))).version
    assert one != other
    assert Version(6, b"z") < min(one, other)
    assert read_configuration(example(8)).version > max(one, other)


@test("calls are identified by their method and path")
def _() -> None:
    heartbeat = read_call("POST", HEARTBEAT_PATH, json.dumps(HEARTBEAT).encode())
    assert heartbeat == Heartbeat(
        instance="i-1",
        address="10.0.0.9:8080",
        service="tide",
        generation="v1",
        zone="east",
        capacity=2,
        draining=False,
        call_seq=4,
        warmup_left_s=0.0,
    )
    assert read_call("POST", "/instances/i-1/leave", b"") == Leave("i-1")
    assert read_call("GET", "/config/read?x=1", b"") == ReadConfiguration()
    assert isinstance(read_call("POST", "/config/replace", example()), ReplaceConfiguration)


@test("a known path with another method is rejected with 405, an unknown one with 404")
def _() -> None:
    wrong_method = read_call("GET", "/config/replace", b"")
    assert isinstance(wrong_method, Rejected)
    assert wrong_method.status == HTTPStatus.METHOD_NOT_ALLOWED
    unknown_path = read_call("GET", "/x", b"")
    assert isinstance(unknown_path, Rejected)
    assert unknown_path.status == HTTPStatus.NOT_FOUND


EACH_HEARTBEAT_PATH = each(*json_paths(HEARTBEAT))


@test("a heartbeat with {path} mutated is rejected or read, and raises no other error")
def _(path: JsonPath = EACH_HEARTBEAT_PATH) -> None:
    for value in HEARTBEAT_MUTATIONS:
        result = read_call("POST", HEARTBEAT_PATH, mutated(HEARTBEAT, path, value))
        assert isinstance(result, Heartbeat | Rejected)
