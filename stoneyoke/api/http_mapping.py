"""Maps HTTP requests to API calls of instances and operators, and results of calls to HTTP responses. No I/O."""

import json
import re
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

from stoneyoke.api.calls import (
    Acknowledged,
    ApiCall,
    ApiResult,
    Document,
    Heartbeat,
    Leave,
    ReadConfiguration,
    ReadStatus,
    Rejected,
    ReplaceConfiguration,
    Unavailable,
)
from stoneyoke.api.checks import address_error, at_least, not_empty, one_of
from stoneyoke.api.configuration import read_configuration, read_json
from stoneyoke.api.errors import InvalidField
from stoneyoke.api.schema import REQUIRED, Setting, Table, read_table

match_instance = re.compile(r"[!-.0-~]{1,200}").fullmatch  # visible characters without the slash

HEARTBEAT: Table = (
    Setting("address", str, REQUIRED, address_error),
    Setting(
        "details",
        (
            Setting("target_service", str, REQUIRED, not_empty),
            Setting("generation", str, ""),
            Setting("zone_name", str, ""),
            Setting("capacity", int, 1, at_least(0)),
        ),
    ),
    Setting(
        "observed",
        (
            Setting("phase", str, REQUIRED, one_of("ready", "draining")),
            Setting("call_seq", int, REQUIRED, at_least(0)),
            Setting("warmup_left_s", float, 0.0, at_least(0)),
        ),
    ),
)


class Endpoint(NamedTuple):
    """An HTTP method and path, and a function that reads the call from the path's instance (or "") and the body."""

    method: str
    path: re.Pattern[str]
    read: Callable[[str, bytes], ApiCall]


class HttpResponse(NamedTuple):
    """An HTTP response: its status and its JSON body."""

    status: HTTPStatus
    body: bytes


def read_heartbeat(instance: str, body: bytes) -> Heartbeat:
    """Parses an instance's heartbeat.

    Raises:
        InvalidField: The body is not a valid heartbeat.
    """
    settings = read_table(read_json(body), HEARTBEAT)
    details, observed = settings["details"], settings["observed"]
    return Heartbeat(
        instance=instance,
        address=settings["address"],
        service=details["target_service"],
        generation=details["generation"],
        zone=details["zone_name"],
        capacity=details["capacity"],
        draining=observed["phase"] == "draining",
        call_seq=observed["call_seq"],
        warmup_left_s=observed["warmup_left_s"],
    )


# The status is also served under /harbour, its path in earlier releases.
ENDPOINTS = (
    Endpoint("POST", re.compile(r"/instances/([^/]+)/heartbeat"), read_heartbeat),
    Endpoint("POST", re.compile(r"/instances/([^/]+)/leave"), lambda instance, _: Leave(instance)),
    Endpoint("POST", re.compile(r"/config/replace()"), lambda _, body: ReplaceConfiguration(read_configuration(body))),
    Endpoint("GET", re.compile(r"/config/read()"), lambda *_: ReadConfiguration()),
    Endpoint("GET", re.compile(r"/(?:status|harbour)()"), lambda *_: ReadStatus()),
)


def read_call(method: str, target: str, body: bytes) -> ApiCall | Rejected:
    """Returns the call that a request makes, or the reason why the request is rejected.

    Args:
        method: The HTTP method.
        target: The path, with or without a query. The query is ignored.
        body: The request's body.
    """
    path = target.partition("?")[0]
    is_known_path = False
    for endpoint in ENDPOINTS:
        if not (match := endpoint.path.fullmatch(path)):
            continue
        is_known_path = True
        if endpoint.method == method:
            return read_call_at(endpoint, match[1], body)
    if is_known_path:
        return Rejected(HTTPStatus.METHOD_NOT_ALLOWED, "method", f"{method[:20]} is not allowed on this path")
    return Rejected(HTTPStatus.NOT_FOUND, "path", f"no such call: {path[:80]}")


def read_call_at(endpoint: Endpoint, instance: str, body: bytes) -> ApiCall | Rejected:
    """Returns the call of an endpoint, or the reason why its instance or its body is rejected."""
    if instance and not match_instance(instance):
        reason = "an instance's id is not 1 to 200 visible ASCII characters"
        return Rejected(HTTPStatus.BAD_REQUEST, "path", reason)
    try:
        return endpoint.read(instance, body)
    except InvalidField as error:
        return Rejected(HTTPStatus.BAD_REQUEST, error.field, error.reason)


def to_http_response(result: ApiResult) -> HttpResponse:
    """Returns the HTTP response for the result of a call."""
    match result:
        case Acknowledged():
            return HttpResponse(HTTPStatus.OK, b"{}")
        case Document(body):
            return HttpResponse(HTTPStatus.OK, body)
        case Rejected(status, field, reason):
            return HttpResponse(status, json.dumps({"field": field, "error": reason}).encode())
        case Unavailable(reason):
            return HttpResponse(HTTPStatus.SERVICE_UNAVAILABLE, json.dumps({"error": reason}).encode())
