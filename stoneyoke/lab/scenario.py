"""Scenario files: TOML, read into typed, checked structures. What is wrong is one line: file, key, reason."""

from fnmatch import fnmatchcase
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

Count = Annotated[int, Meta(ge=1, le=400)]
Seconds = Annotated[float, Meta(ge=0, le=600)]
Part = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
Zones = Annotated[list[Annotated[str, Meta(pattern="^[a-z0-9-]{1,20}$")]], Meta(min_length=1)]

LINK_KINDS = ("cut", "cut_there", "cut_back", "reset", "refuse", "delay", "throttle", "lose")
GATEWAY_KINDS = ("kill", "term", "stop", "reload")
BACKEND_KINDS = ("slow", "hang", "black_hole", "lose_answers", "age", "crash", "drain", "replace")
COUNTER_KINDS = ("silent", "crawl", "wipe", "empty", "split")
DISCOVERY_KINDS = ("down", "stale", "reorder")
CLIENT_KINDS = ("burst", "shift", "return_at_once")
NEEDS = {
    "delay": "ms",
    "throttle": "bytes_s",
    "lose": "part",
    "slow": "factor",
    "age": "factor",
    "crawl": "factor",
    "wipe": "part",
    "lose_answers": "part",
    "burst": "factor",
    "shift": "part",
}


class BadScenario(Exception):
    """What makes a scenario unusable, in one line."""


class Gateways(Struct, forbid_unknown_fields=True, frozen=True):
    """The gateways of a run and what each may use."""

    count: Count
    zones: Zones = msgspec.field(default_factory=lambda: ["a"])
    wave: Count = 25  # started at once
    sockets: Annotated[int, Meta(ge=80)] = 512
    memory_mb: Annotated[int, Meta(ge=32)] = 96
    skew: Annotated[float, Meta(ge=0)] = 0.0  # of their shares of a customer's RPCs: 1 / place ** skew


class Backends(Struct, forbid_unknown_fields=True, frozen=True):
    """The backends: capacity, cold start and load."""

    count: Count
    zones: Zones = msgspec.field(default_factory=lambda: ["a"])
    slots: Count = 8  # RPCs at work at once
    queue: Annotated[int, Meta(ge=0)] = 64
    connections: Annotated[int, Meta(ge=1)] = 2000
    idle_s: Positive = 30.0
    speed_spread: Part = 0.1  # speeds lie so far about 1
    cold_share: Part = 0.3
    warm_up_s: Positive = 8.0
    push_over: Positive = 2.0  # times what a cold one can do
    push_over_s: Positive = 1.5
    grace_ms: Positive = 500.0


class Method(Struct, forbid_unknown_fields=True, frozen=True):
    """A method: its effect, times, cost and share of the RPCs."""

    name: Annotated[str, Meta(pattern="^[a-z][a-z0-9-]{0,30}$")]
    effect: Literal["idempotent", "deduplicated", "at_most_once"]
    share: Positive
    work_ms: Positive
    soft_ms: Positive
    deadline_ms: Positive
    memory_ms: Annotated[float, Meta(ge=0)] = 0.0
    group: Literal["all", "zone", "cell"] = "all"
    units: Positive = 1.0
    utility: Positive = 1.0


class Plan(Struct, forbid_unknown_fields=True, frozen=True):
    """A customer plan: quota, ceiling and how its customers use it."""

    name: Annotated[str, Meta(pattern="^[a-z][a-z0-9-]{0,30}$")]
    share: Positive  # of the load inside quotas
    rate: Positive
    burst: Positive
    price: Positive = 1.0
    ceiling_rate: Annotated[float, Meta(ge=0)] = 0.0
    ceiling_burst: Annotated[float, Meta(ge=0)] = 0.0
    spread: Part = 1.0  # of the gateways that a customer comes through


class Clients(Struct, forbid_unknown_fields=True, frozen=True):
    """How clients ask: retries, waits and how long they stay."""

    rps: Positive  # RPCs a second inside quotas
    greedy: Part = 0.1  # of the customers: they ask for `greed` times their rate
    greed: Positive = 3.0
    use: Part = 0.4  # of its rate that another one asks for on the mean
    retries: Part = 0.5  # of the pushed back tries that come again
    honour: Part = 0.6  # of these that heed the wait; the others return early
    backoff_ms: Positive = 200.0
    longest_wait_ms: Positive = 500.0
    marks: bool = True
    give_up: Part = 0.0  # of the tries: they close after half of their time
    shift_s: Seconds = 0.0  # customers change their busy gateways so often; 0: never


class Counter(Struct, forbid_unknown_fields=True, frozen=True):
    """The counter service: calls a second and its parts."""

    per_s: Positive = 2000.0
    parts: Annotated[int, Meta(ge=1, le=16)] = 2
    limit_ms: Positive = 80.0
    line_ms: Positive = 120.0  # a longer wait is turned away


class Discovery(Struct, forbid_unknown_fields=True, frozen=True):
    """How late discovery is."""

    notice_ms: Annotated[float, Meta(ge=0)] = 800.0  # from a change to the list
    spread_ms: Annotated[float, Meta(ge=0)] = 400.0  # from the list to the last gateway


class Fleet(Struct, forbid_unknown_fields=True, frozen=True):
    """The fleet part of the gateways."""

    on: bool = False  # gateways know one another; their datagrams go over links, too
    seeds: Count = 3  # of the gateways, the first ones


class Fault(Struct, forbid_unknown_fields=True, frozen=True):
    """A fault: when, what, on whom and for how long."""

    at_s: Seconds
    kind: str
    on: str = ""  # a glob of process names, such as a/g* or b/b0*
    part: Part = 1.0  # of the processes or links that match
    for_s: Seconds = 0.0  # 0: for good, or at once
    from_: str = msgspec.field(name="from", default="")  # globs of a link's two ends
    to: str = ""
    ms: Annotated[float, Meta(ge=0)] = 0.0
    jitter_ms: Annotated[float, Meta(ge=0)] = 0.0
    factor: Annotated[float, Meta(gt=0)] = 1.0
    bytes_s: Annotated[float, Meta(ge=0)] = 0.0
    over_s: Seconds = 0.0  # those struck are struck within so long


class Random(Struct, forbid_unknown_fields=True, frozen=True):
    """Faults that the seed draws."""

    faults: Annotated[int, Meta(ge=1, le=50)]
    kinds: Annotated[list[str], Meta(min_length=1)]
    longest_s: Positive = 6.0
    part: Part = 0.3


class Bound(Struct, forbid_unknown_fields=True, frozen=True):
    """A figure with the least or the most that it may be."""

    figure: str  # a key of the figures, such as goodput or violations
    least: float | None = None
    most: float | None = None


class Scenario(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A run as its file describes it."""

    name: Annotated[str, Meta(pattern="^[a-z0-9-]{1,40}$")]
    about: str = ""
    seed: Annotated[int, Meta(ge=0)] = 1
    seconds: Annotated[float, Meta(gt=0, le=600)]
    gateways: Gateways
    backends: Backends
    method: Annotated[list[Method], Meta(min_length=1)]
    plan: Annotated[list[Plan], Meta(min_length=1)]
    clients: Clients
    counter: Counter = Counter()
    discovery: Discovery = Discovery()
    fleet: Fleet = Fleet()
    fault: list[Fault] = []
    random: Random | None = None
    bound: list[Bound] = []

    def zones(self) -> list[str]:
        return sorted({*self.gateways.zones, *self.backends.zones})

    def gateway_names(self) -> list[str]:
        zones = self.gateways.zones
        return [f"{zones[i % len(zones)]}/g{i:03d}" for i in range(self.gateways.count)]

    def backend_names(self) -> list[str]:
        zones = self.backends.zones
        return [f"{zones[i % len(zones)]}/b{i:03d}" for i in range(self.backends.count)]

    def processes(self) -> list[str]:
        first = self.zones()[0]
        others = [f"{first}/{kind}" for kind in ("clients", "counter", "discovery")]
        return self.gateway_names() + self.backend_names() + others


def targets(kind: str) -> str:
    """The kind of process that a fault strikes, or 'link'. Raises KeyError for no such kind."""
    for kinds, what in (
        (LINK_KINDS, "link"),
        (GATEWAY_KINDS, "g"),
        (BACKEND_KINDS, "b"),
        (COUNTER_KINDS, "counter"),
        (DISCOVERY_KINDS, "discovery"),
        (CLIENT_KINDS, "clients"),
    ):
        if kind in kinds:
            return what
    raise KeyError(kind)


def matching(scenario: Scenario, fault: Fault) -> list[str]:
    """Names of the processes that a fault may strike."""
    what = targets(fault.kind)
    pool = [n for n in scenario.processes() if n.split("/")[1].startswith(what)]
    return [name for name in pool if fnmatchcase(name, fault.on or "*")]


def check(scenario: Scenario) -> None:
    """What types alone can't say. Raises BadScenario with the key."""

    def unique(key: str, names: list[str]) -> None:
        for name in names:
            if names.count(name) > 1:
                raise BadScenario(f"{key}: {name!r} stands there twice")

    unique("method", [m.name for m in scenario.method])
    unique("plan", [p.name for p in scenario.plan])
    for at, plan in enumerate(scenario.plan):
        if bool(plan.ceiling_rate) != bool(plan.ceiling_burst) or 0 < plan.ceiling_rate < plan.rate:
            raise BadScenario(f"plan[{at}].ceiling_rate: a ceiling has a rate over the quota's, and a burst")
        if plan.burst < max(m.units for m in scenario.method):
            raise BadScenario(f"plan[{at}].burst: holds no RPC of the dearest method")
    for at, method in enumerate(scenario.method):
        if method.effect == "deduplicated" and not method.memory_ms:
            raise BadScenario(f"method[{at}].memory_ms: a deduplicated method needs one")
        if method.soft_ms > method.deadline_ms:
            raise BadScenario(f"method[{at}].soft_ms: is over deadline_ms")
    names = scenario.processes()
    for at, fault in enumerate(scenario.fault):
        key = f"fault[{at}]"
        try:
            what = targets(fault.kind)
        except KeyError:
            raise BadScenario(f"{key}.kind: there is no {fault.kind!r}") from None
        if fault.at_s > scenario.seconds:
            raise BadScenario(f"{key}.at_s: after the end, at {scenario.seconds:g} s")
        if what == "link":
            for end, glob in (("from", fault.from_), ("to", fault.to)):
                if not any(fnmatchcase(name, glob or "*") for name in names):
                    raise BadScenario(f"{key}.{end}: no process is named {glob!r}")
        elif not matching(scenario, fault):
            raise BadScenario(f"{key}.on: no process of that kind is named {fault.on!r}")
        need = NEEDS.get(fault.kind)
        if need and getattr(fault, need) == {"part": 1.0, "factor": 1.0}.get(need, 0.0) and need != "part":
            raise BadScenario(f"{key}.{need}: {fault.kind!r} needs it")
    if scenario.random:
        for kind in scenario.random.kinds:
            try:
                targets(kind)
            except KeyError:
                raise BadScenario(f"random.kinds: there is no {kind!r}") from None
    for at, bound in enumerate(scenario.bound):
        if bound.least is None and bound.most is None:
            raise BadScenario(f"bound[{at}]: has neither least nor most")


def read(path: Path) -> Scenario:
    """A scenario file. Raises BadScenario, whose text is 'FILE: KEY: REASON'."""
    try:
        scenario = msgspec.toml.decode(path.read_bytes(), type=Scenario)
        check(scenario)
    except OSError as bad:
        raise BadScenario(f"{path}: can't be read: {bad.strerror}") from bad
    except msgspec.ValidationError as bad:
        reason, _, where = str(bad).partition(" - at `$")
        raise BadScenario(f"{path}: {where.rstrip('`').lstrip('.') or 'top'}: {reason}") from bad
    except msgspec.DecodeError as bad:
        raise BadScenario(f"{path}: no TOML: {bad}") from bad
    except BadScenario as bad:
        raise BadScenario(f"{path}: {bad}") from bad
    return scenario
