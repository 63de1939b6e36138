"""Duties that one machine does: a lease that a majority of the voters granted, stopped before its end.

A voter's grant lives in memory. One that has just started may have granted before, so it grants nothing until a
lease granted then has run out. Clocks need not agree: the holder counts from before it asked, a voter from after."""

from dataclasses import dataclass, field

from stoneyoke.consensus.protocol import ReplicaId
from stoneyoke.consensus.quorum import majority

TTL_S = 1.0
STOP = 0.85  # of the lease, after which its holder stops: clocks run apart by less
RENEW_S = 0.25


@dataclass(slots=True)
class Grant:
    holder: str
    incarnation: str
    until: float
    number: int = 0  # of the holder's round of asking


class LeaseGranter:
    """A voter's part."""

    def __init__(self, now: float, fresh: bool) -> None:
        """fresh: the system's first start, so that nobody can hold anything."""
        self.silent_until = now if fresh else now + TTL_S
        self.grants: dict[str, Grant] = {}

    def hold_back(self, now: float) -> None:
        """This member has just become a voter: the voters before may have granted a lease that still runs."""
        self.silent_until = max(self.silent_until, now + TTL_S)

    def ask(
        self, duty: str, holder: str, incarnation: str, ttl_s: float, now: float, number: int
    ) -> tuple[bool, str, float]:
        """Whether it is granted; who has it; for how many seconds more. number: of the round of asking: an older one
        that comes late, one that gives back above all, changes nothing (trial 2018)."""
        if now < self.silent_until:
            return False, "", self.silent_until - now
        grant = self.grants.get(duty)
        if grant and now < grant.until and (grant.holder, grant.incarnation) != (holder, incarnation):
            return False, grant.holder, grant.until - now
        if grant and (grant.holder, grant.incarnation) == (holder, incarnation) and number < grant.number:
            return False, grant.holder, max(0.0, grant.until - now)
        ttl_s = min(max(0.0, ttl_s), TTL_S)
        self.grants[duty] = Grant(holder, incarnation, now + ttl_s, number)
        return True, holder, ttl_s


@dataclass(slots=True)
class LeaseHolder:
    """A holder's part: rounds of asking, and until when the duty is its own."""

    until: float = 0.0
    began: float = 0.0  # of the round that is out
    number: int = 0  # of it; rises with each
    granted: set[ReplicaId] = field(default_factory=set)
    since: float = 0.0  # of this tenure; a new one begins with nothing known

    def ask(self, now: float) -> None:
        self.began, self.granted = now, set()
        self.number += 1

    def answer(self, voter: ReplicaId, ok: bool, voters: tuple[ReplicaId, ...], began: float, now: float) -> None:
        """began: of the round that the answer belongs to; an older one's counts for nothing."""
        if not ok or began != self.began or voter not in voters:
            return
        self.granted.add(voter)
        if len(self.granted) >= majority(len(voters)):
            if not self.holds(now):
                self.since = now
            self.until = max(self.until, began + TTL_S * STOP)

    def holds(self, now: float) -> bool:
        return now < self.until
