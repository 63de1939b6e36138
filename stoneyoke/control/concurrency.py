"""The concurrency limit: how many attempts this gateway may have in flight, and the signs of an overloaded fleet."""

import math

from stoneyoke.control.context import DecisionContext
from stoneyoke.control.parameters import PROVEN_NOT_RUN, AttemptOutcome

# Latencies here are fractions of the method's soft deadline.
TARGET_LATENCY = 0.35  # mean latency at which the fleet is fully used and few responses are late
OVERLOAD_LATENCY = 0.3  # mean latency of successful responses above which the fleet is overloaded
FULL_UNSERVED_SHARE = 0.4  # share of attempts rejected or timed out above which the fleet is full


class ConcurrencyLimit:
    """A limit that each attempt's latency adjusts, so that the mean stays at a target well below the soft deadline."""

    def __init__(self, context: DecisionContext) -> None:
        """Starts with an initial limit, which measured latencies soon correct."""
        self.context = context
        self.limit = 16.0  # attempts of this gateway in flight; less than one where there are many gateways
        self.in_flight, self.mean_in_flight = 0, 4.0
        self.backends = 0  # number of ranked backends
        self.latency = 0.1  # running mean over successful responses
        self.unserved_share = 0.0  # running mean: share of attempts rejected or timed out
        self.responses_per_s = 0.0  # successful responses of warm backends

    def is_full(self) -> bool:
        """Whether so many attempts are rejected or time out that the fleet has no capacity left."""
        return self.unserved_share > FULL_UNSERVED_SHARE

    def is_overloaded(self) -> bool:
        """Whether responses are slow or the fleet is full. Attempts that are merely lost are no sign of an overload."""
        return self.latency > OVERLOAD_LATENCY or self.is_full()

    def smoothing(self, seconds: float) -> float:
        """Returns a response's weight in a mean over so many seconds. Capped at 0.3, an overload could last a day."""
        return min(0.6, 1 / seconds / max(1.0, self.responses_per_s))

    def record(self, outcome: AttemptOutcome, latency: float, is_typical: bool) -> None:
        """Updates signals and limit from an ended attempt. Latencies of atypical backends don't move the limit."""
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
        """Adjusts the limit by one attempt's latency; raises it only while at least half of it is in use."""
        if latency > TARGET_LATENCY or self.in_flight + 1 >= 0.5 * self.limit:
            self.limit *= math.exp(self.smoothing(1.0) * (TARGET_LATENCY - latency))
        # The floor is 1.5 attempts per backend, divided among the gateways: that many never overload a fleet.
        self.limit = max(1.5 * self.backends / self.context.parameters.gateways, self.limit)

    def decay(self) -> None:
        """Called four times a second: lowers an unused limit, which would not hold back a sudden overload."""
        self.mean_in_flight += (self.in_flight - self.mean_in_flight) * 0.1
        self.limit = min(self.limit, 3 * self.mean_in_flight + 4)
        self.responses_per_s *= 0.9
