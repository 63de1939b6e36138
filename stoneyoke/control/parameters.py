"""What one gateway is given at its start: its methods, plans and bounds, and the words for outcomes and states.

Times are whole microseconds.
"""

from dataclasses import dataclass
from enum import Enum, IntEnum


class Idempotency(Enum):
    """Whether a method may run more than once."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"
    NON_IDEMPOTENT = "non-idempotent"


class DeduplicationScope(Enum):
    """Which backends drop repeats of a deduplicated RPC."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class AttemptOutcome(Enum):
    """How a call-out ended. The first five may have run; the last four never did."""

    OK = "ok"
    ERROR = "error"
    TIMED_OUT = "timed out"
    BROKEN = "broken"
    CANCELLED = "called off"
    REJECTED = "turned away"
    NO_CONNECTION = "no connection"  # nobody took one: the backend may be gone
    CUT = "cut"  # broke before the first byte, or was not taken though others to this backend stay open
    NOT_SENT = "not sent"


class BackendState(IntEnum):
    """A backend's state, as discovery tells it."""

    READY = 0
    GONE = 2
    DRAINING = 3


@dataclass(frozen=True, slots=True)
class Method:
    """What holds for all RPCs of one method."""

    effect: Idempotency
    group: DeduplicationScope
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
class GatewayParameters:
    """What holds for the whole life of one gateway instance."""

    seed: int
    gateways: int
    own_index: int
    zone: int
    methods: tuple[Method, ...]
    plans: tuple[Plan, ...]
    attempts_max: int
    can_cancel_attempts: bool
    has_counter: bool
    marks_repeats: bool  # clients say which of their tries are later ones
    advises: bool  # a pushback may say when to return
    settles: bool
    must_subscribe: bool
    units_max: float
    cold_share: float
    warm_up_us: int
    overload_factor: float
    overload_window_us: int
    # Call-outs beyond an RPC's first: units earned by an RPC, and by a second; held at most. 0: not limited.
    retry_budget_ratio: float = 0.0
    retry_budget_per_s: float = 0.0
    retry_budget_depth: float = 0.0
