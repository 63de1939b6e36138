"""Events: what a host tells the decisions, one type for each thing that happened. No logic here.

Times are whole microseconds. RPCs, methods, plans, customers and backends are small indices, which
`runtime/id_index.py` hands out.
"""

from dataclasses import dataclass, field

from stoneyoke.control.parameters import AttemptOutcome, BackendState, GatewayParameters


@dataclass(slots=True, kw_only=True)
class Arrival:
    """An RPC has arrived. From now on it is owed exactly one final answer."""

    rpc: int
    method: int
    plan: int
    customer: int
    customer_id: int  # the customer's number, the same at every gateway
    wait_us: int  # how long the client still waits for the answer
    units: float  # the cost that is charged to the customer's quota
    customer_gateways: float  # the number of gateways through which this customer's RPCs come
    is_retry: bool | None = None  # the client sends this RPC again; None where clients don't mark retries


@dataclass(slots=True)
class ResponseStarted:
    """The answer to an attempt has begun to arrive. The attempt is no longer cancelled for being slow."""

    rpc: int


@dataclass(slots=True, kw_only=True)
class AttemptEnded:
    """An attempt has ended."""

    rpc: int
    attempt: int  # the attempt's number within its RPC, from 0
    backend: int
    outcome: AttemptOutcome
    is_final: bool  # the client has its answer, or has gone: nothing more is owed for the RPC
    settled_units: float  # the true cost, where costs are settled after the RPC; else 0


@dataclass(slots=True)
class ClientGone:
    """The client of an RPC no longer waits for its answer."""

    rpc: int


@dataclass(slots=True)
class CounterReply:
    """The shared counter's reply to an AddToCounter, or the report that there was none."""

    name: int
    added: bool
    total: float  # after the addition; without `added`, NaN says that the query was lost with its connection


@dataclass(slots=True)
class TimerFired:
    """A timer set by SetTimer has come due."""

    token: int


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A backend, as discovery lists it."""

    backend: int
    zone: int
    cell: int
    started_us: int  # when its process started; 0: not known, or long ago
    state: BackendState


@dataclass(frozen=True, slots=True)
class KnownBackend:
    """A backend that takes new work, under the names shared by all gateways. Used in messages between gateways."""

    index: int
    name: str
    zone: str
    started_us: int


@dataclass(slots=True)
class EndpointsChanged:
    """Discovery has reported endpoints, or could not be read."""

    complete: bool  # backends that are not listed are gone; else these are only the ones that changed
    failed: bool  # the query failed: the endpoints known so far stay
    endpoints: list[Endpoint] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class PeerEvidence:
    """What the gateways have agreed on among each other about backends."""

    ejected_backends: frozenset[int]  # these get no attempts
    probed: frozenset[int]  # these get the next attempt, before better ranked ones


@dataclass(frozen=True, slots=True)
class ParametersChanged:
    """The gateway's parameters have changed. Methods keep their indices, new ones are appended."""

    parameters: GatewayParameters


Event = (
    Arrival
    | ResponseStarted
    | AttemptEnded
    | ClientGone
    | CounterReply
    | TimerFired
    | EndpointsChanged
    | PeerEvidence
    | ParametersChanged
)
