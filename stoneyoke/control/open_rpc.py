"""Records of RPCs in progress and of counter queries. No logic here."""

from collections.abc import Generator
from typing import Any, NamedTuple

from stoneyoke.control.actions import Action, AddToCounter
from stoneyoke.control.events import Arrival, AttemptEnded

# An RPC's way through the decisions: yields an action, or WAIT, and is resumed with what came of it.
Step = Action | None
RpcSteps = Generator[Step, Any, None]
WAIT = None  # yielded to be resumed with STILL_WAITING at OpenRpc.resume_at_us
STILL_WAITING = None  # an RPC is resumed with this when the time has come and nothing else has


class Reservation(NamedTuple):
    """Units of the shared bucket that stand in the counter for an RPC."""

    name: int
    amount: float


class AdmissionDecision(NamedTuple):
    """What the quotas say to an RPC."""

    wait_us: int  # 0: admitted; else after how long there are units for it
    reservation: Reservation | None = None


AdmissionSteps = Generator[Step, Any, AdmissionDecision]  # the part of RpcSteps that ends with the quotas' verdict
AttemptSteps = Generator[Step, Any, AttemptEnded]  # the part that ends with an attempt


class InFlight(NamedTuple):
    """An attempt that has not ended."""

    backend: int
    started_at: int


class OpenRpc:
    """An RPC that waits for its answer, or has attempts in flight. Dropped once both are over."""

    def __init__(self, arrival: Arrival, now: int) -> None:
        """Begins without attempts."""
        self.arrival, self.arrived_at = arrival, now
        self.steps: RpcSteps | None = None
        self.in_flight: dict[int, InFlight] = {}  # by the attempt's number
        self.attempts_started = 0
        self.overdue_counted = 0  # attempts that have been counted as overdue
        self.query: AddToCounter | None = None  # the counter query whose reply it waits for
        self.resume_at_us = 0
        self.answered = False  # it has its final answer, or nobody waits for one
