"""Calls of an operator to the controllers: the same call to one after another until one answers."""

import http.client
import time
from http import HTTPStatus
from typing import NamedTuple

from absl import flags

from stoneyoke.api.checks import address_error
from stoneyoke.programs.commands.errors import CommandError

CONTROLLERS = flags.DEFINE_list("controllers", [], "Addresses of controllers (control_addr), asked in turn.")
flags.DEFINE_alias("core", "controllers")  # the flag's name until December 2026
WITHIN = flags.DEFINE_float("within", 10.0, "Seconds to go on trying.", lower_bound=0.1)

CALL_TIMEOUT_S = 2.0
BYTES_PER_S = 1 << 20  # a body gets a second more for each so many bytes
RETRY_PAUSE_S = 0.2
MAX_ERROR_CHARACTERS = 300


class Response(NamedTuple):
    """What a controller answered."""

    status: int
    body: bytes


def call_controllers(method: str, path: str, body: bytes = b"") -> bytes:
    """Calls the controllers in turn until one answers 200. The call stays the same, so repeating it is safe.

    Args:
        method: Of HTTP.
        path: Of the control API.
        body: JSON, or nothing.

    Returns:
        The body of the first answer with status 200.

    Raises:
        CommandError: No address is given, an answer is a refusal (4xx), or none came within `--within`.
    """
    addresses = controller_addresses()
    deadline = time.monotonic() + WITHIN.value
    last_failure = "no controller was asked"
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
    raise CommandError(f"no answer in {WITHIN.value:g} s; last: {last_failure}")


def controller_addresses() -> list[str]:
    """The addresses given on the command line. Raises CommandError where there is none, or one is malformed."""
    if not CONTROLLERS.value:
        raise CommandError("--controllers names no address")
    for address in CONTROLLERS.value:
        if reason := address_error(address):
            raise CommandError(f"--controllers: {reason}")
    return list(CONTROLLERS.value)


def call_controller(address: str, method: str, path: str, body: bytes) -> Response:
    """Makes one call on a connection of its own.

    Raises:
        OSError: No connection, or no answer in time.
        http.client.HTTPException: The answer is not HTTP.
    """
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=CALL_TIMEOUT_S + len(body) / BYTES_PER_S)
    try:
        connection.request(method, path, body, {"Content-Type": "application/json"})
        answer = connection.getresponse()
        return Response(answer.status, answer.read())
    finally:
        connection.close()
