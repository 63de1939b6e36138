"""How much the shared counter is queried: for all RPCs, for a random sample, or not at all while it does not reply."""

from stoneyoke.control.context import DecisionContext
from stoneyoke.limits.shared_bucket import SharedBucket
from stoneyoke.limits.token_bucket import SECOND

SILENT_QUERIES = 3  # consecutive queries without a reply after which the counter counts as silent


class CounterLoad:
    """The share of counter queries that is sent: lowered while queries fail, steady at one failure in about five."""

    def __init__(self, context: DecisionContext) -> None:
        """Starts by sending all queries."""
        self.context = context
        self.queried_share = self.mean_queried_share = 1.0
        self.has_ceilings = any(plan.ceiling_rate > 0 for plan in context.parameters.plans)
        self.fastest_reply_us = 20_000.0  # lowest recent latency of a reply; rises by 0.2 % with each slower reply
        self.periodic_until = context.now  # until then RPCs query only for customers with a ceiling

    def rpcs_query_bucket(self, bucket: SharedBucket) -> bool:
        """Whether RPCs of a shared bucket's customer query the counter and wait for its reply."""
        return bucket.has_ceiling or self.rpcs_query_counter()

    def rpcs_query_counter(self) -> bool:
        """Whether RPCs without a ceiling query the counter. Otherwise their demand is counted once a period."""
        return self.context.now >= self.periodic_until

    def query_share(self, bucket: SharedBucket) -> float:
        """Returns the share of a customer's RPCs that query the counter: three times as many under a ceiling."""
        return min(1.0, self.queried_share * (3 if bucket.has_ceiling else 1)) if self.has_ceilings else 1.0

    def record(self, added: bool, latency_us: int) -> None:
        """Adjusts the share to a reply or a missing one. A slow reply counts as failed where RPCs wait for replies."""
        if added:
            self.fastest_reply_us = min(1.002 * self.fastest_reply_us, latency_us)
        rpcs_wait = self.rpcs_query_counter() or self.has_ceilings
        failed = not added or (rpcs_wait and latency_us > 2 * self.fastest_reply_us + 5_000)
        share = 0.9 * self.queried_share if failed else 1.03 * self.queried_share + 0.01
        self.queried_share = max(0.05, min(1.0, share))
        self.mean_queried_share += (self.queried_share - self.mean_queried_share) * 0.04
        # Below half, only RPCs under a ceiling query the counter, the others count by period: a mix does worse.
        if self.rpcs_query_counter() and self.has_ceilings and self.mean_queried_share < 0.45:
            self.periodic_until = self.context.now + 30 * SECOND
            self.queried_share = self.mean_queried_share = 1.0
