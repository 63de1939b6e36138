"""The days that operators have named: each brought about by name, nothing broken, and what it is to meet was met."""

import os
from concurrent.futures import ProcessPoolExecutor
from functools import lru_cache

from ward import each, test

from stoneyoke.lab.simulation.scripted import SCRIPTED_SCENARIOS
from stoneyoke.lab.simulation.runs import play_scripted

# What has to have come about, so that no day passes because its trouble never came.
MEETS = {
    "cut_off_for_20_s": {"cut": 1, "refused, cut off": 20, "drains": 2, "acknowledged": 15},
    "two_of_five_cut_off": {"cut": 1, "refused, cut off": 20, "acknowledged": 9},
    "cut_off_and_restarted": {"cut": 1, "refused, cut off": 10, "power": 1, "acknowledged": 9},
    "frozen_in_each_step_sent": {"freeze": 11, "acknowledged": 90, "conflicts": 30},
    "frozen_in_each_step_got": {"freeze": 11, "acknowledged": 90, "conflicts": 30},
    "frozen_for_20_s": {"freeze": 1, "restart_gateways": 1, "acknowledged": 20},
    "two_frozen_in_turn": {"freeze": 3, "acknowledged": 20},
    "two_contents_answers_lost": {"answers_lost": 3, "acknowledged": 60, "conflicts": 5},
    "eight_orders_at_once": {"acknowledged": 72},
    "eight_contents_at_once": {"conflicts": 42, "acknowledged": 12},
    "proposer_dies_preparing": {"at_message": 6, "kill": 3, "conflicts": 4},
    "proposer_dies_accepting": {"at_message": 6, "kill": 3, "conflicts": 4},
    "proposer_dies_telling": {"at_message": 6, "kill": 3, "conflicts": 4},
    "frozen_between_phases": {"freeze": 10, "conflicts": 25, "acknowledged": 10},
    "cut_between_phases": {"split": 5, "conflicts": 12, "acknowledged": 5},
    "promise_before_restart": {"freeze": 9, "kill": 9, "conflicts": 25},
    "old_majority_meets_again_1": {"cut": 2, "acknowledged": 5},
    "old_majority_meets_again_2": {"cut": 2, "acknowledged": 5},
    "old_majority_meets_again_3": {"cut": 2, "acknowledged": 5},
    "old_majority_meets_again_4": {"cut": 2, "acknowledged": 5},
    "acknowledged_and_told_to_nobody": {"cut": 1, "remove": 1, "acknowledged": 2},
    "starts_on_a_disk_that_refuses": {"disk": 2, "kill": 1, "acknowledged": 15},
    "lease_answers_late": {"freeze": 8, "split": 8},
    "lease_answers_late_one_way": {"freeze": 8, "split": 8},
    "drained_then_lost": {"power": 6, "drains": 20},
    "every_voter_replaced_of_3": {"exchange": 10, "wiped, votes again": 10, "voter replaced": 3},
    "every_voter_replaced_of_4": {"exchange": 10, "wiped, votes again": 8, "voter replaced": 3},
    "every_voter_replaced_of_5": {"exchange": 10, "wiped, votes again": 7, "voter replaced": 3},
    "every_voter_replaced_of_5_tolerance_2": {"exchange": 10, "wiped, votes again": 10, "voter replaced": 5},
    "emptied_in_turn": {"exchange": 9, "wiped, votes again": 9},
    "second_loss_after_exchange": {"exchange": 1, "power": 1, "wiped, votes again": 1, "acknowledged": 30},
    "sigterm_with_learner": {"sigterm": 3, "acknowledged": 20},
    "sigterm_without_learner": {"sigterm": 3, "acknowledged": 20},
    "change_left_half_way_sent": {"exchange": 6, "kill": 5, "wiped, votes again": 5},
    "change_left_half_way_got": {"exchange": 6, "kill": 5, "wiped, votes again": 5},
    "successor_ends_while_it_copies": {"exchange": 4, "wipe": 2, "power": 2, "voter replaced": 3},
    "wiped_during_change": {"exchange": 2, "wipe": 2, "wiped, votes again": 4},
    "old_friends": {"exchange": 2, "return": 1, "cut": 1, "wiped, votes again": 2},
    "many_changes_then_restart": {"acknowledged": 500, "instances come and gone": 500, "power": 1},
    "many_changes_frozen": {"acknowledged": 100, "instances come and gone": 50, "freeze": 1},
    "many_changes_then_wipe": {"acknowledged": 100, "wipe": 1},
    "many_changes_disk_full": {"acknowledged": 100, "disk": 1},
    "many_changes_disk_stalls": {"acknowledged": 100, "disk": 1},
    "thirty_changes_of_voters": {"exchange": 30, "wiped, votes again": 30, "voter replaced": 3},
    "late_and_doubled": {"late": 1, "answers_lost": 1, "acknowledged": 30},
    "late_while_voters_change": {"late": 1, "exchange": 1, "lease_holder": 1, "wiped, votes again": 1},
}
PROCESSES = len(os.sched_getaffinity(0))
DISK_BYTES = 16_000  # three records of each family, of these configurations of some 400 bytes

# By which day each seeded defect is found, point by point (docs/design/control-safety.md).
FOUND_BY = {
    # 1: cut off or frozen
    "isolated_controller_serves": "cut_off_for_20_s",
    "read_quorum_one_short": "cut_off_for_20_s",
    "caught_up_from_one_controller": "cut_off_for_20_s",
    "majority_one_short": "two_frozen_in_turn",
    "read_without_majority": "frozen_in_each_step_got",
    # 2: one number, two contents; sent again
    "highest_digest_wins": "eight_contents_at_once",
    "repeated_order_refused": "eight_orders_at_once",
    "accepts_below_promise": "frozen_between_phases",
    "accepted_counts_as_chosen": "cut_between_phases",
    "acknowledged_once_accepted": "cut_between_phases",
    # 3: a second loss after a repair
    "only_new_voters": "old_majority_meets_again_2",
    "change_without_old_voters": "old_majority_meets_again_2",
    "lost_voter_never_replaced": "second_loss_after_exchange",
    "lost_disk_votes": "emptied_in_turn",
    "partial_proposal_left": "acknowledged_and_told_to_nobody",
    # 4: after many changes; records_never_removed has a test of its own
    "never_caught_up": "every_voter_replaced_of_3",
    # 5: late answers
    "lease_counted_from_answer": "lease_answers_late",
    "configuration_goes_back": "late_and_doubled",
}


@lru_cache(maxsize=1)
def played():
    """All of them, once, on all processors."""
    with ProcessPoolExecutor(PROCESSES) as pool:
        return dict(zip(SCRIPTED_SCENARIOS, pool.map(play_scripted, SCRIPTED_SCENARIOS), strict=True))


@test("every hard day has what it is to meet")
def _():
    assert set(MEETS) == set(SCRIPTED_SCENARIOS)


@test("hard day: {name}")
def _(name=each(*SCRIPTED_SCENARIOS)):  # noqa: B008
    outcome = played()[name]
    assert not outcome.violations, str(outcome.violations[:3])
    for what, least in MEETS[name].items():
        assert outcome.event_counts[what] >= least, f"{what}: {outcome.event_counts[what]}"


@test("a disk holds no more after hundreds of changes than the state needs")
def _():
    for name, outcome in played().items():
        assert 0 < outcome.disk_bytes < DISK_BYTES, f"{name}: {outcome.disk_bytes}"


@test("each seeded defect is found by its day")
def _():
    with ProcessPoolExecutor(PROCESSES) as pool:
        outcomes = pool.map(play_scripted, FOUND_BY.values(), FOUND_BY)
        missed = [defect for defect, outcome in zip(FOUND_BY, outcomes, strict=True) if not outcome.violations]
    assert not missed, str(missed)


@test("records that are never removed are told by what the disk holds")
def _():
    assert play_scripted("eight_contents_at_once", "records_never_removed").disk_bytes > DISK_BYTES
