"""The records of backends: what discovery reports of them and what this gateway has measured. Decides nothing."""

from stoneyoke.control.events import EndpointsChanged
from stoneyoke.control.parameters import AttemptOutcome, BackendState, DeduplicationScope, GatewayParameters
from stoneyoke.limits.token_bucket import TokenBucket


class Backend:
    """A backend. Removed when it is gone and has no attempts in flight."""

    def __init__(self, index: int) -> None:
        """Starts with nothing measured; BackendTable.update sets what discovery reports."""
        self.index, self.zone, self.cell, self.started_us = index, 0, 0, 0
        self.state = BackendState.GONE
        self.in_flight = 0
        self.overdue = 0  # overdue attempts among those in flight
        self.relative_latency = 1.0  # running mean, in units of the method's mean latency
        self.observed_latency = 1.0  # relative latency, or the current silence in the same units if that is longer
        self.latency_band = 0  # steps of LATENCY_BAND by which it is slower than the fleet's median; 0: fastest
        self.failure_share = 0.0  # running mean over attempts
        self.silent_since = 0  # time of the last response, or of the first attempt after an idle period
        self.unanswered_us = 0  # silence before the idle period, if its last attempt ended because its client had gone
        self.measured_at = self.last_attempt_at = 0
        self.ejected_until = 0  # it gets no attempts before this time
        self.ring_position = 0  # its position in this gateway's order of equal backends (spread/zone_ranking.py)
        self.cold_budget = TokenBucket(0.0, 1.0, 0.0, 0)  # attempts that it may get from this gateway while it is cold
        self.is_warm = True  # as of the last ranking: a cold backend stays on its budget until the next one

    def attempt_started(self, now: int) -> None:
        """Counts an attempt as in flight, and takes it off the slow-start budget of a cold backend."""
        if self.in_flight == 0:
            self.silent_since = now - self.unanswered_us
        self.in_flight += 1
        self.last_attempt_at = now
        self.cold_budget.level -= not self.is_warm

    def attempt_ended(self, was_overdue: bool, outcome: AttemptOutcome, now: int) -> None:
        """Takes an attempt off the counts.

        An attempt that ends because its client has gone does not end the backend's silence. Otherwise a backend that
        never responds would count as idle after each such attempt, and would attract the attempts of impatient clients.
        """
        self.overdue -= was_overdue
        self.in_flight -= 1
        self.unanswered_us = now - self.silent_since if outcome is AttemptOutcome.CLIENT_GONE else 0

    def record_latency(self, relative: float, now: int) -> None:
        """Adds an attempt's latency, in units of its method's mean latency, to the running mean."""
        self.relative_latency += (relative - self.relative_latency) * 0.15  # a weight of 0.3 did worse in an incident
        self.measured_at = now

    def warm_share(self, parameters: GatewayParameters, now: int) -> float:
        """Returns the share of its capacity that it has by now at least: 1 when it is warm."""
        age_us = now - self.started_us
        if self.started_us <= 0 or age_us >= parameters.warm_up_us:
            return 1.0
        return parameters.cold_share + (1 - parameters.cold_share) * max(0, age_us) / parameters.warm_up_us

    def is_in_scope(self, scope: DeduplicationScope, other: "Backend") -> bool:
        """Whether it is in the same deduplication scope as another backend, so that both recognise a repeat."""
        if scope is DeduplicationScope.ZONE:
            return self.zone == other.zone
        return scope is not DeduplicationScope.CELL or self.cell == other.cell


class BackendTable:
    """The backends that discovery lists, and removed ones that still have attempts in flight."""

    def __init__(self) -> None:
        """Starts empty."""
        self.by_index: dict[int, Backend] = {}

    def ready(self) -> list[Backend]:
        """Returns the backends that take new attempts, ordered by zone. The order is the same at all gateways."""
        ready = [backend for backend in self.by_index.values() if backend.state is BackendState.READY]
        return sorted(ready, key=lambda backend: (backend.zone, backend.index))

    def update(self, event: EndpointsChanged) -> list[Backend]:
        """Applies discovery's report. Returns the backends that have started since they were last listed."""
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
        """Removes backends that are gone and have no attempts in flight."""
        self.by_index = {i: b for i, b in self.by_index.items() if b.state is not BackendState.GONE or b.in_flight}

    def process_stalled(self, now: int) -> None:
        """Restarts all backends' silence now: this process was stalled and could not receive their responses."""
        for backend in self.by_index.values():
            backend.silent_since = now
