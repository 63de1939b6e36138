"""Reads that write nothing: the newest chosen value, proven by what voters answer. No I/O."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from stoneyoke.consensus import quorum, voter_groups
from stoneyoke.consensus.register_value import Accepted, Group, ReplicaId


@dataclass(slots=True)
class Query:
    """A linearizable read: it returns nothing older than what was chosen before it began.

    It succeeds where a quorum already holds the newest value. Where the voters disagree, a proposal is under way or
    was left unfinished; a round has to complete it before anything newer is known to be chosen.

    Attributes:
        known: The newest proposal that this process knows.
        chosen_number: Highest number of a voter set that is known to be chosen; 0: none.
        replies: What each voter has accepted, with or without its body.
    """

    known: Accepted
    chosen_number: int
    replies: dict[ReplicaId, Accepted | None] = field(default_factory=dict)

    def found(self) -> Accepted:
        """The proposal with the highest ballot seen so far."""
        return voter_groups.newest(self.known, self.replies.values())

    def groups(self) -> tuple[Group, ...]:
        """The groups of which a majority each has to answer."""
        return voter_groups.groups_to_ask(self.known, self.found(), self.chosen_number)

    def targets(self) -> set[str]:
        """Addresses to ask. The set grows as newer voter sets are found."""
        return voter_groups.addresses_of(self.groups())

    def replied(self, voter: ReplicaId, accepted: Accepted | None) -> None:
        """A voter has told what it has accepted."""
        self.replies[voter] = accepted

    def complete(self) -> bool:
        """Whether nothing that was chosen before the read began can be newer than `found()`."""
        return all(quorum.has_majority(group, self.replies) for group in self.groups())

    def chosen(self) -> Accepted | None:
        """The newest chosen proposal, None while the replies don't prove one."""
        if not self.complete():
            return None
        newest = self.found()
        holders = [voter for voter, accepted in self.replies.items() if accepted and accepted.ballot == newest.ballot]
        return newest if all(quorum.has_majority(group, holders) for group in newest.value.groups()) else None


def newest_view(views: Mapping[ReplicaId, Accepted]) -> Accepted | None:
    """The newest of the proposals that replicas know, chosen or not.

    Args:
        views: The newest proposal that each replica knows.

    Returns:
        The one with the highest ballot, if so many of its voters are among `views` that nothing newer is chosen; None
        if too few are.
    """
    if not views:
        return None
    newest = max(views.values(), key=lambda view: view.ballot)
    return newest if all(quorum.has_copies(group, views) for group in newest.value.groups()) else None
