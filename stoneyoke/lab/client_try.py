"""One try of a client, as the rows of a ledger describe it. Times are microseconds since the run's start."""

from typing import NamedTuple

from stoneyoke.lab.ledger_rows import TrySent


class Interval(NamedTuple):
    """A time interval; its end is excluded."""

    start_us: int
    end_us: int

    def overlaps(self, start_us: int, end_us: int) -> bool:
        """Whether this interval and another one have any time in common."""
        return self.start_us < end_us and start_us < self.end_us


class Attempt(NamedTuple):
    """The arrival of an attempt at a backend, or its execution there."""

    at_us: int
    backend: str


class AttemptEnd(NamedTuple):
    """A backend's response to an attempt, or the loss of that response."""

    at_us: int
    backend: str
    outcome: str


class ClientTry:
    """One try of a client, with its response, its attempts and their executions."""

    __slots__ = (
        "answered_at_us",
        "attempts",
        "customer",
        "deadline_us",
        "ends",
        "executions",
        "first_sent_at_us",
        "gateway",
        "id",
        "method",
        "number",
        "sent_at_us",
        "status",
        "words",
    )

    def __init__(self, row: TrySent) -> None:
        """Takes the fields of the row; there is no response yet."""
        self.id = row.id
        self.first_sent_at_us = self.sent_at_us = row.at_us
        self.number, self.customer, self.method = row.number, row.customer, row.method
        self.gateway, self.deadline_us = row.gateway, row.deadline_us
        self.status, self.words, self.answered_at_us = 0, "", -1
        self.attempts: list[Attempt] = []
        self.ends: list[AttemptEnd] = []
        self.executions: list[Attempt] = []

    def mark_resent(self, row: TrySent) -> None:
        """Records that the try is sent once more, on a new connection."""
        self.sent_at_us, self.gateway, self.status = row.at_us, row.gateway, 0

    def end_of(self, attempt: Attempt) -> AttemptEnd | None:
        """Returns the first response of the attempt's backend at or after the attempt; None if there is none."""
        return next((end for end in self.ends if end.backend == attempt.backend and end.at_us >= attempt.at_us), None)
