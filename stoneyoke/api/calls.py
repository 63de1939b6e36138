"""The calls of backends and operators: a pair of types each, what is asked and what is answered (PROTOCOL).

`ask()` turns a request's method, path and body into what is asked, or into a Rejected; `answer()` the other way."""

import json
import re
from collections.abc import Callable
from dataclasses import dataclass

from stoneyoke.api.configuration import Configuration, read_configuration, read_json
from stoneyoke.api.schema import NEEDED, InvalidField, Setting, Table, at_least, filled, one_of, read

INSTANCE = re.compile(r"[!-.0-~]{1,200}").fullmatch  # seen characters, no slash
ADDRESS = re.compile(r"([0-9]{1,3}(?:\.[0-9]{1,3}){3}):([0-9]{1,5})").fullmatch


def addressed(value: str) -> str:
    """What is wrong with an IPv4 address and port; nothing if it is one."""
    match = ADDRESS(value)
    fits = match and int(match[2]) in range(1, 65_536) and all(int(part) < 256 for part in match[1].split("."))
    return "" if fits else f"{value[:40]!r} is no IPv4 address with a port"


BEAT: Table = (
    Setting("address", str, NEEDED, addressed),
    Setting(
        "details",
        (
            Setting("target_service", str, NEEDED, filled),
            Setting("generation", str, ""),
            Setting("zone_name", str, ""),
            Setting("capacity", int, 1, at_least(0)),
        ),
    ),
    Setting(
        "observed",
        (
            Setting("phase", str, NEEDED, one_of("ready", "draining")),
            Setting("call_seq", int, NEEDED, at_least(0)),
            Setting("warmup_left_s", float, 0.0, at_least(0)),
        ),
    ),
)


# ---- what is asked ----


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A backend's heartbeat. warm_s: how much longer it is slow; call_seq rises with each call of it."""

    instance: str
    address: str
    service: str
    generation: str
    zone: str
    capacity: int
    draining: bool
    call_seq: int
    warm_s: float


@dataclass(frozen=True, slots=True)
class Leave:
    """An instance says that it ends."""

    instance: str


@dataclass(frozen=True, slots=True)
class ReplaceConfiguration:
    """An operator's new configuration, to be acknowledged."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ReadConfiguration:
    """The newest acknowledged configuration is asked for."""


@dataclass(frozen=True, slots=True)
class ReadStatus:
    """What this core knows, for people and the command line."""


Asked = Heartbeat | Leave | ReplaceConfiguration | ReadConfiguration | ReadStatus


# ---- what is answered ----


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """A beat, a leave or a configuration is acknowledged."""


@dataclass(frozen=True, slots=True)
class Document:
    """A text as it is told: the configuration as it was put, or what a core knows."""

    body: bytes


@dataclass(frozen=True, slots=True)
class Rejected:
    """The caller's fault, with the field it lies in: it will not be taken, whoever is asked."""

    status: int
    path: str
    why: str


@dataclass(frozen=True, slots=True)
class Unavailable:
    """Not from here, not now: the caller may ask another core."""

    why: str


Answer = Acknowledged | Document | Rejected | Unavailable


def beat(instance: str, body: bytes) -> Asked:
    """An instance's heartbeat out of its body. Raises InvalidField."""
    given = read(read_json(body), BEAT)
    about, now = given["details"], given["observed"]
    return Heartbeat(
        instance,
        given["address"],
        about["target_service"],
        about["generation"],
        about["zone_name"],
        about["capacity"],
        now["phase"] == "draining",
        now["call_seq"],
        now["warmup_left_s"],
    )


CALLS: tuple[tuple[str, "re.Pattern[str]", Callable[[str, bytes], Asked]], ...] = (
    ("POST", re.compile(r"/instances/([^/]+)/heartbeat"), beat),
    ("POST", re.compile(r"/instances/([^/]+)/leave"), lambda name, _: Leave(name)),
    ("POST", re.compile(r"/config/replace()"), lambda _, body: ReplaceConfiguration(read_configuration(body))),
    ("GET", re.compile(r"/config/read()"), lambda *_: ReadConfiguration()),
    ("GET", re.compile(r"/(?:status|harbour)()"), lambda *_: ReadStatus()),
)


def ask(method: str, target: str, body: bytes) -> Asked | Rejected:
    """What a call asks for, or why it is rejected."""
    path, known = target.partition("?")[0], False
    for verb, pattern, make in CALLS:
        if not (match := pattern.fullmatch(path)):
            continue
        known = True
        if verb != method:
            continue
        if match[1] and not INSTANCE(match[1]):
            return Rejected(400, "path", "an instance's id of characters that are not seen, or too long")
        try:
            return make(match[1], body)
        except InvalidField as bad:
            return Rejected(400, bad.path, bad.why)
    return (
        Rejected(405, "method", f"{method[:20]} is not taken here")
        if known
        else (Rejected(404, "path", f"no such call: {path[:80]}"))
    )


def answer(given: Answer) -> tuple[int, bytes]:
    """Status and JSON body."""
    match given:
        case Document(body):
            return 200, body
        case Rejected(status, path, why):
            return status, json.dumps({"field": path, "error": why}).encode()
        case Unavailable(why):
            return 503, json.dumps({"error": why}).encode()
    return 200, b"{}"
