"""The defects that the exhaustive search must find, by name, each with the model that finds it."""

import contextlib

from stoneyoke.lab.simulation.defects import model_steps, orders, quorums, rounds
from stoneyoke.lab.simulation.defects.patches import Defect, applied, by_name
from stoneyoke.lab.simulation.exhaustive import search

MAX_STATES = 20_000  # number of states within which the search must find a defect

CONSENSUS_DEFECTS: dict[str, Defect] = by_name(
    quorums.majority_one_short,
    rounds.own_value_first,
    rounds.accepts_below_promise,
    quorums.only_new_voters,
    quorums.only_old_voters,
    rounds.number_believed_early,
    rounds.change_on_undecided,
    model_steps.lost_disk_same_member,
    orders.equal_numbers_overwritten,
    model_steps.conflict_from_undecided,
    orders.conflict_for_older,
    orders.conflict_acknowledged,
    orders.query_without_agreement,
    orders.query_incomplete,
    model_steps.one_view_enough,
    model_steps.views_of_new_voters,
    model_steps.ballot_used_twice,
    rounds.learns_unchosen,
    rounds.promise_forgotten,
    quorums.any_member_counts,
)
# The model that finds each defect with the fewest states.
MODEL_THAT_FINDS = {
    "majority_one_short": "a controller restarts between two orders",
    "own_value_first": "two contents under one number, one of them prepared",
    "accepts_below_promise": "two contents under one number, one of them prepared",
    "only_new_voters": "a voter added to two, an order",
    "only_old_voters": "two voters added to one, an order",
    "number_believed_early": "voters removed but one, tried twice, an order",
    "change_on_undecided": "two changes at once, one of them prepared",
    "lost_disk_same_member": "a gateway and an order, a disk lost",
    "equal_numbers_overwritten": "two contents under one number, one of them prepared",
    "conflict_from_undecided": "three orders among two",
    "conflict_for_older": "three orders among two",
    "conflict_acknowledged": "three orders among two",
    "query_without_agreement": "a read and two orders",
    "query_incomplete": "a read and two orders",
    "one_view_enough": "a gateway and an order, a disk lost",
    "views_of_new_voters": "a gateway, a change accepted by the one voter that is left, an order",
    "ballot_used_twice": "a controller restarts between two orders",
    "learns_unchosen": "a controller restarts between two orders",
    "promise_forgotten": "two contents under one number, one of them prepared",
    "any_member_counts": "a lost disk replaced, an order",
}


def seeded(name: str) -> contextlib.AbstractContextManager[None]:
    """Returns a context in which the logic has a defect; none if the name is empty."""
    return applied(CONSENSUS_DEFECTS[name]() if name else [])


def find(name: str) -> str:
    """Returns the result of the search with a defect, and its counterexample; empty if it finds no violation."""
    with seeded(name):
        result = search.explore(search.model_named(MODEL_THAT_FINDS[name]), max_states=MAX_STATES)
    return f"{result.describe()} {'; '.join(result.counterexample)}" if result.violation else ""
