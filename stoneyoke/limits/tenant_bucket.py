"""One tenant's bucket at the lease holder, and what each gateway may be using of it."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from stoneyoke.limits.quota_terms import SHARE_LEASE_S, SILENCE_TIMEOUT_S, decayed


@dataclass(slots=True)
class GatewayShare:
    """What a gateway asks of one tenant's bucket, and what it was granted for use in isolation.

    Attributes:
        demand_units: Units that its requests asked for, decayed up to `demand_at`.
        demand_at: When the demand was last counted, in seconds.
        share: Share of the tenant's rate that it was granted, 0 to 1.
        reserve_units: Units of the bucket that it was granted besides.
        granted_at: When it was granted both.
        isolated_units: Units that it used in isolation in all this incarnation, as it last reported.
        debited_units: Units taken off the bucket for what it may be using while it is silent.
    """

    demand_units: float = 0.0
    demand_at: float = 0.0
    share: float = 0.0
    reserve_units: float = 0.0
    granted_at: float = 0.0
    isolated_units: float = 0.0
    debited_units: float = 0.0

    def record_demand(self, units: float, now: float) -> None:
        """Counts units that its requests asked for since its last message."""
        self.demand_units = self.current_demand(now) + units
        self.demand_at = now

    def current_demand(self, now: float) -> float:
        """Its demand, decayed up to now."""
        return decayed(self.demand_units, now - self.demand_at)

    def isolated_share(self, last_request_at: float) -> float:
        """The share that it may use if it is heard no more.

        The share decays until the gateway last heard a grant, which may be SILENCE_TIMEOUT_S before it was last heard.
        """
        return decayed(self.share, last_request_at - SILENCE_TIMEOUT_S - self.granted_at)

    def isolated_use(self, last_request_at: float, rate: float, now: float) -> float:
        """The most units that it can have used since it fell silent."""
        reserve = decayed(self.reserve_units, last_request_at - SILENCE_TIMEOUT_S - self.granted_at)
        return reserve + self.isolated_share(last_request_at) * rate * min(now - last_request_at, SHARE_LEASE_S)


@dataclass(slots=True)
class TenantBucket:
    """A tenant's units.

    Attributes:
        rate: Units a second.
        burst: Units that it holds at most.
        level: Units that it holds; below 0 where more may be in use than it held.
        filled_at: When the level was right, in seconds.
        gateways: By name, those that have asked for its units.
        reported_share: Sum of the shares that gateways reported to hold from an earlier lease holder.
    """

    rate: float
    burst: float
    level: float
    filled_at: float
    gateways: dict[str, GatewayShare] = field(default_factory=dict)
    reported_share: float = 0.0

    def refill(self, withheld_share: float, silent: Mapping[str, float], now: float) -> None:
        """Adds what time has refilled, and takes off what silent gateways may have used.

        Args:
            withheld_share: Share of the rate that is not added: gateways that have not reported may be using it.
            silent: Gateways not heard of late, and when each was last heard.
            now: In seconds.
        """
        self.level = min(self.burst, self.level + self.rate * (1 - withheld_share) * (now - self.filled_at))
        self.filled_at = now
        for name, last_request_at in silent.items():
            if entry := self.gateways.get(name):
                used_units = entry.isolated_use(last_request_at, self.rate, now)
                self.level -= used_units - entry.debited_units
                entry.debited_units = used_units

    def return_debited_units(self, name: str) -> None:
        """Gives back what was debited for a gateway: it is heard again and reports what it has used."""
        entry = self.gateways.get(name)
        if entry and entry.debited_units:
            self.level = min(self.burst, self.level + entry.debited_units)
            entry.debited_units = 0.0
