"""The types of a scenario file: processes, load, faults and bounds. Its keys are the fields' encoded names."""

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
    """The gateways of a run and the limits of each."""

    count: Count
    zones: Zones = msgspec.field(default_factory=lambda: ["a"])
    wave: Count = 25  # how many are started at a time; the next ones start once these are ready
    sockets: Annotated[int, Meta(ge=80)] = 512
    memory_mb: Annotated[int, Meta(ge=32)] = 96
    skew: NotNegative = 0.0  # a customer's gateways get its requests in proportion to 1 / rank ** skew


class Backends(Struct, forbid_unknown_fields=True, frozen=True):
    """The backends: capacity, warm-up and overload."""

    count: Count
    zones: Zones = msgspec.field(default_factory=lambda: ["a"])
    slots: Count = 8  # requests served concurrently
    queue: Annotated[int, Meta(ge=0)] = 64
    connections: Annotated[int, Meta(ge=1)] = 2000
    idle_s: Positive = 30.0
    speed_spread: Share = 0.1  # maximum difference between a backend's speed and 1
    cold_share: Share = 0.3  # share of the full capacity right after a start
    warm_up_s: Positive = 8.0
    # A backend that is warming up is overloaded if it gets more than this multiple of its capacity at that time.
    overload_factor: Positive = msgspec.field(name="push_over", default=2.0)
    overload_window_s: Positive = msgspec.field(name="push_over_s", default=1.5)
    grace_ms: Positive = 500.0  # how long new requests may still reach a draining backend


class Method(Struct, forbid_unknown_fields=True, frozen=True):
    """A method: its effect, service time, deadlines, cost and share of the requests."""

    name: Name
    effect: Literal["idempotent", "deduplicated", "at_most_once"]
    share: Positive
    work_ms: Positive
    soft_ms: Positive  # the latency target
    deadline_ms: Positive
    memory_ms: NotNegative = 0.0  # how long a backend remembers an idempotency key
    group: Literal["all", "zone", "cell"] = "all"  # which backends share the remembered idempotency keys
    units: Positive = 1.0  # units of quota that one request costs
    utility: Positive = 1.0


class Plan(Struct, forbid_unknown_fields=True, frozen=True):
    """A customer plan: quota, rate limit and how its customers use it."""

    name: Name
    share: Positive  # weight of this plan's customers in the load inside quotas
    rate: Positive  # the quota, in units per second
    burst: Positive  # the quota's burst, in units
    price: Positive = 1.0
    ceiling_rate: NotNegative = 0.0  # the rate limit, in units per second; 0: no rate limit
    ceiling_burst: NotNegative = 0.0
    spread: Share = 1.0  # share of the gateways that a customer sends to


class Clients(Struct, forbid_unknown_fields=True, frozen=True):
    """The clients' load, retries, backoff and cancellations."""

    rps: Positive  # requests per second inside quotas
    greedy: Share = 0.1  # share of the customers that send `greed` times their quota's rate
    greed: Positive = 3.0
    use: Share = 0.4  # share of its quota's rate that each other customer uses on average
    retries: Share = 0.5  # share of the rejected tries that are retried
    honour: Share = 0.6  # share of these retries that wait as Retry-After says; the others use the client's own backoff
    backoff_ms: Positive = 200.0
    longest_wait_ms: Positive = 500.0  # maximum wait for Retry-After
    marks: bool = True  # whether a retry is marked by a header
    give_up: Share = 0.0  # share of the tries whose clients give up after about half of the time to the deadline
    shift_s: Seconds = 0.0  # interval at which the ranks of all customers' gateways are drawn anew; 0: never


class Counter(Struct, forbid_unknown_fields=True, frozen=True):
    """The counter service: its capacity, partitions and time-outs."""

    per_s: Positive = 2000.0  # calls per second over all partitions
    parts: Annotated[int, Meta(ge=1, le=16)] = 2  # partitions
    limit_ms: Positive = 80.0  # the gateways' time-out of a call
    line_ms: Positive = 120.0  # a call that would have to queue longer than this is rejected


class Discovery(Struct, forbid_unknown_fields=True, frozen=True):
    """The delay until gateways see a change of an endpoint: `notice_ms` and a random part of `spread_ms`."""

    notice_ms: NotNegative = 800.0  # minimum delay
    spread_ms: NotNegative = 400.0  # maximum additional delay, drawn for each gateway


class Fleet(Struct, forbid_unknown_fields=True, frozen=True):
    """The fleet package of the gateways."""

    on: bool = False  # whether the gateways exchange datagrams; these go over links, too
    seeds: Count = 3  # how many gateways, from the first one on, are seed nodes


class Fault(Struct, forbid_unknown_fields=True, frozen=True):
    """A fault: its time, kind, target, duration and strength."""

    at_s: Seconds
    kind: str
    on: str = ""  # a glob of process names, such as a/g* or b/b0*
    part: Share = 1.0  # share of the matching processes or links; of lose, lose_answers and wipe also the share lost
    for_s: Seconds = 0.0  # 0: the fault is permanent, or has no duration
    from_: str = msgspec.field(name="from", default="")  # glob of a link's one end
    to: str = ""  # glob of its other end
    ms: NotNegative = 0.0
    jitter_ms: NotNegative = 0.0
    factor: Positive = 1.0
    bytes_s: NotNegative = 0.0
    over_s: Seconds = 0.0  # the fault starts at each process after a random delay of up to this time


class RandomFaults(Struct, forbid_unknown_fields=True, frozen=True):
    """The bounds of the random faults, which are drawn with the seed."""

    faults: Annotated[int, Meta(ge=1, le=50)]
    kinds: Annotated[list[str], Meta(min_length=1)]
    longest_s: Positive = 6.0
    part: Share = 0.3


class Bound(Struct, forbid_unknown_fields=True, frozen=True):
    """The minimum or the maximum that a figure may have."""

    figure: str  # a key of the figures, such as goodput or violations
    least: float | None = None
    most: float | None = None


class Scenario(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A whole scenario file."""

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
        """Returns all zones, in the order of their names."""
        return sorted({*self.gateways.zones, *self.backends.zones})

    def gateway_names(self) -> list[str]:
        """Returns the gateways' names, each with its zone, such as a/g000."""
        zones = self.gateways.zones
        return [f"{zones[index % len(zones)]}/g{index:03d}" for index in range(self.gateways.count)]

    def backend_names(self) -> list[str]:
        """Returns the backends' names, each with its zone, such as a/b000."""
        zones = self.backends.zones
        return [f"{zones[index % len(zones)]}/b{index:03d}" for index in range(self.backends.count)]

    def clients_name(self) -> str:
        """Returns the name of the process of all clients."""
        return f"{self.zones()[0]}/clients"

    def counter_name(self) -> str:
        """Returns the name of the counter service's process."""
        return f"{self.zones()[0]}/counter"

    def discovery_name(self) -> str:
        """Returns the name of discovery's process."""
        return f"{self.zones()[0]}/discovery"

    def process_names(self) -> list[str]:
        """Returns the names of all processes that a fault can match."""
        services = [self.clients_name(), self.counter_name(), self.discovery_name()]
        return self.gateway_names() + self.backend_names() + services


def matching_processes(scenario: Scenario, fault: Fault) -> list[str]:
    """Returns the names of the processes that a fault may affect.

    Raises:
        UnknownFaultKind: There is no such kind of fault.
    """
    target = target_of(fault.kind)
    candidates = [name for name in scenario.process_names() if name.split("/")[1].startswith(target)]
    return [name for name in candidates if fnmatchcase(name, fault.on or "*")]
