"""Computes the register to restart from on one disk after a majority of the voters is lost for good. No I/O.

The replicas that are left can't distinguish lost replicas from unreachable ones, so an operator has to decide this. A
configuration that was acknowledged but is stored on the lost disks only is lost.
"""

from dataclasses import replace

from stoneyoke.consensus.ballot import Ballot
from stoneyoke.consensus.register_value import Proposal, ReplicaId, VoterSet

# The result has to be above any ballot and any voter set number that another replica, which isn't read, may have.
BALLOTS_SKIPPED = 1_000_000
VOTER_SETS_SKIPPED = 1_000
PROPOSER = "recovery"


def recovered_register(accepted: Proposal, promised: Ballot, survivor: ReplicaId) -> Proposal:
    """Returns the survivor's register, with the survivor as its only voter.

    The other replicas restart with empty disks as learners, and become voters two at a time.

    Args:
        accepted: The proposal that the survivor has accepted.
        promised: The highest ballot that the survivor has promised.
        survivor: The replica that is left.
    """
    counter = max(accepted.ballot, promised).counter + BALLOTS_SKIPPED
    voters = VoterSet(accepted.value.voters.number + VOTER_SETS_SKIPPED, (survivor,))
    return Proposal(Ballot(counter, PROPOSER), replace(accepted.value, voters=voters, previous=()))
