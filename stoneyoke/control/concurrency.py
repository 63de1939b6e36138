"""The concurrency limit: how many attempts this gateway keeps in flight, and the signals of an overloaded fleet."""

import math

from stoneyoke.control.context import DecisionContext
from stoneyoke.control.parameters import PROVEN_NOT_RUN, AttemptOutcome

# Latencies here are in soft deadlines of the method.
TARGET_LATENCY = 0.35  # with this mean the fleet is full and few answers are late
OVERLOAD_LATENCY = 0.3  # mean latency of good answers above which the fleet is overloaded
FULL_UNSERVED_SHARE = 0.4  # share of attempts rejected or timed out above which the fleet is full


class ConcurrencyLimit:
    """A limit moved by each attempt's latency so that the mean stays at the target, well inside the soft deadline."""

    def __init__(self, context: DecisionContext) -> None:
        """Begins with a guess of the limit, which answers soon replace."""
        self.context = context
        self.limit = 16.0  # attempts of this gateway; a fraction where gateways are many
        self.in_flight, self.mean_in_flight = 0, 4.0
        self.backends = 0  # ranked ones
        self.latency = 0.1  # running mean of good answers
        self.unserved_share = 0.0  # running mean: share of attempts rejected or timed out
        self.responses_per_s = 0.0  # good answers of warm backends

    def is_full(self) -> bool:
        """Whether the backends reject so many attempts, or let them time out, that the fleet is full."""
        return self.unserved_share > FULL_UNSERVED_SHARE

    def is_overloaded(self) -> bool:
        """Attempts without an answer show an overload only while answers are slow too. Else they are lost."""
        return self.latency > OVERLOAD_LATENCY or self.is_full()

    def smoothing(self, seconds: float) -> float:
        """The weight of an answer in a mean over so many seconds. With 0.3 at most an overload could last a day."""
        return min(0.6, 1 / seconds / max(1.0, self.responses_per_s))

    def record(self, outcome: AttemptOutcome, latency: float, is_typical: bool) -> None:
        """Moves signals and limit by an attempt's end. A backend that is not typical tells nothing of the fleet."""
        if outcome is AttemptOutcome.OK:
            self.latency += (latency - self.latency) * self.smoothing(0.4)
        unserved = outcome in (AttemptOutcome.REJECTED, AttemptOutcome.TIMED_OUT)
        if outcome is AttemptOutcome.OK or unserved:
            self.unserved_share += (unserved - self.unserved_share) * self.smoothing(0.4) / 2
        failed_in_overload = outcome not in PROVEN_NOT_RUN and is_typical and self.is_overloaded()
        if outcome is AttemptOutcome.OK and is_typical:
            self.adjust(latency)
        elif (unserved and self.is_full()) or failed_in_overload:
            self.adjust(1.0)

    def adjust(self, latency: float) -> None:
        """Moves the limit by one more attempt's latency."""
        if latency > TARGET_LATENCY or self.in_flight + 1 >= 0.5 * self.limit:
            self.limit *= math.exp(self.smoothing(1.0) * (TARGET_LATENCY - latency))
        # One and a half attempts a backend, shared by the gateways, never overload a fleet: no less than that.
        self.limit = max(1.5 * self.backends / self.context.parameters.gateways, self.limit)

    def decay(self) -> None:
        """Four times a second: lowers a limit that is not used, or it would let a sudden overload in unchecked."""
        self.mean_in_flight += (self.in_flight - self.mean_in_flight) * 0.1
        self.limit = min(self.limit, 3 * self.mean_in_flight + 4)
        self.responses_per_s *= 0.9
