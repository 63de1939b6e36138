"""What the decisions are told: one typed event for each thing that happened. No logic here.

Times are whole microseconds. RPCs, backends and customers are small indices, given by runtime/id_index.py.
"""

from dataclasses import dataclass, field

from stoneyoke.control.parameters import AttemptOutcome, BackendState, GatewayParameters


@dataclass(slots=True)
class Arrival:
    """An RPC that now needs exactly one final answer."""

    rpc: int
    method: int
    plan: int
    customer: int
    account: int  # the customer's number, the same at every gateway
    wait_us: int  # how long the client still waits
    units: float
    width: float  # gateways that this customer's RPCs come through
    repeat: bool | None = None  # a client's later try; None where they don't say


@dataclass(slots=True)
class AnswerStarted:
    """A call-out's answer has begun to arrive."""

    rpc: int


@dataclass(slots=True)
class AttemptEnded:
    """A call-out has ended, with its outcome."""

    rpc: int
    n: int
    backend: int
    outcome: AttemptOutcome
    closed: bool  # nothing more is owed for the RPC
    units: float  # the true cost where units are settled afterwards, else 0


@dataclass(slots=True)
class ClientGone:
    """The client of an RPC waits no more."""

    rpc: int


@dataclass(slots=True)
class CounterReply:
    """The counter's answer to an AddCount."""

    name: int
    added: bool
    total: float  # nan: not known; without added: the call was lost with its connection


@dataclass(slots=True)
class TimerFired:
    """A timer that was set has come due."""

    token: int


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A backend, as a list of them has it."""

    backend: int
    zone: int
    cell: int
    started_us: int
    state: BackendState


@dataclass(frozen=True, slots=True)
class KnownBackend:
    """A backend that takes new work, for the fleet part: it goes by names that are the same everywhere."""

    index: int
    name: str
    zone: str
    started_us: int


@dataclass(slots=True)
class EndpointsChanged:
    """A list of backends: whole, or only what changed. failed: the call for it failed, the old one stays."""

    whole: bool
    failed: bool
    entries: list[Endpoint] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class PeerEvidence:
    """What other gateways make of backends: those to leave out, and those to try before others."""

    left_out: frozenset[int]
    probed: frozenset[int]


@dataclass(frozen=True, slots=True)
class ParametersChanged:
    """The terms have changed. Methods keep their numbers, new ones follow."""

    parameters: GatewayParameters


Event = (
    Arrival
    | AnswerStarted
    | AttemptEnded
    | ClientGone
    | CounterReply
    | TimerFired
    | EndpointsChanged
    | PeerEvidence
    | ParametersChanged
)
