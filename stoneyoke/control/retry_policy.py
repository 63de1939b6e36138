"""The life of one RPC: admission, attempts, retries and the final response. Each guarantee is a function here.

- No retry unless proven not run, or safe to repeat: `AttemptHistory.forbids_retry`, `.window_has_passed`
- Retry budget: `RetryPolicy.retry_budget_allows` checks it, `serve` credits and debits it. A single gateway has none.
- No retry that is too late or feeds an overload: `is_worth_retrying`. The host (runtime, net) enforces the deadline.
- Cancelling an attempt at a silent backend: `RetryPolicy.may_cancel`; one whose client is gone: `.ends_with_client`
- An RPC is rejected only if the client may safely send it again: `AttemptHistory.may_be_rejected`
"""

from stoneyoke.control.actions import CancelAttempt, FailRpc, Reject, StartAttempt
from stoneyoke.control.backend_selection import RANKING_CHANGES, BackendSelector
from stoneyoke.control.backend_table import Backend
from stoneyoke.control.context import DecisionContext
from stoneyoke.control.events import Arrival, AttemptEnded
from stoneyoke.control.open_rpc import STILL_WAITING, WAIT, AttemptSteps, OpenRpc, RpcSteps
from stoneyoke.control.parameters import NOT_REACHED, PROVEN_NOT_RUN, AttemptOutcome, DeduplicationScope, Method
from stoneyoke.control.quotas import Quotas
from stoneyoke.limits.token_bucket import SECOND, TokenBucket

CANCEL_RETRY_US = SECOND  # a cancelled attempt that has not ended after this is cancelled again
EXPIRING_RPC_SHARE = 0.1  # share of the concurrency limit for RPCs whose client will probably time out first
LATE_RETRY_SHARE = 0.4  # the same for retries past their soft deadline (0.3 and 0.5 each did worse in an incident)


class AttemptHistory:
    """An RPC's attempts so far, and which further attempts they allow."""

    def __init__(self, method: Method) -> None:
        """Starts without attempts."""
        self.method, self.tried = method, set[int]()
        self.not_run = True  # every attempt so far is proven not to have run
        self.reached_backend = False  # an attempt has used a backend's capacity
        # The first attempt that may have run, or the last one while all are proven not to have run.
        self.first_backend: Backend | None = None
        self.first_start = 0

    def attempt_started(self, backend: Backend, now: int) -> None:
        """Records the start of an attempt."""
        if self.not_run:
            self.first_backend, self.first_start = backend, now
        self.tried.add(backend.index)

    def attempt_ended(self, outcome: AttemptOutcome) -> None:
        """Records how an attempt ended."""
        self.reached_backend = self.reached_backend or outcome not in NOT_REACHED
        self.not_run = self.not_run and outcome in PROVEN_NOT_RUN

    def needs_deduplication(self) -> bool:
        """Whether the next attempt is safe only at a backend that recognises it as a repeat."""
        return not self.not_run and self.method.is_deduplicated

    def scope_backend(self) -> Backend | None:
        """Returns the backend in whose deduplication scope a retry must stay, None if any backend will do."""
        return self.first_backend if self.needs_deduplication() else None

    def forbids_retry(self) -> bool:
        """Whether a retry is forbidden: the RPC is non-idempotent, and an attempt may have run."""
        return not (self.not_run or self.method.is_idempotent or self.method.is_deduplicated)

    def window_has_passed(self, now: int) -> bool:
        """Whether the RPC may have run, and backends no longer recognise a repeat of it: it must not be retried."""
        return self.needs_deduplication() and now >= self.first_start + self.method.deduplication_window_us

    def may_retry_while_running(self, now: int) -> bool:
        """Whether the RPC may be retried although an attempt may still be running."""
        is_recognised = self.method.is_deduplicated and now < self.first_start + self.method.deduplication_window_us
        return self.method.is_idempotent or is_recognised

    def may_be_rejected(self) -> bool:
        """Whether the RPC may be rejected: a rejection means that the client can safely send it again."""
        method = self.method
        known_to_all = method.is_deduplicated and method.deduplication_scope is DeduplicationScope.ALL
        return self.not_run or method.is_idempotent or known_to_all


class RetryPolicy:
    """Serves each RPC by a generator, which yields the next step and is resumed with its result."""

    def __init__(self, context: DecisionContext, quotas: Quotas, backends: BackendSelector) -> None:
        """Starts with one retry in the budget: an earlier incarnation may have used up the rest."""
        parameters, self.context, self.quotas, self.backends = context.parameters, context, quotas, backends
        self.retry_budget = TokenBucket(parameters.retry_budget_per_s, parameters.retry_budget_depth, 1.0, context.now)
        self.mean_value = 0.0  # running mean of the RPCs' value per latency, see priority()

    def serve(self, rpc: OpenRpc) -> RpcSteps:
        """Serves one RPC, from its arrival to its final response."""
        arrival = rpc.arrival
        method = self.context.parameters.methods[arrival.method]
        customer = self.quotas.customer(arrival)
        customer.demand_units += arrival.units
        wait_us, reservation = yield from self.quotas.admit(rpc, customer)
        if wait_us > 0:
            yield Reject(arrival.rpc, self.quotas.compute_retry_after(customer, wait_us))
            return
        history, admission_share = AttemptHistory(method), self.admission_share(arrival)
        self.retry_budget.level += self.context.parameters.retry_budget_ratio
        for _ in range(method.attempts_max or self.context.parameters.attempts_max):
            backend = self.next_backend(history, admission_share)
            if backend is None:
                break
            if rpc.attempts_started == 0 and not reservation:
                customer.charge(arrival.units)
            self.retry_budget.level -= history.reached_backend
            result = yield from self.attempt(rpc, history, backend)
            if result.outcome is AttemptOutcome.OK:  # the RPC ran, but the client did not receive the response
                break
            history.attempt_ended(result.outcome)
            if history.forbids_retry() or not self.is_worth_retrying(rpc, history, result.outcome):
                break
        if reservation and rpc.attempts_started == 0:
            self.quotas.counter.add(reservation.name, -reservation.amount)  # the RPC was never forwarded
        yield self.final_action(arrival, history)

    def final_action(self, arrival: Arrival, history: AttemptHistory) -> Reject | FailRpc:
        """Returns the response to an RPC whose attempts all failed and that is not retried any more."""
        if not history.may_be_rejected():
            return FailRpc(arrival.rpc)
        # Retry after a soft deadline: by then a full fleet has finished its requests.
        return Reject(arrival.rpc, self.quotas.jittered(history.method.soft_deadline_us), True)

    def next_backend(self, history: AttemptHistory, share: float) -> Backend | None:
        """Returns the backend for the next attempt, None if there is none or no attempt is allowed."""
        if history.reached_backend and not self.retry_budget_allows():
            return None
        if history.window_has_passed(self.context.now):
            return None
        return self.backends.choose(history.tried, share, history.scope_backend(), history.method.deduplication_scope)

    def retry_budget_allows(self) -> bool:
        """Whether this gateway's part of the retry budget allows a retry. Only attempts that reach a backend use it."""
        unlimited = not self.context.parameters.retry_budget_depth
        return unlimited or self.retry_budget.fill(self.context.now) >= 1.0

    def attempt(self, rpc: OpenRpc, history: AttemptHistory, backend: Backend) -> AttemptSteps:
        """Runs one attempt to its end. Checks it when it is overdue, then each quarter of the overdue time."""
        history.attempt_started(backend, self.context.now)
        overdue_after_us = history.method.overdue_after_us
        rpc.resume_at_us = self.context.now + overdue_after_us
        result: AttemptEnded | None = yield StartAttempt(rpc.arrival.rpc, backend.index, 0)
        while result is STILL_WAITING:
            self.count_overdue(rpc, backend)
            if self.may_cancel(history, backend):
                rpc.resume_at_us = self.context.now + CANCEL_RETRY_US
                result = yield CancelAttempt(rpc.arrival.rpc, rpc.attempts_started - 1)
            else:
                rpc.resume_at_us = self.context.now + overdue_after_us // 4
                result = yield WAIT
        return result

    def count_overdue(self, rpc: OpenRpc, backend: Backend) -> None:
        """Counts an attempt as overdue, once. In an overloaded fleet this lowers the concurrency limit at once."""
        if rpc.overdue_counted >= rpc.attempts_started:
            return
        rpc.overdue_counted = rpc.attempts_started
        backend.overdue += 1
        self.backends.changes += RANKING_CHANGES  # the order is renewed at the next ranking check
        concurrency = self.backends.concurrency
        started_at = rpc.in_flight[rpc.attempts_started - 1].started_at
        if self.backends.is_typical(backend) and concurrency.is_overloaded() and started_at >= self.context.resumed_at:
            concurrency.adjust(1.0)

    def may_cancel(self, history: AttemptHistory, backend: Backend) -> bool:
        """Whether an overdue attempt is cancelled: its backend has been silent as long, while others respond."""
        # When all backends are overloaded, a retry would only add to the load.
        if self.backends.is_typical(backend) or not self.context.parameters.can_cancel_attempts:
            return False
        silent_us = self.context.now - backend.silent_since
        return silent_us >= history.method.overdue_after_us and history.may_retry_while_running(self.context.now)

    def ends_with_client(self, method: Method) -> bool:
        """Whether a sent attempt is cancelled when its client is gone: only if interrupting it does no harm."""
        return method.is_idempotent and self.context.parameters.can_cancel_attempts

    def is_worth_retrying(self, rpc: OpenRpc, history: AttemptHistory, outcome: AttemptOutcome) -> bool:
        """Whether a response can still be in time, and a retry would not just keep the fleet overloaded."""
        concurrency, deadline = self.backends.concurrency, rpc.arrived_at + rpc.arrival.wait_us
        too_late = self.context.now >= deadline - history.method.soft_deadline_us // 8
        adds_to_overload = not history.not_run and concurrency.is_overloaded()
        fleet_is_full = outcome is AttemptOutcome.REJECTED and concurrency.is_full()
        return not (too_late or adds_to_overload or fleet_is_full)

    def admission_share(self, arrival: Arrival) -> float:
        """Returns the share of the concurrency limit that an RPC may fill: less if it is late or of low value."""
        method = self.context.parameters.methods[arrival.method]
        statistics = self.context.methods[arrival.method]
        statistics.longest_wait_us = max(statistics.longest_wait_us, arrival.wait_us)
        if arrival.wait_us < 0.7 * statistics.mean_latency_us:
            return EXPIRING_RPC_SHARE
        is_retry = arrival.is_retry
        if is_retry is None:  # clients don't mark retries: a retry's remaining wait is shorter than a first request's
            is_retry = arrival.wait_us < 0.98 * statistics.longest_wait_us
        # The client has waited so long that no response can meet its soft deadline.
        if is_retry and method.deadline_us - arrival.wait_us > 0.8 * method.soft_deadline_us:
            return LATE_RETRY_SHARE
        return self.priority(arrival, method.utility, statistics.mean_latency_us)

    def priority(self, arrival: Arrival, utility: float, latency_us: float) -> float:
        """Returns a share from 0.6 to 1.0 that grows with the RPC's value per latency, relative to the mean RPC's."""
        value = utility * self.context.parameters.plans[arrival.plan].price * arrival.units / latency_us
        self.mean_value += (value - self.mean_value) * (0.02 if self.mean_value else 1.0)
        return min(1.0, 0.6 + 0.5 * value / self.mean_value) if self.mean_value > 0 else 1.0
