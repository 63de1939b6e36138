"""A customer at this gateway: its share of the quota, the buckets that hold it, and its concurrency."""

import math

from stoneyoke.control.context import DecisionContext
from stoneyoke.control.customer_record import CustomerRecord
from stoneyoke.control.events import Arrival
from stoneyoke.limits.shared_bucket import SharedBucket, ceiling_share
from stoneyoke.limits.token_bucket import SECOND, TokenBucket

MIN_EVEN_SHARE_RPCS_PER_S = 2  # of the largest RPCs: an even share that refills by less uses the shared bucket


class Customer(CustomerRecord):
    """A customer. Dropped by QuotaShares once it may be forgotten."""

    def __init__(self, arrival: Arrival, context: DecisionContext, mean_units: float) -> None:
        """Begins with the even share and a full bucket. `mean_units` is the mean cost of the gateway's RPCs."""
        parameters = context.parameters
        plan = parameters.plans[arrival.plan]
        super().__init__(arrival.customer, arrival.customer_id, plan, context.now)
        gateways = arrival.customer_gateways
        if not math.isfinite(gateways) or gateways < 1:
            gateways = parameters.gateways
        self.even_share = even = 1 / min(gateways, parameters.gateways)
        self.share, self.mean_units = even, mean_units  # this gateway's part of the quota; cost of an RPC
        self.bucket = TokenBucket(plan.rate * even, self.depth(), self.depth(), context.now)
        self.ceiling = empty_bucket(plan.ceiling_rate * even, plan.ceiling_burst * even, context)
        # A thin share tells little of the whole quota. Then the shared bucket decides, and the share where
        # the counter does not reply. All gateways are told the same figures, so that they agree.
        self.shared_bucket, self.period_s = None, 1
        is_low_rate = 0 < plan.rate * even < MIN_EVEN_SHARE_RPCS_PER_S * parameters.units_max
        if parameters.has_counter and even < 1 and is_low_rate:
            self.period_s = 2  # while the shared bucket is not asked: thin demand shows late
            self.shared_bucket = SharedBucket(plan, arrival.customer_id, even, mean_units)
            rate, depth = ceiling_share(plan, even, parameters.units_max, parameters.own_index)
            self.ceiling = empty_bucket(rate, depth, context)

    def depth(self) -> float:
        """Depth of the bucket in units: the share of the burst, rounded up because costs come in lumps."""
        # By two mean RPCs with few gateways (1 and 1.5 lost 0.01 to 0.08), by little over one with many,
        # where the roundings add up.
        rounding = (1 + min(1.0, 12 * self.even_share)) * self.mean_units
        return min(self.plan.burst, self.plan.burst * self.share + rounding)

    def set_share(self, share: float, now: int) -> None:
        """Changes the share of the quota, at least to a tenth of the even one. A larger share adds no units."""
        self.share = max(share, self.even_share / 10)
        self.bucket.resize(self.plan.rate * self.share, self.depth(), now)

    def concurrency_reached(self, latency_s: float) -> bool:
        """Whether its attempts in flight, here and likely elsewhere, are as many as its plan allows."""
        plan = self.plan
        if plan.rate <= 0:
            own_part = max(1, int(plan.concurrency_max * self.share + 1e-9))
            return plan.concurrency_max > 0 and self.in_flight >= own_part
        # What the others have in flight is their rate times the latency. (A part of the limit rounded to whole
        # attempts would be none, or one for each of a hundred gateways.)
        others = self.others_units / self.others_s if self.others_s else plan.rate * (1 - self.share)
        elsewhere = min(plan.rate, others) / self.mean_units * latency_s
        return 0 < plan.concurrency_max <= self.in_flight + elsewhere


def empty_bucket(rate: float, depth: float, context: DecisionContext) -> TokenBucket:
    """A ceiling's bucket: empty when this incarnation began, for an earlier one may have sent all."""
    level = min(depth, rate * (context.now - context.start_time) / SECOND)
    return TokenBucket(rate, depth, level, context.now)
