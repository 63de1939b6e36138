"""Ballots: the numbers that order the rounds of all proposers (also known as proposal numbers)."""

from typing import NamedTuple


class Ballot(NamedTuple):
    """The number of one round. The higher of two ballots takes precedence.

    Attributes:
        counter: Compared first. A proposer uses a counter above every counter that it has seen.
        proposer: Address and incarnation of the process that began the round. It makes a ballot unique: no other
            process, and no later incarnation of this process, ever uses the same one.
    """

    counter: int = 0
    proposer: str = ""


NO_BALLOT = Ballot()
