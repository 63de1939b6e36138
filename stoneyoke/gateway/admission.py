"""The system's admission stage (SYSTEM, The design in the system): before routing, a tenant's request passes or is
refused at once. Units come from the one store that a keeper holds (limits/quota_allocator.py); while that is silent,
from the slice of it that counted demand told last, the even one for a tenant not told of."""

from dataclasses import replace

from stoneyoke.api.bounds import ServiceBounds
from stoneyoke.control.context import DecisionContext
from stoneyoke.control.customer import Customer
from stoneyoke.control.quotas import Quotas
from stoneyoke.control.events import Arrival
from stoneyoke.control.parameters import Idempotency, DeduplicationScope, Method, Plan, GatewayParameters
from stoneyoke.limits.local_quota import (
    ASSUMED_GATEWAYS,
    ISOLATED_START_RATIO,
    UNGRANTED_RATIO,
    UNGRANTED_S,
    LocalQuota,
)
from stoneyoke.limits.quota_terms import excess_units
from stoneyoke.limits.token_bucket import SECOND
from stoneyoke.gateway.routes import Tenant

LONG_AGO = 3600 * SECOND


def admission_parameters(seed: int) -> GatewayParameters:
    """Of a stage that sends nothing itself: a request is a unit."""
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
        advises_wait=True,
        settles_units=False,
        must_subscribe=False,
        units_max=1.0,
        cold_share=1.0,
        warm_up_us=1,
        overload_factor=1.0,
        overload_window_us=1,
    )


class Admission(Quotas):
    def __init__(self, seed: int, now: int, bounds: ServiceBounds) -> None:
        super().__init__(DecisionContext(admission_parameters(seed), now))
        self.bounds, self.heard_at = bounds, now - LONG_AGO
        self.set_gateway_count(ASSUMED_GATEWAYS)
        self.indices: dict[str, int] = {}  # tenants that have come; no more than the operator names
        self.local_quotas: dict[str, LocalQuota] = {}
        self.cut_off_at: dict[int, int] = {}  # since when a tenant is served from its slice

    def arrival(self, tenant: Tenant, wait_us: int) -> Arrival:
        """A request of a tenant, in the terms of the decisions."""
        index = self.indices.setdefault(tenant.label, len(self.indices))
        plan = Plan(
            rate=tenant.rate_per_s,
            burst=max(1.0, tenant.burst),
            price=1.0,
            concurrency_max=0,
            ceiling_rate=0.0,
            ceiling_burst=0.0,
        )
        if tenant.label not in self.local_quotas:
            self.local_quotas[tenant.label] = LocalQuota()
            self.context.parameters = replace(self.context.parameters, plans=(*self.context.parameters.plans, plan))
        elif self.context.parameters.plans[index] != plan:  # a configuration has changed it
            plans = (*self.context.parameters.plans[:index], plan, *self.context.parameters.plans[index + 1 :])
            self.context.parameters = replace(self.context.parameters, plans=plans)
            if customer := self.customers.get(index):
                customer.plan = plan
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

    def set_gateway_count(self, gateways: int) -> None:
        """How many gateways share what is not told."""
        self.context.parameters = replace(self.context.parameters, gateways=max(1, gateways))

    def lease_holder_answered(self, now: int) -> None:
        """The keeper has answered."""
        self.heard_at = now

    def try_admit(self, call: Arrival, local_quota: LocalQuota, now: int) -> int | None:
        """0: it passes. Else the wait that its refusal states; None: the keeper has to be asked."""
        self.context.now = now
        customer = self.customer(call)
        customer.rpcs += 1
        local_quota.record_demand(call.units, now / SECOND)
        if local_quota.try_take(call.units):
            return 0
        shut = int(local_quota.closed_until * SECOND) - now
        return self.advised_wait(customer, shut) if shut > 0 else None

    def admit_after_reply(self, call: Arrival, local_quota: LocalQuota, now: int) -> int:
        """After the keeper has answered, or has not in time."""
        self.context.now = now
        customer = self.customer(call)
        if local_quota.try_take(call.units):
            return 0
        shut = int(local_quota.closed_until * SECOND) - now
        return self.advised_wait(customer, shut) if shut > 0 else self.admit_cut_off(customer, call, local_quota)

    def admit_cut_off(self, customer: Customer, call: Arrival, local_quota: LocalQuota) -> int:
        """No keeper was heard: from the part of the store that is this gateway's own."""
        now, heard_at = self.context.now / SECOND, self.heard_at / SECOND
        share, reserve_units = local_quota.isolated_allowance(heard_at, now)
        plan, gateways = customer.plan, self.context.parameters.gateways
        beyond = excess_units(plan.rate, plan.burst, self.bounds)
        if self.cut_off_at.get(call.customer, -LONG_AGO) < self.heard_at:
            self.cut_off_at[call.customer] = self.context.now
            # Document units, by chance: a part of one lets nothing through, and the parts sum to the same.
            first = min(2.0, float(int(ISOLATED_START_RATIO * beyond / gateways + self.context.random_source.draw())))
            customer.bucket.level, customer.bucket.filled_at = max(reserve_units, first), self.context.now
        # A new life that has heard nobody: all may have started just now. Those that were told of hardly any part
        # share what the rule allows beyond the store: even slices for small tenants, little of a large one.
        untold = 0.25 * beyond / (plan.rate * self.bounds.quota_window_s)
        if now - max(heard_at, self.context.born_at / SECOND) < UNGRANTED_S:
            untold = (
                UNGRANTED_RATIO * beyond / (plan.rate * UNGRANTED_S)
                if heard_at > self.context.born_at / SECOND
                else 1.0
            )
        customer.share = max(share, min(1.0, untold) / gateways)
        customer.bucket.resize(plan.rate * customer.share, max(customer.depth(), reserve_units), self.context.now)
        wait = self.share_wait(customer, call)
        if wait > 0:
            return self.advised_wait(customer, wait)
        customer.bucket.level -= call.units
        local_quota.isolated_units += call.units
        return 0
