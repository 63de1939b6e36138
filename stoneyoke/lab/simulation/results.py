"""The result of one scenario, and the summary of many."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass(kw_only=True)
class ScenarioResult:
    """The result of one scenario.

    Attributes:
        seed: The seed of the plan.
        violations: One line for each violated invariant.
        trace: Digest of all events, in order; the same seed gives the same digest.
        event_counts: How often each kind of event happened.
        admitted: Requests of tenants that were admitted.
        rejected: Requests of tenants that were rejected.
        requests_below_quota: Requests of tenants with a steady load of half their quota, more than QUIET_S after
            the last disturbance.
        rejected_below_quota: Those of requests_below_quota that were rejected.
        disk_bytes: Size of the largest folder of a controller's disk at the end.
    """

    seed: int
    violations: list[str]
    trace: str = ""
    event_counts: Counter[str] = field(default_factory=Counter)
    admitted: int = 0
    rejected: int = 0
    requests_below_quota: int = 0
    rejected_below_quota: int = 0
    disk_bytes: int = 0

    def describe(self) -> str:
        """Returns the seed and the first violations in one line."""
        return f"seed {self.seed}: " + "; ".join(self.violations[:3])


@dataclass
class Summary:
    """The results of many scenarios.

    Attributes:
        scenarios: Number of scenarios.
        failed: The results with violations.
        event_counts: How often each kind of event happened in all scenarios.
        admitted: Requests that were admitted in all scenarios.
        requests_below_quota: See `ScenarioResult`.
        rejected_below_quota: See `ScenarioResult`.
        seconds: Wall-clock time in seconds.
        trace: Digest of the traces of all scenarios, in the order of the results.
    """

    scenarios: int = 0
    failed: list[ScenarioResult] = field(default_factory=list)
    event_counts: Counter[str] = field(default_factory=Counter)
    admitted: int = 0
    requests_below_quota: int = 0
    rejected_below_quota: int = 0
    seconds: float = 0.0
    trace: str = ""

    def describe(self) -> str:
        """Returns the summary in three lines."""
        events = ", ".join(f"{kind} {count}" for kind, count in sorted(self.event_counts.items()))
        return (
            f"{self.scenarios} scenarios in {self.seconds:.0f} s, {len(self.failed)} broken, trace {self.trace}\n"
            f"met: {events}\n{self.admitted} requests passed; of tenants at half their quota "
            f"{self.rejected_below_quota} of {self.requests_below_quota} were refused"
        )
