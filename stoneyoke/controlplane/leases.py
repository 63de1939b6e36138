"""Duties that one machine does: a lease that a majority of the voters granted, stopped before its end.

A voter's grant lives in memory. One that has just started may have granted before, so it grants nothing until a
lease granted then has run out. Clocks need not agree: the holder counts from before it asked, a voter from after."""

from dataclasses import dataclass, field

from stoneyoke.consensus.quorum import majority
from stoneyoke.consensus.register_value import ReplicaId

LEASE_TTL_S = 1.0
HOLDER_TTL_FRACTION = 0.85  # of the lease, after which its holder stops: clocks run apart by less
RENEW_INTERVAL_S = 0.25


@dataclass(slots=True)
class Grant:
    holder: str
    incarnation: str
    expires_at: float
    round_number: int = 0  # of the holder's round of asking


class LeaseGranter:
    """A voter's part."""

    def __init__(self, now: float, first_start: bool) -> None:
        """first_start: the system's first start, so that nobody can hold anything."""
        self.no_grants_before = now if first_start else now + LEASE_TTL_S
        self.grants: dict[str, Grant] = {}

    def delay_grants(self, now: float) -> None:
        """This member has just become a voter: the voters before may have granted a lease that still runs."""
        self.no_grants_before = max(self.no_grants_before, now + LEASE_TTL_S)

    def request(
        self, lease_name: str, holder: str, incarnation: str, ttl_s: float, now: float, round_number: int
    ) -> tuple[bool, str, float]:
        """Whether it is granted; who has it; for how many seconds more. A late request of an older round, a
        release above all, changes nothing (trial 2018)."""
        if now < self.no_grants_before:
            return False, "", self.no_grants_before - now
        grant = self.grants.get(lease_name)
        if grant and now < grant.expires_at and (grant.holder, grant.incarnation) != (holder, incarnation):
            return False, grant.holder, grant.expires_at - now
        if grant and (grant.holder, grant.incarnation) == (holder, incarnation) and round_number < grant.round_number:
            return False, grant.holder, max(0.0, grant.expires_at - now)
        ttl_s = min(max(0.0, ttl_s), LEASE_TTL_S)
        self.grants[lease_name] = Grant(holder, incarnation, now + ttl_s, round_number)
        return True, holder, ttl_s


@dataclass(slots=True)
class LeaseHolder:
    """A holder's part: rounds of asking, and until when the lease is its own."""

    expires_at: float = 0.0
    round_started_at: float = 0.0  # of the round that is out
    round_number: int = 0  # of it; rises with each
    granted_by: set[ReplicaId] = field(default_factory=set)
    held_since: float = 0.0  # of this tenure; a new one begins with nothing known

    def start_round(self, now: float) -> None:
        self.round_started_at, self.granted_by = now, set()
        self.round_number += 1

    def record_reply(
        self, voter: ReplicaId, ok: bool, voters: tuple[ReplicaId, ...], round_started_at: float, now: float
    ) -> None:
        """round_started_at: of the round that the answer belongs to; an older one's counts for nothing."""
        if not ok or round_started_at != self.round_started_at or voter not in voters:
            return
        self.granted_by.add(voter)
        if len(self.granted_by) >= majority(len(voters)):
            if not self.is_held(now):
                self.held_since = now
            self.expires_at = max(self.expires_at, round_started_at + LEASE_TTL_S * HOLDER_TTL_FRACTION)

    def is_held(self, now: float) -> bool:
        return now < self.expires_at
