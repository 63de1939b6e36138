"""Messages by which a controller asks voters for a lease."""

from dataclasses import dataclass

from stoneyoke.transport.messages.consensus import MemberRow


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRequest:
    """Asks a voter to grant or renew a lease for `ttl_ms` milliseconds; 0 releases the lease.

    `round_number` increases with each of the holder's rounds, so that a late message can't undo a newer one.
    `voter_set_number` is the number of the voter set that is asked.
    """

    lease_name: str
    holder: str
    incarnation: str
    ttl_ms: int
    round_number: int
    voter_set_number: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseResponse:
    """Whether the voter has granted the lease to the caller, and the holder according to this voter.

    `voter_set_number` is the number of the voter set for which the voter grants the lease.
    """

    ok: bool
    holder: str
    remaining_ms: int
    voter_set_number: int
    replica: MemberRow
