"""What allocator and local quotas share: how granted shares decay and expire, and the excess that a rule allows."""

from stoneyoke.api.bounds import ServiceBounds

SILENCE_TIMEOUT_S = 0.7  # a gateway that has sent nothing for this long may be using its share in isolation
SHARE_LEASE_S = 10.0  # how long a gateway may use its share after the last response of a lease holder
DEMAND_HALF_LIFE_S = 2.0  # half-life of counted demand, and of a granted share


def decayed(amount: float, elapsed_s: float) -> float:
    """Returns what remains of an amount after so many seconds."""
    return amount * float(0.5 ** (max(0.0, elapsed_s) / DEMAND_HALF_LIFE_S))


def excess_units(rate_per_s: float, burst: float, bounds: ServiceBounds) -> float:
    """Returns the units beyond a tenant's quota that the quota rule allows in one window.

    Source:
        The operators' RULES, QUOTA.
    """
    quota = rate_per_s * bounds.quota_window_s + burst
    return bounds.quota_excess_ratio * quota + bounds.quota_slack_units
