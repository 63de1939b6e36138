"""The record of a customer: the state that decisions on its RPCs read and write. Decides nothing."""

from enum import IntEnum

from stoneyoke.control.parameters import Plan
from stoneyoke.limits.token_bucket import MAX_WAIT_US, SECOND, TokenBucket


class Escalation(IntEnum):
    """What is done about a customer that retries before the stated retry time is over."""

    NONE = 0
    DOUBLED = 1  # its retry times are doubled
    BLOCKED = 2  # its retry times last at least to the end of a block


class CustomerRecord:
    """A gateway's state for one customer."""

    bucket: TokenBucket  # this gateway's share of the quota
    ceiling: TokenBucket  # this gateway's share of the ceiling

    def __init__(self, index: int, customer_id: int, plan: Plan, now: int) -> None:
        """Starts with nothing counted."""
        self.index, self.customer_id, self.plan = index, customer_id, plan
        self.in_flight, self.seen_at = 0, now
        self.demand_units = 0.0  # demand in the current period
        # Demand here and at the other gateways: decayed sums of units, and of the seconds in which they were counted.
        self.own_units = self.own_s = self.others_units = self.others_s = 0.0
        self.others_read_at = -MAX_WAIT_US  # when the others' demand was last read
        self.counting_until = 0  # its demand goes to the counter until then: its bucket was less than half full lately
        # Early returns: RPCs that arrive before the retry time of the last rejection is over.
        self.advised_until = self.blocked_until = 0
        self.rpcs = self.early_rpcs = 0  # RPCs and early returns since the last review
        self.escalation: int = Escalation.NONE

    def charge(self, units: float) -> None:
        """Takes units off the buckets that refill. One that doesn't would never be full: its customer would stay."""
        if self.plan.rate > 0:
            self.bucket.level -= units
        if self.plan.ceiling_rate > 0:
            self.ceiling.level -= units

    def may_be_forgotten(self, now: int) -> bool:
        """Whether nothing would be lost with it: it is idle, and its buckets are full."""
        # A low-rate share may take over a minute to refill one RPC's cost: a customer seen once must not stay longer.
        idle_us = now - self.seen_at
        is_full = idle_us > 60 * SECOND or self.bucket.fill(now) >= self.bucket.depth
        is_idle = idle_us > 10 * SECOND and not self.in_flight
        return is_idle and is_full and self.ceiling.fill(now) >= self.ceiling.depth
