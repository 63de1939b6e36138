"""State shared by all parts of a gateway's decisions: time, parameters, random numbers and the actions to carry out."""

from stoneyoke.control.actions import Action
from stoneyoke.control.parameters import GatewayParameters
from stoneyoke.limits.random_source import RandomSource

# Period of the gateway's only timer. 20 ticks a second are frequent enough for everything polled, and cost little.
TICK_US = 50_000


class MethodStatistics:
    """What a gateway has measured of a method."""

    def __init__(self, soft_deadline_us: int) -> None:
        """Starts with an estimate from the method's soft deadline."""
        self.mean_latency_us = soft_deadline_us / 6  # an initial estimate, which measurements soon replace
        self.responses = 0
        self.longest_wait_us = 0  # longest wait that a client stated: a first request's, as retries have less time left

    def record(self, latency_us: int) -> None:
        """Adds the latency of a successful response to the running mean."""
        self.responses += 1
        self.mean_latency_us += (latency_us - self.mean_latency_us) * max(0.02, 1 / (self.responses + 5))


class DecisionContext:
    """The state of one gateway that all parts of the decisions use."""

    def __init__(self, parameters: GatewayParameters, now: int) -> None:
        """Starts an incarnation of the gateway at `now` (Unix time in us)."""
        self.parameters, self.now, self.start_time = parameters, now, now
        self.random_source = RandomSource(parameters.seed)
        self.methods = [MethodStatistics(method.soft_deadline_us) for method in parameters.methods]
        self.actions: list[Action] = []  # the actions decided on the event that is being handled
        # When this process last resumed after a stall. Attempts and queries in flight then are not measured.
        self.resumed_at = 0

    def replace_parameters(self, parameters: GatewayParameters) -> None:
        """Replaces the parameters. Statistics stay, those of new methods are appended."""
        self.parameters = parameters
        known = len(self.methods)
        self.methods += [MethodStatistics(method.soft_deadline_us) for method in parameters.methods[known:]]
