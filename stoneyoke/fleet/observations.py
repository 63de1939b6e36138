"""This gateway's own observations of backends, and the reports on them for other gateways. No I/O.

Times are microseconds.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

from stoneyoke.control.events import KnownBackend
from stoneyoke.fleet.messages import NO_AGE, BackendReport

SECOND_US = 1_000_000
TENTH_US = 100_000
MAX_REPORT_AGE_US = 20 * SECOND_US  # earlier observations are not reported
HALF_LIFE_US = 5 * SECOND_US  # of the counts of attempts and failures
STALL_US = SECOND_US  # a longer time between two checks means that this process was suspended
MAX_REPORTS = 40  # in one message
MAX_REPORTED_COUNT = 1_000
# A gateway that finds a larger share of the backends unhealthy is taken to be partitioned itself: its reports of
# unhealthy backends are neither sent nor counted.
MAX_UNHEALTHY_SHARE = 0.5
MEAN_LATENCY_WEIGHT = 0.05  # of a new response in the moving average of the latency of all backends
LATENCY_RATIO_WEIGHT = 0.3  # of a new response in the moving average of a backend's ratio to that latency
SLOW_RATIO = 2.9  # a latency ratio above it may round to one that counts as unhealthy
USUAL_RATIO_TENTHS = 10
NEVER_US = -1  # in place of the time of a success or failure: none was observed


def backend_id(backend: KnownBackend) -> int:
    """Returns a backend's id, the same at all gateways. It changes with a restart, which therefore ends an ejection."""
    text = f"{backend.name} {backend.started_us}"
    return int.from_bytes(blake2b(text.encode(), digest_size=4).digest(), "big")


def reports_too_many_unhealthy(unhealthy: int, known: int) -> bool:
    """Whether a gateway finds so many backends unhealthy that the fault is probably its own."""
    return unhealthy > MAX_UNHEALTHY_SHARE * max(1, known)


class BackendObservation:
    """This gateway's observations of one backend."""

    def __init__(self, now_us: int) -> None:
        """Starts without observations."""
        self.attempts = self.failures = 0.0  # they decay with HALF_LIFE_US
        self.latency_ratio = 1.0  # moving average of the ratio to the mean latency of all backends
        self.decayed_at_us = now_us
        self.success_at_us = self.failure_at_us = NEVER_US

    @property
    def seen_at_us(self) -> int:
        """Time of the last success or failure."""
        return max(self.success_at_us, self.failure_at_us)

    @property
    def failing(self) -> bool:
        """Whether the last attempt failed."""
        return self.failure_at_us > self.success_at_us

    def decay(self, now_us: int) -> None:
        """Decays the counts up to now."""
        remaining = 0.5 ** ((now_us - self.decayed_at_us) / HALF_LIFE_US)
        self.attempts *= remaining
        self.failures *= remaining
        self.decayed_at_us = now_us

    def report(self, id: int, now_us: int) -> BackendReport:
        """Returns the report for other gateways."""
        self.decay(now_us)
        return BackendReport(
            backend_id=id,
            attempts=min(MAX_REPORTED_COUNT, round(self.attempts)),
            failures=min(MAX_REPORTED_COUNT, round(self.failures)),
            success_age_tenths=age_tenths(self.success_at_us, now_us),
            failure_age_tenths=age_tenths(self.failure_at_us, now_us),
            latency_ratio_tenths=min(MAX_REPORTED_COUNT, round(10 * self.latency_ratio)),
        )


def age_tenths(at_us: int, now_us: int) -> int:
    """Returns the age of an observation in tenths of a second, NO_AGE if there is none."""
    return NO_AGE if at_us < 0 else min(NO_AGE - 1, max(0, now_us - at_us) // TENTH_US)


def unknown_report(id: int) -> BackendReport:
    """Returns a report that this gateway did not observe a backend, which asks the receiver for its own report."""
    return BackendReport(id, 0, 0, NO_AGE, NO_AGE, USUAL_RATIO_TENTHS)


@dataclass(slots=True)
class PendingAttempt:
    """An attempt that has not ended."""

    backend: int
    started_at_us: int
    counted_overdue: bool = False  # already counted as a failure because it is overdue


class Observations:
    """Tracks this gateway's attempts from start to end, and what they show of each backend."""

    def __init__(self, overdue_after_us: int, now_us: int) -> None:
        """Starts with no backends.

        Args:
            overdue_after_us: An attempt without a response for this long counts as failed.
            now_us: Current time.
        """
        self._overdue_after_us = overdue_after_us
        self._last_check_us = now_us
        self.backends: dict[int, KnownBackend] = {}  # by backend id; replaced by set_backends
        self.ids: dict[int, int] = {}  # backend ids, by the gateway's index of the backend
        self.seen: dict[int, BackendObservation] = {}  # by backend id; pruned by set_backends
        self._pending: dict[int, PendingAttempt] = {}  # by RPC; removed at the attempt's end
        self._mean_latency_us = 0.0  # moving average over all successful attempts

    def set_backends(self, backends: Iterable[KnownBackend]) -> None:
        """Replaces the backends, and removes the observations of those that are no longer listed."""
        self.backends = {backend_id(backend): backend for backend in backends}
        self.ids = {backend.index: id for id, backend in self.backends.items()}
        self.seen = {id: seen for id, seen in self.seen.items() if id in self.backends}

    def attempt_started(self, rpc: int, backend: int, now_us: int) -> None:
        """Records the start of an attempt. `rpc` and `backend` are the gateway's indices."""
        self._pending[rpc] = PendingAttempt(backend, now_us)

    def attempt_ended(self, rpc: int, succeeded: bool | None, now_us: int) -> None:
        """Records the end of an attempt.

        Args:
            rpc: The RPC's index.
            succeeded: Whether the backend responded successfully; None if the outcome, such as a rejection, says
                nothing about its health.
            now_us: Current time.
        """
        attempt = self._pending.pop(rpc, None)
        id = self.ids.get(attempt.backend) if attempt else None
        if attempt is None or id is None or succeeded is None:
            return
        observation = self._observation(id, now_us)
        if succeeded:
            self._record_latency(observation, now_us - attempt.started_at_us)
            observation.success_at_us = now_us
            if attempt.counted_overdue and observation.failures >= 1:
                observation.failures -= 1  # the response came late, so the attempt did not fail
        else:
            observation.failure_at_us = now_us
        if not attempt.counted_overdue:
            observation.attempts += 1
            observation.failures += not succeeded

    def _record_latency(self, observation: BackendObservation, latency_us: int) -> None:
        weight = MEAN_LATENCY_WEIGHT if self._mean_latency_us else 1.0
        self._mean_latency_us += (latency_us - self._mean_latency_us) * weight
        ratio = latency_us / max(1.0, self._mean_latency_us)
        observation.latency_ratio += (ratio - observation.latency_ratio) * LATENCY_RATIO_WEIGHT

    def _observation(self, id: int, now_us: int) -> BackendObservation:
        observation = self.seen.get(id)
        if observation is None:
            observation = self.seen[id] = BackendObservation(now_us)
        observation.decay(now_us)
        return observation

    def check_overdue(self, now_us: int) -> None:
        """Counts each overdue attempt as failed, once."""
        stalled = now_us - self._last_check_us > STALL_US
        self._last_check_us = now_us
        if stalled:  # responses may still wait unread in the sockets, so no attempt is overdue yet
            for attempt in self._pending.values():
                attempt.started_at_us = now_us
        for attempt in self._pending.values():
            if not attempt.counted_overdue and now_us - attempt.started_at_us >= self._overdue_after_us:
                self._count_overdue(attempt, now_us)

    def _count_overdue(self, attempt: PendingAttempt, now_us: int) -> None:
        id = self.ids.get(attempt.backend)
        if id is None:
            return
        attempt.counted_overdue = True
        observation = self._observation(id, now_us)
        # A success after this attempt's start shows that the backend responds.
        if observation.success_at_us < attempt.started_at_us:
            observation.attempts += 1
            observation.failures += 1
            observation.failure_at_us = now_us

    def failing_ids(self, now_us: int) -> set[int]:
        """Returns the ids of the backends whose last attempt failed, less than MAX_REPORT_AGE_US ago."""
        return {
            id
            for id, seen in self.seen.items()
            if 0 <= seen.failure_at_us > seen.success_at_us and now_us - seen.failure_at_us < MAX_REPORT_AGE_US
        }

    def reports(self, now_us: int, relevant: set[int], *, include_unknown: bool) -> list[BackendReport]:
        """Returns the reports for one message: unhealthy backends, then relevant ones, each latest seen first.

        Args:
            now_us: Current time.
            relevant: Ids of the backends that are reported also when they are healthy.
            include_unknown: Whether to ask the receiver about the relevant backends that this gateway did not observe.
        """
        # Most backends are healthy and not relevant: this filter is all that they cost.
        candidates = [
            (seen.seen_at_us, id, seen)
            for id, seen in self.seen.items()
            if seen.failing or seen.latency_ratio > SLOW_RATIO or id in relevant
        ]
        candidates.sort(key=lambda row: row[:2], reverse=True)
        reports = [seen.report(id, now_us) for at_us, id, seen in candidates if now_us - at_us < MAX_REPORT_AGE_US]
        unhealthy = [report for report in reports if report.unhealthy]
        if reports_too_many_unhealthy(len(unhealthy), len(self.backends)):
            unhealthy = []
        healthy = [report for report in reports if not report.unhealthy and report.backend_id in relevant]
        reported = {report.backend_id for report in unhealthy + healthy}
        unknown = [unknown_report(id) for id in sorted(relevant - reported)] if include_unknown else []
        return (unhealthy + healthy + unknown)[:MAX_REPORTS]
