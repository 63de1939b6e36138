"""What all parts of one gateway's decisions share: the time, the parameters, chance and the actions to carry out."""

from stoneyoke.control.actions import Action
from stoneyoke.control.parameters import GatewayParameters
from stoneyoke.limits.random_source import RandomSource

# The gateway's one timer. 20 ticks a second are fine enough for everything that is looked at, and cost little.
TICK_US = 50_000


class MethodStatistics:
    """What a gateway has measured of a method."""

    def __init__(self, soft_deadline_us: int) -> None:
        """Begins with a guess from the method's soft deadline."""
        self.mean_latency_us = soft_deadline_us / 6  # a guess, which answers soon replace
        self.responses = 0
        self.longest_wait_us = 0  # the longest that a client of an RPC was to wait: that of a first request

    def record(self, latency_us: int) -> None:
        """Takes the latency of a good answer into the running mean."""
        self.responses += 1
        self.mean_latency_us += (latency_us - self.mean_latency_us) * max(0.02, 1 / (self.responses + 5))


class DecisionContext:
    """The state of one gateway that no part of the decisions owns alone."""

    def __init__(self, parameters: GatewayParameters, now: int) -> None:
        """Begins an incarnation of the gateway at `now` (Unix time in us)."""
        self.parameters, self.now, self.start_time = parameters, now, now
        self.random_source = RandomSource(parameters.seed)
        self.methods = [MethodStatistics(method.soft_deadline_us) for method in parameters.methods]
        self.actions: list[Action] = []  # the answer to the event that is being handled
        # When this process last ran on after it had stood still. What was in flight then measures nothing.
        self.resumed_at = 0

    def replace_parameters(self, parameters: GatewayParameters) -> None:
        """Takes new parameters. Statistics stay, those of new methods are appended."""
        self.parameters = parameters
        known = len(self.methods)
        self.methods += [MethodStatistics(method.soft_deadline_us) for method in parameters.methods[known:]]
