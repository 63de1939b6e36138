"""Token buckets by customer. They show which load is inside a quota or a rate limit."""

from dataclasses import dataclass


@dataclass(slots=True)
class Bucket:
    """A token bucket's level and the time for which it was computed."""

    level: float
    at_us: int


class CustomerBuckets:
    """One bucket for each customer, full at the customer's first request."""

    def __init__(self) -> None:
        """Starts without customers."""
        self._buckets: dict[int, Bucket] = {}

    def level(self, customer: int, rate_per_s: float, burst: float, at_us: int) -> float:
        """Refills a customer's bucket up to a time and returns its level. Times must not go backwards."""
        bucket = self._buckets.get(customer)
        if bucket is None:
            bucket = self._buckets[customer] = Bucket(burst, at_us)
        bucket.level = min(burst, bucket.level + rate_per_s * (at_us - bucket.at_us) / 1e6)
        bucket.at_us = at_us
        return bucket.level

    def set_level(self, customer: int, level: float) -> None:
        """Sets the level of a bucket that was just refilled."""
        self._buckets[customer].level = level

    def take(self, customer: int, units: float, rate_per_s: float, burst: float, at_us: int) -> bool:
        """Takes units from a customer's bucket and returns true; returns false if it holds fewer."""
        level = self.level(customer, rate_per_s, burst, at_us)
        if level < units:
            return False
        self.set_level(customer, level - units)
        return True
