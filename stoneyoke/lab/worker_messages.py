"""Messages between a run and its workers. Each is a line of JSON.

A worker is a process that runs stand-ins, clients, links or the gateways' supervisor. It first receives a setup, then
commands, and sends replies.
"""

from typing import Any

import msgspec
from msgspec import Struct

from stoneyoke.lab.addresses import Address, LinkAddresses
from stoneyoke.lab.plan import Arrival, Customer
from stoneyoke.lab.scenario import Backends, Clients, Counter, Fault, Method

# Names of workers. Their files in the ledger and their logs have the same names.
CLIENTS, SUPERVISOR, BACKENDS, COUNTER, DISCOVERY = "front", "keeper", "backends", "counter", "discovery"
LINKS_PREFIX = "links"  # a number follows

# ---- setups: the first line that a worker reads ----


class WorkerSetup(Struct, tag_field="kind", frozen=True, kw_only=True):
    """The fields of every setup."""

    name: str
    ledger: str = ""  # path of the worker's ledger file; filled in by the run


class PeerAddresses(Struct, array_like=True, frozen=True):
    """The UDP link to one gateway."""

    gateway: str  # the gateway's name
    address: Address  # where the gateway receives datagrams and sends from
    entry: Address  # where other gateways send datagrams for it


class LinksSetup(WorkerSetup, frozen=True, kw_only=True, tag="links"):
    """The links that one process runs."""

    links: list[LinkAddresses]
    peers: list[PeerAddresses]  # those of all gateways, as each UDP link identifies senders by their addresses
    index: int  # number of this process; it runs every `processes`-th UDP link, beginning with this number
    processes: int


class BackendSetup(Struct, array_like=True, frozen=True):
    """One backend."""

    name: str
    address: Address
    speed: float  # relative speed, about 1
    memory_groups: dict[str, str]  # by Method.group: the group of backends that shares idempotency keys with this one


class BackendsSetup(WorkerSetup, frozen=True, kw_only=True, tag="backends"):
    """The stand-ins for all backends."""

    seed: int
    methods: list[Method]
    settings: Backends
    backends: list[BackendSetup]


class CounterSetup(WorkerSetup, frozen=True, kw_only=True, tag="counter"):
    """The stand-in for the counter service."""

    addresses: list[Address]  # one for each of its halves
    settings: Counter


class AgentSetup(Struct, array_like=True, frozen=True):
    """The part of discovery that serves one gateway."""

    gateway: str  # the gateway's name
    address: Address
    delay_s: float  # from a change until it is visible to this gateway
    backend_addresses: list[str]  # where this gateway reaches each backend


class DiscoverySetup(WorkerSetup, frozen=True, kw_only=True, tag="discovery"):
    """The stand-in for discovery."""

    endpoints: list[dict[str, Any]]  # as the protocol lists them, without their addresses
    agents: list[AgentSetup]


class ClientsSetup(WorkerSetup, frozen=True, kw_only=True, tag="front"):
    """All clients."""

    seed: int
    gateways: list[str]  # names of the gateways
    entries: list[Address]  # where clients reach each gateway
    settings: Clients
    methods: list[Method]
    plans: list[str]  # names of the customer plans
    customers: list[Customer]
    arrivals: list[Arrival]


class SupervisorSetup(WorkerSetup, frozen=True, kw_only=True, tag="keeper"):
    """The supervisor of the gateways' processes."""

    out: str  # the run's folder
    max_descriptors: int
    max_memory_bytes: int


AnySetup = LinksSetup | BackendsSetup | CounterSetup | DiscoverySetup | ClientsSetup | SupervisorSetup

# ---- commands: from a run to a worker ----


class Command(Struct, tag_field="do", frozen=True):
    """A command from a run to a worker."""


class Begin(Command, frozen=True, tag="go"):
    """The run starts at this time of the monotonic clock."""

    at_ns: int


class ShutDown(Command, frozen=True, tag="end"):
    """The worker shuts down, with its child processes."""


class Drain(Command, frozen=True, tag="drain"):
    """The clients send no new requests, and reply once none is pending."""


class StartGateway(Command, frozen=True, tag="start"):
    """The supervisor starts a gateway."""

    name: str
    argv: list[str]
    env: dict[str, str]


class SignalGateway(Command, frozen=True, tag="signal"):
    """The supervisor sends a gateway a signal."""

    name: str
    signal: str  # such as SIGTERM
    ends: bool = False  # whether the gateway is expected to exit because of the signal


class ChangeEndpoint(Command, frozen=True, tag="list"):
    """Discovery changes an endpoint."""

    name: str
    status: str  # active, leaving or left
    since_ms: int = 0  # when the instance started, Unix time
    replaces: int | None = None  # for a new instance, the number of the backend whose address it takes over


class ChangeFault(Command, frozen=True):
    """A fault starts or ends."""

    number: int
    fault: Fault
    begins: bool


class ChangeLinkFault(ChangeFault, frozen=True, tag="link"):
    """A fault of the links between two sets of processes, which are globs of their names."""

    source: str
    destination: str


class ChangeBackendFault(ChangeFault, frozen=True, tag="backend"):
    """A fault of one backend."""

    name: str
    replacement: str  # name of the instance that replaces the backend, for faults that replace it


class ChangeCounterFault(ChangeFault, frozen=True, tag="counter"):
    """A fault of the counter service."""


class ChangeDiscoveryFault(ChangeFault, frozen=True, tag="discovery"):
    """A fault of discovery."""


class ChangeClientsFault(ChangeFault, frozen=True, tag="front"):
    """A fault of the clients."""


AnyCommand = (
    Begin
    | ShutDown
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
    """The worker listens and accepts commands."""


class Drained(Reply, frozen=True, tag="drained"):
    """The clients have drained: no request is pending."""


class GatewayExited(Reply, frozen=True, tag="died"):
    """A gateway's process has exited."""

    name: str
    code: int
    expected: bool  # whether a signal of the run was to make it exit
    lines: list[str]  # the last lines of its log if the exit was not expected


AnyReply = Ready | Drained | GatewayExited

SETUP_DECODER: msgspec.json.Decoder[AnySetup] = msgspec.json.Decoder(AnySetup)
COMMAND_DECODER: msgspec.json.Decoder[AnyCommand] = msgspec.json.Decoder(AnyCommand)
REPLY_DECODER: msgspec.json.Decoder[AnyReply] = msgspec.json.Decoder(AnyReply)
ENCODER = msgspec.json.Encoder()


def encode_line(message: WorkerSetup | Command | Reply) -> bytes:
    """Returns a message as a line of JSON."""
    return ENCODER.encode(message) + b"\n"
