"""The rows of a ledger. Each is a JSON array: its kind, microseconds since the run's start, then the fields below.

Processes write rows with `LedgerWriter`. Rows of other kinds are not evaluated.
"""

from msgspec import Struct


class Row(Struct, array_like=True, frozen=True):
    """What all rows begin with."""

    at_us: int


class TrySent(Row, frozen=True, tag="rpc"):
    """A client sends a try. The same id again: the connection was closed under it, and it is sent once more."""

    id: str
    number: int  # of the client's request
    customer: int
    method: int
    gateway: str
    retries: int  # tries of the request before this one
    deadline_us: int


class TryEnded(Row, frozen=True, tag="ans"):
    """A try's response has come, or the client has stopped waiting for one."""

    id: str
    status: int  # HTTP status; NO_ANSWER or CONNECTION_CLOSED
    words: str  # the first two words of the response's body, or why there is none
    retry_after_s: float


class TryUnsent(Row, frozen=True, tag="unmet"):
    """A client could not connect to a gateway."""

    id: str
    number: int
    customer: int
    method: int
    gateway: str
    retries: int
    error: str


class AttemptArrived(Row, frozen=True, tag="call"):
    """A gateway's attempt arrives at a backend."""

    id: str
    backend: str
    connection: int


class AttemptAnswered(Row, frozen=True, tag="end"):
    """A backend has answered an attempt, or lost its answer."""

    id: str
    backend: str
    outcome: str  # starts with "unheard" if the connection was closed by then


class AttemptExecuted(Row, frozen=True, tag="ran"):
    """An attempt has its effect at a backend."""

    id: str
    backend: str
    idempotency_key: str


class EndpointsSent(Row, frozen=True, tag="told"):
    """Discovery has sent a gateway endpoints."""

    gateway: str
    index: int
    complete: bool  # an endpoint that is not in it is gone
    endpoints: list[tuple[str, str]]  # name and status


class BackendChanged(Row, frozen=True, tag="backend"):
    """A backend has started or crashed."""

    backend: str
    change: str


class FaultChanged(Row, frozen=True, tag="fault"):
    """A fault begins or ends."""

    number: int
    kind: str
    begins: bool
    processes: list[str]
    source: str  # globs of a link's ends; of other faults empty
    destination: str


class GatewayUse(Row, frozen=True, tag="use"):
    """What a gateway's process uses."""

    gateway: str
    memory_bytes: int
    descriptors: int
    cpu_s: float  # since the process started


class LoopLag(Row, frozen=True, tag="lag"):
    """How late the event loop of a process of the laboratory was."""

    process: str
    lag_ms: float


class CounterCall(Row, frozen=True, tag="count"):
    """The counter service has answered a call."""

    name: str
    value: float | None  # None: rejected


class BytesCarried(Row, frozen=True, tag="carried"):
    """What the TCP links of one process have carried."""

    bytes: int


class DatagramsCarried(Row, frozen=True, tag="between"):
    """What the UDP links of one process have carried."""

    bytes: int
    datagrams: int


class ProcessChanged(Row, frozen=True, tag="process"):
    """A gateway's process has started or ended, was sent a signal, or uses too much."""

    gateway: str
    change: str  # STARTED, ENDED, OVER_LIMITS or the name of a signal
    detail: int = 0  # the process's id; of ENDED the exit code; of OVER_LIMITS its memory in bytes
    expected: int | bool = False  # of ENDED: whether it was ordered to end; of OVER_LIMITS its descriptors


NO_ANSWER, CONNECTION_CLOSED = -1, -2  # in place of a status
GAVE_UP = "gave up"
STARTED, ENDED, OVER_LIMITS = "started", "ended", "over its limits"

LedgerRow = (
    TrySent
    | TryEnded
    | TryUnsent
    | AttemptArrived
    | AttemptAnswered
    | AttemptExecuted
    | EndpointsSent
    | BackendChanged
    | FaultChanged
    | GatewayUse
    | LoopLag
    | CounterCall
    | BytesCarried
    | DatagramsCarried
    | ProcessChanged
)
KINDS = frozenset(
    {
        "rpc", "ans", "unmet", "call", "end", "ran", "told", "backend", "fault", "use", "lag", "count", "carried",
        "between", "process",
    }
)  # fmt: skip
