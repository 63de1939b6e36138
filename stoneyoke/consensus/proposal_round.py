"""One proposer's round of the consensus protocol: prepare, then accept. No I/O.

A round first asks a majority to promise its ballot. It takes over the value that was accepted there under the highest
ballot, applies a change to it, and has the result accepted by a majority. There is one register, so no log and no
leader is needed. `docs/design/control-safety.md` holds the argument that this is safe; `lab/simulation/exhaustive`
walks every order of messages of small clusters with this code.

Source: L. Lamport, Paxos Made Simple (2001), section 2; D. Rystsov, CASPaxos (2018), for the change function.
"""

from dataclasses import dataclass, field, replace
from enum import Enum

from stoneyoke.consensus import quorum, voter_groups
from stoneyoke.consensus.ballot import NO_BALLOT, Ballot
from stoneyoke.consensus.register_value import ChangeFunction, Group, Proposal, RegisterValue, ReplicaId


class Phase(Enum):
    """Where a round stands.

    PREPARE: It collects promises. A majority of every needed group leads to ACCEPT, a refusal to LOST.
    ACCEPT: It has its value and collects acceptances. A majority of each of the value's groups leads to CHOSEN, a
        refusal to LOST.
    CHOSEN: The value is decided. Nothing leads out of it.
    LOST: Another proposer's ballot is higher. Nothing leads out of it; the proposer may begin a new round above that
        ballot. The value of a lost round may still be chosen, by a later round that finds it.
    """

    PREPARE = "prepare"
    ACCEPT = "accept"
    CHOSEN = "chosen"
    LOST = "lost"


RUNNING_PHASES = (Phase.PREPARE, Phase.ACCEPT)


@dataclass(slots=True, kw_only=True)
class ProposalRound:
    """One round under one ballot.

    The caller asks the voters at `addresses_to_ask()` and reports each answer by `on_promised`, `on_accepted` or
    `on_refused`. Answers that come after their phase change nothing.

    Attributes:
        ballot: Used by no other round.
        known: The newest proposal that this process knows: chosen, or accepted here.
        chosen_voters_number: Highest number of a voter set that is known to be chosen; 0: none.
        change: Makes the value to propose of the value found. It is called once.
        phase: Where the round stands.
        promises: What each voter had accepted before it promised this ballot.
        acceptances: Voters that have accepted the proposal.
        proposed_value: The value proposed, from phase ACCEPT on.
        highest_refusal: Highest ballot that a refusal named. The next round has to be above it.
    """

    ballot: Ballot
    known: Proposal
    chosen_voters_number: int
    change: ChangeFunction
    phase: Phase = Phase.PREPARE
    promises: dict[ReplicaId, Proposal | None] = field(default_factory=dict)
    acceptances: set[ReplicaId] = field(default_factory=set)
    proposed_value: RegisterValue | None = None
    highest_refusal: Ballot = NO_BALLOT

    def newest_found(self) -> Proposal:
        """The proposal with the highest ballot seen so far."""
        return voter_groups.newest_proposal(self.known, self.promises.values())

    def required_groups(self) -> tuple[Group, ...]:
        """The groups of which a majority each is needed in this phase."""
        if self.proposed_value:
            return self.proposed_value.quorum_groups()
        return voter_groups.groups_to_ask(self.known, self.newest_found(), self.chosen_voters_number)

    def addresses_to_ask(self) -> set[str]:
        """Addresses to ask in this phase. The set grows as newer voter sets are found."""
        return voter_groups.addresses_of(self.required_groups())

    def is_running(self) -> bool:
        """Whether an answer can still change the outcome."""
        return self.phase in RUNNING_PHASES

    def on_refused(self, promised: Ballot) -> None:
        """A voter has promised a higher ballot to another proposer."""
        if self.is_running():
            self.highest_refusal = max(self.highest_refusal, promised)
            self.phase = Phase.LOST

    def on_promised(self, voter: ReplicaId, accepted: Proposal | None) -> None:
        """A voter has promised this ballot.

        Args:
            voter: The replica that answered.
            accepted: What it had accepted before.
        """
        if self.phase is not Phase.PREPARE:
            return
        self.promises[voter] = accepted
        if all(quorum.has_majority(group, self.promises) for group in self.required_groups()):
            self.proposed_value = self.build_value(self.newest_found().value)
            self.phase = Phase.ACCEPT

    def build_value(self, found: RegisterValue) -> RegisterValue:
        """Applies the change to the value found.

        A change of the voters that isn't known to be chosen stays joint, and no other one is begun on top of it.
        """
        proposal = self.change(found)
        is_undecided = found.previous and found.voters.number > self.chosen_voters_number
        if is_undecided or proposal.voters == found.voters:
            previous = found.previous if is_undecided else ()
            return replace(proposal, voters=found.voters, previous=previous)
        return replace(proposal, previous=found.voters.members)

    def on_accepted(self, voter: ReplicaId) -> None:
        """A voter has the proposal on its disk."""
        if self.phase is not Phase.ACCEPT:
            return
        self.acceptances.add(voter)
        if all(quorum.has_majority(group, self.acceptances) for group in self.required_groups()):
            self.phase = Phase.CHOSEN

    def chosen_proposal(self) -> Proposal:
        """What was decided. Only valid in phase CHOSEN."""
        assert self.phase is Phase.CHOSEN and self.proposed_value
        return Proposal(self.ballot, self.proposed_value)
