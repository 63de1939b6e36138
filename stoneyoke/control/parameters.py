"""Parameters of one gateway: its methods, plans and limits, and the enums of outcomes and states.

Times are whole microseconds, costs are units of quota.
"""

from dataclasses import dataclass
from enum import Enum, IntEnum


class Idempotency(Enum):
    """Whether an RPC of a method may run more than once."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"  # backends within a scope recognise repeats for a while
    NON_IDEMPOTENT = "non-idempotent"


class DeduplicationScope(Enum):
    """Which backends recognise a repeat of a deduplicated RPC."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class AttemptOutcome(Enum):
    """How an attempt ended. PROVEN_NOT_RUN lists the outcomes after which the backend has not run the RPC.

    The values appear in counters that operators monitor, so they must not change.
    """

    OK = "ok"
    ERROR = "error"
    TIMED_OUT = "timed out"
    BROKEN = "broken"  # the connection failed after the request's first byte
    CANCELLED = "called off"
    CLIENT_GONE = "client gone"  # ended because its client is gone; it may have run
    REJECTED = "turned away"  # the backend states that it has not run the RPC
    NO_CONNECTION = "no connection"  # the backend accepted no connection at all: it may be gone
    CUT = "cut"  # the connection closed before the first byte, or was refused while others to this backend are open
    NOT_SENT = "not sent"  # the host gave it up before sending anything


# These outcomes alone prove that the backend has not run the RPC.
PROVEN_NOT_RUN = (AttemptOutcome.REJECTED, AttemptOutcome.NO_CONNECTION, AttemptOutcome.CUT, AttemptOutcome.NOT_SENT)
# After these outcomes the attempt does not count as a failure of the backend.
NO_FAULT = (
    AttemptOutcome.OK,
    AttemptOutcome.CANCELLED,
    AttemptOutcome.CLIENT_GONE,
    AttemptOutcome.REJECTED,
    AttemptOutcome.NOT_SENT,
)
# After these outcomes the attempt has cost the backend nothing.
NOT_REACHED = (AttemptOutcome.NO_CONNECTION, AttemptOutcome.NOT_SENT)


class BackendState(IntEnum):
    """A backend's state, as discovery reports it."""

    READY = 0
    GONE = 2
    DRAINING = 3  # finishes its attempts and gets no new ones


@dataclass(frozen=True, slots=True, kw_only=True)
class Method:
    """The properties of all RPCs of one method."""

    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    soft_deadline_us: int  # a response after this is worth less
    deadline_us: int  # total time a client waits, over all its retries
    deduplication_window_us: int  # how long backends recognise repeats
    utility: float  # value of a response within the soft deadline
    attempts_max: int = 0  # attempts for one RPC; 0: GatewayParameters.attempts_max applies

    @property
    def overdue_after_us(self) -> int:
        """The time after which an attempt without a response is overdue."""
        return self.soft_deadline_us * 3 // 5

    @property
    def is_idempotent(self) -> bool:
        """Whether an RPC may run any number of times."""
        return self.idempotency is Idempotency.IDEMPOTENT

    @property
    def is_deduplicated(self) -> bool:
        """Whether backends recognise a repeat, within the scope and the window."""
        return self.idempotency is Idempotency.DEDUPLICATED


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """A customer plan: its quota, its ceiling and its limit on concurrent attempts."""

    rate: float  # units per second; 0: no quota
    burst: float  # units
    price: float  # weight of the plan's RPCs relative to those of other plans
    concurrency_max: int  # attempts in flight over all gateways; 0: not limited
    ceiling_rate: float  # units per second that must never be exceeded; 0: no ceiling
    ceiling_burst: float  # units


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayParameters:
    """The parameters of one gateway, set at its start or by ParametersChanged."""

    seed: int
    gateways: int  # the number of gateways that share the backends
    own_index: int  # index of this gateway among them, from 0
    zone: int
    methods: tuple[Method, ...]
    plans: tuple[Plan, ...]
    attempts_max: int  # for one RPC
    can_cancel_attempts: bool
    has_counter: bool  # a shared counter exists
    clients_mark_retries: bool
    sends_retry_after: bool  # a rejection may state a retry time
    settles_units: bool  # an RPC's actual cost is reported with its response
    must_subscribe: bool  # discovery reports changes only after a Subscribe
    units_max: float  # the largest cost of an RPC
    cold_share: float  # share of its capacity that a backend has when it starts
    warm_up_us: int  # time from a backend's start to its full capacity
    overload_factor: float  # a cold backend that gets this many times its current capacity ...
    overload_window_us: int  # ... for this long fails permanently
    # The retry budget: retries credited per RPC and per second, and the most that accumulate. Depth 0: not limited.
    retry_budget_ratio: float = 0.0
    retry_budget_per_s: float = 0.0
    retry_budget_depth: float = 0.0
