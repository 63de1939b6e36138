"""What clients and backends of a trial saw, and the rules that it shows to be broken."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from stoneyoke.lab.cluster.requests import OK, REJECTION_STATUSES

NO_RESPONSE = 0  # in place of a status: the connection ended without a response


class Rule(Enum):
    """A guarantee of the system."""

    ONCE = "TWICE"  # an order runs at one backend at most, once at most
    REJECTED_NEVER_RAN = "REFUSED"  # an order that was rejected has not run
    MATCHING_RESPONSE = "MIXED"  # a response belongs to its request
    ONLY_REQUESTED = "UNASKED"  # a backend runs only what a client sent, as it was sent
    DURABLE_CONFIGURATION = "CONFIG"  # an acknowledged configuration is read back
    ENDS_WITH_CLIENT = "GONE"  # no read runs on at a backend after its client has left
    ORDERS_FINISH = "BROKEN OFF"  # an order's run is not broken off by the gateway
    ANSWERED = "LOST"  # who waits gets an answer to what ran, if nothing failed
    NOTHING_HELD = "HELD"  # a process without requests holds nothing of former ones
    NO_VIOLATIONS = "INVARIANT"  # the running code counts no violated invariant
    STAYS_UP = "EXIT"  # no process ends by itself


@dataclass(frozen=True, slots=True)
class Violation:
    """One break of a rule."""

    rule: Rule
    detail: str

    def __str__(self) -> str:
        """One line for the trial's output."""
        return f"{self.rule.value}: {self.detail}"


@dataclass
class TrafficLedger:
    """What was seen of each attempt id: at clients and at backends."""

    executions: Counter[str] = field(default_factory=Counter)  # how often it ran at a backend
    orders: set[str] = field(default_factory=set)  # ids of requests with an effect
    statuses: dict[str, int] = field(default_factory=dict)  # of the response, or NO_RESPONSE
    seen_violations: list[Violation] = field(default_factory=list)  # noticed while the trial ran

    def report(self, rule: Rule, detail: str) -> None:
        """Notes a violation that a client or a backend noticed."""
        self.seen_violations.append(Violation(rule, detail))

    def violations(self) -> list[Violation]:
        """All breaks of rules."""
        found = list(self.seen_violations)
        for attempt_id, status in self.statuses.items():
            found += self._violations_of(attempt_id, status)
        found += [
            Violation(Rule.ONLY_REQUESTED, f"{attempt_id} ran and was sent by no client")
            for attempt_id in self.executions
            if attempt_id not in self.statuses
        ]
        return found

    def _violations_of(self, attempt_id: str, status: int) -> list[Violation]:
        found: list[Violation] = []
        executions = self.executions[attempt_id]
        is_order = attempt_id in self.orders
        if is_order and executions > 1:
            found.append(Violation(Rule.ONCE, f"{attempt_id} ran {executions} times"))
        if is_order and executions and status in REJECTION_STATUSES:
            found.append(Violation(Rule.REJECTED_NEVER_RAN, f"{attempt_id} ran and was answered {status}"))
        if status == OK and not executions:
            found.append(Violation(Rule.MATCHING_RESPONSE, f"{attempt_id} was answered 200 and never ran"))
        return found
