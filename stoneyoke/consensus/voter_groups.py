"""The groups of voters of which a proposer or a reader needs a majority, by the proposals found so far. No I/O."""

from collections.abc import Iterable

from stoneyoke.consensus.register_value import Group, Proposal, RegisterValue


def newest_proposal(known: Proposal, found: Iterable[Proposal | None]) -> Proposal:
    """Returns the proposal with the highest ballot. Of equal ones it returns the known one, since that has its body."""
    return max((known, *(accepted for accepted in found if accepted)), key=lambda accepted: accepted.ballot)


def needed_groups(value: RegisterValue, chosen_voters_number: int) -> tuple[Group, ...]:
    """Returns the groups such that whatever is chosen after this value was accepted by a member of each majority.

    Once the value's voters are known to be chosen, the previous voters aren't included: most of these may be gone.

    Args:
        value: A value that was accepted by some replica.
        chosen_voters_number: Highest number of a voter set that is known to be chosen; 0: none.
    """
    return (value.voters.members,) if value.voters.number <= chosen_voters_number else value.quorum_groups()


def groups_to_ask(known: Proposal, found: Proposal, chosen_voters_number: int) -> tuple[Group, ...]:
    """Returns the groups of the known value and of the newest value found.

    Any majority of a voter set has a member that accepted the next voter set, so a proposer or reader that contacts
    the groups of each newer value that it finds reaches the newest voter set.
    """
    return tuple(group for value in (known.value, found.value) for group in needed_groups(value, chosen_voters_number))


def addresses_of(groups: Iterable[Group]) -> set[str]:
    """Returns the addresses of all members of these groups."""
    return {member.address for group in groups for member in group}
