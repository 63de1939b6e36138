"""Messages by which a controller asks voters for a lease."""

from dataclasses import dataclass

from stoneyoke.transport.messages.consensus import MemberRow


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRequest:
    """Asks a voter to grant or renew a lease for `ttl_ms`; 0 releases it.

    `round_number` rises with each of the holder's rounds, so that a late message can't undo a newer one.
    `voter_set_number` names the voter set that is asked.
    """

    lease_name: str
    holder: str
    incarnation: str
    ttl_ms: int
    round_number: int
    voter_set_number: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseResponse:
    """Whether the voter has granted the lease to the asker, and who holds it by its word.

    `voter_set_number` names the voter set for which the voter grants.
    """

    ok: bool
    holder: str
    remaining_ms: int
    voter_set_number: int
    replica: MemberRow
