"""The acceptor's state: one voter's promise and its accepted proposal. No I/O."""

from stoneyoke.consensus.ballot import NO_BALLOT, Ballot
from stoneyoke.consensus.register_value import Proposal


class Acceptor:
    """The durable state of one voter.

    The caller first checks (`may_promise`, `may_accept`, `is_behind`), then writes the new state to disk, then records
    it here (`promise`, `accept`), and only then responds to the proposer. If it responded before the write, a crash
    could lose the promise or the accepted proposal, and two values could be chosen.

    Attributes:
        promised: The highest ballot promised. Proposals with lower ballots are refused.
        accepted: The proposal accepted last; None: none yet.
    """

    def __init__(self, promised: Ballot = NO_BALLOT, accepted: Proposal | None = None) -> None:
        """Restores the state from disk. Accepting a ballot implies promising it, so the higher of the two counts."""
        self.accepted = accepted
        self.promised = max(promised, accepted.ballot) if accepted else promised

    def accepted_ballot(self) -> Ballot:
        """Returns the ballot of the accepted proposal, `NO_BALLOT` if there is none."""
        return self.accepted.ballot if self.accepted else NO_BALLOT

    def may_promise(self, ballot: Ballot) -> bool:
        """Returns whether this ballot may be promised. The ballot promised last may be promised again, for a retry."""
        return ballot >= self.promised

    def promise(self, ballot: Ballot) -> None:
        """Records a promise that is already on disk."""
        self.promised = max(self.promised, ballot)

    def may_accept(self, ballot: Ballot) -> bool:
        """Returns whether a proposal with this ballot may be accepted."""
        return ballot >= self.promised

    def accept(self, proposal: Proposal) -> None:
        """Records an accepted proposal that is already on disk."""
        self.promised = max(self.promised, proposal.ballot)
        self.accepted = proposal

    def is_behind(self, chosen: Proposal) -> bool:
        """Returns whether a chosen proposal is newer than the accepted one.

        If so it may be accepted whatever ballot was promised, since every later proposal builds on it.
        """
        return self.accepted is None or chosen.ballot > self.accepted.ballot
