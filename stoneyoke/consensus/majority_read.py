"""Reads without a write: the newest chosen value, as the voters' responses prove it. No I/O."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from stoneyoke.consensus import quorum, voter_groups
from stoneyoke.consensus.register_value import Group, Proposal, ReplicaId


@dataclass(slots=True)
class MajorityRead:
    """A linearizable read: it returns nothing older than what was chosen before it began.

    It succeeds if a quorum has already accepted the newest value. If the voters disagree, a proposal is in progress or
    was left unfinished, and a round has to complete it before anything newer is known to be chosen.

    Attributes:
        known: The newest proposal that this process knows.
        chosen_voters_number: Highest number of a voter set that is known to be chosen; 0: none.
        responses: The proposal that each voter has accepted, with or without its body; None: none.
    """

    known: Proposal
    chosen_voters_number: int
    responses: dict[ReplicaId, Proposal | None] = field(default_factory=dict)

    def newest_found(self) -> Proposal:
        """Returns the proposal with the highest ballot found so far."""
        return voter_groups.newest_proposal(self.known, self.responses.values())

    def required_groups(self) -> tuple[Group, ...]:
        """Returns the groups of which a majority each has to respond."""
        return voter_groups.groups_to_ask(self.known, self.newest_found(), self.chosen_voters_number)

    def addresses_to_ask(self) -> set[str]:
        """Returns the addresses to send requests to. The set grows as newer voter sets are found."""
        return voter_groups.addresses_of(self.required_groups())

    def on_response(self, voter: ReplicaId, accepted: Proposal | None) -> None:
        """Records a voter's response: the proposal that it has accepted."""
        self.responses[voter] = accepted

    def has_quorum(self) -> bool:
        """Returns whether nothing that was chosen before the read began can be newer than `newest_found()`."""
        return all(quorum.has_majority(group, self.responses) for group in self.required_groups())

    def chosen_proposal(self) -> Proposal | None:
        """Returns the newest chosen proposal, None while the responses don't prove one."""
        if not self.has_quorum():
            return None
        newest = self.newest_found()
        accepted_by = [
            voter for voter, accepted in self.responses.items() if accepted and accepted.ballot == newest.ballot
        ]
        return (
            newest if all(quorum.has_majority(group, accepted_by) for group in newest.value.quorum_groups()) else None
        )


def newest_view(views: Mapping[ReplicaId, Proposal]) -> Proposal | None:
    """Returns the newest of the proposals that replicas know, chosen or not.

    Args:
        views: The newest proposal that each replica knows.

    Returns:
        The one with the highest ballot, if enough of its voters are among `views` to exclude that anything newer is
        chosen; else None.
    """
    if not views:
        return None
    newest = max(views.values(), key=lambda view: view.ballot)
    return newest if all(quorum.has_read_quorum(group, views) for group in newest.value.quorum_groups()) else None
