"""The decision logic of one gateway under test, with the parameters and events that most tests share."""

from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from stoneyoke.control import Gateway
from stoneyoke.control.actions import Action, AddToCounter, Reject, StartAttempt
from stoneyoke.control.context import TICK_US
from stoneyoke.control.events import Arrival, AttemptEnded, CounterReply, Endpoint, EndpointsChanged, Event, TimerFired
from stoneyoke.control.parameters import (
    AttemptOutcome,
    BackendState,
    DeduplicationScope,
    GatewayParameters,
    Idempotency,
    Method,
    Plan,
)

Kind = TypeVar("Kind")

START = 1_000_000_000_000
METHODS = (
    Method(
        idempotency=Idempotency.IDEMPOTENT,
        deduplication_scope=DeduplicationScope.CELL,
        soft_deadline_us=1_000_000,
        deadline_us=2_500_000,
        deduplication_window_us=0,
        utility=1.0,
    ),
    Method(
        idempotency=Idempotency.DEDUPLICATED,
        deduplication_scope=DeduplicationScope.ZONE,
        soft_deadline_us=1_000_000,
        deadline_us=2_500_000,
        deduplication_window_us=2_000_000,
        utility=1.0,
    ),
    Method(
        idempotency=Idempotency.NON_IDEMPOTENT,
        deduplication_scope=DeduplicationScope.CELL,
        soft_deadline_us=1_000_000,
        deadline_us=2_500_000,
        deduplication_window_us=0,
        utility=1.0,
    ),
    Method(
        idempotency=Idempotency.DEDUPLICATED,
        deduplication_scope=DeduplicationScope.ALL,
        soft_deadline_us=1_000_000,
        deadline_us=2_500_000,
        deduplication_window_us=2_000_000,
        utility=1.0,
    ),
)


def plan(  # noqa: PLR0913 -- a builder: each argument is one thing that a test varies
    rate: float = 4.0,
    burst: float = 12.0,
    concurrency_max: int = 0,
    ceiling_rate: float = 0.0,
    ceiling_burst: float = 0.0,
    price: float = 1.0,
) -> Plan:
    """A plan; rates in units a second."""
    return Plan(
        rate=rate,
        burst=burst,
        price=price,
        concurrency_max=concurrency_max,
        ceiling_rate=ceiling_rate,
        ceiling_burst=ceiling_burst,
    )


def parameters(plans: tuple[Plan, ...] | None = None, **changes: Any) -> GatewayParameters:
    """Parameters of one gateway of three, with changes by name."""
    values: dict[str, Any] = {
        "seed": 7,
        "gateways": 3,
        "own_index": 0,
        "zone": 0,
        "methods": METHODS,
        "plans": plans or (plan(),),
        "attempts_max": 5,
        "can_cancel_attempts": True,
        "has_counter": True,
        "clients_mark_retries": False,
        "sends_retry_after": True,
        "settles_units": False,
        "must_subscribe": False,
        "units_max": 0.5,
        "cold_share": 0.25,
        "warm_up_us": 10_000_000,
        "overload_factor": 2.0,
        "overload_window_us": 1_500_000,
    }
    return GatewayParameters(**(values | changes))


class DecisionBench:
    """Drives one gateway's decision logic, and logs every action with its time."""

    def __init__(self, fleet: int = 6, started: dict[int, int] | None = None, **changes: Any) -> None:
        """Creates a gateway with `fleet` backends in two zones.

        Args:
            fleet: Number of backends.
            started: Start times of some backends, by index.
            changes: Gateway parameters that differ from the defaults.
        """
        self.now, self.next_rpc = START, 0
        self.log: list[tuple[int, Action]] = []
        self.gateway = Gateway(parameters(**changes), START)
        started = started or {}
        self.dispatch(
            EndpointsChanged(
                True, False, [Endpoint(i, i % 2, i % 3, started.get(i, 0), BackendState.READY) for i in range(fleet)]
            )
        )

    def dispatch(self, event: Event) -> list[Action]:
        """Handles an event now."""
        actions = self.gateway.handle(event, self.now)
        self.log += [(self.now, action) for action in actions]
        return actions

    def arrive(  # noqa: PLR0913 -- a builder: each argument is one thing that a test varies
        self,
        method: int = 0,
        customer: int = 0,
        units: float = 1.0,
        customer_gateways: float = 3.0,
        wait_us: int = 2_500_000,
        plan: int = 0,
        is_retry: bool | None = None,
    ) -> list[Action]:
        """Lets an RPC arrive, with the next number. Returns the actions."""
        self.next_rpc += 1
        return self.dispatch(
            Arrival(
                rpc=self.next_rpc,
                method=method,
                plan=plan,
                customer=customer,
                customer_id=1000 + customer,
                wait_us=wait_us,
                units=units,
                customer_gateways=customer_gateways,
                is_retry=is_retry,
            )
        )

    def end_attempt(  # noqa: PLR0913 -- a builder: each argument is one thing that a test varies
        self,
        rpc: int,
        attempt: int,
        backend: int,
        outcome: AttemptOutcome = AttemptOutcome.OK,
        is_final: bool | None = None,
        units: float = 0.0,
    ) -> list[Action]:
        """Ends an attempt. Unless `is_final` says otherwise, it is final if it succeeded. Returns the actions."""
        return self.dispatch(
            AttemptEnded(
                rpc=rpc,
                attempt=attempt,
                backend=backend,
                outcome=outcome,
                is_final=outcome is AttemptOutcome.OK if is_final is None else is_final,
                settled_units=units,
            )
        )

    def pass_time(self, microseconds: int, answer: Callable[[Action], Event | None] | None = None) -> list[Action]:
        """Lets time pass with a timer event at each tick; answer(action) may return an event as its response."""
        until, out = self.now + microseconds, list[Action]()
        while self.now < until:
            self.now = min(until, self.now + TICK_US - self.now % TICK_US)
            actions = self.dispatch(TimerFired(0))
            out += actions
            for action in actions:
                if answer and (event := answer(action)):
                    self.dispatch(event)
        return out


def actions_of(kind: type[Kind], actions: Iterable[Any]) -> list[Kind]:
    """The actions of one type."""
    return [action for action in actions if isinstance(action, kind)]


def attempts_in(actions: Iterable[Any]) -> list[StartAttempt]:
    """The attempts that are started."""
    return actions_of(StartAttempt, actions)


def exhaust_quota(bench: DecisionBench, **arrival: Any) -> Reject:
    """Sends RPCs, whose attempts succeed at once, until the first rejection, and returns that."""
    while not (rejections := actions_of(Reject, bench.arrive(**arrival))):
        bench.end_attempt(bench.next_rpc, 0, attempts_in([action for _, action in bench.log])[-1].backend)
    return rejections[0]


def counter_total(total: float) -> Callable[[Action], Event | None]:
    """Returns a counter for pass_time that always replies with this total."""

    def answer(action: Action) -> Event | None:
        return CounterReply(action.name, True, total) if isinstance(action, AddToCounter) else None

    return answer


def query_lost(action: Action) -> Event | None:
    """Reports to pass_time that a counter query got no reply."""
    return CounterReply(action.name, False, 0.0) if isinstance(action, AddToCounter) else None


def gateways_of_one_fleet(gateways: int, **changes: Any) -> list[DecisionBench]:
    """Returns gateways that share the backends, each with its own index and seed."""
    return [DecisionBench(gateways=gateways, own_index=i, seed=i, **changes) for i in range(gateways)]


def start_rpcs(bench: DecisionBench, number: int, **arrival: Any) -> list[StartAttempt]:
    """Starts one RPC for each of `number` customers, and returns their attempts."""
    return [attempts_in(bench.arrive(customer=100 + i, **arrival))[0] for i in range(number)]
