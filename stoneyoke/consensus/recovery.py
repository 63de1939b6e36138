"""Starts again from one disk after a majority of the voters is lost for good. No I/O.

The replicas that are left can't tell whether the others are lost or only cut off, so a person decides this. What was
acknowledged and stood only on the lost disks is lost.
"""

from dataclasses import replace

from stoneyoke.consensus.ballot import Ballot
from stoneyoke.consensus.register_value import Proposal, ReplicaId, VoterSet

# The result has to be above any ballot and any voter set that a replica which wasn't asked may hold.
BALLOTS_SKIPPED = 1_000_000
VOTER_SETS_SKIPPED = 1_000
PROPOSER = "recovery"


def recovered_register(accepted: Proposal, promised: Ballot, survivor: ReplicaId) -> Proposal:
    """The survivor's register, with the survivor as its only voter.

    The other replicas join with empty disks as learners, and become voters two at a time.

    Args:
        accepted: What the survivor has accepted.
        promised: The highest ballot that it has promised.
        survivor: The replica that is left.
    """
    counter = max(accepted.ballot, promised).counter + BALLOTS_SKIPPED
    voters = VoterSet(accepted.value.voters.number + VOTER_SETS_SKIPPED, (survivor,))
    return Proposal(Ballot(counter, PROPOSER), replace(accepted.value, voters=voters, previous=()))
