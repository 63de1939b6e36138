"""Quotas: whether an RPC is admitted now, and the wait that a rejection states (docs/design.md, the ordinary path)."""

import math

from stoneyoke.control.actions import AddToCounter
from stoneyoke.control.context import TICK_US, DecisionContext
from stoneyoke.control.counter_calls import CounterCalls
from stoneyoke.control.counter_load import SILENT_QUERIES, CounterLoad
from stoneyoke.control.customer import Customer
from stoneyoke.control.customer_record import Escalation
from stoneyoke.control.events import Arrival, CounterReply
from stoneyoke.control.open_rpc import AdmissionDecision, AdmissionSteps, OpenRpc, Reservation
from stoneyoke.limits.shared_bucket import KEY_TTL_US, SharedBucket
from stoneyoke.limits.token_bucket import MAX_WAIT_US, SECOND

COUNTER_TIMEOUT_US = 2 * TICK_US  # without a reply by then the own share decides
MIN_CLIENT_WAIT_US = 4 * TICK_US  # a client that waits for less may be gone before the reply
REVIEW_RPCS, ESCALATION_RPCS = 10, 9  # so many early ones of so many escalate a customer's waits
BLOCK_US = 5 * SECOND


class Quotas:
    """The quotas of all customers at this gateway."""

    def __init__(self, context: DecisionContext) -> None:
        """Begins without customers."""
        self.context = context
        self.customers: dict[int, Customer] = {}
        self.counter, self.load = CounterCalls(context), CounterLoad(context)
        self.mean_units = 1.0  # running mean of the RPCs' cost

    def customer(self, arrival: Arrival) -> Customer:
        """The customer of an RPC. An unreadable cost counts as the largest."""
        if not math.isfinite(arrival.units) or arrival.units <= 0:
            arrival.units = max(1.0, self.context.parameters.units_max)
        self.mean_units += (arrival.units - self.mean_units) * 0.05
        customer = self.customers.get(arrival.customer)
        if not customer:
            customer = self.customers[arrival.customer] = Customer(arrival, self.context, self.mean_units)
        customer.seen_at, customer.mean_units = self.context.now, self.mean_units
        return customer

    def admit(self, rpc: OpenRpc, customer: Customer) -> AdmissionSteps:
        """Decides on an RPC, from the shared bucket where the customer has one, else from this gateway's share."""
        arrival, bucket = rpc.arrival, customer.shared_bucket
        customer.rpcs += 1
        latency_us = self.context.methods[arrival.method].mean_latency_us
        if customer.concurrency_reached(latency_us / SECOND):
            return AdmissionDecision(int(latency_us))
        if arrival.units > customer.plan.burst and customer.plan.rate > 0:
            return AdmissionDecision(MAX_WAIT_US)
        if bucket is None or not self.load.rpcs_query_bucket(bucket):
            return AdmissionDecision(self.share_wait(customer, arrival))
        # The counter is not asked about a bucket that is surely empty.
        if bucket.max_level(self.context.now) < arrival.units or self.context.now < bucket.next_query_at:
            return AdmissionDecision(self.shared_wait(bucket, arrival))
        query_share = self.load.query_share(bucket)
        if not self.may_query_counter(arrival, query_share):
            return AdmissionDecision(self.share_wait(customer, arrival))
        # What goes unasked is made up for by the weight of what is asked.
        amount = max(arrival.units, min(arrival.units / query_share, 0.5 * bucket.burst))
        return (yield from self.query_counter(rpc, customer, bucket, amount))

    def may_query_counter(self, arrival: Arrival, query_share: float) -> bool:
        """Whether the counter is asked about this RPC. A silent one is asked once a second."""
        silent = self.counter.unanswered >= SILENT_QUERIES and self.context.now - self.counter.last_query_at < SECOND
        if silent or arrival.wait_us < MIN_CLIENT_WAIT_US:
            return False
        return self.context.random_source.draw() < query_share

    def query_counter(self, rpc: OpenRpc, customer: Customer, bucket: SharedBucket, amount: float) -> AdmissionSteps:
        """Takes an amount from the shared bucket. Without a reply that tells its level this gateway's share decides."""
        arrival, name, queried_at = rpc.arrival, bucket.counter_key(self.context.now), self.context.now
        rpc.resume_at_us = queried_at + COUNTER_TIMEOUT_US
        reply: CounterReply | None = yield AddToCounter(name, KEY_TTL_US, amount)
        now = self.context.now
        if reply is None or not reply.added or not math.isfinite(reply.total) or queried_at < self.context.resumed_at:
            return AdmissionDecision(self.share_wait(customer, arrival))
        level = bucket.level_from_total(reply.total, now)
        if level is None or bucket.counter_key(now) != name:
            # A gateway just started does not look back: all have, when there are many names to open.
            reads_last_epoch = now - self.context.start_time > 3 * SECOND
            self.counter.run_exchange(bucket.open_epoch(now, reads_last_epoch))
            return AdmissionDecision(self.share_wait(customer, arrival))
        level += amount
        if excess := bucket.overflow(level):
            self.counter.add(name, excess)
        bucket.record_level(level, arrival.units, now)
        if level >= arrival.units:
            return AdmissionDecision(0, Reservation(name, amount))
        self.counter.add(name, -amount)
        return AdmissionDecision(self.shared_wait(bucket, arrival))

    def counter_replied(self, reply: CounterReply) -> None:
        """Takes a reply of the counter."""
        query = self.counter.match(reply)
        if query is None:
            return
        # A query lost with its connection (NaN), a silent counter or a stall of this process is no sign of overload.
        is_valid_sample = query.sent_at >= self.context.resumed_at and self.counter.unanswered < SILENT_QUERIES
        if is_valid_sample and not math.isnan(reply.total):
            self.load.record(reply.added, self.context.now - query.sent_at)
        if query.on_reply:
            query.on_reply(reply)

    def shared_wait(self, bucket: SharedBucket, arrival: Arrival) -> int:
        """The time in us until the shared bucket can hold an RPC's units."""
        shortfall = arrival.units - bucket.max_level(self.context.now)
        return max(1, bucket.next_query_at - self.context.now, math.ceil(shortfall / bucket.rate * SECOND))

    def share_wait(self, customer: Customer, arrival: Arrival) -> int:
        """The time in us until this gateway's share holds an RPC's units. 0: it does."""
        plan, bucket, now, wait_us = customer.plan, customer.bucket, self.context.now, 0
        if plan.rate > 0:
            if bucket.fill(now) - arrival.units < 0.5 * bucket.depth:
                customer.counting_until = now + (2 + customer.period_s) * SECOND
            # A full bucket admits an RPC that costs more than it holds, and owes the rest: else none ever is.
            wait_us = bucket.wait_us(min(arrival.units, bucket.depth), now)
        if plan.ceiling_rate > 0:
            wait_us = max(wait_us, customer.ceiling.wait_us(arrival.units, now))
        return wait_us

    def compute_retry_after(self, customer: Customer, wait_us: int) -> int:
        """The wait in us that a rejection states: jittered, and longer for customers that keep coming too early."""
        customer.early_rpcs += self.context.now < customer.advised_until
        if customer.rpcs >= REVIEW_RPCS:
            self.review_early_returns(customer)
        wait_us = min(MAX_WAIT_US, wait_us * (2 if customer.escalation else 1))
        wait_us = self.jittered(max(wait_us, customer.blocked_until - self.context.now))
        customer.advised_until = self.context.now + wait_us
        return wait_us

    def review_early_returns(self, customer: Customer) -> None:
        """First doubles the waits of a customer that comes too early, then blocks it. Else back to plain waits."""
        is_early = customer.early_rpcs >= ESCALATION_RPCS
        customer.escalation = min(Escalation.BLOCKED, customer.escalation + 1) if is_early else 0
        if customer.escalation == Escalation.BLOCKED:
            customer.blocked_until = self.context.now + BLOCK_US
        customer.rpcs = customer.early_rpcs = 0

    def jittered(self, wait_us: int) -> int:
        """A wait with up to as much again, drawn, so that clients don't come back together."""
        return wait_us + int(self.context.random_source.draw() * (min(MAX_WAIT_US, max(SECOND, wait_us)) + 1))
