"""Commands on the running system: show a controller's view of it, wait until all gateways have a version."""

import json
import time
from typing import Any

from stoneyoke.api.checks import match_version
from stoneyoke.programs.commands.controller_client import RETRY_PAUSE_S, WITHIN, call_controllers
from stoneyoke.programs.commands.errors import CommandError
from stoneyoke.programs.commands.output import print_result

MAX_SILENCE_S = 3.0  # `watch` ignores gateways that have been silent for longer


def read_status() -> dict[str, Any]:
    """Returns the status of the first controller that responds (controlplane/status.py)."""
    status: dict[str, Any] = json.loads(call_controllers("GET", "/status"))
    return status


def look() -> None:
    """Prints one controller's view of versions, voters, gateways and backends."""
    status = read_status()
    print_result([*controller_lines(status), *gateway_lines(status), *backend_lines(status)], status)


def controller_lines(status: dict[str, Any]) -> list[str]:
    """Returns lines for the controller that responded, for the voters, and for the other controllers."""
    votes = "votes" if status["votes"] else "does not vote"
    touch = "in touch" if status["in_touch"] else "NOT in touch"
    voters = f"voters {status['voters']['number']}: {', '.join(status['voters']['members'])}"
    lines = [
        f"{status['name']} at {status['address']}: {status['version']}, {votes}, {touch} with most voters",
        f"{voters}; lease of the quotas: {status['lease_holder'] or '-'}",
    ]
    for name, peer in status["controllers"].items():
        vote = "votes" if peer["votes"] else "no vote"
        lines.append(f"controller {name}: {peer['version']}, {vote}, silent {peer['silent_s']} s")
    return lines


def gateway_lines(status: dict[str, Any]) -> list[str]:
    """Returns a line for each gateway."""
    lines = []
    for name, gateway in sorted(status["gateways"].items()):
        ready = "ready" if gateway["ready"] else "not ready"
        lines.append(f"gateway {name}: {gateway['version']}, {ready}, silent {gateway['silent_s']} s")
    return lines


def backend_lines(status: dict[str, Any]) -> list[str]:
    """Returns a line for each backend."""
    return [
        f"backend {name}: {backend['service']} at {backend['address']}, {backend['phase']}, "
        f"silent {backend['silent_s']} s"
        for name, backend in sorted(status["backends"].items())
    ]


def watch(version: str) -> None:
    """Waits until all reachable gateways have a version or a newer one.

    Args:
        version: The version as in the control API: the letter r and a number.

    Raises:
        CommandError: The version is malformed, or a gateway does not have it within `--within` seconds.
    """
    match = match_version(version)
    if not match:
        raise CommandError(f"{version!r} is not r and a number")
    number, deadline = int(match[1]), time.monotonic() + WITHIN.value
    behind = ["no gateway is known"]
    while time.monotonic() < deadline:
        in_touch = reachable_versions(read_status())
        behind = [name for name, gateway_version in in_touch.items() if gateway_version < number]
        if in_touch and not behind:
            line = f"{version} is at all {len(in_touch)} gateways in touch"
            return print_result([line], {"version": version, "gateways": len(in_touch)})
        time.sleep(RETRY_PAUSE_S)
    raise CommandError(f"{version} is not yet at: {', '.join(sorted(behind))}")


def reachable_versions(status: dict[str, Any]) -> dict[str, int]:
    """Returns the version number in force at each gateway that has been silent for less than MAX_SILENCE_S, by name."""
    return {
        name: int(gateway["version"].removeprefix("r"))
        for name, gateway in status["gateways"].items()
        if gateway["silent_s"] < MAX_SILENCE_S
    }
