"""How much the shared counter is asked: all of the queries, a drawn part, or none while it does not reply."""

from stoneyoke.control.context import DecisionContext
from stoneyoke.limits.shared_bucket import SharedBucket
from stoneyoke.limits.token_bucket import SECOND

SILENT_QUERIES = 3  # so many unanswered queries in a row: the counter is silent


class CounterLoad:
    """The part of the queries that is made: less while the counter is overloaded, in balance at one failure in five."""

    def __init__(self, context: DecisionContext) -> None:
        """Begins with all queries."""
        self.context = context
        self.queried_share = self.mean_queried_share = 1.0
        self.has_ceilings = any(plan.ceiling_rate > 0 for plan in context.parameters.plans)
        self.fastest_reply_us = 20_000.0  # slowly forgotten
        self.periodic_until = context.now  # until then only buckets under a ceiling are asked about

    def rpcs_query_bucket(self, bucket: SharedBucket) -> bool:
        """Whether RPCs of a shared bucket's customer wait for the counter's reply."""
        return bucket.has_ceiling or self.rpcs_query_counter()

    def rpcs_query_counter(self) -> bool:
        """Whether RPCs wait for replies at all. Else demand is counted by the period."""
        return self.context.now >= self.periodic_until

    def query_share(self, bucket: SharedBucket) -> float:
        """The part of a customer's RPCs that the counter is asked about."""
        return min(1.0, self.queried_share * (3 if bucket.has_ceiling else 1)) if self.has_ceilings else 1.0

    def record(self, added: bool, latency_us: int) -> None:
        """Weighs a reply, or that there was none. Where RPCs wait for replies a slow one counts as failed."""
        if added:
            self.fastest_reply_us = min(1.002 * self.fastest_reply_us, latency_us)
        rpcs_wait = self.rpcs_query_counter() or self.has_ceilings
        failed = not added or (rpcs_wait and latency_us > 2 * self.fastest_reply_us + 5_000)
        share = 0.9 * self.queried_share if failed else 1.03 * self.queried_share + 0.01
        self.queried_share = max(0.05, min(1.0, share))
        self.mean_queried_share += (self.queried_share - self.mean_queried_share) * 0.04
        # Below half, all but those under a ceiling go by the period: both at once did worse than either.
        if self.rpcs_query_counter() and self.has_ceilings and self.mean_queried_share < 0.45:
            self.periodic_until = self.context.now + 30 * SECOND
            self.queried_share = self.mean_queried_share = 1.0
