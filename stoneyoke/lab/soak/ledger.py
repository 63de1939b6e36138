"""What clients and backends of a soak saw, each with its time on the one clock, and what was disturbed meanwhile."""

from dataclasses import dataclass, field
from enum import Enum

from stoneyoke.lab.cluster.traffic_ledger import TrafficLedger


class RunEnd(Enum):
    """How a run at a backend ended."""

    AT_WORK = "at work"
    ANSWERED = "answered"
    CLOSED = "its connection closed"
    LOST = "its answer was lost"  # on purpose, by a fault


@dataclass(slots=True, kw_only=True)
class Run:
    """A run of a request at a backend. Times are in seconds of the event loop."""

    attempt_id: str
    backend: str
    started_s: float
    ended_s: float | None = None
    end: RunEnd = RunEnd.AT_WORK


@dataclass(slots=True, kw_only=True)
class Try:
    """A request as its client sent it.

    Attributes:
        gateway: The gateway that it was sent to.
        link: The link that it went over; "" if it went straight.
        sent_s: When.
        left_s: When its client left; None if it waited to the end.
        how: In which way it left.
        ended_s: When its client had its response, or gave up.
    """

    gateway: str
    link: str
    sent_s: float
    left_s: float | None = None
    how: str = ""
    ended_s: float | None = None


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A time in which something was done to a process, a link or a backend; `to_s` is when it was undone."""

    target: str
    from_s: float
    to_s: float

    def overlaps(self, from_s: float, to_s: float) -> bool:
        """Whether it lies within a time, in part at least."""
        return self.from_s <= to_s and from_s <= self.to_s


@dataclass
class SoakLedger(TrafficLedger):
    """The cluster's ledger, and in time what became of each try."""

    tries: dict[str, Try] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)

    def runs_by_attempt(self) -> dict[str, list[Run]]:
        """All runs, by attempt id."""
        found: dict[str, list[Run]] = {}
        for run in self.runs:
            found.setdefault(run.attempt_id, []).append(run)
        return found
