"""Records of RPCs in progress and of counter queries. No logic here."""

from collections.abc import Generator
from typing import Any, NamedTuple

from stoneyoke.control.actions import Action, AddToCounter
from stoneyoke.control.events import Arrival, AttemptEnded

# The steps of an RPC: each yields an action, or WAIT, and is resumed with the result.
Step = Action | None
RpcSteps = Generator[Step, Any, None]
WAIT = None  # yielded to be resumed with STILL_WAITING at OpenRpc.resume_at_us
STILL_WAITING = None  # an RPC is resumed with this at OpenRpc.resume_at_us if there is no result by then


class Reservation(NamedTuple):
    """Units of the shared bucket that an RPC has taken at the counter."""

    name: int
    amount: float


class AdmissionDecision(NamedTuple):
    """Whether the quotas admit an RPC."""

    wait_us: int  # 0: admitted; else the time until there are units for it
    reservation: Reservation | None = None


AdmissionSteps = Generator[Step, Any, AdmissionDecision]  # the part of RpcSteps that decides on admission
AttemptSteps = Generator[Step, Any, AttemptEnded]  # the part of RpcSteps that runs one attempt


class InFlight(NamedTuple):
    """An attempt that has not ended."""

    backend: int
    started_at: int


class OpenRpc:
    """An RPC that waits for its response, or has attempts in flight. Removed once neither is the case."""

    def __init__(self, arrival: Arrival, now: int) -> None:
        """Starts without attempts."""
        self.arrival, self.arrived_at = arrival, now
        self.steps: RpcSteps | None = None
        self.in_flight: dict[int, InFlight] = {}  # by the attempt's number
        self.attempts_started = 0
        self.overdue_counted = 0  # number of the last attempt counted as overdue, from 1; 0: none
        self.query: AddToCounter | None = None  # the counter query whose reply it waits for
        self.resume_at_us = 0
        self.has_final_response = False  # also true once its client is gone and needs no response
