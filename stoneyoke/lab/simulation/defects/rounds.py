"""Defects in proposers, acceptors and their promises."""

from dataclasses import replace

from stoneyoke.consensus import replica, voter_set
from stoneyoke.consensus.acceptor import Acceptor
from stoneyoke.consensus.ballot import Ballot
from stoneyoke.consensus.proposal_round import Phase, ProposalRound
from stoneyoke.consensus.register_value import ChangeFunction, RegisterValue, ReplicaId, VoterSet
from stoneyoke.lab.simulation.defects.patches import Patch


def own_value_first() -> list[Patch]:
    """A round builds on the value that its process knew, not on the newest value that it found."""

    def build_value(self: ProposalRound, found: RegisterValue) -> RegisterValue:
        return real(self, self.known.value)

    real = ProposalRound.build_value
    return [Patch(ProposalRound, "build_value", build_value)]


def accepts_below_promise() -> list[Patch]:
    """A voter accepts a proposal below the ballot that it has promised."""
    return [Patch(Acceptor, "may_accept", lambda self, ballot: True)]


def number_believed_early() -> list[Patch]:
    """The newest known voters count as chosen, so that the old voters are released too early."""

    def chosen_voters_number(self: replica.Replica) -> int:
        view = self.view()
        return view.value.voters.number if view else 0

    return [Patch(replica.Replica, "chosen_voters_number", chosen_voters_number)]


def change_on_undecided() -> list[Patch]:
    """A second change of voters starts on top of one that is not known to be chosen."""

    def build_value(self: ProposalRound, found: RegisterValue) -> RegisterValue:
        proposal = self.change(found)
        if proposal.voters == found.voters:
            return real(self, found)
        return replace(proposal, previous=found.voters.members)

    def change(chosen: RegisterValue, wanted: tuple[ReplicaId, ...]) -> ChangeFunction | None:
        if wanted == chosen.voters.members:
            return None

        def with_members(found: RegisterValue) -> RegisterValue:
            if wanted == found.voters.members:
                return found
            return replace(found, voters=VoterSet(found.voters.number + 1, wanted))

        return with_members

    real = ProposalRound.build_value
    return [Patch(ProposalRound, "build_value", build_value), Patch(voter_set, "voter_change", change)]


def learns_unchosen() -> list[Patch]:
    """A proposal counts as chosen once its proposer has sent it."""

    def on_accepted(self: ProposalRound, voter: ReplicaId) -> None:
        self.phase = Phase.CHOSEN

    return [Patch(ProposalRound, "on_accepted", on_accepted)]


def promise_forgotten() -> list[Patch]:
    """A voter does not store its promise."""

    def promise(self: Acceptor, ballot: Ballot) -> None:
        pass

    return [Patch(Acceptor, "promise", promise)]
