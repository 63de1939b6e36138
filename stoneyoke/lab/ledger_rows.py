"""The rows of a ledger. Each is a JSON array: its kind, microseconds since the run's start, then the fields below.

Processes write rows with `LedgerWriter`. They also write rows of kinds that are not listed here; nothing evaluates
those.
"""

from msgspec import Struct


class Row(Struct, array_like=True, frozen=True):
    """The fields that all rows begin with."""

    at_us: int


class TrySent(Row, frozen=True, tag="rpc"):
    """A client sends a try.

    A second row with the same id means that the connection was closed during the try, and that it was sent again.
    """

    id: str
    number: int  # the number of the client's request
    customer: int
    method: int
    gateway: str
    retries: int  # how many tries of the request were made before this one
    deadline_us: int


class TryEnded(Row, frozen=True, tag="ans"):
    """A client has received the response to a try, has stopped waiting for it, or its connection was closed."""

    id: str
    status: int  # the HTTP status, NO_ANSWER or CONNECTION_CLOSED
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
    """A backend has responded to an attempt, or a fault has dropped its response."""

    id: str
    backend: str
    outcome: str  # starts with "unheard" if the connection was closed before the response was sent


class AttemptExecuted(Row, frozen=True, tag="ran"):
    """A backend executes an attempt, so that it has its effect."""

    id: str
    backend: str
    idempotency_key: str


class EndpointsSent(Row, frozen=True, tag="told"):
    """Discovery has sent endpoints to a gateway."""

    gateway: str
    index: int
    complete: bool  # true: endpoints that are not listed no longer exist
    endpoints: list[tuple[str, str]]  # name and status


class BackendChanged(Row, frozen=True, tag="backend"):
    """A backend has started or crashed."""

    backend: str
    change: str


class FaultChanged(Row, frozen=True, tag="fault"):
    """A fault starts or ends."""

    number: int
    kind: str
    begins: bool
    processes: list[str]
    source: str  # glob of a link's one end; empty for other faults
    destination: str  # glob of its other end


class GatewayUse(Row, frozen=True, tag="use"):
    """The resources that a gateway's process uses."""

    gateway: str
    memory_bytes: int
    descriptors: int
    cpu_s: float  # since the process started


class LoopLag(Row, frozen=True, tag="lag"):
    """The delay of a timer in the event loop of one of the laboratory's processes."""

    process: str
    lag_ms: float


class CounterCall(Row, frozen=True, tag="count"):
    """The counter service has replied to a call."""

    name: str
    value: float | None  # the counter's total; None: the call was rejected


class BytesCarried(Row, frozen=True, tag="carried"):
    """How much data the TCP links of one process have received, in both directions."""

    bytes: int


class DatagramsCarried(Row, frozen=True, tag="between"):
    """How much data the UDP links of one process have received."""

    bytes: int
    datagrams: int


class ProcessChanged(Row, frozen=True, tag="process"):
    """A gateway's process has started or exited, was sent a signal, or exceeds its limits."""

    gateway: str
    change: str  # STARTED, EXITED, OVER_LIMITS or the name of a signal
    detail: int = 0  # the process id; for EXITED the exit code; for OVER_LIMITS the memory in bytes
    expected: int | bool = False  # for EXITED whether the run stopped it; for OVER_LIMITS its open descriptors


NO_ANSWER, CONNECTION_CLOSED = -1, -2  # in place of a status
GAVE_UP = "gave up"
STARTED, EXITED, OVER_LIMITS = "started", "ended", "over its limits"

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
