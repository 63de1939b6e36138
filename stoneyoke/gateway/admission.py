"""Admission by quota: before routing, a tenant's request is admitted or rejected at once.

Units come from the one bucket that the lease holder keeps (`limits/quota_allocator.py`). While no lease holder answers,
they come from this gateway's share of it: the share that was granted last, or an even one for a tenant without a grant.

Source: SYSTEM, The design in the system.
"""

from dataclasses import replace

from stoneyoke.api.bounds import ServiceBounds
from stoneyoke.control.context import DecisionContext
from stoneyoke.control.customer import Customer
from stoneyoke.control.events import Arrival
from stoneyoke.control.parameters import DeduplicationScope, GatewayParameters, Idempotency, Method, Plan
from stoneyoke.control.quotas import Quotas
from stoneyoke.gateway.routes import Tenant
from stoneyoke.limits.local_quota import (
    ASSUMED_GATEWAYS,
    ISOLATED_START_RATIO,
    UNGRANTED_RATIO,
    UNGRANTED_S,
    LocalQuota,
)
from stoneyoke.limits.quota_terms import excess_units
from stoneyoke.limits.token_bucket import SECOND

LONG_AGO_US = 3600 * SECOND
ADMITTED = 0  # in place of a time after which to retry
ISOLATED_START_MAX = 2.0  # units
UNGRANTED_LONG_RATIO = 0.25  # of the rule's excess, for tenants without a grant once a silence lasts


def admission_parameters(seed: int) -> GatewayParameters:
    """The parameters of decisions that only admit: they send nothing, and a request costs one unit."""
    any_method = Method(
        idempotency=Idempotency.NON_IDEMPOTENT,
        deduplication_scope=DeduplicationScope.CELL,
        soft_deadline_us=SECOND,
        deadline_us=SECOND,
        deduplication_window_us=0,
        utility=1.0,
    )
    return GatewayParameters(
        seed=seed,
        gateways=1,
        own_index=0,
        zone=0,
        methods=(any_method,),
        plans=(),
        attempts_max=1,
        can_cancel_attempts=False,
        has_counter=False,
        clients_mark_retries=False,
        sends_retry_after=True,
        settles_units=False,
        must_subscribe=False,
        units_max=1.0,
        cold_share=1.0,
        warm_up_us=1,
        overload_factor=1.0,
        overload_window_us=1,
    )


class Admission(Quotas):
    """Decides on each request of a tenant with a limited rate. Times are whole microseconds.

    Attributes:
        heard_at: When the lease holder was last heard.
        indices: The number of each tenant that has come; no more than the configuration names.
        local_quotas: The units that this gateway holds, by tenant.
        cut_off_at: Since when a tenant, by number, is served from this gateway's share.
    """

    def __init__(self, seed: int, now: int, bounds: ServiceBounds) -> None:
        """Starts as one that has heard no lease holder.

        Args:
            seed: The seed of the decisions.
            now: The time, in microseconds.
            bounds: The figures of the service's rules.
        """
        super().__init__(DecisionContext(admission_parameters(seed), now))
        self.bounds, self.heard_at = bounds, now - LONG_AGO_US
        self.set_gateway_count(ASSUMED_GATEWAYS)
        self.indices: dict[str, int] = {}
        self.local_quotas: dict[str, LocalQuota] = {}
        self.cut_off_at: dict[int, int] = {}

    def arrival(self, tenant: Tenant, wait_us: int) -> Arrival:
        """A request of a tenant, in the terms of the decisions.

        Args:
            tenant: Its quota in the configuration in force. Where that has changed, the new one holds from here on.
            wait_us: How long its client still waits, in microseconds.
        """
        index = self.indices.setdefault(tenant.label, len(self.indices))
        plan = Plan(
            rate=tenant.rate_per_s,
            burst=max(1.0, tenant.burst),
            price=1.0,
            concurrency_max=0,
            ceiling_rate=0.0,
            ceiling_burst=0.0,
        )
        plans = self.context.parameters.plans
        if tenant.label not in self.local_quotas:
            self.local_quotas[tenant.label] = LocalQuota()
            self.context.parameters = replace(self.context.parameters, plans=(*plans, plan))
        elif plans[index] != plan:
            self.change_plan(index, plan)
        return Arrival(
            rpc=0,
            method=0,
            plan=index,
            customer=index,
            customer_id=index,
            wait_us=wait_us,
            units=1.0,
            customer_gateways=self.context.parameters.gateways,
        )

    def change_plan(self, index: int, plan: Plan) -> None:
        """Puts a tenant's changed quota in force."""
        plans = self.context.parameters.plans
        self.context.parameters = replace(self.context.parameters, plans=(*plans[:index], plan, *plans[index + 1 :]))
        if customer := self.customers.get(index):
            customer.plan = plan

    def set_gateway_count(self, gateways: int) -> None:
        """Sets how many gateways share what was granted to none."""
        self.context.parameters = replace(self.context.parameters, gateways=max(1, gateways))

    def lease_holder_answered(self, now: int) -> None:
        """The lease holder was heard at this time, in microseconds."""
        self.heard_at = now

    def try_admit(self, call: Arrival, local_quota: LocalQuota, now: int) -> int | None:
        """Decides by what this gateway holds.

        Returns:
            ADMITTED, or the time after which to retry, in microseconds; None: the lease holder has to be asked.
        """
        self.context.now = now
        customer = self.customer(call)
        customer.rpcs += 1
        local_quota.record_demand(call.units, now / SECOND)
        if local_quota.try_take(call.units):
            return ADMITTED
        closed_us = int(local_quota.closed_until * SECOND) - now
        return self.compute_retry_after(customer, closed_us) if closed_us > 0 else None

    def admit_after_reply(self, call: Arrival, local_quota: LocalQuota, now: int) -> int:
        """Decides once the lease holder has answered, or has not in time.

        Returns:
            ADMITTED, or the time after which to retry, in microseconds.
        """
        self.context.now = now
        customer = self.customer(call)
        if local_quota.try_take(call.units):
            return ADMITTED
        closed_us = int(local_quota.closed_until * SECOND) - now
        if closed_us > 0:
            return self.compute_retry_after(customer, closed_us)
        return self.admit_cut_off(customer, call, local_quota)

    def admit_cut_off(self, customer: Customer, call: Arrival, local_quota: LocalQuota) -> int:
        """Decides by this gateway's own share of the bucket: no lease holder was heard.

        Returns:
            ADMITTED, or the time after which to retry, in microseconds.
        """
        share, reserve_units = local_quota.isolated_allowance(self.heard_at / SECOND, self.context.now / SECOND)
        if self.cut_off_at.get(call.customer, -LONG_AGO_US) < self.heard_at:
            self.cut_off_at[call.customer] = self.context.now
            self.start_isolated_bucket(customer, reserve_units)
        customer.share = max(share, min(1.0, self.ungranted_share(customer.plan)) / self.context.parameters.gateways)
        depth = max(customer.depth(), reserve_units)
        customer.bucket.resize(customer.plan.rate * customer.share, depth, self.context.now)
        wait_us = self.share_wait(customer, call)
        if wait_us > 0:
            return self.compute_retry_after(customer, wait_us)
        customer.bucket.level -= call.units
        local_quota.isolated_units += call.units
        return ADMITTED

    def start_isolated_bucket(self, customer: Customer, reserve_units: float) -> None:
        """Fills a tenant's own bucket for a silence that has just begun.

        Whole units are drawn at random: a fraction of a unit lets nothing through, and the sum over all gateways stays
        the same.
        """
        start = ISOLATED_START_RATIO * self.excess_units(customer.plan) / self.context.parameters.gateways
        drawn = min(ISOLATED_START_MAX, float(int(start + self.context.random_source.draw())))
        customer.bucket.level, customer.bucket.filled_at = max(reserve_units, drawn), self.context.now

    def ungranted_share(self, plan: Plan) -> float:
        """The share of a tenant's rate that all gateways with no grant, or hardly any, use together.

        A process that has heard nobody takes an even share: all gateways may have started just now. The others stay
        within what the rule allows beyond the bucket, which is an even share for a small tenant and little for a
        large one.
        """
        now, heard_at, start_time = self.context.now / SECOND, self.heard_at / SECOND, self.context.start_time / SECOND
        excess = self.excess_units(plan)
        if now - max(heard_at, start_time) >= UNGRANTED_S:
            return UNGRANTED_LONG_RATIO * excess / (plan.rate * self.bounds.quota_window_s)
        if heard_at > start_time:
            return UNGRANTED_RATIO * excess / (plan.rate * UNGRANTED_S)
        return 1.0

    def excess_units(self, plan: Plan) -> float:
        """What the rule allows a tenant beyond its bucket in a window, in units."""
        return excess_units(plan.rate, plan.burst, self.bounds)
