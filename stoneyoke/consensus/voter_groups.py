"""Whose majorities a proposer or a reader needs, by what it knows and what it has found so far. No I/O."""

from collections.abc import Iterable

from stoneyoke.consensus.register_value import Group, Proposal, RegisterValue


def newest_proposal(known: Proposal, found: Iterable[Proposal | None]) -> Proposal:
    """The proposal with the highest ballot. Of equal ones the known one is taken: it has its body."""
    return max((known, *(accepted for accepted in found if accepted)), key=lambda accepted: accepted.ballot)


def needed_groups(value: RegisterValue, chosen_voters_number: int) -> tuple[Group, ...]:
    """The groups whose majorities hold a trace of whatever is chosen after this value.

    Once the value's voters are known to be chosen, the voters before them aren't asked: most of these may be gone.

    Args:
        value: A value that was accepted somewhere.
        chosen_voters_number: Highest number of a voter set that is known to be chosen; 0: none.
    """
    return (value.voters.members,) if value.voters.number <= chosen_voters_number else value.quorum_groups()


def groups_to_ask(known: Proposal, found: Proposal, chosen_voters_number: int) -> tuple[Group, ...]:
    """The groups of the known value and of the newest one found.

    A majority of the older voters always holds a trace of the next voter set, so asking on ends at the newest set.
    """
    return tuple(group for value in (known.value, found.value) for group in needed_groups(value, chosen_voters_number))


def addresses_of(groups: Iterable[Group]) -> set[str]:
    """Addresses of all members of these groups."""
    return {member.address for group in groups for member in group}
