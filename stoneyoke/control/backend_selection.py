"""Choice of a backend for an attempt: ranking by latency, slow start, ejection of failing backends."""

import math

from stoneyoke.control.backend_table import Backend, BackendTable
from stoneyoke.control.concurrency import ConcurrencyLimit
from stoneyoke.control.context import TICK_US, DecisionContext
from stoneyoke.control.events import PeerEvidence
from stoneyoke.control.open_rpc import InFlight
from stoneyoke.control.parameters import NO_FAULT, AttemptOutcome, DeduplicationScope
from stoneyoke.limits.token_bucket import SECOND, TokenBucket
from stoneyoke.spread.zone_ranking import ring_positions, rotation_size

RANKING_TICKS = 5  # ticks between two ranking checks: a quarter of a second
STALL_US = 4 * TICK_US  # a gap between events above this is a stall of this process: its latencies are not measured
EJECTION_US = SECOND  # how long a failing backend gets no attempts
EJECTION_MARGIN = 0.4  # a backend is ejected if its share of failed attempts exceeds the median backend's by this
LATENCY_BAND = 1.5  # ratio of latency between two neighbouring bands of the ranking
TYPICAL_LATENCY_FACTOR = 2.25  # a typical backend is faster than this many times the median of recently measured ones
RANKING_CHANGES = 4  # ended attempts and ranking checks until the order is renewed; an overdue attempt counts as 4
MIN_FAILURE_LATENCY = 3.0  # mean latencies that a failure counts as at least: fast rejections must not rank as fast


class BackendSelector:
    """Ranks a gateway's backends and fills the order from the top, each backend up to a limit of its own."""

    def __init__(self, context: DecisionContext) -> None:
        """Starts without backends."""
        self.context, self.concurrency = context, ConcurrencyLimit(context)
        self.table, self.order = BackendTable(), list[Backend]()
        self.changes, self.ranked_at = 0, context.now  # changes since the order was renewed, and when it was renewed
        self.typical_latency_max = TYPICAL_LATENCY_FACTOR  # observed latency from which a backend is not typical
        self.peer_evidence = PeerEvidence(frozenset(), frozenset())

    def choose(self, tried: set[int], share: float, first: Backend | None, scope: DeduplicationScope) -> Backend | None:
        """Returns a backend for an RPC that may fill this share of the limit; within the scope of `first`, if given."""
        limit, order, latency_max = self.concurrency.limit, self.order, self.typical_latency_max
        overloaded, rotation = self.concurrency.is_overloaded(), rotation_size(self.concurrency.responses_per_s)
        filled = sum(b.in_flight - (0 if overloaded else b.overdue) for b in order if b.observed_latency < latency_max)
        # With many gateways the limit is a fraction of an attempt. The draw makes all gateways' parts sum to the whole.
        if filled + self.context.random_source.draw() >= limit * share:
            return None
        backend_limit = max(1.0, 2 * limit / max(1, len(order)))
        best, best_load = None, (math.inf, 0)
        for rank, backend in enumerate(order):
            # Rotates among the first ones, least recently used first: else a busy gateway would load just one backend.
            if best_load[0] <= 0 and (rank >= rotation or backend.ring_position >= len(order)):
                break
            if backend.index in tried or not self.is_usable(backend):
                continue
            if first and not backend.is_in_scope(scope, first):
                continue
            is_probed = backend.index in self.peer_evidence.probed
            load = (-1, 0) if is_probed else (backend.in_flight + backend.latency_band, backend.last_attempt_at)
            if load < best_load and backend.in_flight < backend_limit:
                best, best_load = backend, load
        return best

    def is_usable(self, backend: Backend) -> bool:
        """Whether a backend may get an attempt: it is not ejected and, if cold, has slow-start budget left here."""
        ejected = self.context.now < backend.ejected_until or backend.index in self.peer_evidence.ejected_backends
        return not ejected and (backend.is_warm or backend.cold_budget.fill(self.context.now) >= 1.0)

    def is_typical(self, backend: Backend) -> bool:
        """Whether a backend's latency says something about the fleet: it is not far above the recent median."""
        return backend.observed_latency < self.typical_latency_max

    def grant_cold_budgets(self, ready: list[Backend]) -> None:
        """Sets this gateway's part of each cold backend's slow-start budget; all gateways' parts sum to the whole."""
        parameters = self.context.parameters
        share = self.concurrency.responses_per_s / max(1, sum(b.is_warm for b in ready))
        window_s = parameters.overload_window_us / SECOND
        for backend in ready:
            warm_share = backend.warm_share(parameters, self.context.now)
            backend.is_warm = warm_share >= 1.0
            if not backend.is_warm:
                # At most half of what overloads it and its share of a warm one's load; half a window's worth at once.
                # Twice as much does worse. At least two per window over all gateways: an all-cold fleet has to start.
                rate = min(1.0, 0.5 * parameters.overload_factor) * warm_share * share
                rate = max(rate, 2 / parameters.gateways / window_s)
                backend.cold_budget.resize(rate, max(1.0, 0.5 * rate * window_s), self.context.now)

    def mark_cold(self, backend: Backend, started_us: int) -> None:
        """Treats a backend as started then. Its budget starts at a random level: gateways must not all send at once."""
        backend.started_us, backend.is_warm = started_us, False
        backend.cold_budget = TokenBucket(0.0, 1.0, self.context.random_source.draw(), self.context.now)

    def renew_order(self) -> None:
        """Sorts the ready backends: probed ones first, then by latency band, cold before warm, and ring position."""
        now = self.context.now
        intervals, self.changes, self.ranked_at = (now - self.ranked_at) / (RANKING_TICKS * TICK_US), 0, now
        ready = self.table.ready()
        if ready:
            self.decay_measurements(ready, intervals)
            self.grant_cold_budgets(ready)
            self.assign_bands(ready)
        # Cold backends come first in their band, so that their budgets are used up; the budgets limit what they get.
        probed = self.peer_evidence.probed
        self.order = sorted(ready, key=lambda b: (b.index not in probed, b.latency_band, b.is_warm, b.ring_position))
        self.concurrency.backends = len(self.order)

    def decay_measurements(self, ready: list[Backend], intervals: float) -> None:
        """Updates observed latencies and decays what was measured, so that a slow or failing backend is tried again."""
        now, methods = self.context.now, self.context.methods
        mean_us = sum(method.mean_latency_us for method in methods) / len(methods)
        for backend in ready:
            silence = (now - backend.silent_since) / mean_us / 2 if backend.in_flight else 0.01
            backend.observed_latency = max(backend.relative_latency, silence)
            retained = 1.0 if backend.in_flight else 0.98**intervals
            backend.relative_latency = 1 + (backend.relative_latency - 1) * retained
            backend.failure_share *= 0.95**intervals
        # An unused backend says nothing about an overload. The 1.0 keeps a single measured backend from being the norm.
        recent = [b.observed_latency for b in ready if b.in_flight or now - b.measured_at < 5 * SECOND]
        self.typical_latency_max = TYPICAL_LATENCY_FACTOR * sorted([1.0, *recent])[len(recent) // 2]

    def assign_bands(self, ready: list[Backend]) -> None:
        """Sets latency bands and ring positions. Ejects backends whose share of failures is far above the median."""
        now, parameters = self.context.now, self.context.parameters
        latency = sorted(b.observed_latency for b in ready)[len(ready) // 2]
        failures = sorted(b.failure_share for b in ready)[len(ready) // 2]
        ring = ring_positions([b.zone for b in ready], parameters.zone, parameters.own_index)
        for backend, position in zip(ready, ring, strict=True):
            backend.ring_position = position
            backend.latency_band = max(0, int(math.log(backend.observed_latency / latency) / math.log(LATENCY_BAND)))
            if backend.failure_share > failures + EJECTION_MARGIN and now >= backend.ejected_until:
                backend.ejected_until = now + EJECTION_US

    def measure(self, attempt: InFlight, method: int, outcome: AttemptOutcome) -> None:
        """Updates the statistics of the backend, the method and the concurrency limit from an ended attempt."""
        self.changes += 1
        backend, statistics = self.table.by_index[attempt.backend], self.context.methods[method]
        latency_us = self.context.now - attempt.started_at
        if outcome is AttemptOutcome.CLIENT_GONE:  # no failure; silence counts half, as in decay_measurements()
            relative = max(latency_us, (self.context.now - backend.silent_since) / 2) / statistics.mean_latency_us
            backend.record_latency(max(relative, backend.relative_latency), self.context.now)
            return
        if outcome in (AttemptOutcome.OK, AttemptOutcome.ERROR, AttemptOutcome.REJECTED):
            backend.silent_since = self.context.now
        backend.failure_share += ((outcome not in NO_FAULT) - backend.failure_share) * 0.25
        if outcome is AttemptOutcome.OK:
            # ConcurrencyLimit.decay() takes off a tenth four times a second: this is a running mean per second.
            self.concurrency.responses_per_s += 0.4 * backend.is_warm
            statistics.record(latency_us)
        if outcome is AttemptOutcome.NO_CONNECTION:
            # A backend that accepts no connection may have died, and may restart cold before discovery reports it.
            backend.ejected_until = self.context.now + EJECTION_US
            self.mark_cold(backend, self.context.now + EJECTION_US)
        elif outcome is not AttemptOutcome.NOT_SENT:
            least = 0.0 if outcome is AttemptOutcome.OK else MIN_FAILURE_LATENCY
            backend.record_latency(max(least, latency_us / statistics.mean_latency_us), self.context.now)
        latency = min(1.5, latency_us / self.context.parameters.methods[method].soft_deadline_us)
        self.concurrency.record(outcome, latency, self.is_typical(backend))

    def check_ranking(self) -> None:
        """Called four times a second: renews the order after enough changes, and drops backends that are gone."""
        self.concurrency.decay()
        self.changes += 1
        if self.changes >= RANKING_CHANGES:  # each check counts, so a quiet gateway renews its order once a second
            self.renew_order()
        self.table.drop_gone()
