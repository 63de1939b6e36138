"""Drives one Gateway, the decision logic, in real time: delivers events, carries out actions, and fires timers.

It uses neither sockets nor the server's protocol, and makes no decisions. A server opens a request with
Runtime.open_request(), awaits PendingRequest.next_decision(), carries the decision out, reports the outcome of each
attempt with Runtime.attempt_ended(), and closes the request with Runtime.close_request().
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

from loguru import logger

from stoneyoke.control import Gateway
from stoneyoke.control.actions import (
    Action,
    AddToCounter,
    CancelAttempt,
    FailRpc,
    ForgetCustomer,
    Reject,
    SetTimer,
    StartAttempt,
)
from stoneyoke.control.events import (
    Arrival,
    AttemptEnded,
    ClientGone,
    CounterReply,
    EndpointsChanged,
    Event,
    TimerFired,
)
from stoneyoke.control.parameters import AttemptOutcome, GatewayParameters
from stoneyoke.runtime.client_departures import ClientDepartures
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.id_index import IdIndex
from stoneyoke.runtime.metrics import Metrics
from stoneyoke.runtime.pending_request import Decision, PendingRequest, RequestDescription

STALL_US = 100_000  # a timer that is this late shows that the process was stalled; a busy event loop delays it by 20 ms
STALL_RECOVERY_US = 50_000  # connections that were established during a stall are accepted within this time after it
CLIENT_GONE_IN_ATTEMPT = "clients gone: while an attempt was in flight"
CLIENT_GONE_BETWEEN_ATTEMPTS = "clients gone: while no attempt was in flight"
CATCH_UP_ITERATIONS = 8  # of the event loop; the longest endpoint list, 64 KiB, takes four to read


class AttemptObserver(Protocol):
    """Is notified of each attempt's start and end, as evidence of the backends' health."""

    def attempt_started(self, rpc: int, backend: int) -> None:
        """Notes that the decision logic has started an attempt at a backend."""

    def attempt_ended(self, rpc: int, outcome: AttemptOutcome) -> None:
        """Notes that the request's latest attempt has ended."""


class Runtime:
    """Delivers events to the decision logic and carries out the actions that it returns.

    Attributes:
        pending: The pending requests, by index.
        departures: The requests whose client disconnected during an attempt; the process sweeps them periodically.
        customers: The index of each customer that the decision logic has a row for.
        next_timer_at: When the timer that was set last is due.
        stalled_from: When the last stall of this process began; 0 before the first.
        stalled_until: When that stall ended; 0 before the first.
        send_to_counter: Carries out AddToCounter; set by the client of the counter service.
        attempt_observer: Is notified of attempts; set by the fleet component if there is one.
    """

    def __init__(self, parameters: GatewayParameters, clock: Clock, metrics: Metrics) -> None:
        """Starts the decision logic with its parameters."""
        self.parameters, self.clock, self.metrics = parameters, clock, metrics
        self.gateway = Gateway(parameters, clock.now())
        self.pending: dict[int, PendingRequest] = {}
        self.requests_opened = 0
        self.departures = ClientDepartures(metrics)
        self.customers = IdIndex[int]()  # released by ForgetCustomer
        self.next_timer_at = self.gateway.context.start_time
        self.stalled_from = self.stalled_until = 0
        self.send_to_counter: Callable[[AddToCounter], None] = lambda _: None
        self.attempt_observer: AttemptObserver | None = None

    # ---- time ----

    def arrival_time(self) -> int:
        """Returns the earliest time, in microseconds, at which input that is read now can have arrived.

        Clients go on sending while the process is stalled. An overdue timer shows a stall that is not recorded yet.
        A stall that ended less than STALL_RECOVERY_US ago may have left input that is still being read.
        """
        now = self.clock.now()
        if now - self.next_timer_at > STALL_US:
            return self.next_timer_at
        return self.stalled_from if now - self.stalled_until < STALL_RECOVERY_US else now

    async def catch_up(self) -> None:
        """After a stall, lets the event loop read the input that arrived during the stall.

        An endpoint list that waits on its socket must reach the decision logic before the next attempt starts.
        Otherwise, that attempt could go to a backend that has been draining for a long time.
        """
        if self.clock.now() - self.arrival_time() > STALL_US:
            for _ in range(CATCH_UP_ITERATIONS):
                await asyncio.sleep(0)

    def timer_fired(self, due_us: int, token: int) -> None:
        """Delivers a timer of the decision logic that has fired; records a stall if the timer is late."""
        now = self.clock.now()
        if now - due_us > STALL_US:
            self.stalled_from, self.stalled_until = due_us, now
            self.metrics.report("process stalled", f"for {(now - due_us) // 1000} ms; deadlines count from its start")
        self.dispatch(TimerFired(token))

    # ---- events ----

    def dispatch(self, event: Event) -> None:
        """Delivers an event to the decision logic and carries out the actions that follow from it."""
        try:
            actions = self.gateway.handle(event, self.clock.now())
        except Exception:  # outermost guard: an error in the decision logic loses this event, but not the gateway
            logger.exception("The decision logic failed on {}; the event is lost, the gateway continues.", event)
            self.metrics.check_invariant(False, "decision logic failed")
            actions = self.gateway.context.actions
        for action in actions:
            try:
                self.execute(action)
            except Exception:  # outermost guard: an error in one action must not prevent the other actions
                logger.exception("The action {} failed and is dropped; the gateway continues.", action)
                self.metrics.check_invariant(False, "action failed")

    def open_request(self, description: RequestDescription, deadline_us: int) -> PendingRequest:
        """Reports a request that has arrived to the decision logic.

        Args:
            description: The request's properties.
            deadline_us: The time until which its client waits for the response.
        """
        self.requests_opened += 1
        parameters = self.gateway.parameters
        # Computed independently of RetryPolicy.ends_with_client, whose decisions it is used to check.
        ends_with_client = parameters.can_cancel_attempts and parameters.methods[description.method].is_idempotent
        request = PendingRequest(self.requests_opened, self.clock, self, ends_with_client=ends_with_client)
        self.pending[request.index] = request
        self.dispatch(
            Arrival(
                rpc=request.index,
                method=description.method,
                plan=description.plan,
                customer=self.customers.acquire(description.customer_id),
                customer_id=description.customer_id,
                wait_us=max(0, deadline_us - self.clock.now()),
                units=description.units,
                customer_gateways=description.customer_gateways,
                is_retry=description.is_retry,
            )
        )
        return request

    def attempt_ended(self, request: PendingRequest, attempt: int, backend: int, outcome: AttemptOutcome) -> None:
        """Reports the outcome of an attempt to the decision logic."""
        if self.attempt_observer:
            self.attempt_observer.attempt_ended(request.index, outcome)
        self.dispatch(
            AttemptEnded(
                rpc=request.index,
                attempt=attempt,
                backend=backend,
                outcome=outcome,
                is_final=outcome is AttemptOutcome.OK or request.client_gone,
                settled_units=0.0,
            )
        )

    def client_gone(self, request: PendingRequest) -> None:
        """Reports to the decision logic, once, that the client has closed its connection."""
        if not request.client_gone:
            request.client_gone = True
            self.metrics.add(CLIENT_GONE_IN_ATTEMPT if request.has_attempt() else CLIENT_GONE_BETWEEN_ATTEMPTS)
            self.dispatch(ClientGone(request.index))
            self.departures.client_gone(request)
            request.wake()

    def orphaned_attempts(self) -> int:
        """Returns the number of attempts in flight whose client has disconnected."""
        return sum(request.client_gone and request.has_attempt() for request in self.pending.values())

    def cancel_attempts(self) -> None:
        """Cancels each attempt in flight, unless its server protects it (`Backends.may_cancel_attempts`)."""
        for request in list(self.pending.values()):
            if request.cancel_attempt:
                request.cancel_attempt(request.attempts_started - 1, False)

    def close_request(self, request: PendingRequest) -> None:
        """Closes a request whose response is decided, or whose client has disconnected.

        Decisions that the server has not taken are not carried out; an attempt among them is reported as not sent.
        """
        while request.decisions:
            decision = request.decisions.popleft()
            if isinstance(decision, StartAttempt):
                attempt = request.attempts_started
                request.attempts_started += 1
                self.attempt_ended(request, attempt, decision.backend, AttemptOutcome.NOT_SENT)
        self.pending.pop(request.index, None)
        self.departures.request_closed(request)
        self.metrics.check_invariant(
            request.client_gone or not self.gateway.is_open_rpc(request.index),
            "request closed while the decision logic holds it",
        )

    def counter_replied(self, name: int, added: bool, total: float) -> None:
        """Reports the counter service's reply to the decision logic (see CounterReply)."""
        self.dispatch(CounterReply(name, added, total))

    def endpoints_changed(self, change: EndpointsChanged) -> None:
        """Reports a new endpoint list, or changes to it, to the decision logic."""
        self.dispatch(change)

    def is_known_backend(self, backend: int) -> bool:
        """Whether the decision logic still has a row for a backend, so that its index is in use."""
        return self.gateway.is_known_backend(backend)

    # ---- actions ----

    def execute(self, action: Action) -> None:
        """Carries out one action of the decision logic."""
        match action:
            case StartAttempt() | Reject() | FailRpc():
                self.decide(action)
            case SetTimer(delay_us, token):
                self.next_timer_at = self.clock.now() + delay_us
                loop = asyncio.get_running_loop()
                loop.call_later(delay_us / 1_000_000, self.timer_fired, self.next_timer_at, token)
            case CancelAttempt(rpc, attempt, only_unsent):
                if (request := self.pending.get(rpc)) and request.cancel_attempt:
                    request.cancel_attempt(attempt, only_unsent)
            case AddToCounter():
                self.send_to_counter(action)
            case ForgetCustomer(customer):
                self.customers.release(customer)
            case _:  # Subscribe needs no action, because discovery reports each change through its long poll
                pass

    def decide(self, decision: Decision) -> None:
        """Passes a decision to the server that serves the request; drops it if the request is closed."""
        if request := self.pending.get(decision.rpc):
            if self.attempt_observer and isinstance(decision, StartAttempt):
                self.attempt_observer.attempt_started(decision.rpc, decision.backend)
            request.decide(decision)
