"""The observations of the clients and backends of a soak, with times of one clock, and the disturbances."""

import math
from dataclasses import dataclass, field
from enum import Enum

from stoneyoke.lab.cluster.requests import ROUTE_TIMEOUT_S
from stoneyoke.lab.cluster.traffic_ledger import TrafficLedger


class RunEnd(Enum):
    """How a run at a backend ended."""

    AT_WORK = "at work"
    ANSWERED = "answered"
    CLOSED = "its connection closed"
    LOST = "its answer was lost"  # by a fault


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
        gateway: The gateway to which the request was sent.
        link: The link over which it was sent; "" if it was sent directly.
        sent_s: When its last byte was sent.
        deadline_s: How long its client said that it waits, in seconds from its first byte.
        began_s: When its first byte was sent; None if that is `sent_s`.
        left_s: When its client abandoned it; None if the client waited for the response.
        how: How the client ended the connection of an abandoned request.
        ended_s: When its client received the response or timed out.
    """

    gateway: str
    link: str
    sent_s: float
    deadline_s: float = ROUTE_TIMEOUT_S
    began_s: float | None = None
    left_s: float | None = None
    how: str = ""
    ended_s: float | None = None


@dataclass(slots=True)
class Shutdown:
    """A SIGTERM to a gateway. Planned work is no disturbance: RULES, LOST says what it excuses.

    Attributes:
        gateway: The gateway's name.
        sigterm_s: When SIGTERM was sent.
        grace_s: The grace period.
        exited_s: When the process exited; what its successor does is no part of this shutdown.
    """

    gateway: str
    sigterm_s: float
    grace_s: float
    exited_s: float = math.inf


@dataclass(frozen=True, slots=True)
class Disturbance:
    """The period in which a fault affected a process, a link or a backend; `to_s` is when the fault ended."""

    target: str
    from_s: float
    to_s: float

    def overlaps(self, from_s: float, to_s: float) -> bool:
        """Returns whether the disturbance overlaps a period."""
        return self.from_s <= to_s and from_s <= self.to_s


@dataclass
class SoakLedger(TrafficLedger):
    """The cluster's ledger, with the tries, the runs and the disturbances in time."""

    tries: dict[str, Try] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    shutdowns: list[Shutdown] = field(default_factory=list)

    def runs_by_attempt(self) -> dict[str, list[Run]]:
        """Returns all runs by their attempt id."""
        found: dict[str, list[Run]] = {}
        for run in self.runs:
            found.setdefault(run.attempt_id, []).append(run)
        return found
