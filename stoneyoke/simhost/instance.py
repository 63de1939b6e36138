"""One simulated gateway: its decision logic, and the wire's numbers in place of its indices."""

from collections.abc import Callable

from stoneyoke.control import Gateway, actions, events
from stoneyoke.control.parameters import AttemptOutcome, BackendState, GatewayParameters
from stoneyoke.runtime.id_index import IdIndex
from stoneyoke.simhost.errors import MalformedFrame
from stoneyoke.simhost.wire import (
    CLIENT_RETRY_BIT,
    LIST_UPDATE,
    TIME_MAX_US,
    ActionCode,
    Batch,
    EventCode,
    Fields,
    Reply,
)

OUTCOMES = {
    200: AttemptOutcome.OK,
    500: AttemptOutcome.ERROR,
    503: AttemptOutcome.REJECTED,
    504: AttemptOutcome.TIMED_OUT,
    502: AttemptOutcome.NO_CONNECTION,
    598: AttemptOutcome.BROKEN,
    499: AttemptOutcome.CANCELLED,
    410: AttemptOutcome.NOT_SENT,
}

FINAL_ACTIONS = (actions.Reject, actions.FailRpc)  # the decision logic may hold nothing of a request after these


class Instance:
    """One simulated gateway. It turns the wire's events into the decision logic's, and the actions back.

    Indices of requests and customers are released once the decision logic holds nothing of them any more; those of
    backends are kept, since discovery never says that the simulator has finished with one.
    """

    def __init__(self, number: int, parameters: GatewayParameters, now: int) -> None:
        """Starts the decision logic.

        Args:
            number: The instance's number on the wire.
            parameters: The decision logic's.
            now: The simulated time in microseconds.
        """
        self.number = number
        self.requests, self.backends, self.customers = IdIndex[int](), IdIndex[int](), IdIndex[int]()
        self.clients_gone: set[int] = set()  # indices of requests
        self.gateway = Gateway(parameters, now)

    # ---- events ----

    def handle(self, code: int, fields: Fields, batch: Batch, reply: Reply) -> None:
        """Handles one event. Events that the decision logic has no use for are ignored.

        Raises:
            MalformedFrame: A field holds a value that the wire's page does not give.
        """
        handler = HANDLERS.get(code)
        if handler:
            handler(self, fields, batch, reply)

    def request_arrived(self, fields: Fields, batch: Batch, reply: Reply) -> None:
        """A client's request has come."""
        _, request, method, plan, customer, wait_us, units, customer_gateways, _, flags = fields
        marks_retries = self.gateway.parameters.clients_mark_retries
        arrival = events.Arrival(
            rpc=self.requests.acquire(request),
            method=method,
            plan=plan,
            customer=self.customers.acquire(customer),
            customer_id=customer,
            wait_us=wait_us,
            units=units,
            customer_gateways=customer_gateways,
            is_retry=bool(flags & CLIENT_RETRY_BIT) if marks_retries else None,
        )
        self.dispatch_for_request(request, arrival, batch, reply)

    def attempt_ended(self, fields: Fields, batch: Batch, reply: Reply) -> None:
        """An attempt has ended. Its request may be one that has been ended before."""
        _, request, _, _, attempt, backend, settled_units, outcome, is_final, *_ = fields
        if outcome not in OUTCOMES:
            raise MalformedFrame(f"frame {batch.number}: unknown outcome {outcome}")
        rpc = self.requests.index_by_id.get(request)
        if rpc is None:
            return
        ended = events.AttemptEnded(
            rpc=rpc,
            attempt=attempt,
            backend=self.backends.acquire(backend),
            outcome=self.resolve_outcome(rpc, OUTCOMES[outcome]),
            is_final=bool(is_final),
            settled_units=float(settled_units),
        )
        self.dispatch_for_request(request, ended, batch, reply)

    def resolve_outcome(self, rpc: int, outcome: AttemptOutcome) -> AttemptOutcome:
        """An attempt's outcome. The simulator doesn't say why an attempt was cancelled."""
        ended_with_client = outcome is AttemptOutcome.CANCELLED and rpc in self.clients_gone
        return AttemptOutcome.CLIENT_GONE if ended_with_client else outcome

    def client_gone(self, fields: Fields, batch: Batch, reply: Reply) -> None:
        """A client has gone."""
        rpc = self.requests.index_by_id.get(fields[1])
        if rpc is not None:
            self.clients_gone.add(rpc)
            self.dispatch_for_request(fields[1], events.ClientGone(rpc), batch, reply)

    def response_started(self, fields: Fields, batch: Batch, reply: Reply) -> None:
        """A streamed response has begun."""
        rpc = self.requests.index_by_id.get(fields[1])
        if rpc is not None:
            self.dispatch_for_request(fields[1], events.ResponseStarted(rpc), batch, reply)

    def timer_fired(self, fields: Fields, batch: Batch, reply: Reply) -> None:
        """A timer has come due."""
        self.dispatch(events.TimerFired(fields[1]), batch, reply)

    def counter_replied(self, fields: Fields, batch: Batch, reply: Reply) -> None:
        """The counter service has replied."""
        _, name, _, outcome, total = fields
        added = OUTCOMES.get(outcome) is AttemptOutcome.OK
        self.dispatch(events.CounterReply(name, added, total), batch, reply)

    def discovery_failed(self, batch: Batch, reply: Reply) -> None:
        """Discovery has not answered; the list stays."""
        self.dispatch(events.EndpointsChanged(False, True), batch, reply)

    def endpoints_changed(self, mode: int, rows: list[Fields], batch: Batch, reply: Reply) -> None:
        """Discovery has sent a whole list or changes to it."""
        endpoints = [
            events.Endpoint(self.backends.acquire(backend), zone, cell, started_us, BackendState(state))
            for cell, zone, _, _, backend, started_us, state in rows
        ]
        self.dispatch(events.EndpointsChanged(mode != LIST_UPDATE, False, endpoints), batch, reply)

    # ---- the decision logic ----

    def dispatch(self, event: events.Event, batch: Batch, reply: Reply) -> None:
        """Delivers an event and adds the actions that follow from it to the reply."""
        for action in self.gateway.handle(event, batch.clock_us):
            self.add_action(action, reply)
            if isinstance(action, FINAL_ACTIONS):
                self.release_if_done(action.rpc)

    def dispatch_for_request(self, request: int, event: events.Event, batch: Batch, reply: Reply) -> None:
        """Delivers a request's event; releases the request's index if nothing is held of it any more."""
        self.dispatch(event, batch, reply)
        rpc = self.requests.index_by_id.get(request)
        if rpc is not None:
            self.release_if_done(rpc)

    def release_if_done(self, rpc: int) -> None:
        """Releases a request's index if nothing is held of it any more."""
        if not self.gateway.holds(rpc):
            self.clients_gone.discard(rpc)
            self.requests.release(rpc)

    def add_action(self, action: actions.Action, reply: Reply) -> None:
        """Adds an action to the reply, in the wire's numbers."""
        requests = self.requests.id_by_index
        match action:
            case actions.StartAttempt(rpc, backend, limit_us):
                backend_id = self.backends.id_by_index[backend]
                reply.add(ActionCode.SEND, self.number, requests[rpc], backend_id, min(limit_us, TIME_MAX_US))
            case actions.Reject(rpc, retry_after_us):
                reply.add(ActionCode.DECLINE, self.number, requests[rpc], min(retry_after_us, TIME_MAX_US))
            case actions.FailRpc(rpc):
                reply.add(ActionCode.REPORT_FAILURE, self.number, requests[rpc])
            case actions.CancelAttempt(rpc, attempt, only_unsent):
                if only_unsent:  # the simulator sends an attempt at once
                    return
                reply.add(ActionCode.CALL_OFF, self.number, requests[rpc], attempt)
            case actions.SetTimer(delay_us, token):
                reply.add(ActionCode.TIMER, self.number, delay_us, token)
            case actions.AddToCounter(name, ttl_us, amount):
                reply.add(ActionCode.BUMP, self.number, name, ttl_us, amount)
            case actions.Subscribe():
                reply.add(ActionCode.OBSERVE, self.number, 1)
            case actions.ForgetCustomer(customer):
                self.customers.release(customer)


HANDLERS: dict[int, Callable[[Instance, Fields, Batch, Reply], None]] = {
    EventCode.ACCEPT: Instance.request_arrived,
    EventCode.VERDICT: Instance.attempt_ended,
    EventCode.GONE: Instance.client_gone,
    EventCode.FIRST: Instance.response_started,
    EventCode.WAKEUP: Instance.timer_fired,
    EventCode.COUNT_RESULT: Instance.counter_replied,
}
