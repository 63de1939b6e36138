"""What the decisions remember of an RPC, a method and a counter call: rows without logic."""

from collections.abc import Generator
from typing import Any, NamedTuple

from stoneyoke.control.actions import Action, AddToCounter
from stoneyoke.control.events import Arrival

Rpc = Generator[Action | int, Any, None]


class Call(NamedTuple):
    """A counter call to come; its answer is read for a customer of whom so much was told,
    and holds that part of the period's additions."""

    name: int
    amount: float
    customer: int = -1
    told: float = 0.0
    part: float = 1.0


class MethodRow:
    """What the module reads of a method, a row a method."""

    def __init__(self, soft_deadline_us: int) -> None:
        self.mean = soft_deadline_us / 6  # a first guess of the time taken; answers soon replace it
        self.seen = 0
        self.longest = 0  # the longest wait that a client's try came with: a first try's


class OpenRpc:
    """An RPC held or with call-outs out; dropped when it is ended and none is out."""

    def __init__(self, call: Arrival, now: int) -> None:
        self.call, self.begun = call, now
        self.steps: Rpc | None = None
        self.outs: dict[int, tuple[int, int]] = {}  # call-out number -> backend, time
        self.asked: AddToCounter | None = None  # what it waits for the counter to answer
        self.sent = self.look_at = self.slow_at = 0  # slow_at: call-outs whose slowness has been counted
        self.ended = False
