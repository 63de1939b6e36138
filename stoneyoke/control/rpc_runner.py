"""Runs the retry policy of each open RPC step by step and tracks its attempts. Decides nothing itself."""

from functools import partial

from stoneyoke.control.actions import AddToCounter, CancelAttempt, StartAttempt
from stoneyoke.control.backend_selection import BackendSelector
from stoneyoke.control.context import DecisionContext
from stoneyoke.control.events import Arrival, AttemptEnded, ClientGone, CounterReply, ResponseStarted
from stoneyoke.control.open_rpc import STILL_WAITING, WAIT, InFlight, OpenRpc, Step
from stoneyoke.control.quotas import Quotas
from stoneyoke.control.retry_policy import RetryPolicy
from stoneyoke.limits.token_bucket import SECOND

STREAMING_RESUME_US = 3600 * SECOND  # next check of an RPC whose response has begun to arrive


class RpcRunner:
    """The open RPCs of a gateway. Each is a generator of RetryPolicy.serve, resumed with its last step's result."""

    def __init__(
        self, context: DecisionContext, policy: RetryPolicy, quotas: Quotas, backends: BackendSelector
    ) -> None:
        """Runs RPCs by `policy`; counts their attempts at the customers of `quotas` and at `backends`."""
        self.context, self.policy, self.quotas, self.backends = context, policy, quotas, backends
        self.open: dict[int, OpenRpc] = {}

    def start(self, arrival: Arrival) -> None:
        """Starts serving an RPC."""
        rpc = OpenRpc(arrival, self.context.now)
        self.open[arrival.rpc] = rpc
        rpc.steps = self.policy.serve(rpc)
        self.execute_step(rpc, next(rpc.steps))

    def resume(self, rpc: OpenRpc, result: AttemptEnded | CounterReply | None) -> None:
        """Resumes an RPC with a result, unless it has its final response."""
        rpc.query = None
        if rpc.steps and not rpc.has_final_response:
            self.execute_step(rpc, rpc.steps.send(result))

    def resume_due(self) -> None:
        """Resumes the RPCs whose next check is due."""
        for rpc in [r for r in self.open.values() if r.resume_at_us <= self.context.now]:
            self.resume(rpc, STILL_WAITING)

    def execute_step(self, rpc: OpenRpc, step: Step) -> None:
        """Executes the step that an RPC's policy has yielded."""
        if step is WAIT:
            return
        if isinstance(step, AddToCounter):
            rpc.query = step
            self.quotas.counter.add(step.name, step.amount, partial(self.query_replied, rpc, step))
            return
        self.context.actions.append(step)
        if isinstance(step, StartAttempt):
            self.attempt_started(rpc, step)
        elif not isinstance(step, CancelAttempt):
            rpc.has_final_response = True
            self.drop_if_done(rpc)

    def attempt_started(self, rpc: OpenRpc, step: StartAttempt) -> None:
        """Counts an attempt as in flight."""
        self.backends.table.by_index[step.backend].attempt_started(self.context.now)
        self.backends.concurrency.in_flight += 1
        self.quotas.customers[rpc.arrival.customer].in_flight += 1
        rpc.in_flight[rpc.attempts_started] = InFlight(step.backend, self.context.now)
        rpc.attempts_started += 1

    def attempt_ended(self, result: AttemptEnded) -> None:
        """Records an attempt's end and resumes its RPC. A result for an attempt that is not in flight is ignored."""
        rpc = self.open.get(result.rpc)
        if rpc is None or result.attempt not in rpc.in_flight:
            return
        attempt = rpc.in_flight.pop(result.attempt)
        was_overdue = rpc.overdue_counted == result.attempt + 1
        backend = self.backends.table.by_index[attempt.backend]
        backend.attempt_ended(was_overdue, result.outcome, self.context.now)
        self.backends.concurrency.in_flight -= 1
        customer = self.quotas.customers[rpc.arrival.customer]
        customer.in_flight -= 1
        # The actual cost comes with the first successful response.
        if self.context.parameters.settles_units and customer.plan.rate > 0 and result.settled_units > 0:
            customer.bucket.level += rpc.arrival.units - result.settled_units
        if attempt.started_at >= self.context.resumed_at:
            self.backends.measure(attempt, rpc.arrival.method, result.outcome)
        rpc.has_final_response = rpc.has_final_response or result.is_final
        self.resume(rpc, result)
        self.drop_if_done(rpc)

    def query_replied(self, rpc: OpenRpc, query: AddToCounter, reply: CounterReply) -> None:
        """Resumes an RPC with the counter's reply, unless it has timed out waiting for it."""
        if rpc.query is query and not rpc.has_final_response:
            self.resume(rpc, reply)

    def client_gone(self, event: ClientGone) -> None:
        """Marks an RPC as needing no response, and cancels its attempts in flight. They count until they have ended."""
        if rpc := self.open.get(event.rpc):
            rpc.has_final_response = True
            self.cancel_attempts(rpc)
            self.drop_if_done(rpc)

    def cancel_attempts(self, rpc: OpenRpc) -> None:
        """Cancels the attempts in flight of a client that is gone. A sent one that must not be interrupted goes on."""
        method = self.context.parameters.methods[rpc.arrival.method]
        only_unsent = not self.policy.ends_with_client(method)
        self.context.actions += [CancelAttempt(rpc.arrival.rpc, attempt, only_unsent) for attempt in rpc.in_flight]

    def response_started(self, event: ResponseStarted) -> None:
        """Stops the checks of an RPC whose response has begun to arrive: only the end of its attempt matters now."""
        if rpc := self.open.get(event.rpc):
            rpc.resume_at_us = self.context.now + STREAMING_RESUME_US

    def drop_if_done(self, rpc: OpenRpc) -> None:
        """Removes an RPC that has its final response and no attempt in flight."""
        if rpc.has_final_response and not rpc.in_flight:
            self.open.pop(rpc.arrival.rpc, None)
