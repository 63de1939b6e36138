"""A gateway's side of a tenant's quota: units granted to it, and what it may use while no lease holder answers. No I/O.

A gateway is isolated from when it last heard a lease holder until it hears one again.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from stoneyoke.limits.quota_terms import DEMAND_HALF_LIFE_S, SHARE_LEASE_S, decayed
from stoneyoke.transport.messages import QuotaDemand, QuotaGrant

PREFETCH_S = 0.25  # of its demand that a gateway holds in advance; whole units only, so thin demand holds none
ISOLATED_START_RATIO = 0.2  # of the excess that the rule allows: what all gateways together begin an isolation with
UNGRANTED_RATIO = 0.4  # of that excess: what gateways granted no share may use together in UNGRANTED_S
UNGRANTED_S = 3.0
ASSUMED_GATEWAYS = 8  # a new incarnation counts with so many until it knows how many there are
REPORTED_SHARE_MIN = 0.005  # a smaller share is not worth a row of a complete report
LN_2 = 0.693


class IsolatedAllowance(NamedTuple):
    """What a gateway may use in isolation: a share of the rate, 0 to 1, and units besides."""

    share: float
    reserve_units: float


@dataclass(slots=True)
class LocalQuota:
    """What a gateway holds of one tenant's quota.

    Attributes:
        level: Units granted and not used yet.
        closed_until: No units are asked for before, in seconds.
        share: Share of the rate granted for isolation, 0 to 1; 0 while none was granted.
        reserve_units: Units that an isolation begins with.
        granted_at: When both were granted.
        demand_units: Units that requests have asked for since the last message.
        demand_rate: The same a second, decayed up to `demand_at`.
        demand_at: When a request last asked.
        isolated_units: Units used in isolation, in all this incarnation.
        reported_isolated_units: Of them, those that the lease holder knows of.
    """

    level: float = 0.0
    closed_until: float = 0.0
    share: float = 0.0
    reserve_units: float = 0.0
    demand_units: float = 0.0
    demand_rate: float = 0.0
    demand_at: float = 0.0
    granted_at: float = -1e9
    isolated_units: float = 0.0
    reported_isolated_units: float = 0.0

    def record_demand(self, units: float, now: float) -> None:
        """Counts a request, whether or not it gets its units."""
        self.demand_units += units
        self.demand_rate = decayed(self.demand_rate, now - self.demand_at) + units * LN_2 / DEMAND_HALF_LIFE_S
        self.demand_at = now

    def isolated_allowance(self, last_response_at: float, now: float) -> IsolatedAllowance:
        """What it may use while no lease holder is heard, one having been heard last at `last_response_at`."""
        if now - last_response_at > SHARE_LEASE_S:
            return IsolatedAllowance(0.0, 0.0)
        elapsed_s = last_response_at - self.granted_at
        return IsolatedAllowance(decayed(self.share, elapsed_s), decayed(self.reserve_units, elapsed_s))

    def try_take(self, units: float) -> bool:
        """Takes units that were granted; false if it holds fewer."""
        if self.level < units:
            return False
        self.level -= units
        return True

    def wanted_units(self, waiting: float) -> float:
        """Units to hold: for `waiting` requests, and what its demand uses in STOCK_S."""
        return waiting + float(int(self.demand_rate * PREFETCH_S))

    def apply_grant(self, grant: QuotaGrant, now: float) -> None:
        """Takes what the lease holder has granted."""
        self.level += grant.units
        self.share, self.reserve_units, self.granted_at = grant.share, grant.reserve_units, now
        if grant.units > 0:
            self.closed_until = 0.0
        elif grant.wait_s > 0:
            self.closed_until = now + grant.wait_s


def take_demands(
    local_quotas: Mapping[str, LocalQuota],
    waiting: Mapping[str, int],
    last_response_at: float,
    complete: bool,
    now: float,
) -> list[QuotaDemand]:
    """What a gateway asks and reports in its next message; the demand counted so far is taken out of the quotas.

    Args:
        local_quotas: By tenant.
        waiting: Requests that wait for units, by tenant.
        last_response_at: When a lease holder last answered this gateway, in seconds.
        complete: Whether all shares are to be reported.
        now: In seconds.

    Returns:
        A row for each tenant of whom there is something to ask or report.
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
        wanted = local_quota.wanted_units(waiting_requests) if now >= local_quota.closed_until else 0.0
        missing = max(0.0, wanted - local_quota.level)
        demands.append(QuotaDemand(tenant, missing, local_quota.demand_units, local_quota.isolated_units, share))
        local_quota.demand_units = 0.0
    return demands
