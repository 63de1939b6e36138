"""The parts that all components of one scenario share: the plan, the random source, the network and the checker."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from stoneyoke.lab.simulation.checker import InvariantChecker
from stoneyoke.lab.simulation.clock import SimulatedLoop
from stoneyoke.lab.simulation.network import SimulatedNetwork
from stoneyoke.lab.simulation.plans import Plan


@dataclass(kw_only=True)
class Environment:
    """The shared parts of one scenario.

    Attributes:
        plan: The scenario's plan.
        random_source: The only random source. Every draw is part of the trace, so their order must not change.
        network: The simulated network.
        checker: Records guarantees and observations, and reports violations.
        folder: Path of the folder with a subfolder for each simulated disk.
        event_counts: How often each kind of event happened.
    """

    plan: Plan
    random_source: random.Random
    network: SimulatedNetwork
    checker: InvariantChecker
    folder: str = ""
    event_counts: Counter[str] = field(default_factory=Counter)

    def now(self) -> float:
        """Returns the time of the event loop in seconds."""
        return asyncio.get_running_loop().time()


def simulated_loop() -> SimulatedLoop:
    """Returns the running event loop."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, SimulatedLoop)
    return loop
