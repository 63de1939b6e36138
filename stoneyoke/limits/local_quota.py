"""A gateway's side of a tenant's quota: units granted to it, and what it may use without a lease holder. No I/O.

A gateway is isolated from the last response of a lease holder until the next one.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from stoneyoke.limits.quota_terms import DEMAND_HALF_LIFE_S, SHARE_LEASE_S, decayed
from stoneyoke.transport.messages import QuotaDemand, QuotaGrant

PREFETCH_S = 0.25  # seconds of its demand that a gateway requests in advance; whole units only, so low demand gets none
ISOLATED_START_RATIO = 0.2  # of the excess that the quota rule allows: units that all gateways start an isolation with
UNGRANTED_RATIO = 0.4  # of that excess: units that gateways without a granted share may use together in UNGRANTED_S
UNGRANTED_S = 3.0
ASSUMED_GATEWAYS = 8  # number of gateways that a new incarnation assumes until it knows the actual one
REPORTED_SHARE_MIN = 0.005  # a complete report leaves out smaller shares
LN_2 = 0.693


class IsolatedAllowance(NamedTuple):
    """What a gateway may use in isolation: a share of the rate, 0 to 1, and units in addition."""

    share: float
    reserve_units: float


@dataclass(slots=True)
class LocalQuota:
    """A gateway's part of one tenant's quota.

    Attributes:
        level: Units granted and not used yet.
        next_request_at: No units are requested before this time, in seconds.
        share: Share of the rate granted for isolation, 0 to 1; 0 while none was granted.
        reserve_units: Units granted for the start of an isolation.
        granted_at: When share and reserve were granted, in seconds.
        demand_units: Units that requests have needed since the last message.
        demand_rate: Demand in units a second, decayed up to `demand_at`.
        demand_at: When a request last needed units, in seconds.
        isolated_units: Units used in isolation since this incarnation started.
        reported_isolated_units: Of these, the units that the lease holder knows of.
    """

    level: float = 0.0
    next_request_at: float = 0.0
    share: float = 0.0
    reserve_units: float = 0.0
    demand_units: float = 0.0
    demand_rate: float = 0.0
    demand_at: float = 0.0
    granted_at: float = -1e9
    isolated_units: float = 0.0
    reported_isolated_units: float = 0.0

    def record_demand(self, units: float, now: float) -> None:
        """Counts a request's units as demand, whether or not it gets them."""
        self.demand_units += units
        self.demand_rate = decayed(self.demand_rate, now - self.demand_at) + units * LN_2 / DEMAND_HALF_LIFE_S
        self.demand_at = now

    def isolated_allowance(self, last_response_at: float, now: float) -> IsolatedAllowance:
        """Returns what it may use in isolation, if the last response of a lease holder came at `last_response_at`."""
        if now - last_response_at > SHARE_LEASE_S:
            return IsolatedAllowance(0.0, 0.0)
        elapsed_s = last_response_at - self.granted_at
        return IsolatedAllowance(decayed(self.share, elapsed_s), decayed(self.reserve_units, elapsed_s))

    def try_take(self, units: float) -> bool:
        """Takes granted units. Returns false, and takes none, if it has fewer."""
        if self.level < units:
            return False
        self.level -= units
        return True

    def wanted_units(self, waiting: float) -> float:
        """Returns the units to have available: for `waiting` requests, and for PREFETCH_S of its demand."""
        return waiting + float(int(self.demand_rate * PREFETCH_S))

    def apply_grant(self, grant: QuotaGrant, now: float) -> None:
        """Applies a grant of the lease holder."""
        self.level += grant.units
        self.share, self.reserve_units, self.granted_at = grant.share, grant.reserve_units, now
        if grant.units > 0:
            self.next_request_at = 0.0
        elif grant.wait_s > 0:
            self.next_request_at = now + grant.wait_s


def build_demands(
    local_quotas: Mapping[str, LocalQuota],
    waiting: Mapping[str, int],
    last_response_at: float,
    complete: bool,
    now: float,
) -> list[QuotaDemand]:
    """Builds a gateway's demands and reports for its next message, and resets the demand counted so far.

    Args:
        local_quotas: By tenant.
        waiting: Requests that wait for units, by tenant.
        last_response_at: When a lease holder last answered this gateway, in seconds.
        complete: Whether all shares are to be reported.
        now: In seconds.

    Returns:
        A row for each tenant with units to request or usage to report.
    """
    demands = []
    for tenant, local_quota in local_quotas.items():
        waiting_requests = waiting.get(tenant, 0)
        has_report = (
            waiting_requests
            or local_quota.demand_units
            or local_quota.isolated_units > local_quota.reported_isolated_units
        )
        if not has_report and not complete:
            continue
        share = local_quota.isolated_allowance(last_response_at, now).share
        if not has_report and share <= REPORTED_SHARE_MIN and not local_quota.isolated_units:
            continue
        wanted = local_quota.wanted_units(waiting_requests) if now >= local_quota.next_request_at else 0.0
        missing = max(0.0, wanted - local_quota.level)
        demands.append(QuotaDemand(tenant, missing, local_quota.demand_units, local_quota.isolated_units, share))
        local_quota.demand_units = 0.0
    return demands
