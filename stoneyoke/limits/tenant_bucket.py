"""One tenant's bucket at the lease holder, and what each gateway may be using of it."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from stoneyoke.limits.quota_terms import SHARE_LEASE_S, SILENCE_TIMEOUT_S, decayed


@dataclass(slots=True)
class GatewayShare:
    """A gateway's demand for one tenant's units, and what it was granted for use in isolation.

    Attributes:
        demand_units: Units that its requests needed, decayed up to `demand_at`.
        demand_at: When the demand was last counted, in seconds.
        share: Share of the tenant's rate that it was granted, 0 to 1.
        reserve_units: Units of the bucket that it was granted in addition.
        granted_at: When share and reserve were granted, in seconds.
        isolated_units: Units that this incarnation of it used in isolation in total, as it last reported.
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
        """Counts the units that its requests needed since its last message."""
        self.demand_units = self.current_demand(now) + units
        self.demand_at = now

    def current_demand(self, now: float) -> float:
        """Returns its demand, decayed up to now."""
        return decayed(self.demand_units, now - self.demand_at)

    def isolated_share(self, last_request_at: float) -> float:
        """Returns the share that it may use in isolation if no request comes after `last_request_at`.

        The share decays until the gateway last received a grant, which may be SILENCE_TIMEOUT_S before that request.
        """
        return decayed(self.share, last_request_at - SILENCE_TIMEOUT_S - self.granted_at)

    def isolated_use(self, last_request_at: float, rate: float, now: float) -> float:
        """Returns the most units that it can have used since its last request."""
        reserve = decayed(self.reserve_units, last_request_at - SILENCE_TIMEOUT_S - self.granted_at)
        return reserve + self.isolated_share(last_request_at) * rate * min(now - last_request_at, SHARE_LEASE_S)


@dataclass(slots=True)
class TenantBucket:
    """A tenant's units.

    Attributes:
        rate: Units a second.
        burst: Units that it holds at most.
        level: Units that it holds; below 0 where more may be in use than it held.
        filled_at: When the level was last computed, in seconds.
        gateways: The gateways that have requested its units, by name.
        reported_share: Sum of the shares that gateways reported as granted by an earlier lease holder.
    """

    rate: float
    burst: float
    level: float
    filled_at: float
    gateways: dict[str, GatewayShare] = field(default_factory=dict)
    reported_share: float = 0.0

    def refill(self, withheld_share: float, silent: Mapping[str, float], now: float) -> None:
        """Adds the units refilled since the last call, and debits what silent gateways may have used.

        Args:
            withheld_share: Share of the rate that is not added: gateways that have not reported may be using it.
            silent: Silent gateways, and when each last sent a request.
            now: In seconds.
        """
        self.level = min(self.burst, self.level + self.rate * (1 - withheld_share) * (now - self.filled_at))
        self.filled_at = now
        for name, last_request_at in silent.items():
            if gateway_share := self.gateways.get(name):
                used_units = gateway_share.isolated_use(last_request_at, self.rate, now)
                self.level -= used_units - gateway_share.debited_units
                gateway_share.debited_units = used_units

    def return_debited_units(self, name: str) -> None:
        """Returns what was debited for a gateway: it has sent a request again and reports what it really used."""
        gateway_share = self.gateways.get(name)
        if gateway_share and gateway_share.debited_units:
            self.level = min(self.burst, self.level + gateway_share.debited_units)
            gateway_share.debited_units = 0.0
