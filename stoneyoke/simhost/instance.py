"""One simulated gateway: its decision logic, and the mapping between its indices and the simulator's numbers."""

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

FINAL_ACTIONS = (
    actions.Reject,
    actions.FailRpc,
)  # after these the decision logic may have no state of the request any more


class Instance:
    """One simulated gateway. It converts the wire's events into those of the decision logic, and its actions back.

    Indices of requests and customers are released once the decision logic has no state of them any more. Indices of
    backends are never released, since discovery does not report that the simulator no longer uses a backend.
    """

    def __init__(self, number: int, parameters: GatewayParameters, now: int) -> None:
        """Starts the decision logic.

        Args:
            number: The instance's number on the wire.
            parameters: The parameters of the decision logic.
            now: The simulated time in microseconds.
        """
        self.number = number
        self.requests, self.backends, self.customers = IdIndex[int](), IdIndex[int](), IdIndex[int]()
        self.clients_gone: set[int] = set()  # indices of requests
        self.gateway = Gateway(parameters, now)

    # ---- events ----

    def handle(self, code: int, fields: Fields, batch: Batch, reply: Reply) -> None:
        """Handles one event. Events that the decision logic does not need are ignored.

        Raises:
            MalformedFrame: A field has a value that the protocol does not define.
        """
        handler = HANDLERS.get(code)
        if handler:
            handler(self, fields, batch, reply)

    def request_arrived(self, fields: Fields, batch: Batch, reply: Reply) -> None:
        """Handles ACCEPT: a client's request has arrived."""
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
        """Handles VERDICT: an attempt has ended. Its request may have ended before, and is then unknown here."""
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
        """Returns an attempt's outcome: CLIENT_GONE if it was cancelled because its client had gone.

        The simulator does not report why an attempt was cancelled.
        """
        ended_with_client = outcome is AttemptOutcome.CANCELLED and rpc in self.clients_gone
        return AttemptOutcome.CLIENT_GONE if ended_with_client else outcome

    def client_gone(self, fields: Fields, batch: Batch, reply: Reply) -> None:
        """Handles GONE: a client has gone."""
        rpc = self.requests.index_by_id.get(fields[1])
        if rpc is not None:
            self.clients_gone.add(rpc)
            self.dispatch_for_request(fields[1], events.ClientGone(rpc), batch, reply)

    def response_started(self, fields: Fields, batch: Batch, reply: Reply) -> None:
        """Handles FIRST: a streamed response has begun to arrive."""
        rpc = self.requests.index_by_id.get(fields[1])
        if rpc is not None:
            self.dispatch_for_request(fields[1], events.ResponseStarted(rpc), batch, reply)

    def timer_fired(self, fields: Fields, batch: Batch, reply: Reply) -> None:
        """Handles WAKEUP: a timer has expired."""
        self.dispatch(events.TimerFired(fields[1]), batch, reply)

    def counter_replied(self, fields: Fields, batch: Batch, reply: Reply) -> None:
        """Handles COUNT_RESULT: the counter service has replied."""
        _, name, _, outcome, total = fields
        added = OUTCOMES.get(outcome) is AttemptOutcome.OK
        self.dispatch(events.CounterReply(name, added, total), batch, reply)

    def discovery_failed(self, batch: Batch, reply: Reply) -> None:
        """Handles a failed discovery request: the list of backends stays as it is."""
        self.dispatch(events.EndpointsChanged(False, True), batch, reply)

    def endpoints_changed(self, mode: int, rows: list[Fields], batch: Batch, reply: Reply) -> None:
        """Handles a discovery response, which is a whole list of backends or changes to it."""
        endpoints = [
            events.Endpoint(self.backends.acquire(backend), zone, cell, started_us, BackendState(state))
            for cell, zone, _, _, backend, started_us, state in rows
        ]
        self.dispatch(events.EndpointsChanged(mode != LIST_UPDATE, False, endpoints), batch, reply)

    # ---- the decision logic ----

    def dispatch(self, event: events.Event, batch: Batch, reply: Reply) -> None:
        """Passes an event to the decision logic, and adds the actions that it returns to the reply."""
        for action in self.gateway.handle(event, batch.clock_us):
            self.add_action(action, reply)
            if isinstance(action, FINAL_ACTIONS):
                self.release_if_done(action.rpc)

    def dispatch_for_request(self, request: int, event: events.Event, batch: Batch, reply: Reply) -> None:
        """Passes an event of a request to the decision logic; then releases its index if it is unused."""
        self.dispatch(event, batch, reply)
        rpc = self.requests.index_by_id.get(request)
        if rpc is not None:
            self.release_if_done(rpc)

    def release_if_done(self, rpc: int) -> None:
        """Releases a request's index if the decision logic has no state of it any more."""
        if not self.gateway.is_open_rpc(rpc):
            self.clients_gone.discard(rpc)
            self.requests.release(rpc)

    def add_action(self, action: actions.Action, reply: Reply) -> None:
        """Adds an action to the reply, with the simulator's numbers in place of indices."""
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
                if only_unsent:  # nothing to cancel: the simulator sends each attempt at once
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
