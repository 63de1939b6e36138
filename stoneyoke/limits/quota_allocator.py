"""Allocates the units of all tenants' quotas to gateways, at the one controller that holds the quota lease. No I/O.

If each gateway computed its share of the rate from its own view, the shares would add up to more than one whenever
demand shifts, incarnations change or membership lists differ. So the lease holder grants each gateway units from one
bucket per tenant, in proportion to the demand that it reports.

A gateway without a response from a lease holder is isolated. It goes on with the share of the rate, and the reserve
from the bucket, that it was last granted. It counts what it uses in isolation and reports that once it reaches a lease
holder. Meanwhile the lease holder debits the bucket for what the gateway may be using, and returns what it did not use.
Granted shares add up to one at most: each decays while its gateway requests nothing, by the same formula at both ends,
stays constant from the lease holder's last response, and expires SHARE_LEASE_S after that. So whichever gateways are
unreachable, for however long and how often:

    units granted + units used in isolation <= burst + rate x time

A new lease holder knows no shares. It withholds the share of the rate that gateways which have not reported may be
using: what the reported shares leave of one, or MAX_EVEN_SHARES even shares for each, whichever is less.

What exceeds this in one window, where E = excess x (rate x window + burst) + slack is the excess that the rule allows:

    PREFETCH_S x rate             units granted earlier and not used yet (local_quota)
    INITIAL_LEVEL_RATIO x E       once per change of lease holder: the first units of a new bucket
    RESERVE_RATIO x burst         once per change of lease holder: reserves that the earlier one granted
    ISOLATED_START_RATIO x E      once per isolation, over all gateways: where no reserve was granted (local_quota)
    UNGRANTED_RATIO x E           once per isolation, in UNGRANTED_S: gateways granted hardly any share or none
    even shares of new incarnations, mostly offset by the shares that their earlier ones no longer use

Source:
    The operators' RULES, QUOTA: the sum over all machines, isolated ones too.
"""

from collections.abc import Iterable, Mapping
from typing import Any

from stoneyoke.api.bounds import ServiceBounds
from stoneyoke.limits.quota_terms import SHARE_LEASE_S, SILENCE_TIMEOUT_S, excess_units
from stoneyoke.limits.tenant_bucket import GatewayShare, TenantBucket
from stoneyoke.transport.messages import QuotaDemand, QuotaGrant, QuotaRequest

GATEWAY_TTL_S = 15.0  # a gateway that has sent nothing for this long is removed
LEARNING_S = 1.0  # time in which every reachable gateway reports its demand to a new lease holder
INITIAL_LEVEL_RATIO = 0.3  # of the excess that the rule allows: the initial level of a new bucket
RESERVE_RATIO = 0.3  # of a gateway's share of the bucket's level; below one, as a grant may be one message round old
MAX_EVEN_SHARES = 4.0  # limit on one gateway's share, as a multiple of the even share
REFILL_INTERVAL_S = 0.05  # shortest interval between refills of a bucket that no message requests units of
MAX_DEMAND_UNITS = 1e6  # in one message; a larger number is an error and counts as this many
NEVER_RECEIVED_AT = -1e9
UNKNOWN_TENANT_WAIT_S = 0.2
MIN_WAIT_SHARE = 0.02  # a wait is no longer than that of a gateway with this share of the demand


class QuotaAllocator:
    """The buckets of all tenants while this controller holds the quota lease. Nothing is stored."""

    def __init__(self, bounds: ServiceBounds, now: float, expected: Iterable[str] = ()) -> None:
        """Starts without tenants.

        Args:
            bounds: Define the excess over a quota that the quota rule allows.
            now: In seconds, of the same clock as in all calls.
            expected: Gateways that may go on with shares that an earlier lease holder granted.
        """
        self.bounds = bounds
        self.buckets: dict[str, TenantBucket] = {}
        self.last_request_at = dict.fromkeys(expected, now - SILENCE_TIMEOUT_S)  # by gateway, until it is removed
        self.unreported = set(self.last_request_at)  # expected gateways that have not reported their shares yet
        self.incarnations: dict[str, str] = {}
        self.now = self.started_at = now
        self.tenants: Any = None  # the list that the buckets were created from

    def set_tenants(self, tenants: Iterable[Mapping[str, Any]]) -> None:
        """Applies the configuration's tenants. A changed bucket keeps its level, at most up to the new burst.

        Args:
            tenants: Rows of the `tenant_list`. A list that is the same object as the last one is not read again.
        """
        if tenants is self.tenants:
            return
        self.tenants = tenants
        limited = [tenant for tenant in tenants if tenant["rate_per_s"] > 0]
        self.buckets = {tenant["label"]: self.bucket_for(tenant) for tenant in limited}

    def bucket_for(self, tenant: Mapping[str, Any]) -> TenantBucket:
        """Returns a tenant's bucket with its configured rate and burst, a new one if there is none."""
        rate, configured_burst = tenant["rate_per_s"], tenant["burst_size"]
        burst = max(1.0, configured_burst)
        bucket = self.buckets.get(tenant["label"])
        if bucket is None:
            initial_level = INITIAL_LEVEL_RATIO * excess_units(rate, configured_burst, self.bounds)
            bucket = TenantBucket(rate, configured_burst, min(burst, initial_level), self.now)
        bucket.rate, bucket.burst = rate, burst
        bucket.level = min(bucket.level, burst)
        return bucket

    def allocate(self, request: QuotaRequest, now: float) -> list[QuotaGrant]:
        """Grants units for a gateway's demands.

        Args:
            request: The gateway's message.
            now: In seconds.

        Returns:
            A grant for each demand. None at all for a gateway that has received no response for over
            SILENCE_TIMEOUT_S: it may not receive this one either, and would not know its share, so its message does not
            count as a report.
        """
        self.now = now
        if now - self.started_at > SHARE_LEASE_S:
            self.unreported.clear()
        self.refill_buckets(now)
        self.update_incarnation(request.name, request.incarnation)
        self.forget_silent_gateways(now)
        if request.since_answer_ms / 1000 > SILENCE_TIMEOUT_S:
            return []
        if request.complete and request.name in self.unreported:
            self.record_reported_shares(request, now)
        if now - self.last_request_at.get(request.name, now) > SILENCE_TIMEOUT_S:
            for bucket in self.buckets.values():
                bucket.return_debited_units(request.name)
        self.last_request_at[request.name] = now
        silent = self.silent_gateways(now)
        return [self.grant(request.name, demand, silent, now) for demand in request.demands]

    def grant(self, name: str, demand: QuotaDemand, silent: Mapping[str, float], now: float) -> QuotaGrant:
        """Grants a gateway units of one tenant's bucket, and its share for isolation.

        Args:
            name: The gateway.
            demand: What it requests and reports for this tenant.
            silent: Silent gateways, and when each last sent a request.
            now: In seconds.
        """
        bucket = self.buckets.get(demand.tenant)
        if bucket is None:  # the tenant has no limit here; a gateway with a newer configuration requests again
            return QuotaGrant(demand.tenant, 0.0, UNKNOWN_TENANT_WAIT_S, 0.0, 0.0)
        bucket.refill(self.withheld_share(bucket), silent, now)
        gateway_share = bucket.gateways.setdefault(name, GatewayShare(demand_at=now))
        if name not in self.unreported:  # else it may have used them before this bucket existed
            bucket.level -= max(0.0, demand.isolated_units - gateway_share.isolated_units)
        gateway_share.isolated_units = max(gateway_share.isolated_units, demand.isolated_units)
        gateway_share.record_demand(min(max(0.0, demand.demand_units), MAX_DEMAND_UNITS), now)
        demand_share = self.update_share(bucket, name, gateway_share, now)
        units_max = max(1.0, bucket.burst * demand_share)
        units = float(int(max(0.0, min(demand.wanted_units, bucket.level, units_max))))
        bucket.level -= units
        wait_s = 0.0 if units or demand.wanted_units < 1 else refill_wait_s(bucket, demand_share)
        gateway_share.reserve_units = RESERVE_RATIO * gateway_share.share * max(0.0, bucket.level)
        return QuotaGrant(demand.tenant, units, wait_s, gateway_share.share, gateway_share.reserve_units)

    def update_share(self, bucket: TenantBucket, name: str, gateway_share: GatewayShare, now: float) -> float:
        """Sets the share that a gateway may use in isolation.

        Returns:
            The gateway's share of the demand of all gateways that are not silent, 0 to 1.
        """
        total_demand = others_share = 0.0
        for other, other_share in bucket.gateways.items():
            last_request_at = self.last_request_at.get(other, NEVER_RECEIVED_AT)
            if now - last_request_at <= SILENCE_TIMEOUT_S:
                total_demand += other_share.current_demand(now)
            if other != name and now - last_request_at <= SHARE_LEASE_S:
                others_share += other_share.isolated_share(last_request_at)
        demand_share = gateway_share.current_demand(now) / total_demand if total_demand > 0 else 0.0
        if now - self.started_at < LEARNING_S:  # not all have reported their demand yet: the first would get everything
            demand_share = min(demand_share, 1 / max(1, len(self.last_request_at)))
        unclaimed = 1 - others_share - self.withheld_share(bucket)
        gateway_share.share = max(0.0, min(demand_share, self.max_share(), unclaimed))
        gateway_share.granted_at = now
        return demand_share

    def withheld_share(self, bucket: TenantBucket) -> float:
        """Returns the share of the rate that gateways which have not reported their shares yet may be using."""
        if not self.unreported:
            return 0.0
        return max(0.0, min(1 - bucket.reported_share, len(self.unreported) * self.max_share()))

    def max_share(self) -> float:
        """Returns the largest share that one gateway is granted."""
        return min(1.0, MAX_EVEN_SHARES / max(1, len(self.last_request_at)))

    def silent_gateways(self, now: float) -> dict[str, float]:
        """Returns the gateways without a request for over SILENCE_TIMEOUT_S, and when each last sent one."""
        return {name: at for name, at in self.last_request_at.items() if now - at > SILENCE_TIMEOUT_S}

    def refill_buckets(self, now: float) -> None:
        """Refills all buckets that were not refilled within REFILL_INTERVAL_S."""
        silent = self.silent_gateways(now)
        for bucket in self.buckets.values():
            if now - bucket.filled_at > REFILL_INTERVAL_S:
                bucket.refill(self.withheld_share(bucket), silent, now)

    def update_incarnation(self, name: str, incarnation: str) -> None:
        """Removes what a gateway's earlier incarnation was granted: its grants ended with its process."""
        if self.incarnations.get(name, incarnation) != incarnation:
            self.forget_gateway(name)
        self.incarnations[name] = incarnation

    def forget_silent_gateways(self, now: float) -> None:
        """Removes gateways whose shares have expired long ago."""
        for name in [name for name, at in self.last_request_at.items() if now - at > GATEWAY_TTL_S]:
            self.forget_gateway(name)

    def forget_gateway(self, name: str) -> None:
        """Removes a gateway: it uses nothing any more, and what it used since its last report cannot be known."""
        self.last_request_at.pop(name, None)
        self.unreported.discard(name)
        for bucket in self.buckets.values():
            bucket.gateways.pop(name, None)

    def record_reported_shares(self, request: QuotaRequest, now: float) -> None:
        """Records the shares that a gateway was granted by an earlier lease holder."""
        self.unreported.discard(request.name)
        for demand in request.demands:
            if (bucket := self.buckets.get(demand.tenant)) is not None:
                gateway_share = bucket.gateways.setdefault(request.name, GatewayShare(demand_at=now))
                gateway_share.isolated_units, gateway_share.share, gateway_share.granted_at = (
                    demand.isolated_units,
                    demand.share,
                    now,
                )
                bucket.reported_share += demand.share


def refill_wait_s(bucket: TenantBucket, demand_share: float) -> float:
    """Returns the seconds after which a gateway that was granted nothing should request units again.

    Half of the time in which its share refills one unit: a longer wait would leave units unused, a shorter one would
    mostly find none. Never before the bucket holds a unit.
    """
    shortfall = max(0.0, 1 - bucket.level)
    return max(shortfall, 0.5 / max(demand_share, MIN_WAIT_SHARE)) / bucket.rate
