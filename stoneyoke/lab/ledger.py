"""The ledger: what all processes of a run wrote down, and from it alone the rules and the figures."""

from stoneyoke.lab import figures, rules
from stoneyoke.lab.ledger_index import LedgerIndex
from stoneyoke.lab.rules import Violation


class Ledger(LedgerIndex):
    """All rows of a run, and what they say of it. A violation names the ids and keeps the lines that touched them."""

    def violations(self) -> list[Violation]:
        """All breaks of the rules."""
        return rules.violations(self)

    def void(self) -> str:
        """Why the run says nothing of the gateways, or nothing."""
        return figures.void(self)

    def figures(self) -> dict[str, float]:
        """Shares are of 0 to 1, times in ms, memory in MB, CPU in ms an RPC."""
        return figures.figures(self)
