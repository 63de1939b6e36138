"""Ballots: the numbers that order the rounds of all proposers."""

from typing import NamedTuple


class Ballot(NamedTuple):
    """The number of one round. The higher of two ballots takes precedence.

    Attributes:
        counter: A proposer raises it above every counter that it has seen.
        proposer: Address and incarnation of the process that began the round. It makes a ballot unique: no other
            process, and no later incarnation of this one, ever uses it.
    """

    counter: int = 0
    proposer: str = ""


NO_BALLOT = Ballot()
