"""How many are enough. With n voters a configuration is acknowledged once `majority(n)` hold it, synced.

Of any `copies(n)` voters one at least holds what was acknowledged: n - majority(n) lack it at most. For one that
lost its disk the same number of *others* is enough, though it may have been among the majority itself: the others
that hold it are majority(n) - 1 at least, of n - 1, and (n - 1) - (majority(n) - 1) = n - majority(n) lack it.

    n           1  2  3  4  5  7
    majority    1  2  2  3  3  4
    copies      1  1  2  2  3  4
"""


def majority(voters: int) -> int:
    return voters // 2 + 1


def copies(voters: int) -> int:
    """So many answers that what was acknowledged is among them."""
    return voters - majority(voters) + 1
