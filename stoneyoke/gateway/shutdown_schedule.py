"""The times of a gateway's shutdown: until when it accepts, forwards and answers requests. Does no I/O."""

import sys
from dataclasses import dataclass
from typing import Self

SECOND_US = 1_000_000
# The platform checks readiness once a second and stops sending clients to a gateway after two failed checks. Requests
# that were sent to this gateway before that may still be on their way. A backend may be at work at the end of the grace
# period only on requests that were sent within 3 s of SIGTERM (RULES, LOST): the rest of the 3 s covers the time from
# the platform's signal until this process handles it.
ACCEPT_S = 2.8
ACCEPT_MAX_SHARE = 0.5  # of the grace period
# Before the listener closes, so that a request that crosses the close of its idle connection can be sent again here.
CLOSE_IDLE_LEAD_S = 0.2
CLOSE_IDLE_LEAD_MAX_SHARE = 0.04  # of the grace period
# RULES, LOST: a backend that is at work later than this is not owed an answer, so an attempt is likely to be cut.
ATTEMPT_SHARE = 5 / 6  # of the grace period
# All requests are answered this long before SIGKILL, and the process has exited half of this time before it.
EXIT_MARGIN_S = 0.4
EXIT_MARGIN_MAX_SHARE = 1 / 8  # of the grace period; attempts may not be cancelled before its last sixth
DEADLINE_MARGIN_US = 50_000  # from the latest deadline that is waited for until all requests are answered


@dataclass(frozen=True, slots=True, kw_only=True)
class ShutdownSchedule:
    """When each phase of the shutdown ends, in microseconds of the clock; sys.maxsize while there is no shutdown.

    Attributes:
        close_idle_at_us: When idle connections are closed.
        accept_until_us: When the listener closes. A request that is read later is forwarded only if its deadline ends
            before `respond_by_us`.
        attempt_until_us: From when on no attempt starts, unless its deadline ends before `respond_by_us`.
        respond_by_us: When the attempts in flight are cancelled and each request gets its response.
        exit_by_us: When the process exits, whatever is pending.
    """

    close_idle_at_us: int = sys.maxsize
    accept_until_us: int = sys.maxsize
    attempt_until_us: int = sys.maxsize
    respond_by_us: int = sys.maxsize
    exit_by_us: int = sys.maxsize

    @classmethod
    def after_sigterm(cls, sigterm_at_us: int, grace_s: float) -> Self:
        """Returns the schedule of a shutdown.

        Args:
            sigterm_at_us: When SIGTERM was received, in microseconds of the clock.
            grace_s: The time from SIGTERM to SIGKILL, in seconds.
        """
        accept_s = min(ACCEPT_S, ACCEPT_MAX_SHARE * grace_s)
        close_idle_lead_s = min(CLOSE_IDLE_LEAD_S, CLOSE_IDLE_LEAD_MAX_SHARE * grace_s)
        exit_margin_s = min(EXIT_MARGIN_S, EXIT_MARGIN_MAX_SHARE * grace_s)

        def after(delay_s: float) -> int:
            return sigterm_at_us + int(delay_s * SECOND_US)

        return cls(
            close_idle_at_us=after(accept_s - close_idle_lead_s),
            accept_until_us=after(accept_s),
            attempt_until_us=after(min(ATTEMPT_SHARE * grace_s, grace_s - exit_margin_s)),
            respond_by_us=after(grace_s - exit_margin_s),
            exit_by_us=after(grace_s - exit_margin_s / 2),
        )

    def may_forward(self, now_us: int, deadline_us: int) -> bool:
        """Whether a request that is read now may be forwarded: the backend's response or the deadline is waited for."""
        return now_us < self.accept_until_us or self.awaits(deadline_us)

    def may_start_attempt(self, now_us: int, deadline_us: int) -> bool:
        """Whether an attempt may start now."""
        return now_us < self.attempt_until_us or self.awaits(deadline_us)

    def awaits(self, deadline_us: int) -> bool:
        """Whether a request's deadline ends before the shutdown cuts what is in flight."""
        return deadline_us <= self.respond_by_us - DEADLINE_MARGIN_US


NO_SHUTDOWN = ShutdownSchedule()
