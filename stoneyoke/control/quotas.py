"""Quotas: whether an RPC is admitted, and the retry time in a rejection (docs/design.md, the ordinary path)."""

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

COUNTER_TIMEOUT_US = 2 * TICK_US  # without a reply by then, this gateway's share decides
MIN_CLIENT_WAIT_US = 4 * TICK_US  # no counter query for a client that waits for less: it may be gone before the reply
REVIEW_RPCS, ESCALATION_RPCS = 10, 9  # of each 10 RPCs of a customer, 9 that return early escalate its retry times
BLOCK_US = 5 * SECOND  # how long a customer is blocked after the last escalation


class Quotas:
    """The quotas of all customers at this gateway."""

    def __init__(self, context: DecisionContext) -> None:
        """Starts without customers."""
        self.context = context
        self.customers: dict[int, Customer] = {}
        self.counter, self.load = CounterCalls(context), CounterLoad(context)
        self.mean_units = 1.0  # running mean of the RPCs' cost

    def customer(self, arrival: Arrival) -> Customer:
        """Returns an RPC's customer, a new one if needed. An RPC with an unreadable cost is given the largest cost."""
        if not math.isfinite(arrival.units) or arrival.units <= 0:
            arrival.units = max(1.0, self.context.parameters.units_max)
        self.mean_units += (arrival.units - self.mean_units) * 0.05
        customer = self.customers.get(arrival.customer)
        if not customer:
            customer = self.customers[arrival.customer] = Customer(arrival, self.context, self.mean_units)
        customer.seen_at, customer.mean_units = self.context.now, self.mean_units
        return customer

    def admit(self, rpc: OpenRpc, customer: Customer) -> AdmissionSteps:
        """Admits or rejects an RPC by the customer's shared bucket if it has one, else by this gateway's share."""
        arrival, bucket = rpc.arrival, customer.shared_bucket
        customer.rpcs += 1
        latency_us = self.context.methods[arrival.method].mean_latency_us
        if customer.concurrency_reached(latency_us / SECOND):
            return AdmissionDecision(int(latency_us))
        if arrival.units > customer.plan.burst and customer.plan.rate > 0:
            return AdmissionDecision(MAX_WAIT_US)
        if bucket is None or not self.load.rpcs_query_bucket(bucket):
            return AdmissionDecision(self.share_wait(customer, arrival))
        # No query for a bucket that cannot hold enough units, or was found too low a moment ago.
        if bucket.max_level(self.context.now) < arrival.units or self.context.now < bucket.next_query_at:
            return AdmissionDecision(self.shared_wait(bucket, arrival))
        query_share = self.load.query_share(bucket)
        if not self.may_query_counter(arrival, query_share):
            return AdmissionDecision(self.share_wait(customer, arrival))
        # Each query is scaled up for the RPCs that are admitted without one.
        amount = max(arrival.units, min(arrival.units / query_share, 0.5 * bucket.burst))
        return (yield from self.query_counter(rpc, customer, bucket, amount))

    def may_query_counter(self, arrival: Arrival, query_share: float) -> bool:
        """Whether the counter is queried for this RPC. A silent counter is queried only once a second."""
        silent = self.counter.unanswered >= SILENT_QUERIES and self.context.now - self.counter.last_query_at < SECOND
        if silent or arrival.wait_us < MIN_CLIENT_WAIT_US:
            return False
        return self.context.random_source.draw() < query_share

    def query_counter(self, rpc: OpenRpc, customer: Customer, bucket: SharedBucket, amount: float) -> AdmissionSteps:
        """Takes units from the shared bucket. Without a reply that shows its level, this gateway's share decides."""
        arrival, name, queried_at = rpc.arrival, bucket.counter_key(self.context.now), self.context.now
        rpc.resume_at_us = queried_at + COUNTER_TIMEOUT_US
        reply: CounterReply | None = yield AddToCounter(name, KEY_TTL_US, amount)
        now = self.context.now
        if reply is None or not reply.added or not math.isfinite(reply.total) or queried_at < self.context.resumed_at:
            return AdmissionDecision(self.share_wait(customer, arrival))
        level = bucket.level_from_total(reply.total, now)
        if level is None or bucket.counter_key(now) != name:
            # In its first 3 s a gateway skips the last epoch's total: gateways that start together open many keys.
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
        """Handles a reply of the counter."""
        query = self.counter.match(reply)
        if query is None:
            return
        # A lost connection (total NaN), a silent counter or a stall of this process is no sign of counter overload.
        is_valid_sample = query.sent_at >= self.context.resumed_at and self.counter.unanswered < SILENT_QUERIES
        if is_valid_sample and not math.isnan(reply.total):
            self.load.record(reply.added, self.context.now - query.sent_at)
        if query.on_reply:
            query.on_reply(reply)

    def shared_wait(self, bucket: SharedBucket, arrival: Arrival) -> int:
        """Returns the time in us until the shared bucket can hold an RPC's units and may be queried again."""
        shortfall = arrival.units - bucket.max_level(self.context.now)
        return max(1, bucket.next_query_at - self.context.now, math.ceil(shortfall / bucket.rate * SECOND))

    def share_wait(self, customer: Customer, arrival: Arrival) -> int:
        """Returns the time in us until this gateway's share holds an RPC's units, 0 if it does now."""
        plan, bucket, now, wait_us = customer.plan, customer.bucket, self.context.now, 0
        if plan.rate > 0:
            if bucket.fill(now) - arrival.units < 0.5 * bucket.depth:
                customer.counting_until = now + (2 + customer.period_s) * SECOND
            # A full bucket admits an RPC that costs more than its depth and goes negative: else it is never admitted.
            wait_us = bucket.wait_us(min(arrival.units, bucket.depth), now)
        if plan.ceiling_rate > 0:
            wait_us = max(wait_us, customer.ceiling.wait_us(arrival.units, now))
        return wait_us

    def compute_retry_after(self, customer: Customer, wait_us: int) -> int:
        """Returns the retry time in us for a rejection: with jitter, and longer for customers that return too early."""
        customer.early_rpcs += self.context.now < customer.advised_until
        if customer.rpcs >= REVIEW_RPCS:
            self.review_early_returns(customer)
        wait_us = min(MAX_WAIT_US, wait_us * (2 if customer.escalation else 1))
        wait_us = self.jittered(max(wait_us, customer.blocked_until - self.context.now))
        customer.advised_until = self.context.now + wait_us
        return wait_us

    def review_early_returns(self, customer: Customer) -> None:
        """Doubles the retry times of a customer that returns too early, then blocks it; resets both if it does not."""
        is_early = customer.early_rpcs >= ESCALATION_RPCS
        customer.escalation = min(Escalation.BLOCKED, customer.escalation + 1) if is_early else 0
        if customer.escalation == Escalation.BLOCKED:
            customer.blocked_until = self.context.now + BLOCK_US
        customer.rpcs = customer.early_rpcs = 0

    def jittered(self, wait_us: int) -> int:
        """Adds random jitter up to the wait itself (within 1 and 20 s), so that clients don't return together."""
        return wait_us + int(self.context.random_source.draw() * (min(MAX_WAIT_US, max(SECOND, wait_us)) + 1))
