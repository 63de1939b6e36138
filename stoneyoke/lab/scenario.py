"""What a run is made of, as its scenario file describes it. The keys of the file are the fields' encoded names."""

from fnmatch import fnmatchcase
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from stoneyoke.lab.fault_kinds import target_of

Count = Annotated[int, Meta(ge=1, le=400)]
Seconds = Annotated[float, Meta(ge=0, le=600)]
Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Zones = Annotated[list[Annotated[str, Meta(pattern="^[a-z0-9-]{1,20}$")]], Meta(min_length=1)]
Name = Annotated[str, Meta(pattern="^[a-z][a-z0-9-]{0,30}$")]


class Gateways(Struct, forbid_unknown_fields=True, frozen=True):
    """The gateways of a run and what each may use."""

    count: Count
    zones: Zones = msgspec.field(default_factory=lambda: ["a"])
    wave: Count = 25  # started at once
    sockets: Annotated[int, Meta(ge=80)] = 512
    memory_mb: Annotated[int, Meta(ge=32)] = 96
    skew: NotNegative = 0.0  # of their shares of a customer's requests: 1 / rank ** skew


class Backends(Struct, forbid_unknown_fields=True, frozen=True):
    """The backends: capacity, warm-up and overload."""

    count: Count
    zones: Zones = msgspec.field(default_factory=lambda: ["a"])
    slots: Count = 8  # requests served at once
    queue: Annotated[int, Meta(ge=0)] = 64
    connections: Annotated[int, Meta(ge=1)] = 2000
    idle_s: Positive = 30.0
    speed_spread: Share = 0.1  # greatest distance of a backend's speed from 1
    cold_share: Share = 0.3  # of the capacity, right after a start
    warm_up_s: Positive = 8.0
    overload_factor: Positive = msgspec.field(name="push_over", default=2.0)  # times what a cold backend can do
    overload_window_s: Positive = msgspec.field(name="push_over_s", default=1.5)
    grace_ms: Positive = 500.0  # in which new requests may still reach a draining backend


class Method(Struct, forbid_unknown_fields=True, frozen=True):
    """A method: its effect, times, cost and share of the requests."""

    name: Name
    effect: Literal["idempotent", "deduplicated", "at_most_once"]
    share: Positive
    work_ms: Positive
    soft_ms: Positive  # the latency target
    deadline_ms: Positive
    memory_ms: NotNegative = 0.0  # how long a backend remembers an idempotency key
    group: Literal["all", "zone", "cell"] = "all"  # which backends share that memory
    units: Positive = 1.0  # of quota, for one request
    utility: Positive = 1.0


class Plan(Struct, forbid_unknown_fields=True, frozen=True):
    """A customer plan: quota, rate limit and how its customers use it."""

    name: Name
    share: Positive  # of the load inside quotas
    rate: Positive  # quota, in units a second
    burst: Positive  # units
    price: Positive = 1.0
    ceiling_rate: NotNegative = 0.0  # the rate limit, in units a second; 0: none
    ceiling_burst: NotNegative = 0.0
    spread: Share = 1.0  # of the gateways that a customer comes through


class Clients(Struct, forbid_unknown_fields=True, frozen=True):
    """How clients send: load, retries, waits and patience."""

    rps: Positive  # requests a second inside quotas
    greedy: Share = 0.1  # of the customers: they send `greed` times their rate
    greed: Positive = 3.0
    use: Share = 0.4  # of its rate that another customer uses on average
    retries: Share = 0.5  # of the rejected tries that are retried
    honour: Share = 0.6  # of these that wait as Retry-After says; the others return early
    backoff_ms: Positive = 200.0
    longest_wait_ms: Positive = 500.0
    marks: bool = True  # whether a retry says that it is one
    give_up: Share = 0.0  # of the tries: their clients close after half of their time
    shift_s: Seconds = 0.0  # customers change their busiest gateways this often; 0: never


class Counter(Struct, forbid_unknown_fields=True, frozen=True):
    """The counter service: its calls a second and its partitions."""

    per_s: Positive = 2000.0
    parts: Annotated[int, Meta(ge=1, le=16)] = 2
    limit_ms: Positive = 80.0  # the gateways' time-out
    line_ms: Positive = 120.0  # a call that would wait longer is rejected


class Discovery(Struct, forbid_unknown_fields=True, frozen=True):
    """How late discovery is."""

    notice_ms: NotNegative = 800.0  # from a change to the endpoint list
    spread_ms: NotNegative = 400.0  # from the endpoint list to the last gateway


class Fleet(Struct, forbid_unknown_fields=True, frozen=True):
    """The fleet package of the gateways."""

    on: bool = False  # gateways know one another; their datagrams go over links, too
    seeds: Count = 3  # of the gateways, the first ones


class Fault(Struct, forbid_unknown_fields=True, frozen=True):
    """A fault: when, what, on whom and for how long."""

    at_s: Seconds
    kind: str
    on: str = ""  # a glob of process names, such as a/g* or b/b0*
    part: Share = 1.0  # of the processes or links that match
    for_s: Seconds = 0.0  # 0: for good, or at once
    from_: str = msgspec.field(name="from", default="")  # globs of a link's two ends
    to: str = ""
    ms: NotNegative = 0.0
    jitter_ms: NotNegative = 0.0
    factor: Positive = 1.0
    bytes_s: NotNegative = 0.0
    over_s: Seconds = 0.0  # the fault begins at each process at a random time within this one


class RandomFaults(Struct, forbid_unknown_fields=True, frozen=True):
    """Faults that the seed draws."""

    faults: Annotated[int, Meta(ge=1, le=50)]
    kinds: Annotated[list[str], Meta(min_length=1)]
    longest_s: Positive = 6.0
    part: Share = 0.3


class Bound(Struct, forbid_unknown_fields=True, frozen=True):
    """A figure with the least or the most that it may be."""

    figure: str  # a key of the figures, such as goodput or violations
    least: float | None = None
    most: float | None = None


class Scenario(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """All of a scenario file."""

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
    random: RandomFaults | None = None
    bound: list[Bound] = []

    def zones(self) -> list[str]:
        """All zones, in the order of their names."""
        return sorted({*self.gateways.zones, *self.backends.zones})

    def gateway_names(self) -> list[str]:
        """The gateways, each with its zone, such as a/g000."""
        zones = self.gateways.zones
        return [f"{zones[index % len(zones)]}/g{index:03d}" for index in range(self.gateways.count)]

    def backend_names(self) -> list[str]:
        """The backends, each with its zone, such as a/b000."""
        zones = self.backends.zones
        return [f"{zones[index % len(zones)]}/b{index:03d}" for index in range(self.backends.count)]

    def clients_name(self) -> str:
        """The process of all clients."""
        return f"{self.zones()[0]}/clients"

    def counter_name(self) -> str:
        """The process of the counter service."""
        return f"{self.zones()[0]}/counter"

    def discovery_name(self) -> str:
        """The process of discovery."""
        return f"{self.zones()[0]}/discovery"

    def process_names(self) -> list[str]:
        """All that a fault may name."""
        services = [self.clients_name(), self.counter_name(), self.discovery_name()]
        return self.gateway_names() + self.backend_names() + services


def matching_processes(scenario: Scenario, fault: Fault) -> list[str]:
    """Names of the processes that a fault may affect.

    Raises:
        UnknownFaultKind: There is no such kind of fault.
    """
    target = target_of(fault.kind)
    candidates = [name for name in scenario.process_names() if name.split("/")[1].startswith(target)]
    return [name for name in candidates if fnmatchcase(name, fault.on or "*")]
