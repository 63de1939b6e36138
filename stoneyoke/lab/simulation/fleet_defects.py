"""Defects of leases, quotas, gateways and the instances that they know."""

import zlib
from dataclasses import replace
from typing import Any

from stoneyoke.api.calls import Acknowledged
from stoneyoke.api.configuration import Version, read_configuration
from stoneyoke.consensus.register_value import ReplicaId
from stoneyoke.controlplane import discovery_service, instance_registry, leases, quota_lease
from stoneyoke.gateway import admission, config_sync, instance_directory
from stoneyoke.lab.simulation.register_defects import Patch
from stoneyoke.limits import local_quota, quota_allocator, tenant_bucket
from stoneyoke.transport.messages import FetchRequest, FetchResponse, QuotaDemand, QuotaGrant


def lease_unfenced() -> list[Patch]:
    """A holder believes in its lease for twice as long as voters do."""
    return [(leases, "HOLDER_TTL_FRACTION", 2.0)]


def grants_after_start() -> list[Patch]:
    """A voter that has just started grants at once."""
    real = leases.LeaseGranter.__init__

    def init(self: leases.LeaseGranter, now: float, fresh: bool) -> None:
        real(self, now, True)

    return [(leases.LeaseGranter, "__init__", init)]


def counts_from_answer() -> list[Patch]:
    """A holder counts its lease from when the grants came, not from before it asked."""
    real = quota_lease.QuotaLease.record_grant

    def record_grant(self: quota_lease.QuotaLease, voter: ReplicaId, lease_round: quota_lease.LeaseRound) -> None:
        real(self, voter, lease_round)
        now = self.context.clock()
        if self.holder.is_held(now):
            self.holder.expires_at = now + leases.LEASE_TTL_S

    return [(quota_lease.QuotaLease, "record_grant", record_grant)]


def alone_not_told() -> list[Patch]:
    """What gateways use alone is never counted."""
    real = quota_allocator.QuotaAllocator.grant

    def grant(
        self: quota_allocator.QuotaAllocator, name: str, demand: QuotaDemand, silent: Any, now: float
    ) -> QuotaGrant:
        return real(self, name, demand._replace(isolated_units=0.0), silent, now)

    return [(quota_allocator.QuotaAllocator, "grant", grant)]


def silent_not_lent() -> list[Patch]:
    """What silent gateways may be using is not taken off the store."""
    real = tenant_bucket.TenantBucket.refill

    def refill(self: tenant_bucket.TenantBucket, withheld_share: float, silent: Any, now: float) -> None:
        real(self, withheld_share, {}, now)

    return [(tenant_bucket.TenantBucket, "refill", refill)]


def new_keeper_trusts() -> list[Patch]:
    """A new keeper holds nothing back for gateways that it has not heard."""
    return [(quota_allocator.QuotaAllocator, "withheld_share", lambda self, bucket: 0.0)]


def new_keeper_full() -> list[Patch]:
    """A new keeper's stores begin full."""
    return [(quota_allocator, "INITIAL_LEVEL_RATIO", 20.0)]


def parts_over_one() -> list[Patch]:
    """Parts are told by demand alone, whatever others hold; each is floored at half of the even one."""
    real = quota_allocator.QuotaAllocator.grant

    def grant(
        self: quota_allocator.QuotaAllocator, name: str, demand: QuotaDemand, silent: Any, now: float
    ) -> QuotaGrant:
        granted = real(self, name, demand, silent, now)
        return granted._replace(share=max(granted.share, 0.9), reserve_units=max(granted.reserve_units, 10.0))

    return [(quota_allocator.QuotaAllocator, "grant", grant)]


def part_for_ever() -> list[Patch]:
    """A gateway's part has no end, though its keeper counts on one."""

    def isolated_allowance(self: local_quota.LocalQuota, heard_at: float, now: float) -> local_quota.IsolatedAllowance:
        share, reserve_units = (self.share, self.reserve_units) if self.share else (0.5, 0.0)
        return local_quota.IsolatedAllowance(share, reserve_units)

    return [(local_quota.LocalQuota, "isolated_allowance", isolated_allowance)]


def pull_from_one() -> list[Patch]:
    """A gateway is caught up as soon as one core has answered."""

    def caught_up(self: instance_directory.InstanceDirectory, now: float) -> Any:
        heard = [one.news for one in self.sources.values() if one.news]
        return max((Version(*news.version) for news in heard), default=None)

    return [(instance_directory.InstanceDirectory, "caught_up", caught_up)]


def goes_back() -> list[Patch]:
    """A gateway takes whatever configuration it is told."""

    async def fetch(self: config_sync.ConfigSync, name: str) -> None:
        bill = await self.wires[name].call(FetchRequest(), 1.0)
        if isinstance(bill, FetchResponse) and bill.body:
            chart = read_configuration(zlib.decompress(bill.body))
            self.version = chart.version
            self.take(chart)

    async def pull(self: config_sync.ConfigSync, name: str) -> None:
        await real(self, name)
        news = self.instance_directory.sources[name].news
        if news and news.version.number and Version(*news.version) != self.version:
            await fetch(self, name)

    real = config_sync.ConfigSync.pull
    return [(config_sync.ConfigSync, "pull", pull)]


def drain_at_one() -> list[Patch]:
    """A drain is acknowledged once the core that was asked knows it, and told to nobody."""

    async def spread(self: Any, row: Any) -> Any:
        return Acknowledged()

    async def beats(self: Any, rows: Any) -> None:
        pass

    return [
        (discovery_service.DiscoveryService, "acknowledge_by_majority", spread),
        (discovery_service.DiscoveryService, "forward_heartbeats", beats),
    ]


def drain_forgotten() -> list[Patch]:
    """A new tenant at a drained record's address makes it a silent one."""

    def silence_previous_owner(self: instance_registry.InstanceRegistry, row: Any) -> None:
        for other in self.records.values():
            if (
                other.row.address == row.address
                and other.row.instance != row.instance
                and (other.row.phase < instance_registry.Phase.GONE)
            ):
                other.row = other.row._replace(phase=int(instance_registry.Phase.SILENT))
                self._mark_changed(other)

    return [(instance_registry.InstanceRegistry, "silence_previous_owner", silence_previous_owner)]


def gives_back_late() -> list[Patch]:
    """A round of asking for a duty has no number: a late one that gives back undoes a newer grant."""
    real = leases.LeaseGranter.request

    def request(self: leases.LeaseGranter, request: leases.GrantRequest, now: float) -> leases.GrantDecision:
        return real(self, replace(request, round_number=0), now)

    return [(leases.LeaseGranter, "request", request)]


def first_whole() -> list[Patch]:
    """Each gateway that falls silent begins with what all together may."""
    return [(admission, "ISOLATED_START_RATIO", 6.0), (local_quota, "ISOLATED_START_RATIO", 6.0)]
