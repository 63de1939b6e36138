"""Messages between a run and its workers, each a line of JSON: a setup, then orders one way and replies the other.

A worker is a process that holds stand-ins, links or the gateways' supervisor.
"""

from typing import Any

import msgspec
from msgspec import Struct

from stoneyoke.lab.addresses import Address, LinkAddresses
from stoneyoke.lab.plan import Arrival, Customer
from stoneyoke.lab.scenario import Backends, Clients, Counter, Fault, Method

# Names of workers, which name their ledgers and logs, too.
CLIENTS, SUPERVISOR, BACKENDS, COUNTER, DISCOVERY = "front", "keeper", "backends", "counter", "discovery"
LINKS_PREFIX = "links"  # a number follows

# ---- setups: the first line that a worker reads ----


class WorkerSetup(Struct, tag_field="kind", frozen=True, kw_only=True):
    """What every setup holds."""

    name: str
    ledger: str = ""  # path; filled in by the run


class PeerAddresses(Struct, array_like=True, frozen=True):
    """The UDP link to one gateway."""

    gateway: str  # name
    address: Address  # where the gateway receives and sends from
    entry: Address  # where the others send to


class LinksSetup(WorkerSetup, frozen=True, kw_only=True, tag="links"):
    """The links that one process carries."""

    links: list[LinkAddresses]
    peers: list[PeerAddresses]  # of all gateways: each link has to know the senders
    index: int  # of this process; it carries each `processes`-th UDP link from here on
    processes: int


class BackendSetup(Struct, array_like=True, frozen=True):
    """One backend."""

    name: str
    address: Address
    speed: float  # about 1
    memory_groups: dict[str, str]  # by Method.group: the backends that remember idempotency keys together


class BackendsSetup(WorkerSetup, frozen=True, kw_only=True, tag="backends"):
    """The stand-ins of all backends."""

    seed: int
    methods: list[Method]
    settings: Backends
    backends: list[BackendSetup]


class CounterSetup(WorkerSetup, frozen=True, kw_only=True, tag="counter"):
    """The stand-in of the counter service."""

    addresses: list[Address]  # of its halves
    settings: Counter


class AgentSetup(Struct, array_like=True, frozen=True):
    """Discovery as one gateway reaches it."""

    gateway: str  # name
    address: Address
    delay_s: float  # from a change to the time when this gateway may know it
    backend_addresses: list[str]  # where this gateway reaches each backend


class DiscoverySetup(WorkerSetup, frozen=True, kw_only=True, tag="discovery"):
    """The stand-in of discovery."""

    endpoints: list[dict[str, Any]]  # as the protocol lists them, without address
    agents: list[AgentSetup]


class ClientsSetup(WorkerSetup, frozen=True, kw_only=True, tag="front"):
    """All clients."""

    seed: int
    gateways: list[str]  # names
    entries: list[Address]  # where clients reach each gateway
    settings: Clients
    methods: list[Method]
    plans: list[str]  # names
    customers: list[Customer]
    arrivals: list[Arrival]


class SupervisorSetup(WorkerSetup, frozen=True, kw_only=True, tag="keeper"):
    """The supervisor of the gateways' processes."""

    out: str  # the run's folder
    max_descriptors: int
    max_memory_bytes: int


AnySetup = LinksSetup | BackendsSetup | CounterSetup | DiscoverySetup | ClientsSetup | SupervisorSetup

# ---- orders: from a run to a worker ----


class Order(Struct, tag_field="do", frozen=True):
    """A command from a run to a worker."""


class Begin(Order, frozen=True, tag="go"):
    """The run begins at this time of the monotonic clock."""

    at_ns: int


class End(Order, frozen=True, tag="end"):
    """The worker ends, and everything with it."""


class Drain(Order, frozen=True, tag="drain"):
    """The clients send nothing new, and reply once all that is pending has ended."""


class StartGateway(Order, frozen=True, tag="start"):
    """The supervisor starts a gateway."""

    name: str
    argv: list[str]
    env: dict[str, str]


class SignalGateway(Order, frozen=True, tag="signal"):
    """The supervisor sends a gateway a signal."""

    name: str
    signal: str  # such as SIGTERM
    ends: bool = False  # the gateway is to end by it


class ChangeEndpoint(Order, frozen=True, tag="list"):
    """Discovery changes an endpoint."""

    name: str
    status: str  # active, leaving or left
    since_ms: int = 0  # when the instance started, Unix time
    replaces: int | None = None  # the number of the backend whose address a new instance has


class ChangeFault(Order, frozen=True):
    """A fault begins or ends."""

    number: int
    fault: Fault
    begins: bool


class ChangeLinkFault(ChangeFault, frozen=True, tag="link"):
    """A fault of the links between two sets of processes, by the globs of their names."""

    source: str
    destination: str


class ChangeBackendFault(ChangeFault, frozen=True, tag="backend"):
    """A fault of one backend."""

    name: str
    replacement: str  # name of the instance that replaces it, if the fault does that


class ChangeCounterFault(ChangeFault, frozen=True, tag="counter"):
    """A fault of the counter service."""


class ChangeDiscoveryFault(ChangeFault, frozen=True, tag="discovery"):
    """A fault of discovery."""


class ChangeClientsFault(ChangeFault, frozen=True, tag="front"):
    """A fault of the clients."""


AnyOrder = (
    Begin
    | End
    | Drain
    | StartGateway
    | SignalGateway
    | ChangeEndpoint
    | ChangeLinkFault
    | ChangeBackendFault
    | ChangeCounterFault
    | ChangeDiscoveryFault
    | ChangeClientsFault
)

# ---- replies: from a worker to its run ----


class Reply(Struct, tag_field="reply", frozen=True):
    """A message from a worker to its run."""


class Ready(Reply, frozen=True, tag="ready"):
    """The worker listens and takes orders."""


class Drained(Reply, frozen=True, tag="drained"):
    """All that the clients had pending has ended."""


class GatewayDied(Reply, frozen=True, tag="died"):
    """A gateway's process has ended."""

    name: str
    code: int
    expected: bool  # it was ordered to
    lines: list[str]  # the last ones of its log, if not


AnyReply = Ready | Drained | GatewayDied

SETUP_DECODER: msgspec.json.Decoder[AnySetup] = msgspec.json.Decoder(AnySetup)
ORDER_DECODER: msgspec.json.Decoder[AnyOrder] = msgspec.json.Decoder(AnyOrder)
REPLY_DECODER: msgspec.json.Decoder[AnyReply] = msgspec.json.Decoder(AnyReply)
ENCODER = msgspec.json.Encoder()


def encode_line(message: WorkerSetup | Order | Reply) -> bytes:
    """A message as a line of JSON."""
    return ENCODER.encode(message) + b"\n"
