"""Messages by which gateways draw units of tenants' quotas from the holder of the quota lease."""

from dataclasses import dataclass
from typing import NamedTuple


class QuotaDemand(NamedTuple):
    """What a gateway asks and reports for one tenant.

    Attributes:
        tenant: The tenant's label.
        wanted_units: Units that the gateway asks for.
        demand_units: Units that requests have asked for since the last message.
        isolated_units: Units used, in all this incarnation, while no lease holder answered.
        share: Share of the tenant's rate that the gateway holds, 0 to 1.
    """

    tenant: str
    wanted_units: float
    demand_units: float
    isolated_units: float
    share: float


class QuotaGrant(NamedTuple):
    """What the lease holder grants for one tenant.

    Attributes:
        tenant: The tenant's label.
        units: Units granted now.
        wait_s: Time until a unit is there, if none was granted.
        share: Share of the tenant's rate that the gateway may use while it hears no lease holder, 0 to 1.
        reserve_units: Units of the tenant's bucket that it may use then, besides the share.
    """

    tenant: str
    units: float
    wait_s: float
    share: float
    reserve_units: float


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaRequest:
    """A gateway's draw, for all its tenants at once.

    Attributes:
        name: Name of the gateway.
        incarnation: Its incarnation.
        since_answer_ms: Time since it last heard an answer.
        complete: Whether `demands` has a row for each share that it holds.
        demands: What it asks and reports, a row a tenant.
    """

    name: str
    incarnation: str
    since_answer_ms: int
    complete: bool
    demands: list[QuotaDemand]


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaResponse:
    """The grants, a row for each demand; not `ok` where the receiver does not hold the lease."""

    ok: bool
    grants: list[QuotaGrant]
