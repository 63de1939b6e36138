"""One voter's promises and its accepted value. No I/O."""

from stoneyoke.consensus.ballot import NO_BALLOT, Ballot
from stoneyoke.consensus.register_value import Proposal


class Acceptor:
    """The durable state of one voter.

    The caller first asks (`may_promise`, `may_accept`, `is_behind`), then writes the new state to disk, then records it
    here (`promise`, `accept`), and only then answers the proposer. An answer that outran the disk could be forgotten in
    a crash, and two values could be chosen.

    Attributes:
        promised: The highest ballot promised. Proposals under lower ones are refused.
        accepted: The proposal accepted last; None: none yet.
    """

    def __init__(self, promised: Ballot = NO_BALLOT, accepted: Proposal | None = None) -> None:
        """Restores a state from disk. To accept a ballot is to promise it, so the higher one of the two counts."""
        self.accepted = accepted
        self.promised = max(promised, accepted.ballot) if accepted else promised

    def accepted_ballot(self) -> Ballot:
        """The ballot of the accepted proposal, `NO_BALLOT` if there is none."""
        return self.accepted.ballot if self.accepted else NO_BALLOT

    def may_promise(self, ballot: Ballot) -> bool:
        """Whether this ballot may be promised. A repeated request for the same ballot may."""
        return ballot >= self.promised

    def promise(self, ballot: Ballot) -> None:
        """Records a promise that is on disk."""
        self.promised = max(self.promised, ballot)

    def may_accept(self, ballot: Ballot) -> bool:
        """Whether a proposal under this ballot may be accepted."""
        return ballot >= self.promised

    def accept(self, proposal: Proposal) -> None:
        """Records an accepted proposal that is on disk."""
        self.promised = max(self.promised, proposal.ballot)
        self.accepted = proposal

    def is_behind(self, chosen: Proposal) -> bool:
        """Whether a chosen proposal is newer than the accepted one.

        Then it may be accepted whatever was promised, since every later proposal builds on it.
        """
        return self.accepted is None or chosen.ballot > self.accepted.ballot
