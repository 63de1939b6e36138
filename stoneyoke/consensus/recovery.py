"""Begins again from one disk after a majority of the voters is gone for good. No I/O.

The members that are left cannot tell whether the others are lost or only cut off, so this is a person's decision. What
was acknowledged and stood only on the lost disks is lost with them."""

from dataclasses import replace

from stoneyoke.consensus.ballot import Ballot
from stoneyoke.consensus.register_value import Proposal, ReplicaId, VoterSet

# Above any ballot and set that members which were not heard may hold.
BALLOTS_SKIPPED = 1_000_000
SETS_SKIPPED = 1_000
PROPOSER = "recovery"


def recovered_register(held: Proposal, promised: Ballot, survivor: ReplicaId) -> Proposal:
    """The register with this member as its only voter, and what it held. The others join as learners, with empty
    disks, and are made voters two at a time."""
    counter = max(held.ballot, promised).counter + BALLOTS_SKIPPED
    voters = VoterSet(held.value.voters.number + SETS_SKIPPED, (survivor,))
    return Proposal(Ballot(counter, PROPOSER), replace(held.value, voters=voters, previous=()))
