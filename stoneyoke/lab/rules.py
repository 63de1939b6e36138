"""The five invariants of every run, checked from the ledger alone."""

import bisect
from collections import defaultdict
from enum import StrEnum
from typing import Any, NamedTuple

from msgspec import Struct

from stoneyoke.lab.client_try import Attempt, ClientTry
from stoneyoke.lab.ledger_index import LedgerIndex
from stoneyoke.lab.ledger_rows import GAVE_UP, NO_ANSWER, EndpointsSent
from stoneyoke.lab.quota_bucket import CustomerBuckets

# Tolerance for all times in the rules. The protocol allows 50 ms; the rest covers delays on a busy machine. A run whose
# stand-ins lag more than that is void.
TIMING_SLACK_US = 150_000
# A customer may exceed its rate limit by as many units as the limit's rate allows in this time, in addition to a
# tolerance for the burst. Source: the protocol page.
RATE_LIMIT_SLACK_S = 0.15
REJECTED_STATUSES = (429, 503)
# A link fault up to this long before an endpoint list was sent may have kept the list from reaching the gateway.
ENDPOINT_LOOKBACK_US = 1_000_000
MAX_VIOLATION_IDS = 20
ACTIVE, LEFT = "active", "left"


class Rule(StrEnum):
    """An invariant. Stored results hold the values."""

    ANSWERED = "lost"  # each try gets one final response by its deadline, and it is the response to this try
    ONCE = "twice"  # only an idempotent request runs twice; only one attempt of a try is in flight at a time
    DRAINED = "drain"  # no new attempt reaches a draining backend after the grace period
    WARMED_UP = "cold"  # a backend that is warming up is not overloaded
    LIMITED = "ceiling"  # no customer exceeds its plan's rate limit


class Violation(Struct):
    """One violation of a rule, with the ledger's rows about the tries concerned."""

    rule: str  # a Rule
    at_us: int
    what: str
    ids: list[str]
    lines: list[Any] = []


def find_violations(index: LedgerIndex) -> list[Violation]:
    """Returns all violations of all rules, with the ledger's rows about them."""
    found = [
        *unanswered_tries(index),
        *repeated_executions(index),
        *attempts_after_drain(index),
        *overloaded_cold_backends(index),
        *exceeded_rate_limits(index),
    ]
    for violation in found:
        violation.lines = index.lines(set(violation.ids))
    return found


def unanswered_tries(index: LedgerIndex) -> list[Violation]:
    """Finds tries that got no response of their own by their deadline, unless a fault or the client is the reason."""
    found = []
    for client_try in index.tries.values():
        id = client_try.id
        late = client_try.answered_at_us > client_try.deadline_us + TIMING_SLACK_US
        if client_try.status == NO_ANSWER and client_try.words == GAVE_UP:
            continue
        if client_try.status == 200 and client_try.words.split(" ")[0] != id:
            detail = f"{id} was served with {client_try.words!r}"
            found.append(Violation(Rule.ANSWERED, client_try.answered_at_us, detail, [id]))
        elif (client_try.status <= 0 or late) and not _is_excused(index, client_try):
            reason = "answered late" if late and client_try.status > 0 else client_try.words or "never answered"
            detail = f"{id} at {client_try.gateway}: {reason}"
            found.append(Violation(Rule.ANSWERED, client_try.deadline_us, detail, [id]))
    return found


def _is_excused(index: LedgerIndex, client_try: ClientTry) -> bool:
    """Whether the try's gateway was unavailable, or the link to it faulty, while the try was pending."""
    gateway, sent_us = client_try.gateway, client_try.sent_at_us
    until_us = max(client_try.deadline_us, client_try.answered_at_us)
    if index.was_unavailable(gateway, sent_us, until_us):
        return True
    return index.link_was_faulty(index.scenario.clients_name(), gateway, sent_us, until_us)


def repeated_executions(index: LedgerIndex) -> list[Violation]:
    """Finds repeated executions and tries with two attempts in flight at once.

    A request that is not idempotent must run at most once; one that is at_most_once must not run if it is rejected.
    """
    found = []
    for client_try in index.tries.values():
        id, effect = client_try.id, index.methods[client_try.method].effect
        executions = client_try.executions
        if effect != "idempotent" and len(executions) > 1:
            detail = f"{id} ran at {[execution.backend for execution in executions]}"
            found.append(Violation(Rule.ONCE, executions[1].at_us, detail, [id]))
        if effect == "at_most_once" and executions and client_try.status in REJECTED_STATUSES:
            found.append(Violation(Rule.ONCE, client_try.answered_at_us, f"{id} ran and was rejected", [id]))
        found += _concurrent_attempts(client_try)
    return found


def _concurrent_attempts(client_try: ClientTry) -> list[Violation]:
    found = []
    for attempt, following in zip(client_try.attempts, client_try.attempts[1:], strict=False):
        end = client_try.end_of(attempt)
        # The gateway cancels an attempt by closing its connection. The backend's response is then not received, so
        # the attempt was not in flight any more.
        if end and end.at_us > following.at_us and not end.outcome.startswith(("unheard", "answer lost")):
            detail = f"{client_try.id} had two attempts at once"
            found.append(Violation(Rule.ONCE, following.at_us, detail, [client_try.id]))
    return found


class StatusChange(NamedTuple):
    """A backend's status from a time on, as discovery has sent it to one gateway."""

    at_us: int
    status: str


def status_changes(rows: list[EndpointsSent]) -> dict[str, list[StatusChange]]:
    """Returns the changes of status that discovery has sent to one gateway, by backend."""
    changes: dict[str, list[StatusChange]] = defaultdict(list)
    for row in rows:
        statuses = dict(row.endpoints)
        if row.complete:
            for backend in set(changes) - set(statuses):
                statuses[backend] = LEFT
        for backend, status in statuses.items():
            if not changes[backend] or changes[backend][-1].status != status:
                changes[backend].append(StatusChange(row.at_us, status))
    return changes


def attempts_after_drain(index: LedgerIndex) -> list[Violation]:
    """Finds attempts that arrived after the grace period, which starts when their gateway is sent the drain."""
    grace_us = index.scenario.backends.grace_ms * 1000
    changes = {gateway: status_changes(rows) for gateway, rows in index.endpoints_sent.items()}
    found = []
    for client_try in index.tries.values():
        for attempt in client_try.attempts:
            history = changes.get(client_try.gateway, {}).get(attempt.backend, [])
            last = bisect.bisect(history, (attempt.at_us, "~")) - 1
            if last < 0:
                continue
            learned_us, status = history[last]
            if status == ACTIVE or attempt.at_us <= learned_us + grace_us + TIMING_SLACK_US:
                continue
            if _may_not_know(index, client_try, attempt, learned_us):
                continue
            detail = (
                f"{client_try.id} went from {client_try.gateway} to {attempt.backend}, told "
                f"{(attempt.at_us - learned_us) / 1e6:.2f} s before that it was {status}"
            )
            found.append(Violation(Rule.DRAINED, attempt.at_us, detail, [client_try.id]))
    return found


def _may_not_know(index: LedgerIndex, client_try: ClientTry, attempt: Attempt, learned_us: int) -> bool:
    """Whether the gateway may not know of the change of status.

    It has restarted since, or a fault affected the gateway, its link to discovery or its link to the backend.
    """
    gateway = client_try.gateway
    started_us = max((start for start in index.gateway_starts.get(gateway, []) if start <= attempt.at_us), default=0)
    if learned_us < started_us or index.was_unavailable(gateway, learned_us, attempt.at_us):
        return True
    discovery = index.scenario.discovery_name()
    if index.link_was_faulty(gateway, discovery, learned_us - ENDPOINT_LOOKBACK_US, attempt.at_us):
        return True
    return index.link_was_faulty(gateway, attempt.backend, client_try.sent_at_us, attempt.at_us)


class Work(NamedTuple):
    """The work of an attempt: its arrival at the backend, its mean service time and its try's id."""

    at_us: int
    seconds: float
    id: str


def overloaded_cold_backends(index: LedgerIndex) -> list[Violation]:
    """Finds backends that were sent more work in a window during their warm-up than their capacity then allows."""
    work: dict[str, list[Work]] = defaultdict(list)
    for client_try in index.tries.values():
        for attempt in client_try.attempts:
            seconds = index.methods[client_try.method].work_ms / 1000
            work[attempt.backend].append(Work(attempt.at_us, seconds, client_try.id))
    found = []
    for backend, starts in index.backend_starts.items():
        received = sorted(work.get(backend, []))
        for start_us in starts:
            violation = _first_overload(index, backend, start_us, received)
            if violation:
                found.append(violation)
    return found


def _first_overload(index: LedgerIndex, backend: str, start_us: int, received: list[Work]) -> Violation | None:
    """Returns the first overload of a backend while it warms up after a start."""
    settings = index.scenario.backends
    window_us, warm_up_us = settings.overload_window_s * 1e6, settings.warm_up_s * 1e6
    slack_s = 4 * max(method.work_ms for method in index.methods) / 1000
    for first, (at_us, _, _) in enumerate(received):
        if not start_us <= at_us < start_us + warm_up_us:
            continue
        last = bisect.bisect(received, (at_us + window_us, 0.0, ""))
        work_s = sum(work.seconds for work in received[first:last])
        warm_up_progress = min(1.0, (at_us + window_us / 2 - start_us) / warm_up_us)
        capacity = settings.cold_share + (1 - settings.cold_share) * warm_up_progress
        capacity_s = settings.slots * capacity * settings.overload_window_s
        if work_s > settings.overload_factor * capacity_s + slack_s:
            detail = (
                f"{backend} was sent {work_s:.2f} s of work in {settings.overload_window_s} s, "
                f"{(at_us - start_us) / 1e6:.2f} s after its start; it can do {capacity_s:.2f}"
            )
            ids = [work.id for work in received[first:last]][:MAX_VIOLATION_IDS]
            return Violation(Rule.WARMED_UP, at_us, detail, ids)
    return None


def exceeded_rate_limits(index: LedgerIndex) -> list[Violation]:
    """Finds tries that reached a backend although they exceeded the rate limit of their customer's plan."""
    buckets = CustomerBuckets()
    max_units = max(method.units for method in index.methods)
    found = []
    for client_try in index.first_attempts():
        plan = index.scenario.plan[index.plan_of(client_try)]
        if not plan.ceiling_rate:
            continue
        customer, at_us = client_try.customer, client_try.attempts[0].at_us
        level = buckets.level(customer, plan.ceiling_rate, plan.ceiling_burst, at_us) - index.units(client_try)
        slack = max(0.1 * plan.ceiling_burst, max_units) + RATE_LIMIT_SLACK_S * plan.ceiling_rate
        if level < -slack:
            detail = f"customer {customer} of {plan.name}: {client_try.id} took its token bucket to {level:.1f}"
            found.append(Violation(Rule.LIMITED, at_us, detail, [client_try.id]))
            level = 0.0
        buckets.set_level(customer, level)
    return found
