"""What the allocator and the gateways' local quotas agree on: how shares decay, when they end, what a rule allows."""

from stoneyoke.api.bounds import ServiceBounds

SILENCE_TIMEOUT_S = 0.7  # a gateway not heard for so long may be using its share in isolation
SHARE_LEASE_S = 10.0  # a gateway goes on with its share for so long after it last heard a lease holder
DEMAND_HALF_LIFE_S = 2.0  # counted demand halves in so long, and so does a granted share


def decayed(amount: float, elapsed_s: float) -> float:
    """What is left of an amount after so many seconds."""
    return amount * float(0.5 ** (max(0.0, elapsed_s) / DEMAND_HALF_LIFE_S))


def excess_units(rate_per_s: float, burst: float, bounds: ServiceBounds) -> float:
    """Units beyond a tenant's quota that the rule allows in one window.

    Source:
        The operators' RULES, QUOTA.
    """
    quota = rate_per_s * bounds.quota_window_s + burst
    return bounds.quota_excess_ratio * quota + bounds.quota_slack_units
