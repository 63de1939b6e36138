"""The ledger: all rows of a run, and what they alone say of it."""

from stoneyoke.lab import figures, rules
from stoneyoke.lab.ledger_index import LedgerIndex
from stoneyoke.lab.rules import Violation


class Ledger(LedgerIndex):
    """All rows of a run, with its violations and figures."""

    def violations(self) -> list[Violation]:
        """All breaks of the rules."""
        return rules.violations(self)

    def void(self) -> str:
        """Why the run says nothing of the gateways; empty if it does."""
        return figures.void(self)

    def figures(self) -> dict[str, float]:
        """The run's figures. Shares are from 0 to 1, times in ms, memory in MB, CPU in ms a try."""
        return figures.figures(self)
