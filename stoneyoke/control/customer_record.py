"""The record of a customer: the state that the decisions on its RPCs read and write. Decides nothing."""

from enum import IntEnum

from stoneyoke.control.parameters import Plan
from stoneyoke.limits.token_bucket import MAX_WAIT_US, SECOND, TokenBucket


class Escalation(IntEnum):
    """What is done about a customer whose RPCs come before the advised wait is over."""

    NONE = 0
    DOUBLED = 1  # its waits are
    BLOCKED = 2  # it is rejected for a while


class CustomerRecord:
    """What a gateway remembers of a customer."""

    bucket: TokenBucket  # this gateway's share of the quota
    ceiling: TokenBucket  # and of the ceiling

    def __init__(self, index: int, customer_id: int, plan: Plan, now: int) -> None:
        """Begins with nothing counted."""
        self.index, self.customer_id, self.plan = index, customer_id, plan
        self.in_flight, self.seen_at = 0, now
        self.demand_units = 0.0  # of the period that runs
        # Decayed sums over seconds, and their lengths: own demand, and what other gateways have counted.
        self.own_units = self.own_s = self.others_units = self.others_s = 0.0
        self.others_read_at = -MAX_WAIT_US  # when the others' demand was read last
        self.counting_until = 0  # its demand is counted while its bucket has been half empty of late
        # Early returns: RPCs that come before the wait of the last rejection is over.
        self.advised_until = self.blocked_until = 0
        self.rpcs = self.early_rpcs = 0  # since the last review of them
        self.escalation: int = Escalation.NONE

    def charge(self, units: float) -> None:
        """Takes units off the buckets that refill: one that doesn't would keep its customer for ever."""
        if self.plan.rate > 0:
            self.bucket.level -= units
        if self.plan.ceiling_rate > 0:
            self.ceiling.level -= units

    def may_be_forgotten(self, now: int) -> bool:
        """Whether nothing would be lost with it: it is idle, and its buckets are full."""
        # A thin share earns an RPC back in a minute or so: a customer seen once must not stay for longer.
        idle_us = now - self.seen_at
        is_full = idle_us > 60 * SECOND or self.bucket.fill(now) >= self.bucket.depth
        is_idle = idle_us > 10 * SECOND and not self.in_flight
        return is_idle and is_full and self.ceiling.fill(now) >= self.ceiling.depth
