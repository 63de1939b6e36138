"""Messages by which gateways request units of tenants' quotas from the quota lease holder."""

from dataclasses import dataclass
from typing import NamedTuple


class QuotaDemand(NamedTuple):
    """A gateway's request and report for one tenant.

    Attributes:
        tenant: The tenant's label.
        wanted_units: Units that the gateway requests.
        demand_units: Units that clients' requests have needed since the last message.
        isolated_units: Total units used by this incarnation while no lease holder responded.
        share: Share of the tenant's rate that the gateway holds, 0 to 1.
    """

    tenant: str
    wanted_units: float
    demand_units: float
    isolated_units: float
    share: float


class QuotaGrant(NamedTuple):
    """The lease holder's grant for one tenant.

    Attributes:
        tenant: The tenant's label.
        units: Units granted now.
        wait_s: Time until a unit is available if none was granted, in seconds.
        share: Share of the tenant's rate that the gateway may use while no lease holder responds, 0 to 1.
        reserve_units: Units of the tenant's bucket that the gateway may use then, in addition to the share.
    """

    tenant: str
    units: float
    wait_s: float
    share: float
    reserve_units: float


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaRequest:
    """A gateway's request for units, for all its tenants at once.

    Attributes:
        name: Name of the gateway.
        incarnation: Incarnation of the gateway's process.
        since_answer_ms: Time since the gateway last received a response, in milliseconds.
        complete: Whether `demands` has a row for each share that the gateway holds.
        demands: The gateway's requests and reports, one row per tenant.
    """

    name: str
    incarnation: str
    since_answer_ms: int
    complete: bool
    demands: list[QuotaDemand]


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaResponse:
    """The grants, one row per demand; `ok` is false if the receiver of the request does not hold the lease."""

    ok: bool
    grants: list[QuotaGrant]
