"""Leases for roles that one controller holds at a time, granted by a majority of the voters. No I/O.

A voter has its grants in memory only. A voter that has just started may have granted a lease in its previous process,
so it grants nothing until such a lease has expired. Clocks need not be synchronized: a holder counts the lease from
before it sent the requests, a voter from after it received one, and the holder stops at HOLDER_TTL_FRACTION of the
lease.
"""

from dataclasses import dataclass, field

from stoneyoke.consensus.quorum import majority
from stoneyoke.consensus.register_value import ReplicaId

LEASE_TTL_S = 1.0
# A holder stops after this fraction of the lease. The rest is a margin: the clocks of two machines drift apart by less.
HOLDER_TTL_FRACTION = 0.85
RENEW_INTERVAL_S = 0.25


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantRequest:
    """A candidate's request to one voter for a lease, or its release with a `ttl_s` of 0.

    Attributes:
        lease_name: the role that the lease is for.
        holder: the candidate's address.
        incarnation: identifies the candidate's process.
        ttl_s: the duration requested, in seconds; at most LEASE_TTL_S is granted.
        round_number: the number of the candidate's round of requests; rises with each round.
    """

    lease_name: str
    holder: str
    incarnation: str
    ttl_s: float
    round_number: int


@dataclass(frozen=True, slots=True)
class GrantDecision:
    """A voter's decision: whether it grants, who has its grant ("" if unknown), for how many more seconds."""

    granted: bool
    holder: str
    remaining_s: float


@dataclass(slots=True)
class Grant:
    """A grant of a lease by a voter. expires_at: by the voter's clock."""

    holder: str
    incarnation: str
    expires_at: float
    round_number: int


class LeaseGranter:
    """The voter's side: at most one unexpired grant for each lease."""

    def __init__(self, now: float, first_start: bool) -> None:
        """Starts without grants.

        Args:
            now: the current time by the voter's clock.
            first_start: whether the whole system starts for the first time, so that no earlier process granted a lease.
        """
        self.no_grants_before = now if first_start else now + LEASE_TTL_S
        self.grants: dict[str, Grant] = {}  # by the lease's name

    def delay_grants(self, now: float) -> None:
        """Grants nothing for LEASE_TTL_S: the previous voters may have granted a lease that hasn't expired."""
        self.no_grants_before = max(self.no_grants_before, now + LEASE_TTL_S)

    def request(self, request: GrantRequest, now: float) -> GrantDecision:
        """Grants, renews or releases a lease, or refuses."""
        if now < self.no_grants_before:
            return GrantDecision(False, "", self.no_grants_before - now)
        grant = self.grants.get(request.lease_name)
        if grant is not None:
            remaining_s = grant.expires_at - now
            is_same_holder = (grant.holder, grant.incarnation) == (request.holder, request.incarnation)
            if remaining_s > 0 and not is_same_holder:
                return GrantDecision(False, grant.holder, remaining_s)
            # Requests can arrive out of order. A late release of an older round must not undo a newer grant.
            if is_same_holder and request.round_number < grant.round_number:
                return GrantDecision(False, grant.holder, max(0.0, remaining_s))
        ttl_s = min(max(0.0, request.ttl_s), LEASE_TTL_S)
        self.grants[request.lease_name] = Grant(request.holder, request.incarnation, now + ttl_s, request.round_number)
        return GrantDecision(True, request.holder, ttl_s)


@dataclass(slots=True)
class LeaseHolder:
    """The candidate's side: its current round of requests, and until when it holds the lease.

    Attributes:
        expires_at: when this holder stops, by its own clock.
        round_started_at: the time before the requests of the current round were sent.
        round_number: the number of the current round.
        granted_by: the voters that granted in the current round.
    """

    expires_at: float = 0.0
    round_started_at: float = 0.0
    round_number: int = 0
    granted_by: set[ReplicaId] = field(default_factory=set)

    def start_round(self, now: float) -> None:
        """Begins a round; grants of earlier rounds no longer count."""
        self.round_started_at, self.granted_by = now, set()
        self.round_number += 1

    def record_grant(self, voter: ReplicaId, voters: tuple[ReplicaId, ...], round_started_at: float) -> None:
        """Counts a grant; with a majority of `voters` the lease is held, for a time that counts from the round's start.

        Args:
            voter: the replica that granted.
            voters: all voters of the round.
            round_started_at: the start of the round whose request was granted.
        """
        if round_started_at != self.round_started_at or voter not in voters:
            return
        self.granted_by.add(voter)
        if len(self.granted_by) >= majority(len(voters)):
            self.expires_at = max(self.expires_at, round_started_at + LEASE_TTL_S * HOLDER_TTL_FRACTION)

    def is_held(self, now: float) -> bool:
        """Returns whether the lease is held at `now`."""
        return now < self.expires_at
