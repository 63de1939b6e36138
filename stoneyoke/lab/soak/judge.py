"""The time-dependent rules of a soak: runs that outlive their client, cancelled runs, and lost responses.

A disturbance exempts only what it can explain. A suspended gateway, or a link that delays a close, moves the time from
which a rule applies to the end of the disturbance.
"""

from collections.abc import Iterable

from stoneyoke.lab.cluster.traffic_ledger import NO_RESPONSE, Rule, Violation
from stoneyoke.lab.soak.ledger import Disturbance, Run, RunEnd, Shutdown, SoakLedger, Try

# The operators' rule: a run ends within half a second after the close of its client has reached the gateway.
CANCEL_LIMIT_S = 0.5
# Tolerance for delays in the laboratory's event loop, which shares the machine with the processes.
SLACK_S = 0.25
# A close that a disturbance has delayed may arrive shortly after the end of the disturbance: a link that was silent
# delivers its queue, and the kernel retransmits unacknowledged segments.
SETTLE_S = 0.5
# RULES, LOST (NEWS-22): a connection that ends later than this after the last byte of a request must have answered it.
LOSS_SLACK_S = 0.2
# A backend that is at work in this last part of the grace period excuses the missing response to a request that was
# sent no later than LATEST_SENT_S after SIGTERM.
LAST_GRACE_SHARE = 1 / 6
LATEST_SENT_S = 3.0
PLANNED_AFTER_GRACE_S = 1.0  # SIGTERM counts as planned work until this long after the grace period
DEADLINE_MARGIN_S = 0.1  # a gateway ends a request a little before its deadline, so that the response arrives in time
SIGNAL_S = 0.05  # what a gateway does this soon after SIGTERM was sent, it may have decided before the signal arrived
OWN_FAILURES = (502, 504)  # statuses of a gateway that has broken off an attempt
BACKEND_LINK, CLIENT_LINK = "gateways>{}", "clients>{}"


class RuleChecker:
    """Checks a ledger after the end of a soak."""

    def __init__(self, ledger: SoakLedger, ended_s: float) -> None:
        """Takes the ledger and the time `ended_s` until which runs still at work are counted."""
        self.ledger, self.ended_s = ledger, ended_s
        self.runs = ledger.runs_by_attempt()

    def violations(self) -> list[Violation]:
        """Returns all violations of the time-dependent rules, in the order of the tries."""
        found: list[Violation] = []
        for attempt_id, one in self.ledger.tries.items():
            found += self.check_try(attempt_id, one)
        return found

    def check_try(self, attempt_id: str, one: Try) -> list[Violation]:
        """Returns the violations of one try."""
        runs, is_order = self.runs.get(attempt_id, []), attempt_id in self.ledger.orders
        found = [text for run in runs if is_order and (text := self.describe_cancelled(one, run))]
        violations = [Violation(Rule.ORDERS_FINISH, f"{attempt_id} {text}") for text in found]
        if one.left_s is not None:
            late = [text for run in runs if (text := self.describe_outlived(one, run, is_order))]
            violations += [Violation(Rule.ENDS_WITH_CLIENT, f"{attempt_id} {text}") for text in late]
        elif text := self.lost(attempt_id, one, runs):
            violations.append(Violation(Rule.ANSWERED, f"{attempt_id} {text}"))
        return violations

    def describe_outlived(self, one: Try, run: Run, is_order: bool) -> str:
        """Describes how a run outlived its client; "" if it did not. A non-idempotent run that began may finish."""
        left_s = one.left_s or 0.0
        limit_s = self.close_arrival_limit(left_s, self.path_of(one, run)) + CANCEL_LIMIT_S + SLACK_S
        what = f"at {run.backend} by {one.gateway}, whose client disconnected ({one.how}) at {left_s:.3f}"
        if run.started_s > limit_s:
            return f"began {what}, at {run.started_s:.3f}"
        ended_s = run.ended_s if run.ended_s is not None else self.ended_s
        if not is_order and ended_s > limit_s:
            return f"was still running {what}, until {ended_s:.3f}: {run.end.value}"
        return ""

    def describe_cancelled(self, one: Try, run: Run) -> str:
        """Describes a non-idempotent run that ended with its connection without an excuse; otherwise ""."""
        if run.end is not RunEnd.CLOSED or run.ended_s is None:
            return ""
        if self.was_disturbed(self.path_of(one, run), one.sent_s, run.ended_s):
            return ""
        if reached_deadline(one, run.ended_s) or self.shutdown_excuses(one, [run], run.ended_s):
            return ""
        return f"was cancelled at {run.backend} by {one.gateway}, at {run.ended_s:.3f}"

    def lost(self, attempt_id: str, one: Try, runs: list[Run]) -> str:
        """Describes a try whose connection ended without a complete response and without an excuse; else "".

        A response of its own with which a gateway that shuts down replaces that of a backend at work counts the same.
        """
        if one.ended_s is None:
            return ""
        status = self.ledger.statuses[attempt_id]
        broken_off = status in OWN_FAILURES and any(self.is_cut_in_shutdown(one, run) for run in runs)
        if not (broken_off or (status == NO_RESPONSE and (runs or closed_late(one)))):
            return ""
        targets = {one.gateway, one.link} | {target for run in runs for target in self.path_of(one, run)}
        if self.was_disturbed(targets, one.sent_s, one.ended_s) or any(run.end is RunEnd.LOST for run in runs):
            return ""
        # Without a shutdown, a request gets a response also at its deadline.
        in_shutdown = self.shutdown_at(one.gateway, one.ended_s) is not None
        if in_shutdown and (reached_deadline(one, one.ended_s) or self.shutdown_excuses(one, runs, one.ended_s)):
            return ""
        where = f"ran at {runs[-1].backend}" if runs else "was read"
        return f"{where} by {one.gateway}, but its client received no response by {one.ended_s:.3f} (status {status})"

    # ---- planned work ----

    def shutdown_at(self, gateway: str, at_s: float) -> Shutdown | None:
        """Returns the latest SIGTERM of a gateway that is planned work at a time, or None."""
        found = [
            shutdown
            for shutdown in self.ledger.shutdowns
            if shutdown.gateway == gateway
            and shutdown.sigterm_s <= at_s <= min(shutdown.exited_s + SLACK_S, planned_until(shutdown))
        ]
        return max(found, key=lambda shutdown: shutdown.sigterm_s, default=None)

    def shutdown_excuses(self, one: Try, runs: list[Run], at_s: float) -> bool:
        """Whether a missing response is excused by a backend at work in the last sixth of the grace period.

        Args:
            one: The try. It must have been sent in time after SIGTERM.
            runs: Its runs.
            at_s: When its connection, or a run's, ended.
        """
        shutdown = self.shutdown_at(one.gateway, at_s)
        if shutdown is None or one.sent_s > shutdown.sigterm_s + LATEST_SENT_S:
            return False
        end_s = shutdown.sigterm_s + shutdown.grace_s
        from_s = end_s - LAST_GRACE_SHARE * shutdown.grace_s
        return any(run.started_s <= end_s and (run.ended_s is None or run.ended_s >= from_s) for run in runs)

    def is_cut_in_shutdown(self, one: Try, run: Run) -> bool:
        """Whether a run's connection was closed while its gateway shut down."""
        if run.end is not RunEnd.CLOSED or run.ended_s is None:
            return False
        return self.shutdown_at(one.gateway, run.ended_s - SIGNAL_S) is not None

    # ---- disturbances ----

    def path_of(self, one: Try, run: Run) -> set[str]:
        """Returns the names of the processes, links and the backend that a try passed on its way to a run."""
        return {one.gateway, one.link, run.backend, BACKEND_LINK.format(run.backend)}

    def disturbed(self, targets: Iterable[str], from_s: float, to_s: float) -> list[Disturbance]:
        """Returns the disturbances of these targets within a period, the earliest first."""
        names = set(targets)
        found = [one for one in self.ledger.disturbances if one.target in names and one.overlaps(from_s, to_s)]
        return sorted(found, key=lambda one: one.from_s)

    def was_disturbed(self, targets: Iterable[str], from_s: float, to_s: float) -> bool:
        """Returns whether a disturbance of these targets can explain what happened in a period."""
        return bool(self.disturbed(targets, from_s - SETTLE_S, to_s))

    def close_arrival_limit(self, left_s: float, targets: Iterable[str]) -> float:
        """Returns the time by which a client's close has certainly arrived. Each disturbance on its path delays it."""
        arrival_s = left_s
        for one in self.disturbed(targets, left_s - SETTLE_S, self.ended_s):
            if one.from_s <= arrival_s + CANCEL_LIMIT_S + SLACK_S:
                arrival_s = max(arrival_s, one.to_s + SETTLE_S)
        return arrival_s


def planned_until(shutdown: Shutdown) -> float:
    """Returns until when a SIGTERM counts as planned work."""
    return shutdown.sigterm_s + shutdown.grace_s + PLANNED_AFTER_GRACE_S


def reached_deadline(one: Try, at_s: float) -> bool:
    """Whether a try's deadline was reached at a time."""
    began_s = one.sent_s if one.began_s is None else one.began_s
    return at_s >= began_s + one.deadline_s - DEADLINE_MARGIN_S


def closed_late(one: Try) -> bool:
    """Whether a connection without a link ended so late that its gateway must have read the whole request."""
    return not one.link and one.ended_s is not None and one.ended_s > one.sent_s + LOSS_SLACK_S + SLACK_S
