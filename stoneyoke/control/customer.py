"""A customer at this gateway: its share of the quota, its token buckets and its concurrency limit."""

import math

from stoneyoke.control.context import DecisionContext
from stoneyoke.control.customer_record import CustomerRecord
from stoneyoke.control.events import Arrival
from stoneyoke.limits.shared_bucket import SharedBucket, ceiling_share
from stoneyoke.limits.token_bucket import SECOND, TokenBucket

MIN_EVEN_SHARE_RPCS_PER_S = 2  # largest-cost RPCs per second: an even share below this rate uses the shared bucket


class Customer(CustomerRecord):
    """A customer's quota at this gateway. QuotaShares removes it once nothing would be lost with it."""

    def __init__(self, arrival: Arrival, context: DecisionContext, mean_units: float) -> None:
        """Starts with the even share and a full bucket. `mean_units` is the mean cost of the gateway's RPCs."""
        parameters = context.parameters
        plan = parameters.plans[arrival.plan]
        super().__init__(arrival.customer, arrival.customer_id, plan, context.now)
        gateways = arrival.customer_gateways
        if not math.isfinite(gateways) or gateways < 1:
            gateways = parameters.gateways
        self.even_share = even = 1 / min(gateways, parameters.gateways)
        self.share, self.mean_units = even, mean_units  # this gateway's share of the quota; mean cost of an RPC
        self.bucket = TokenBucket(plan.rate * even, self.depth(), self.depth(), context.now)
        self.ceiling = empty_bucket(plan.ceiling_rate * even, plan.ceiling_burst * even, context)
        # A low-rate share says little about the whole quota. The shared bucket decides instead, and the share only
        # where the counter does not reply. All gateways get the same figures, so they agree on it.
        self.shared_bucket, self.period_s = None, 1
        is_low_rate = 0 < plan.rate * even < MIN_EVEN_SHARE_RPCS_PER_S * parameters.units_max
        if parameters.has_counter and even < 1 and is_low_rate:
            self.period_s = 2  # while the counter is not queried per RPC: a low rate takes longer to measure
            self.shared_bucket = SharedBucket(plan, arrival.customer_id, even, mean_units)
            rate, depth = ceiling_share(plan, even, parameters.units_max, parameters.own_index)
            self.ceiling = empty_bucket(rate, depth, context)

    def depth(self) -> float:
        """Returns the bucket's depth in units: the share of the burst, raised as RPCs take their whole cost at once."""
        # Raised by the cost of two mean RPCs with few gateways (less does worse), and by little more than one with
        # many, where what is added at each gateway sums up.
        rounding = (1 + min(1.0, 12 * self.even_share)) * self.mean_units
        return min(self.plan.burst, self.plan.burst * self.share + rounding)

    def set_share(self, share: float, now: int) -> None:
        """Sets the share of the quota, to no less than a tenth of the even share. A larger share adds no units."""
        self.share = max(share, self.even_share / 10)
        self.bucket.resize(self.plan.rate * self.share, self.depth(), now)

    def concurrency_reached(self, latency_s: float) -> bool:
        """Whether its attempts in flight, here and estimated at other gateways, reach its plan's limit."""
        plan = self.plan
        if plan.rate <= 0:
            own_part = max(1, int(plan.concurrency_max * self.share + 1e-9))
            return plan.concurrency_max > 0 and self.in_flight >= own_part
        # The others' attempts in flight are their rate times the latency (Little's law). A share of the limit rounded
        # to whole attempts would be none, or one for each of a hundred gateways.
        others = self.others_units / self.others_s if self.others_s else plan.rate * (1 - self.share)
        elsewhere = min(plan.rate, others) / self.mean_units * latency_s
        return 0 < plan.concurrency_max <= self.in_flight + elsewhere


def empty_bucket(rate: float, depth: float, context: DecisionContext) -> TokenBucket:
    """Returns a ceiling's bucket, empty at this incarnation's start: an earlier one may have used all its units."""
    level = min(depth, rate * (context.now - context.start_time) / SECOND)
    return TokenBucket(rate, depth, level, context.now)
