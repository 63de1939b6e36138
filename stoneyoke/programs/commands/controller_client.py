"""An operator's calls to the controllers: each call is sent to one controller after another until one responds."""

import http.client
import time
from http import HTTPStatus
from typing import NamedTuple

from absl import flags

from stoneyoke.api.checks import address_error
from stoneyoke.programs.commands.errors import CommandError

CONTROLLERS = flags.DEFINE_list("controllers", [], "Addresses of controllers (control_addr), tried in turn.")
flags.DEFINE_alias("core", "controllers")  # the name of --controllers until December 2026
WITHIN = flags.DEFINE_float("within", 10.0, "Seconds after which the command gives up.", lower_bound=0.1)

CALL_TIMEOUT_S = 2.0
BYTES_PER_S = 1 << 20  # the time-out of a call is one second longer for each 1 MiB of its body
RETRY_PAUSE_S = 0.2
MAX_ERROR_CHARACTERS = 300


class Response(NamedTuple):
    """A controller's HTTP response."""

    status: int
    body: bytes


def call_controllers(method: str, path: str, body: bytes = b"") -> bytes:
    """Calls the controllers in turn until one responds with status 200.

    The same call is repeated, which is safe because the calls are idempotent.

    Args:
        method: The HTTP method.
        path: The path in the control API.
        body: The JSON body, or nothing.

    Returns:
        The body of the first response with status 200.

    Raises:
        CommandError: No address is given, a controller rejects the call (4xx), or the call had no success within
            `--within` seconds.
    """
    addresses = controller_addresses()
    deadline = time.monotonic() + WITHIN.value
    last_failure = "no controller was called"
    while time.monotonic() < deadline:
        for address in addresses:
            try:
                response = call_controller(address, method, path, body)
            except (OSError, http.client.HTTPException) as error:
                last_failure = f"{address}: {error or type(error).__name__}"
                continue
            if response.status == HTTPStatus.OK:
                return response.body
            last_failure = (
                f"{address}: {response.status} {response.body.decode(errors='replace')[:MAX_ERROR_CHARACTERS]}"
            )
            if response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
                raise CommandError(last_failure)
        time.sleep(RETRY_PAUSE_S)
    raise CommandError(f"no controller accepted the call within {WITHIN.value:g} s; last failure: {last_failure}")


def controller_addresses() -> list[str]:
    """Returns the addresses given on the command line. Raises CommandError if there is none, or one is malformed."""
    if not CONTROLLERS.value:
        raise CommandError("no controller address: --controllers is required")
    for address in CONTROLLERS.value:
        if reason := address_error(address):
            raise CommandError(f"--controllers: {reason}")
    return list(CONTROLLERS.value)


def call_controller(address: str, method: str, path: str, body: bytes) -> Response:
    """Makes one call on a new connection.

    Raises:
        OSError: The connection failed, or there was no response in time.
        http.client.HTTPException: The response is not valid HTTP.
    """
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=CALL_TIMEOUT_S + len(body) / BYTES_PER_S)
    try:
        connection.request(method, path, body, {"Content-Type": "application/json"})
        answer = connection.getresponse()
        return Response(answer.status, answer.read())
    finally:
        connection.close()
