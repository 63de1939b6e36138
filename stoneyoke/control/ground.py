"""What every part of the decisions stands on."""

from collections.abc import Generator
from typing import Any

from stoneyoke.interface import Action, AddCount, Arrival, Outcome, Terms
from stoneyoke.limits.stores import Chance

BEAT = 50_000  # the one timer: 20 a second is fine enough for every look below and costs little
PROVEN_UNRUN = (Outcome.TURNED_AWAY, Outcome.NO_CONNECTION, Outcome.CUT, Outcome.NOT_SENT)
Rpc = Generator[Action | int, Any, None]


class MethodRow:
    """What the module reads of a method, a row a method."""

    def __init__(self, soft_us: int) -> None:
        self.mean = soft_us / 6  # a first guess of the time taken; answers soon replace it
        self.seen = 0
        self.longest = 0  # the longest wait that a client's try came with: a first try's


class OpenRpc:
    """An RPC held or with call-outs out; dropped when it is ended and none is out."""

    def __init__(self, call: Arrival, now: int) -> None:
        self.call, self.begun = call, now
        self.steps: Rpc | None = None
        self.outs: dict[int, tuple[int, int]] = {}  # call-out number -> backend, time
        self.asked: AddCount | None = None  # what it waits for the counter to answer
        self.sent = self.look_at = self.slow_at = 0  # slow_at: call-outs whose slowness has been counted
        self.ended = False


class Ground:
    def __init__(self, terms: Terms, now: int) -> None:
        self.terms, self.now, self.born = terms, now, now
        self.chance = Chance(terms.seed)
        self.methods = [MethodRow(m.soft_us) for m in terms.methods]
        self.actions: list[Action] = []
        self.woke = 0
