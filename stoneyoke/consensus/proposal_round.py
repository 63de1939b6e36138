"""One proposer's round of the consensus protocol: prepare, then accept. No I/O.

A round first asks a majority to promise its ballot. It starts from the value that was accepted there with the highest
ballot, applies a change function to it, and asks a majority to accept the result. There is only one register, so the
protocol needs no log and no leader. `docs/design/control-safety.md` argues why it is safe;
`lab/simulation/exhaustive` runs this code through every order of messages in small clusters.

Source: L. Lamport, Paxos Made Simple (2001), section 2; D. Rystsov, CASPaxos (2018), for the change function.
"""

from dataclasses import dataclass, field, replace
from enum import Enum

from stoneyoke.consensus import quorum, voter_groups
from stoneyoke.consensus.ballot import NO_BALLOT, Ballot
from stoneyoke.consensus.register_value import ChangeFunction, Group, Proposal, RegisterValue, ReplicaId


class Phase(Enum):
    """The states of a round.

    PREPARE: The round collects promises. A majority of each required group leads to ACCEPT, a refusal to LOST.
    ACCEPT: The round has its value and collects acceptances. A majority of each of the value's groups leads to CHOSEN,
        a refusal to LOST.
    CHOSEN: The value is chosen. This state is final.
    LOST: Another proposer's ballot is higher. This state is final; the proposer may begin a new round with a ballot
        above that one. The value of a lost round may still be chosen, by a later round that finds it.
    """

    PREPARE = "prepare"
    ACCEPT = "accept"
    CHOSEN = "chosen"
    LOST = "lost"


RUNNING_PHASES = (Phase.PREPARE, Phase.ACCEPT)


@dataclass(slots=True, kw_only=True)
class ProposalRound:
    """One round with one ballot.

    The caller sends requests to the voters at `addresses_to_ask()` and reports each response by `on_promised`,
    `on_accepted` or `on_refused`. Responses that arrive after their phase change nothing.

    Attributes:
        ballot: The round's ballot, which no other round uses.
        known: The newest proposal that this process knows: chosen, or accepted here.
        chosen_voters_number: Highest number of a voter set that is known to be chosen; 0: none.
        change: Maps the value found to the value to propose. It is called once.
        phase: The current state.
        promises: What each voter had accepted before it promised this ballot.
        acceptances: Voters that have accepted the proposal.
        proposed_value: The value proposed; None before phase ACCEPT.
        highest_refusal: Highest ballot that a refusal named. The next round's ballot has to be above it.
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
        """Returns the proposal with the highest ballot found so far."""
        return voter_groups.newest_proposal(self.known, self.promises.values())

    def required_groups(self) -> tuple[Group, ...]:
        """Returns the groups of which a majority each is required in this phase."""
        if self.proposed_value:
            return self.proposed_value.quorum_groups()
        return voter_groups.groups_to_ask(self.known, self.newest_found(), self.chosen_voters_number)

    def addresses_to_ask(self) -> set[str]:
        """Returns the addresses to send requests to in this phase. The set grows as newer voter sets are found."""
        return voter_groups.addresses_of(self.required_groups())

    def is_running(self) -> bool:
        """Returns whether a response can still change the outcome."""
        return self.phase in RUNNING_PHASES

    def on_refused(self, promised: Ballot) -> None:
        """Records that a voter has promised a higher ballot to another proposer."""
        if self.is_running():
            self.highest_refusal = max(self.highest_refusal, promised)
            self.phase = Phase.LOST

    def on_promised(self, voter: ReplicaId, accepted: Proposal | None) -> None:
        """Records that a voter has promised this ballot; with enough promises, computes the value and enters ACCEPT.

        Args:
            voter: The replica that responded.
            accepted: The proposal that it had accepted before; None: none.
        """
        if self.phase is not Phase.PREPARE:
            return
        self.promises[voter] = accepted
        if all(quorum.has_majority(group, self.promises) for group in self.required_groups()):
            self.proposed_value = self.build_value(self.newest_found().value)
            self.phase = Phase.ACCEPT

    def build_value(self, found: RegisterValue) -> RegisterValue:
        """Returns the value to propose: the change function's result for the value found.

        While a change of the voters isn't known to be chosen, the value stays joint and keeps the voters of that
        change: no other change of the voters is begun on top of it.
        """
        proposal = self.change(found)
        is_undecided = found.previous and found.voters.number > self.chosen_voters_number
        if is_undecided or proposal.voters == found.voters:
            previous = found.previous if is_undecided else ()
            return replace(proposal, voters=found.voters, previous=previous)
        return replace(proposal, previous=found.voters.members)

    def on_accepted(self, voter: ReplicaId) -> None:
        """Records that a voter has the proposal on its disk; with enough acceptances, enters CHOSEN."""
        if self.phase is not Phase.ACCEPT:
            return
        self.acceptances.add(voter)
        if all(quorum.has_majority(group, self.acceptances) for group in self.required_groups()):
            self.phase = Phase.CHOSEN

    def chosen_proposal(self) -> Proposal:
        """Returns the chosen proposal. Only valid in phase CHOSEN."""
        assert self.phase is Phase.CHOSEN and self.proposed_value
        return Proposal(self.ballot, self.proposed_value)
