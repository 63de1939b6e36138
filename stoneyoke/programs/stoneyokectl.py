"""stoneyokectl: an operator's command line for the running system. One job a call.

stoneyokectl check FILE              a configuration, offline, by the same table of settings
stoneyokectl diff FILE FILE          what the second changes
stoneyokectl --core ADDRESS put FILE          replace the configuration
stoneyokectl --core ADDRESS read              read it back
stoneyokectl --core ADDRESS look              a core's view: versions, voters, gateways, backends, duty
stoneyokectl --core ADDRESS watch VERSION     until every gateway in touch has it
stoneyokectl records FOLDER             what a controller's data folder holds, and what in it is torn
stoneyokectl --confirm recover FOLDER ADDRESS   a majority of the voters is gone for good: begin again from this disk
"""

import http.client
import json
import os
import sys
import time
from collections.abc import Callable
from typing import Any

from absl import app, flags

from stoneyoke.api.checks import address_error, match_version
from stoneyoke.api.configuration import Configuration, read_configuration
from stoneyoke.api.errors import InvalidField
from stoneyoke.consensus.ballot import NO_BALLOT
from stoneyoke.consensus.errors import InvalidRecord
from stoneyoke.consensus.record_formats import (
    IDENTITY,
    LEGACY_CONFIGURATION,
    LEGACY_VOTERS,
    PROMISE,
    REGISTER,
    read_identity,
    read_promise,
    read_register,
    register_record,
)
from stoneyoke.consensus.recovery import recovered_register
from stoneyoke.consensus.register_value import ReplicaId
from stoneyoke.storage.errors import StorageError
from stoneyoke.storage.record_store import RecordStore

CORES = flags.DEFINE_list("core", [], "Addresses of core machines (control_addr), asked in turn.")
AS_JSON = flags.DEFINE_bool("json", False, "Print one JSON object in place of lines.")
WITHIN = flags.DEFINE_float("within", 10.0, "Seconds to go on trying.", lower_bound=0.1)
CONFIRMED = flags.DEFINE_bool("confirm", False, "For recover: what only lost disks held is given up.")
CALL_S = 2.0
PAUSE_S = 0.2
IN_TOUCH_S = 3.0


class CommandError(Exception):
    """What the operator is told in one line; the program ends with 1."""


def load(path: str) -> Configuration:
    """A configuration out of a file. Raises CommandError."""
    try:
        with open(path, "rb") as file:
            return read_configuration(file.read())
    except OSError as bad:
        raise CommandError(f"{path} can't be read: {bad}") from bad
    except InvalidField as bad:
        raise CommandError(f"{path}: {bad.field}: {bad.reason}") from bad


def call(method: str, path: str, body: bytes = b"") -> bytes:
    """The answer of the first core that has one; tried again, unchanged, until the time is up."""
    if not CORES.value:
        raise CommandError("--core names no address")
    for core in CORES.value:
        if why := address_error(core):
            raise CommandError(f"--core: {why}")
    until, last = time.monotonic() + WITHIN.value, "no core was asked"
    while time.monotonic() < until:
        for core in CORES.value:
            host, _, port = core.rpartition(":")
            line = http.client.HTTPConnection(host, int(port), timeout=CALL_S + len(body) / (1 << 20))
            try:
                line.request(method, path, body, {"Content-Type": "application/json"})
                answer = line.getresponse()
                data = answer.read()
            except (OSError, http.client.HTTPException) as bad:
                last = f"{core}: {bad or type(bad).__name__}"
                continue
            finally:
                line.close()
            if answer.status == 200:
                return data
            last = f"{core}: {answer.status} {data.decode(errors='replace')[:300]}"
            if answer.status < 500:
                raise CommandError(last)
        time.sleep(PAUSE_S)
    raise CommandError(f"no answer in {WITHIN.value:g} s; last: {last}")


def say(lines: list[str], whole: Any) -> None:
    """Prints the lines, or the whole as JSON where that is asked for."""
    print(json.dumps(whole, indent=1) if AS_JSON.value else "\n".join(lines))


def check(path: str) -> None:
    """Tells whether a file is a configuration."""
    chart = load(path)
    routes = sum(1 for _ in chart.routes())
    whole = {
        "version": str(chart.version),
        "services": len(chart.services),
        "routes": routes,
        "tenants": None if chart.tenants is None else len(chart.tenants),
        "bytes": len(chart.body),
    }
    say(
        [
            f"{path}: {chart.version}, {len(chart.services)} services, {routes} routes, "
            f"{len(chart.tenants or [])} tenants"
        ],
        whole,
    )


def differences(one: Configuration, other: Configuration) -> list[str]:
    """A line for each thing that was added, dropped or changed, by its name."""

    def parts(chart: Configuration) -> dict[str, Any]:
        found: dict[str, Any] = {f"service {name}": given for name, given in chart.services.items()}
        found |= {f"route {host}{route['path_prefix']}": route for host, route in chart.routes()}
        found |= {f"tenant {given['label']}": given for given in chart.tenants or ()}
        return found | {"limits": chart.limits}

    old, new = parts(one), parts(other)
    lines = [f"- {name}" for name in old if name not in new] + [f"+ {name}" for name in new if name not in old]
    for name in (name for name in old if name in new and old[name] != new[name]):
        changed = [field for field in old[name] if old[name][field] != new[name].get(field)]
        for field in changed:
            values = "" if field == "api_keys" else f" {old[name][field]!r} -> {new[name][field]!r}"
            lines.append(f"~ {name}: {field}{values}")
    return lines


def diff(path: str, other: str) -> None:
    """Tells what changes from one file to another."""
    one, two = load(path), load(other)
    lines = differences(one, two)
    say([f"{one.version} -> {two.version}", *lines], {"from": str(one.version), "to": str(two.version), "lines": lines})


def put(path: str) -> None:
    """Replaces the configuration by a file's; returns once it is acknowledged."""
    chart = load(path)
    call("POST", "/config/replace", chart.body)
    say([f"{chart.version} is acknowledged"], {"acknowledged": str(chart.version)})


def read_back() -> None:
    """Prints the newest acknowledged configuration."""
    print(call("GET", "/config/read").decode())


def view() -> dict[str, Any]:
    """The status of the first controller that answers."""
    found: dict[str, Any] = json.loads(call("GET", "/status"))
    return found


def look() -> None:
    """Prints versions, voters, gateways and backends."""
    seen = view()
    lines = [
        f"{seen['name']} at {seen['address']}: {seen['version']}, "
        f"{'votes' if seen['votes'] else 'does not vote'}, "
        f"{'in touch' if seen['in_touch'] else 'NOT in touch'} with most voters",
        f"voters {seen['voters']['number']}: {', '.join(seen['voters']['members'])}; "
        f"lease of the quotas: {seen['lease_holder'] or '-'}",
    ]
    lines += [
        f"controller {name}: {one['version']}, {'votes' if one['votes'] else 'no vote'}, silent {one['silent_s']} s"
        for name, one in seen["controllers"].items()
    ]
    lines += [
        f"gateway {name}: {one['version']}, {'ready' if one['ready'] else 'not ready'}, silent {one['silent_s']} s"
        for name, one in sorted(seen["gateways"].items())
    ]
    lines += [
        f"backend {name}: {record['service']} at {record['address']}, {record['phase']}, silent {record['silent_s']} s"
        for name, record in sorted(seen["backends"].items())
    ]
    say(lines, seen)


def watch(version: str) -> None:
    """Waits until all gateways have a version. Raises CommandError where they don't in time."""
    match = match_version(version)
    if not match:
        raise CommandError(f"{version!r} is not r and a number")
    until, late = time.monotonic() + WITHIN.value, ["no gateway is known"]
    while time.monotonic() < until:
        gateways = view()["gateways"]
        near = {name: one for name, one in gateways.items() if one["silent_s"] < IN_TOUCH_S}
        late = [name for name, one in near.items() if int(one["version"][1:]) < int(match[1])]
        if near and not late:
            return say(
                [f"{version} is at all {len(near)} gateways in touch"], {"version": version, "gateways": len(near)}
            )
        time.sleep(PAUSE_S)
    raise CommandError(f"{version} is not yet at: {', '.join(sorted(late))}")


def opened(folder: str) -> RecordStore:
    """A data folder's records. Raises CommandError."""
    if not os.path.isdir(folder):
        raise CommandError(f"{folder} is no folder")
    return RecordStore(folder)


def told_of(family: str, record: dict[bytes, bytes]) -> str:
    """What a whole record holds, in a few words. Raises InvalidRecord."""
    if family == IDENTITY:
        return f"disk {read_identity(record)}"
    if family == PROMISE:
        return f"ballot {read_promise(record).counter}"
    if family == REGISTER:
        held = read_register(record)
        voters = ", ".join(f"{one.address}/{one.disk}" for one in held.value.voters.members)
        return f"{held.value.version} under ballot {held.ballot.counter}, voters {held.value.voters.number}: {voters}"
    if family == LEGACY_CONFIGURATION:
        return f"{read_configuration(record[b'body']).version}, of an earlier release"
    if family == LEGACY_VOTERS:
        return f"voters {record[b'names'].decode()}, of an earlier release"
    return "of no family that is known here"


def records(folder: str) -> None:
    """Prints what a controller's data folder holds."""
    store = opened(folder)
    lines, found = [], []
    for family, number, name in sorted(store.record_files()):
        if not name.endswith(".dir"):
            continue
        try:
            told = told_of(family, store.read_record(family, number))
        except (StorageError, InvalidRecord, InvalidField, KeyError) as bad:
            lines.append(f"{family}-{number}: {bad}")
            found.append({"family": family, "number": number, "torn": True})
            continue
        lines.append(f"{family}-{number}: whole, {told}")
        found.append({"family": family, "number": number, "torn": False, "holds": told})
    say(lines or [f"{folder}: empty"], found)


def recover(folder: str, address: str) -> None:
    """The controller there must be stopped. Changes the newest record only by adding one."""
    if not CONFIRMED.value:
        raise CommandError("acknowledged changes that only lost disks held are lost by this: say so with --confirm")
    store = opened(folder)
    try:
        held, identity, promise = (store.load(family).record for family in (REGISTER, IDENTITY, PROMISE))
        if held is None or identity is None:
            raise CommandError(f"{folder} holds no register")
        promised = read_promise(promise) if promise else NO_BALLOT
        survivor = ReplicaId(address, read_identity(identity))
        register = recovered_register(read_register(held), promised, survivor)
        store.save(REGISTER, register_record(register))
    except (StorageError, InvalidRecord) as bad:
        raise CommandError(f"{folder}: {bad}") from bad
    voters = register.value.voters
    say(
        [f"{register.value.version} is in force with {address} as the only voter (set {voters.number})"],
        {"version": str(register.value.version), "voters": voters.number, "voter": address},
    )


JOBS: dict[str, tuple[Callable[..., None], int]] = {
    "check": (check, 1),
    "diff": (diff, 2),
    "put": (put, 1),
    "read": (read_back, 0),
    "look": (look, 0),
    "watch": (watch, 1),
    "records": (records, 1),
    "hold": (records, 1),  # the release before named it so
    "recover": (recover, 2),
}


def run(words: list[str]) -> None:
    """What absl calls with the command line's words."""
    job, count = JOBS.get(words[1], (None, 0)) if len(words) > 1 else (None, 0)
    if job is None or len(words) != count + 2:
        print(__doc__, file=sys.stderr)
        sys.exit(2)
    try:
        job(*words[2:])
    except CommandError as bad:
        print(f"stoneyokectl: {bad}", file=sys.stderr)
        sys.exit(1)


def main() -> None:
    """The entry point of stoneyokectl."""
    app.run(run)


if __name__ == "__main__":
    main()
