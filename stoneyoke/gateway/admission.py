"""Admission by quota: a tenant's request is admitted or rejected before it is forwarded.

Units come from the tenant's token bucket at the lease holder (`limits/quota_allocator.py`). While no lease holder
responds, they come from this gateway's share of the quota: the share granted last, or an even share for a tenant
without a grant.

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
ADMITTED = 0  # returned instead of a time after which to retry
ISOLATED_START_MAX = 2.0  # units, the most that are drawn into a local bucket at the start of an isolation
# Fraction of the excess that the rule allows, for a tenant without a grant once an isolation lasts UNGRANTED_S.
UNGRANTED_LATE_RATIO = 0.25


def admission_parameters(seed: int) -> GatewayParameters:
    """Returns parameters for a decision logic that only admits: it makes no attempts, and a request costs one unit."""
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
    """Admits or rejects each request of a tenant with a limited rate. Times are whole microseconds.

    Attributes:
        last_response_at: When the lease holder last responded.
        indices: The index of each tenant that has sent a request; no more than the configuration names.
        local_quotas: The units that this gateway holds, by tenant.
        isolated_since: Since when each tenant, by index, is served from this gateway's share.
    """

    def __init__(self, seed: int, now: int, bounds: ServiceBounds) -> None:
        """Starts without a response from any lease holder.

        Args:
            seed: The random seed of the decision logic.
            now: The current time, in microseconds.
            bounds: The operators' bounds, which contain those on quotas.
        """
        super().__init__(DecisionContext(admission_parameters(seed), now))
        self.bounds, self.last_response_at = bounds, now - LONG_AGO_US
        self.set_gateway_count(ASSUMED_GATEWAYS)
        self.indices: dict[str, int] = {}
        self.local_quotas: dict[str, LocalQuota] = {}
        self.isolated_since: dict[int, int] = {}

    def arrival(self, tenant: Tenant, wait_us: int) -> Arrival:
        """Converts a request of a tenant to an arrival event of the decision logic.

        Args:
            tenant: The tenant with its quota in the configuration in force. A changed quota takes effect here.
            wait_us: How much longer the client waits, in microseconds.
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
        """Sets the number of gateways that share the part of each quota for which there is no grant."""
        self.context.parameters = replace(self.context.parameters, gateways=max(1, gateways))

    def lease_holder_responded(self, now: int) -> None:
        """Records that the lease holder responded at this time, in microseconds."""
        self.last_response_at = now

    def try_admit(self, call: Arrival, local_quota: LocalQuota, now: int) -> int | None:
        """Decides by the units that this gateway holds.

        Returns:
            ADMITTED, or the time after which to retry, in microseconds, or None: units must be requested from the
            lease holder first.
        """
        self.context.now = now
        customer = self.customer(call)
        customer.rpcs += 1
        local_quota.record_demand(call.units, now / SECOND)
        if local_quota.try_take(call.units):
            return ADMITTED
        closed_us = int(local_quota.next_request_at * SECOND) - now
        return self.compute_retry_after(customer, closed_us) if closed_us > 0 else None

    def admit_after_response(self, call: Arrival, local_quota: LocalQuota, now: int) -> int:
        """Decides after the lease holder has responded or the wait for it has timed out.

        Returns:
            ADMITTED, or the time after which to retry, in microseconds.
        """
        self.context.now = now
        customer = self.customer(call)
        if local_quota.try_take(call.units):
            return ADMITTED
        closed_us = int(local_quota.next_request_at * SECOND) - now
        if closed_us > 0:
            return self.compute_retry_after(customer, closed_us)
        return self.admit_isolated(customer, call, local_quota)

    def admit_isolated(self, customer: Customer, call: Arrival, local_quota: LocalQuota) -> int:
        """Decides by this gateway's own share of the quota, since no lease holder responded.

        Returns:
            ADMITTED, or the time after which to retry, in microseconds.
        """
        share, reserve_units = local_quota.isolated_allowance(self.last_response_at / SECOND, self.context.now / SECOND)
        if self.isolated_since.get(call.customer, -LONG_AGO_US) < self.last_response_at:
            self.isolated_since[call.customer] = self.context.now
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
        """Sets the initial level of a tenant's local bucket when an isolation from the lease holder begins.

        The level is rounded up or down at random to whole units, because a fraction of a unit admits no request. The
        expected sum over all gateways stays the same.
        """
        start = ISOLATED_START_RATIO * self.excess_units(customer.plan) / self.context.parameters.gateways
        drawn = min(ISOLATED_START_MAX, float(int(start + self.context.random_source.draw())))
        customer.bucket.level, customer.bucket.filled_at = max(reserve_units, drawn), self.context.now

    def ungranted_share(self, plan: Plan) -> float:
        """Returns the share of a tenant's rate that all gateways with little or no grant use together.

        A process that has had no response since its start uses its even part of the whole rate, because all gateways
        may just have started. Others stay within the excess that the rule allows beyond the bucket: an even share for a
        small tenant, and little for a large one.
        """
        now, last_response_at, start_time = (
            self.context.now / SECOND,
            self.last_response_at / SECOND,
            self.context.start_time / SECOND,
        )
        excess = self.excess_units(plan)
        if now - max(last_response_at, start_time) >= UNGRANTED_S:
            return UNGRANTED_LATE_RATIO * excess / (plan.rate * self.bounds.quota_window_s)
        if last_response_at > start_time:
            return UNGRANTED_RATIO * excess / (plan.rate * UNGRANTED_S)
        return 1.0

    def excess_units(self, plan: Plan) -> float:
        """Returns the units that the rule allows a tenant in a window in excess of its bucket."""
        return excess_units(plan.rate, plan.burst, self.bounds)
