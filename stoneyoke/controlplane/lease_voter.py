"""The voter's side of the quota lease: grants leases while this controller is a member of the current voter set."""

from collections.abc import Callable

from stoneyoke.consensus.message_rows import member_row
from stoneyoke.consensus.replica import Replica
from stoneyoke.controlplane.leases import Grant, GrantDecision, GrantRequest, LeaseGranter
from stoneyoke.transport.messages import LeaseRequest, LeaseResponse


class LeaseVoter:
    """Grants leases for this controller's replica."""

    def __init__(self, replica: Replica, *, first_start: bool, clock: Callable[[], float]) -> None:
        """Starts without grants.

        Args:
            replica: knows whether this controller votes, and in which voter set.
            first_start: whether the whole system starts for the first time, so that no earlier process granted a lease.
            clock: returns seconds of the controller's monotonic clock.
        """
        self._replica, self._clock = replica, clock
        self._granter = LeaseGranter(clock(), first_start)
        self._was_voter = replica.is_voter()  # at the last request

    @property
    def no_grants_before(self) -> float:
        """The time before which this voter grants nothing."""
        return self._granter.no_grants_before

    def current_grant(self, lease_name: str) -> Grant | None:
        """Returns this voter's unexpired grant of a lease; None if there is none."""
        grant = self._granter.grants.get(lease_name)
        return grant if grant and self._clock() < grant.expires_at else None

    def grant(self, request: GrantRequest, voter_set_number: int) -> GrantDecision | None:
        """Decides on a request from a candidate that counts the grants of voter set `voter_set_number`.

        This voter grants only in the voter set that is known here to be chosen, and not if a newer one may have been
        chosen. Otherwise two candidates could each get a majority, of two different voter sets.

        Returns:
            The decision; None if this controller may not vote in that set.
        """
        now, votes = self._clock(), self._replica.is_voter()
        became_voter = votes and not self._was_voter
        if became_voter:
            self._granter.delay_grants(now)
        self._was_voter = votes
        accepted = self._replica.acceptor.accepted
        may_be_superseded = accepted is not None and accepted.value.voters.number > voter_set_number
        if not votes or voter_set_number != self._replica.chosen_voters_number() or may_be_superseded:
            return None
        return self._granter.request(request, now)

    def handle_request(self, request: LeaseRequest, known_holder: Callable[[], str]) -> LeaseResponse:
        """Returns the response to another controller's request.

        Args:
            request: the other controller's message.
            known_holder: returns the lease holder known here, for a request that this voter can't decide.
        """
        grant_request = GrantRequest(
            lease_name=request.lease_name,
            holder=request.holder,
            incarnation=request.incarnation,
            ttl_s=request.ttl_ms / 1000,
            round_number=request.round_number,
        )
        decision = self.grant(grant_request, request.voter_set_number) or GrantDecision(False, known_holder(), 0.0)
        return LeaseResponse(
            ok=decision.granted,
            holder=decision.holder,
            remaining_ms=int(decision.remaining_s * 1000),
            voter_set_number=self._replica.chosen_voters_number(),
            replica=member_row(self._replica.identity),
        )
