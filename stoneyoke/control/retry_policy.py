"""The life of one RPC: admission, attempts, retries and the final answer. Each guarantee is a function here.

- Never sent again unless proven not run, or harmless: `AttemptHistory.forbids_retry`, `.window_has_passed`
- Retry budget: `RetryPolicy.retry_budget_allows` checks, `serve` credits and debits. Single gateway: none.
- No retry too late, or into an overload: `is_worth_retrying`. The deadline itself holds in the host (runtime, net).
- Cancelling an attempt at a silent backend: `RetryPolicy.may_cancel`; one whose client has gone: `.ends_with_client`
- Rejected only if the client may safely send it again: `AttemptHistory.may_be_rejected`
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

CANCEL_RETRY_US = SECOND  # a cancelled attempt ends within this, or is cancelled again
EXPIRING_RPC_SHARE = 0.1  # of the concurrency limit: for RPCs whose client will probably time out before the answer
LATE_RETRY_SHARE = 0.4  # for retries too late for their soft deadline (0.5 and 0.3 each lost on one kind of incident)


class AttemptHistory:
    """What an RPC's attempts so far leave open to the next one."""

    def __init__(self, method: Method) -> None:
        """Begins without attempts."""
        self.method, self.tried = method, set[int]()
        self.not_run = True  # every attempt so far is proven not to have run
        self.reached_backend = False  # an attempt has cost a backend something
        # The attempt that may have run first, or the last one while all are proven not to have run.
        self.first_backend: Backend | None = None
        self.first_start = 0

    def attempt_started(self, backend: Backend, now: int) -> None:
        """Notes an attempt."""
        if self.not_run:
            self.first_backend, self.first_start = backend, now
        self.tried.add(backend.index)

    def attempt_ended(self, outcome: AttemptOutcome) -> None:
        """Notes how it ended."""
        self.reached_backend = self.reached_backend or outcome not in NOT_REACHED
        self.not_run = self.not_run and outcome in PROVEN_NOT_RUN

    def needs_deduplication(self) -> bool:
        """Whether the next attempt is harmless only at a backend that recognises the repeat."""
        return not self.not_run and self.method.is_deduplicated

    def scope_backend(self) -> Backend | None:
        """The backend that may have run it: only backends in its scope recognise a repeat. None: any will do."""
        return self.first_backend if self.needs_deduplication() else None

    def forbids_retry(self) -> bool:
        """A non-idempotent RPC is never sent again unless every attempt is proven not to have run."""
        return not (self.not_run or self.method.is_idempotent or self.method.is_deduplicated)

    def window_has_passed(self, now: int) -> bool:
        """A deduplicated RPC that may have run is sent again only while backends recognise repeats."""
        return self.needs_deduplication() and now >= self.first_start + self.method.deduplication_window_us

    def may_retry_while_running(self, now: int) -> bool:
        """Whether an RPC may be sent again although an attempt is running now."""
        is_recognised = self.method.is_deduplicated and now < self.first_start + self.method.deduplication_window_us
        return self.method.is_idempotent or is_recognised

    def may_be_rejected(self) -> bool:
        """A rejection tells the client that sending again is harmless."""
        method = self.method
        known_to_all = method.is_deduplicated and method.deduplication_scope is DeduplicationScope.ALL
        return self.not_run or method.is_idempotent or known_to_all


class RetryPolicy:
    """Serves RPCs: one generator for each, which yields its next step and is resumed with the result."""

    def __init__(self, context: DecisionContext, quotas: Quotas, backends: BackendSelector) -> None:
        """Begins with one retry in the budget: an earlier incarnation may have used all the others."""
        parameters, self.context, self.quotas, self.backends = context.parameters, context, quotas, backends
        self.retry_budget = TokenBucket(parameters.retry_budget_per_s, parameters.retry_budget_depth, 1.0, context.now)
        self.mean_value = 0.0  # running mean over RPCs of their value, see priority()

    def serve(self, rpc: OpenRpc) -> RpcSteps:
        """One RPC, from its arrival to its final answer."""
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
            if result.outcome is AttemptOutcome.OK:  # but the client does not have the answer
                break
            history.attempt_ended(result.outcome)
            if history.forbids_retry() or not self.is_worth_retrying(rpc, history, result.outcome):
                break
        if reservation and rpc.attempts_started == 0:
            self.quotas.counter.add(reservation.name, -reservation.amount)  # the RPC was never sent
        yield self.final_action(arrival, history)

    def final_action(self, arrival: Arrival, history: AttemptHistory) -> Reject | FailRpc:
        """The answer to an RPC that no attempt has answered, and that gets no further one."""
        if not history.may_be_rejected():
            return FailRpc(arrival.rpc)
        # The wait is a soft deadline, in which a full fleet empties.
        return Reject(arrival.rpc, self.quotas.jittered(history.method.soft_deadline_us), True)

    def next_backend(self, history: AttemptHistory, share: float) -> Backend | None:
        """The backend for the next attempt, if there may be one."""
        if history.reached_backend and not self.retry_budget_allows():
            return None
        if history.window_has_passed(self.context.now):
            return None
        return self.backends.choose(history.tried, share, history.scope_backend(), history.method.deduplication_scope)

    def retry_budget_allows(self) -> bool:
        """This gateway's part of the system's retry budget. Only attempts that reached a backend draw on it."""
        unlimited = not self.context.parameters.retry_budget_depth
        return unlimited or self.retry_budget.fill(self.context.now) >= 1.0

    def attempt(self, rpc: OpenRpc, history: AttemptHistory, backend: Backend) -> AttemptSteps:
        """One attempt, until it ends. Checked once it is overdue, then every quarter of that time."""
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
        """Counts an attempt as overdue, once. In an overloaded fleet it lowers the concurrency limit at once."""
        if rpc.overdue_counted >= rpc.attempts_started:
            return
        rpc.overdue_counted = rpc.attempts_started
        backend.overdue += 1
        self.backends.changes += RANKING_CHANGES  # the order is renewed at the next look
        concurrency = self.backends.concurrency
        started_at = rpc.in_flight[rpc.attempts_started - 1].started_at
        if self.backends.is_typical(backend) and concurrency.is_overloaded() and started_at >= self.context.resumed_at:
            concurrency.adjust(1.0)

    def may_cancel(self, history: AttemptHistory, backend: Backend) -> bool:
        """Whether an overdue attempt is cancelled: its backend has been silent for as long, while others answer."""
        # In an overload of all backends, sending again would only feed it.
        if self.backends.is_typical(backend) or not self.context.parameters.can_cancel_attempts:
            return False
        silent_us = self.context.now - backend.silent_since
        return silent_us >= history.method.overdue_after_us and history.may_retry_while_running(self.context.now)

    def ends_with_client(self, method: Method) -> bool:
        """Whether an attempt that was sent ends with its client: only if breaking its run off does no harm."""
        return method.is_idempotent and self.context.parameters.can_cancel_attempts

    def is_worth_retrying(self, rpc: OpenRpc, history: AttemptHistory, outcome: AttemptOutcome) -> bool:
        """Whether an answer can still be in time, and a retry does not just keep an overloaded fleet overloaded."""
        concurrency, deadline = self.backends.concurrency, rpc.arrived_at + rpc.arrival.wait_us
        too_late = self.context.now >= deadline - history.method.soft_deadline_us // 8
        adds_to_overload = not history.not_run and concurrency.is_overloaded()
        fleet_is_full = outcome is AttemptOutcome.REJECTED and concurrency.is_full()
        return not (too_late or adds_to_overload or fleet_is_full)

    def admission_share(self, arrival: Arrival) -> float:
        """The part of the concurrency limit that an RPC may fill: less if its answer is late, or worth little."""
        method = self.context.parameters.methods[arrival.method]
        statistics = self.context.methods[arrival.method]
        statistics.longest_wait_us = max(statistics.longest_wait_us, arrival.wait_us)
        if arrival.wait_us < 0.7 * statistics.mean_latency_us:
            return EXPIRING_RPC_SHARE
        is_retry = arrival.is_retry
        if is_retry is None:  # clients don't say: a retry's wait is shorter than that of a first request
            is_retry = arrival.wait_us < 0.98 * statistics.longest_wait_us
        # The client has waited for so long that no answer is within its soft deadline.
        if is_retry and method.deadline_us - arrival.wait_us > 0.8 * method.soft_deadline_us:
            return LATE_RETRY_SHARE
        return self.priority(arrival, method.utility, statistics.mean_latency_us)

    def priority(self, arrival: Arrival, utility: float, latency_us: float) -> float:
        """A share from 0.6 to 1.0 that rises with the RPC's value per unit of latency, relative to the mean."""
        value = utility * self.context.parameters.plans[arrival.plan].price * arrival.units / latency_us
        self.mean_value += (value - self.mean_value) * (0.02 if self.mean_value else 1.0)
        return min(1.0, 0.6 + 0.5 * value / self.mean_value) if self.mean_value > 0 else 1.0
