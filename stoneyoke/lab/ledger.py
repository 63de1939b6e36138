"""The ledger: all rows of a run, and its evaluation from these rows alone."""

from stoneyoke.lab import figures, rules
from stoneyoke.lab.ledger_index import LedgerIndex
from stoneyoke.lab.rules import Violation


class Ledger(LedgerIndex):
    """All rows of a run, with its violations and figures."""

    def violations(self) -> list[Violation]:
        """Returns all violations of the rules."""
        return rules.find_violations(self)

    def void_reason(self) -> str:
        """Returns why the run is no valid measurement of the gateways; empty if it is one."""
        return figures.void_reason(self)

    def figures(self) -> dict[str, float]:
        """Returns the run's figures. Shares are from 0 to 1, times in ms, memory in MB, CPU in ms per try."""
        return figures.figures(self)
