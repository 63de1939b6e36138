"""Single HTTP requests of the cluster's client, backends and operator, and the configuration that all of them use."""

import asyncio

from stoneyoke.net.errors import MalformedMessage
from stoneyoke.net.message_reader import Message, MessageReader

HOSTNAME = "meter.example"
TENANT = "bureau"
API_KEY = "bureau-key"
SERVICES = ("tide-view", "switch-yard")
READ_PATH, NON_IDEMPOTENT_PATH, SECOND_READ_PATH = "/usage/", "/switch/", "/later/"
LONG_READ_PATH, LONG_ORDER_PATH = "/long-usage/", "/long-switch/"
ROUTE_TIMEOUT_S = 2
LONG_TIMEOUT_S = 12  # of the two routes for requests that outlast a grace period
MAX_RESPONSE_BYTES = 1 << 24

OK = 200
MISDIRECTED = 421
# A request that is rejected with one of these statuses must not have run at a backend.
REJECTION_STATUSES = (408, MISDIRECTED, 429, 503)


async def send_request(
    address: tuple[str, int], head: bytes, body: bytes = b"", timeout_s: float = 3.0
) -> Message | None:
    """Sends one request over a new connection.

    Args:
        address: Host and port.
        head: The request line and the headers, without Content-Length.
        body: The request's body.
        timeout_s: Limits the time to connect and to receive the whole response.

    Returns:
        The response; None if none was received completely in time.
    """
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
                return await MessageReader(reader, responses=True, body_max_bytes=MAX_RESPONSE_BYTES).next()
            finally:
                writer.transport.abort()
    except (OSError, MalformedMessage):
        return None


def example_configuration(number: int) -> dict[str, object]:
    """Returns a configuration of one tenant: a read and a non-idempotent route; from number 2 on, another read route.

    Args:
        number: The number in the configuration's generation, from 1.
    """
    routes = [
        _route("reads", READ_PATH, "pure", SERVICES[0]),
        _route("orders", NON_IDEMPOTENT_PATH, "effectful", SERVICES[1]),
        _route("long-reads", LONG_READ_PATH, "pure", SERVICES[0], LONG_TIMEOUT_S),
        _route("long-orders", LONG_ORDER_PATH, "effectful", SERVICES[1], LONG_TIMEOUT_S),
    ]
    if number > 1:
        routes.append(_route("later", SECOND_READ_PATH, "pure", SERVICES[0]))
    return {
        "generation": f"r{number}",
        "service_list": [{"label": name} for name in SERVICES],
        "tenant_list": [{"label": TENANT, "api_keys": [API_KEY], "rate_per_s": 200, "burst_size": 200}],
        "host_map": [{"hostname": HOSTNAME, "path_map": routes}],
    }


def _route(label: str, prefix: str, kind: str, service: str, timeout_s: float = ROUTE_TIMEOUT_S) -> dict[str, object]:
    return {
        "label": label,
        "path_prefix": prefix,
        "route_kind": kind,
        "timeout_s": timeout_s,
        "target_s": 0.3,
        "rank": 1,
        "target_service": service,
        "max_tries": 3,
        "is_public": False,
    }
