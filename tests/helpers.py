"""The decision logic of one gateway under test, with the parameters and events that most tests share."""

from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from stoneyoke.control import Gateway
from stoneyoke.control.actions import Action, StartAttempt
from stoneyoke.control.events import Arrival, AttemptEnded, Endpoint, EndpointsChanged, Event, TimerFired
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
    parallel: int = 0,
    ceiling_rate: float = 0.0,
    ceiling_burst: float = 0.0,
    price: float = 1.0,
) -> Plan:
    return Plan(
        rate=rate,
        burst=burst,
        price=price,
        concurrency_max=parallel,
        ceiling_rate=ceiling_rate,
        ceiling_burst=ceiling_burst,
    )


def parameters(plans: tuple[Plan, ...] | None = None, **changes: Any) -> GatewayParameters:
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
        "advises_wait": True,
        "settles_units": False,
        "must_subscribe": False,
        "units_max": 0.5,
        "cold_share": 0.25,
        "warm_up_us": 10_000_000,
        "overload_factor": 2.0,
        "overload_window_us": 1_500_000,
    }
    return GatewayParameters(**(values | changes))


class Bench:
    """Drives one gateway's decision logic, and keeps every action with its time."""

    def __init__(self, fleet: int = 6, started: dict[int, int] | None = None, **changes: Any) -> None:
        self.now, self.next_rpc = START, 0
        self.log: list[tuple[int, Action]] = []
        self.gateway = Gateway(parameters(**changes), START)
        started = started or {}
        self.tell(
            EndpointsChanged(
                True, False, [Endpoint(i, i % 2, i % 3, started.get(i, 0), BackendState.READY) for i in range(fleet)]
            )
        )

    def tell(self, event: Event) -> list[Action]:
        actions = self.gateway.handle(event, self.now)
        self.log += [(self.now, action) for action in actions]
        return actions

    def arrive(  # noqa: PLR0913 -- a builder: each argument is one thing that a test varies
        self,
        method: int = 0,
        customer: int = 0,
        units: float = 1.0,
        width: float = 3.0,
        wait: int = 2_500_000,
        plan: int = 0,
        repeat: bool | None = None,
    ) -> list[Action]:
        self.next_rpc += 1
        return self.tell(
            Arrival(
                rpc=self.next_rpc,
                method=method,
                plan=plan,
                customer=customer,
                customer_id=1000 + customer,
                wait_us=wait,
                units=units,
                customer_gateways=width,
                is_retry=repeat,
            )
        )

    def end(  # noqa: PLR0913 -- a builder: each argument is one thing that a test varies
        self,
        rpc: int,
        n: int,
        backend: int,
        outcome: AttemptOutcome = AttemptOutcome.OK,
        closed: bool | None = None,
        units: float = 0.0,
    ) -> list[Action]:
        closed = outcome is AttemptOutcome.OK if closed is None else closed
        return self.tell(
            AttemptEnded(rpc=rpc, attempt=n, backend=backend, outcome=outcome, is_final=closed, settled_units=units)
        )

    def pass_time(self, microseconds: int, answer: Callable[[Action], Event | None] | None = None) -> list[Action]:
        """Lets time pass with a timer at each tick; answer(action) may return an event for an action."""
        until, out = self.now + microseconds, list[Action]()
        while self.now < until:
            self.now = min(until, self.now + 50_000 - self.now % 50_000)
            actions = self.tell(TimerFired(0))
            out += actions
            for action in actions:
                if answer and (event := answer(action)):
                    self.tell(event)
        return out


def of(kind: type[Kind], actions: Iterable[Any]) -> list[Kind]:
    return [a for a in actions if isinstance(a, kind)]


def sent(actions: Iterable[Any]) -> list[StartAttempt]:
    return of(StartAttempt, actions)
