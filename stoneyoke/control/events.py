"""Events: what a host reports to the decisions, one class for each. No logic here.

Times are whole microseconds. RPCs, methods, plans, customers and backends are small indices, assigned by
`runtime/id_index.py`.
"""

from dataclasses import dataclass, field

from stoneyoke.control.parameters import AttemptOutcome, BackendState, GatewayParameters


@dataclass(slots=True, kw_only=True)
class Arrival:
    """An RPC has arrived. It must get exactly one final response."""

    rpc: int
    method: int
    plan: int
    customer: int
    customer_id: int  # the customer's number, the same at every gateway
    wait_us: int  # how long the client still waits for the response
    units: float  # the cost that is charged to the customer's quota
    customer_gateways: float  # the number of gateways through which this customer's RPCs come
    is_retry: bool | None = None  # whether the client has sent this RPC before; None where clients don't mark retries


@dataclass(slots=True)
class ResponseStarted:
    """The response to an attempt has begun to arrive. The attempt is no longer cancelled for being slow."""

    rpc: int


@dataclass(slots=True, kw_only=True)
class AttemptEnded:
    """An attempt has ended."""

    rpc: int
    attempt: int  # the attempt's number within its RPC, from 0
    backend: int
    outcome: AttemptOutcome
    is_final: bool  # the client has its response or is gone: the RPC needs no further response
    settled_units: float  # the actual cost, where costs are settled after the RPC; else 0


@dataclass(slots=True)
class ClientGone:
    """The client of an RPC no longer waits for its response."""

    rpc: int


@dataclass(slots=True)
class CounterReply:
    """The shared counter's reply to an AddToCounter, or the report that none came."""

    name: int
    added: bool
    total: float  # after the addition; NaN without `added`: the query was lost because its connection failed


@dataclass(slots=True)
class TimerFired:
    """A timer set by SetTimer has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A backend, as discovery lists it."""

    backend: int
    zone: int
    cell: int
    started_us: int  # when its process started; 0: unknown, or long ago
    state: BackendState


@dataclass(frozen=True, slots=True)
class KnownBackend:
    """A backend that takes new attempts, with the names that all gateways share. Used in messages between gateways."""

    index: int
    name: str
    zone: str
    started_us: int


@dataclass(slots=True)
class EndpointsChanged:
    """Discovery has reported endpoints, or could not be read."""

    complete: bool  # the list is complete, so unlisted backends are gone; else it has only the ones that changed
    failed: bool  # the query failed: the endpoints known so far stay
    endpoints: list[Endpoint] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class PeerEvidence:
    """Decisions about backends that the gateways agreed on with one another."""

    ejected_backends: frozenset[int]  # backends that get no attempts
    probed: frozenset[int]  # backends that get the next attempt, before better ranked ones


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
