"""Defects in quotas, in isolated gateways and in a new lease holder."""

from typing import Any

from stoneyoke.gateway import admission
from stoneyoke.lab.simulation.defects.patches import Patch
from stoneyoke.limits import local_quota, quota_allocator, tenant_bucket
from stoneyoke.transport.messages import QuotaDemand, QuotaGrant


def isolated_usage_not_counted() -> list[Patch]:
    """Requests that isolated gateways admit are never counted."""
    real = quota_allocator.QuotaAllocator.grant

    def grant(
        self: quota_allocator.QuotaAllocator, name: str, demand: QuotaDemand, silent: Any, now: float
    ) -> QuotaGrant:
        return real(self, name, demand._replace(isolated_units=0.0), silent, now)

    return [Patch(quota_allocator.QuotaAllocator, "grant", grant)]


def silent_gateways_not_withheld() -> list[Patch]:
    """The units that silent gateways may admit are not withheld from the tenant's bucket."""
    real = tenant_bucket.TenantBucket.refill

    def refill(self: tenant_bucket.TenantBucket, withheld_share: float, silent: Any, now: float) -> None:
        real(self, withheld_share, {}, now)

    return [Patch(tenant_bucket.TenantBucket, "refill", refill)]


def new_holder_withholds_nothing() -> list[Patch]:
    """A new lease holder withholds nothing for gateways that have not reported."""
    return [Patch(quota_allocator.QuotaAllocator, "withheld_share", lambda self, bucket: 0.0)]


def new_holder_starts_full() -> list[Patch]:
    """A new lease holder starts with full buckets."""
    return [Patch(quota_allocator, "INITIAL_LEVEL_RATIO", 20.0)]


def shares_exceed_one() -> list[Patch]:
    """Shares follow the demand alone, so that they add up to more than the whole quota."""
    real = quota_allocator.QuotaAllocator.grant

    def grant(
        self: quota_allocator.QuotaAllocator, name: str, demand: QuotaDemand, silent: Any, now: float
    ) -> QuotaGrant:
        granted = real(self, name, demand, silent, now)
        return granted._replace(share=max(granted.share, 0.9), reserve_units=max(granted.reserve_units, 10.0))

    return [Patch(quota_allocator.QuotaAllocator, "grant", grant)]


def share_never_expires() -> list[Patch]:
    """A gateway's share never expires, though the lease holder relies on that."""

    def isolated_allowance(
        self: local_quota.LocalQuota, last_response_at: float, now: float
    ) -> local_quota.IsolatedAllowance:
        share, reserve_units = (self.share, self.reserve_units) if self.share else (0.5, 0.0)
        return local_quota.IsolatedAllowance(share, reserve_units)

    return [Patch(local_quota.LocalQuota, "isolated_allowance", isolated_allowance)]


def isolated_gateway_starts_whole() -> list[Patch]:
    """Each gateway that becomes isolated starts with the quota of all gateways."""
    return [Patch(admission, "ISOLATED_START_RATIO", 6.0), Patch(local_quota, "ISOLATED_START_RATIO", 6.0)]
