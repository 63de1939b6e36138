"""What the control module is given at start, what it is told, and what it may ask for. No logic here.

Times are whole microseconds. RPCs, backends and customers are small indices, handed out at the door.
"""

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Effect(Enum):
    """Whether a method may run more than once."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"
    NON_IDEMPOTENT = "non-idempotent"


class Group(Enum):
    """Which backends drop repeats of a deduplicated RPC."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How a call-out ended. The first five may have run; the last four never did."""

    OK = "ok"
    ERROR = "error"
    TIMED_OUT = "timed out"
    BROKEN = "broken"
    CALLED_OFF = "called off"
    TURNED_AWAY = "turned away"
    NO_CONNECTION = "no connection"  # nobody took one: the backend may be gone
    CUT = "cut"  # broke before the first byte, or was not taken though others to this backend stay open
    NOT_SENT = "not sent"


class State(IntEnum):
    """A backend's state, as discovery tells it."""

    READY = 0
    GONE = 2
    DRAINING = 3


@dataclass(frozen=True, slots=True)
class Method:
    """What holds for all RPCs of one method."""

    effect: Effect
    group: Group
    soft_us: int
    deadline_us: int  # over all tries of a client
    memory_us: int
    utility: float
    tries: int = 0  # call-outs at most; 0: as the terms say


@dataclass(frozen=True, slots=True)
class Plan:
    """One customer plan: quota, burst, ceiling and the number of call-outs out at once."""

    rate: float
    burst: float
    price: float
    parallel: int
    ceiling_rate: float
    ceiling_burst: float


@dataclass(frozen=True, slots=True)
class Terms:
    """What holds for the whole life of one gateway instance."""

    seed: int
    gateways: int
    own_index: int
    zone: int
    methods: tuple[Method, ...]
    plans: tuple[Plan, ...]
    call_outs_max: int
    can_call_off: bool
    has_counter: bool
    marks_repeats: bool  # clients say which of their tries are later ones
    advises: bool  # a pushback may say when to return
    settles: bool
    must_subscribe: bool
    units_top: float
    cold_share: float
    warm_up_us: int
    push_over_factor: float
    push_over_us: int
    # Call-outs beyond an RPC's first: units earned by an RPC, and by a second; held at most. 0: not limited.
    further_ratio: float = 0.0
    further_rate: float = 0.0
    further_depth: float = 0.0


# ---- events: what the control module is told ----


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
class StreamBegun:
    """A call-out's answer has begun to arrive."""

    rpc: int


@dataclass(slots=True)
class CallOutEnded:
    """A call-out has ended, with its outcome."""

    rpc: int
    n: int
    backend: int
    outcome: Outcome
    closed: bool  # nothing more is owed for the RPC
    units: float  # the true cost where units are settled afterwards, else 0


@dataclass(slots=True)
class ClientGone:
    """The client of an RPC waits no more."""

    rpc: int


@dataclass(slots=True)
class CountAnswer:
    """The counter's answer to an AddCount."""

    name: int
    added: bool
    total: float  # nan: not known; without added: the call was lost with its connection


@dataclass(slots=True)
class TimerFired:
    """A timer that was set has come due."""

    token: int


@dataclass(frozen=True, slots=True)
class Listed:
    """A backend, as a list of them has it."""

    backend: int
    zone: int
    cell: int
    started_us: int
    state: State


@dataclass(frozen=True, slots=True)
class Known:
    """A backend that takes new work, for the fleet part: it goes by names that are the same everywhere."""

    index: int
    name: str
    zone: str
    started_us: int


@dataclass(slots=True)
class FleetNews:
    """A list of backends: whole, or only what changed. failed: the call for it failed, the old one stays."""

    whole: bool
    failed: bool
    entries: list[Listed] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Hearsay:
    """What other gateways make of backends: those to leave out, and those to try before others."""

    left_out: frozenset[int]
    probed: frozenset[int]


@dataclass(frozen=True, slots=True)
class NewTerms:
    """The terms have changed. Methods keep their numbers, new ones follow."""

    terms: Terms


Event = Arrival | StreamBegun | CallOutEnded | ClientGone | CountAnswer | TimerFired | FleetNews | Hearsay | NewTerms


# ---- actions: what the control module asks for ----


@dataclass(slots=True)
class CallOut:
    """Send the RPC to this backend."""

    rpc: int
    backend: int
    limit_us: int  # 0: as long as the client waits


@dataclass(slots=True)
class PushBack:
    """Answer the RPC with a time after which to return."""

    rpc: int
    wait_us: int
    pressed: bool = field(default=False, repr=False)  # the back end is, not the customer's quota


@dataclass(slots=True)
class Abort:
    """End an RPC whose answer can't be completed."""

    rpc: int


@dataclass(slots=True)
class CallOff:
    """Stop a call-out that is no longer needed."""

    rpc: int
    n: int


@dataclass(slots=True)
class SetTimer:
    """Tell of a TimerFired with this token after the delay."""

    delay_us: int
    token: int


@dataclass(slots=True)
class AddCount:
    """Add an amount to a counter's value, and tell its total."""

    name: int
    life_us: int
    amount: float


@dataclass(slots=True)
class Subscribe:
    """Ask discovery to tell of changes from now on."""


@dataclass(slots=True)
class Forget:
    """The door may give this customer's index to another."""

    customer: int


Action = CallOut | PushBack | Abort | CallOff | SetTimer | AddCount | Subscribe | Forget
