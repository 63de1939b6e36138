"""How many voters are enough to choose a value, and how many to be sure of seeing it.

With n voters a value is chosen once `majority(n)` of them have it on disk. Of any `read_quorum(n)` voters at
least one has it, since no more than n - majority(n) voters lack it.

A voter that lost its disk needs the answers of as many *other* voters, though it may have been one of the majority
itself: at least majority(n) - 1 of the n - 1 others have the value, so no more than n - majority(n) of them lack it.

    n           1  2  3  4  5  7
    majority    1  2  2  3  3  4
    read quorum 1  1  2  2  3  4
"""

from collections.abc import Hashable, Iterable


def majority(voters: int) -> int:
    """The smallest number of voters that is more than half of them."""
    return voters // 2 + 1


def read_quorum(voters: int) -> int:
    """The smallest number of voters that has a member in common with every majority."""
    return voters - majority(voters) + 1


def has_majority(group: Iterable[Hashable], answered: Iterable[Hashable]) -> bool:
    """Whether a majority of the group answered. Answers from outside the group don't count."""
    members = set(group)
    return len(members.intersection(answered)) >= majority(len(members))


def has_read_quorum(group: Iterable[Hashable], answered: Iterable[Hashable]) -> bool:
    """Whether one of those that answered has whatever a majority of the group has accepted."""
    members = set(group)
    return len(members.intersection(answered)) >= read_quorum(len(members))
