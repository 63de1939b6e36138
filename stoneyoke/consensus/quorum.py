"""Quorum sizes: how many voters choose a value, and how many have to be read to find a chosen value for certain.

With n voters a value is chosen once `majority(n)` of them have it on disk. Among any `read_quorum(n)` voters at
least one has the value, since no more than n - majority(n) voters lack it.

A voter that lost its disk needs responses from `read_quorum(n)` *other* voters, though it may have been one of the
majority itself: at least majority(n) - 1 of the n - 1 others have the value, so no more than n - majority(n) lack it.

    n           1  2  3  4  5  7
    majority    1  2  2  3  3  4
    read quorum 1  1  2  2  3  4
"""

from collections.abc import Hashable, Iterable


def majority(voters: int) -> int:
    """Returns the smallest number that is more than half of the voters."""
    return voters // 2 + 1


def read_quorum(voters: int) -> int:
    """Returns the smallest number of voters that has a member in common with every majority."""
    return voters - majority(voters) + 1


def has_majority(group: Iterable[Hashable], answered: Iterable[Hashable]) -> bool:
    """Returns whether a majority of the group responded. Responses from outside the group don't count."""
    members = set(group)
    return len(members.intersection(answered)) >= majority(len(members))


def has_read_quorum(group: Iterable[Hashable], answered: Iterable[Hashable]) -> bool:
    """Returns whether at least one of those that responded has any value that a majority of the group has accepted."""
    members = set(group)
    return len(members.intersection(answered)) >= read_quorum(len(members))
