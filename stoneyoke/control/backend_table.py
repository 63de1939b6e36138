"""The records of backends: what discovery lists of them and what this gateway has measured. Decides nothing."""

from stoneyoke.control.events import EndpointsChanged
from stoneyoke.control.parameters import AttemptOutcome, BackendState, DeduplicationScope, GatewayParameters
from stoneyoke.limits.token_bucket import TokenBucket


class Backend:
    """A backend. Dropped when it is gone and has no attempts in flight."""

    def __init__(self, index: int) -> None:
        """Begins with nothing measured; BackendTable.update tells the rest."""
        self.index, self.zone, self.cell, self.started_us = index, 0, 0, 0
        self.state = BackendState.GONE
        self.in_flight = 0
        self.overdue = 0  # of those in flight
        self.relative_latency = 1.0  # running mean, in the mean latencies of the methods
        self.observed_latency = 1.0  # the same, or the length of its silence if that is longer
        self.latency_band = 0  # step of observed latency over the fleet's median, 0 the fastest
        self.failure_share = 0.0  # running mean over attempts
        self.silent_since = 0  # the last answer, or the first attempt after a pause
        self.unanswered_us = 0  # how long it was silent before the pause, if its last attempt ended with its client
        self.measured_at = self.last_attempt_at = 0
        self.ejected_until = 0  # it gets no attempts before
        self.ring_position = 0  # this gateway's place for it, among equals (spread/zone_ranking.py)
        self.cold_budget = TokenBucket(0.0, 1.0, 0.0, 0)  # attempts that it may get while it is cold
        self.is_warm = True  # as of the last ranking: a cold backend keeps its budget until the next one

    def attempt_started(self, now: int) -> None:
        """Counts an attempt."""
        if self.in_flight == 0:
            self.silent_since = now - self.unanswered_us
        self.in_flight += 1
        self.last_attempt_at = now
        self.cold_budget.level -= not self.is_warm

    def attempt_ended(self, was_overdue: bool, outcome: AttemptOutcome, now: int) -> None:
        """Takes an attempt off the counts.

        A client that leaves ends no silence: a backend that never answers would look idle each time, and attract the
        attempts of all clients that leave early.
        """
        self.overdue -= was_overdue
        self.in_flight -= 1
        self.unanswered_us = now - self.silent_since if outcome is AttemptOutcome.CLIENT_GONE else 0

    def record_latency(self, relative: float, now: int) -> None:
        """Takes an attempt's latency, in the mean latencies of the methods, into the running mean."""
        self.relative_latency += (relative - self.relative_latency) * 0.15  # 0.3 lost 0.17 on one incident
        self.measured_at = now

    def warm_share(self, parameters: GatewayParameters, now: int) -> float:
        """The least share of its capacity that it has by now: 1 when it is warm."""
        age_us = now - self.started_us
        if self.started_us <= 0 or age_us >= parameters.warm_up_us:
            return 1.0
        return parameters.cold_share + (1 - parameters.cold_share) * max(0, age_us) / parameters.warm_up_us

    def is_in_scope(self, scope: DeduplicationScope, other: "Backend") -> bool:
        """Whether it is within a scope of another one, so that both recognise a repeat."""
        if scope is DeduplicationScope.ZONE:
            return self.zone == other.zone
        return scope is not DeduplicationScope.CELL or self.cell == other.cell


class BackendTable:
    """The backends that are listed, and those gone that still have attempts in flight."""

    def __init__(self) -> None:
        """Begins empty."""
        self.by_index: dict[int, Backend] = {}

    def ready(self) -> list[Backend]:
        """The backends that take new work, zone after zone. The order is the same at all gateways."""
        ready = [backend for backend in self.by_index.values() if backend.state is BackendState.READY]
        return sorted(ready, key=lambda backend: (backend.zone, backend.index))

    def update(self, event: EndpointsChanged) -> list[Backend]:
        """Takes discovery's report. Returns the backends that have started since they were last listed."""
        if event.complete:
            for backend in self.by_index.values():
                backend.state = BackendState.GONE
        started = []
        for endpoint in event.endpoints:
            backend = self.by_index.setdefault(endpoint.backend, Backend(endpoint.backend))
            if endpoint.started_us > backend.started_us:
                backend.started_us = endpoint.started_us
                started.append(backend)
            backend.zone, backend.cell, backend.state = endpoint.zone, endpoint.cell, endpoint.state
        return started

    def drop_gone(self) -> None:
        """Forgets backends that are gone, once they have no attempts in flight."""
        self.by_index = {i: b for i, b in self.by_index.items() if b.state is not BackendState.GONE or b.in_flight}

    def process_stalled(self, now: int) -> None:
        """This process stood still until now: the backends were not silent, it did not listen."""
        for backend in self.by_index.values():
            backend.silent_since = now
