"""What every part of the decisions stands on."""

from stoneyoke.interface import Action, Outcome, Terms
from stoneyoke.limits.stores import Chance
from stoneyoke.records import MethodRow

BEAT = 50_000  # the one timer: 20 a second is fine enough for every look below and costs little
PROVEN_UNRUN = (Outcome.TURNED_AWAY, Outcome.NO_CONNECTION, Outcome.CUT, Outcome.NOT_SENT)


class Ground:
    def __init__(self, terms: Terms, now: int) -> None:
        self.terms, self.now, self.born = terms, now, now
        self.chance = Chance(terms.seed)
        self.methods = [MethodRow(m.soft_us) for m in terms.methods]
        self.actions: list[Action] = []
        self.woke = 0
