"""Records what the clients and backends of a trial observe, and finds the violations of the rules in it."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from stoneyoke.lab.cluster.requests import OK, REJECTION_STATUSES

NO_RESPONSE = 0  # in place of a status: no complete response was received


class Rule(Enum):
    """A guarantee of the system."""

    ONCE = "TWICE"  # a non-idempotent request runs at most once, over all backends
    REJECTED_NEVER_RAN = "REFUSED"  # a non-idempotent request that was rejected has not run
    MATCHING_RESPONSE = "MIXED"  # a response belongs to its request
    ONLY_REQUESTED = "UNASKED"  # a backend runs only what a client sent, as it was sent
    DURABLE_CONFIGURATION = "CONFIG"  # a read returns the acknowledged configuration
    ENDS_WITH_CLIENT = "GONE"  # no read continues at a backend after its client has left
    ORDERS_FINISH = "BROKEN OFF"  # the gateway does not interrupt a non-idempotent request that runs
    ANSWERED = "LOST"  # without a fault, a client that waits gets the response to a request that ran
    NOTHING_HELD = "HELD"  # a process without requests has released everything that earlier ones used
    NO_VIOLATIONS = "INVARIANT"  # no process counts a violated invariant
    STAYS_UP = "EXIT"  # no process exits on its own


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a rule."""

    rule: Rule
    detail: str

    def __str__(self) -> str:
        """Returns the line that the trial prints."""
        return f"{self.rule.value}: {self.detail}"


@dataclass
class TrafficLedger:
    """What the clients and the backends observed of each attempt, by attempt id."""

    executions: Counter[str] = field(default_factory=Counter)  # how often each attempt ran at a backend
    orders: set[str] = field(default_factory=set)  # attempt ids of non-idempotent requests
    statuses: dict[str, int] = field(default_factory=dict)  # of the responses, or NO_RESPONSE
    reported_violations: list[Violation] = field(default_factory=list)  # reported while the trial ran

    def report(self, rule: Rule, detail: str) -> None:
        """Records a violation that a client or a backend detected."""
        self.reported_violations.append(Violation(rule, detail))

    def violations(self) -> list[Violation]:
        """Returns all violations: those that were reported, and those that the records show."""
        found = list(self.reported_violations)
        for attempt_id, status in self.statuses.items():
            found += self._violations_of(attempt_id, status)
        found += [
            Violation(Rule.ONLY_REQUESTED, f"{attempt_id} ran although no client sent it")
            for attempt_id in self.executions
            if attempt_id not in self.statuses
        ]
        return found

    def _violations_of(self, attempt_id: str, status: int) -> list[Violation]:
        found: list[Violation] = []
        executions = self.executions[attempt_id]
        is_non_idempotent = attempt_id in self.orders
        if is_non_idempotent and executions > 1:
            found.append(Violation(Rule.ONCE, f"{attempt_id} ran {executions} times"))
        if is_non_idempotent and executions and status in REJECTION_STATUSES:
            found.append(Violation(Rule.REJECTED_NEVER_RAN, f"{attempt_id} ran and was rejected with {status}"))
        if status == OK and not executions:
            found.append(Violation(Rule.MATCHING_RESPONSE, f"{attempt_id} was answered with 200 and never ran"))
        return found
