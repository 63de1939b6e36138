"""Defects in the quota lease."""

from dataclasses import replace
from typing import Any

from stoneyoke.consensus.register_value import ReplicaId
from stoneyoke.controlplane import leases, quota_lease
from stoneyoke.lab.simulation.defects.patches import Patch


def late_grant_counts() -> list[Patch]:
    """A grant counts for the current round of a lease, even if it responds to an earlier round."""
    real = leases.LeaseHolder.record_grant

    def record_grant(self: leases.LeaseHolder, voter: Any, voters: Any, round_started_at: float) -> None:
        real(self, voter, voters, self.round_started_at)

    return [Patch(leases.LeaseHolder, "record_grant", record_grant)]


def lease_held_too_long() -> list[Patch]:
    """A lease holder considers its lease valid for twice as long as the voters do."""
    return [Patch(leases, "HOLDER_TTL_FRACTION", 2.0)]


def grants_right_after_start() -> list[Patch]:
    """A voter grants a lease right after a restart, though it may have granted another one before."""
    real = leases.LeaseGranter.__init__

    def init(self: leases.LeaseGranter, now: float, fresh: bool) -> None:
        real(self, now, True)

    return [Patch(leases.LeaseGranter, "__init__", init)]


def lease_counted_from_answer() -> list[Patch]:
    """A lease holder measures its lease from the arrival of the grants, not from the time of its request."""
    real = quota_lease.QuotaLease.record_grant

    def record_grant(self: quota_lease.QuotaLease, voter: ReplicaId, lease_round: quota_lease.LeaseRound) -> None:
        real(self, voter, lease_round)
        now = self.context.clock()
        if self.holder.is_held(now):
            self.holder.expires_at = now + leases.LEASE_TTL_S

    return [Patch(quota_lease.QuotaLease, "record_grant", record_grant)]


def late_release_counts() -> list[Patch]:
    """Rounds of a lease have no number, so that a late release revokes a newer grant."""
    real = leases.LeaseGranter.request

    def request(self: leases.LeaseGranter, request: leases.GrantRequest, now: float) -> leases.GrantDecision:
        return real(self, replace(request, round_number=0), now)

    return [Patch(leases.LeaseGranter, "request", request)]
