"""Scripted scenarios: each violates no invariant, includes its expected events, and finds its seeded defects."""

import os
from concurrent.futures import ProcessPoolExecutor
from functools import lru_cache

from ward import each, test

from stoneyoke.lab.simulation.results import ScenarioResult
from stoneyoke.lab.simulation.runs import run_scripted
from stoneyoke.lab.simulation.scripted import SCRIPTED_SCENARIOS

# Minimum counts of events in each scenario, so that a scenario cannot pass because its fault did not happen.
MIN_EVENT_COUNTS = {
    "cut_off_for_20_s": {"cut": 1, "refused, cut off": 20, "drains": 2, "acknowledged": 15},
    "two_of_five_cut_off": {"cut": 1, "refused, cut off": 20, "acknowledged": 9},
    "cut_off_and_restarted": {"cut": 1, "refused, cut off": 10, "power": 1, "acknowledged": 9},
    "frozen_when_sending": {"freeze": 11, "acknowledged": 90, "conflicts": 30},
    "frozen_when_receiving": {"freeze": 11, "acknowledged": 90, "conflicts": 30},
    "frozen_for_20_s": {"freeze": 1, "restart_gateways": 1, "acknowledged": 20},
    "two_frozen_in_turn": {"freeze": 3, "acknowledged": 20},
    "two_contents_answers_lost": {"answers_lost": 3, "acknowledged": 60, "conflicts": 5},
    "eight_orders_at_once": {"acknowledged": 72},
    "eight_contents_at_once": {"conflicts": 42, "acknowledged": 12},
    "proposer_dies_preparing": {"at_message": 6, "kill": 3, "conflicts": 4},
    "proposer_dies_accepting": {"at_message": 6, "kill": 3, "conflicts": 4},
    "proposer_dies_notifying": {"at_message": 6, "kill": 3, "conflicts": 4},
    "frozen_between_phases": {"freeze": 10, "conflicts": 25, "acknowledged": 10},
    "cut_between_phases": {"split": 5, "conflicts": 12, "acknowledged": 5},
    "promise_before_restart": {"freeze": 9, "kill": 9, "conflicts": 25},
    "former_majority_reconnects_1": {"cut": 2, "acknowledged": 5},
    "former_majority_reconnects_2": {"cut": 2, "acknowledged": 5},
    "former_majority_reconnects_3": {"cut": 2, "acknowledged": 5},
    "former_majority_reconnects_4": {"cut": 2, "acknowledged": 5},
    "acknowledged_and_learned_by_nobody": {"cut": 1, "remove": 1, "acknowledged": 2},
    "starts_on_a_disk_that_refuses": {"disk": 2, "kill": 1, "acknowledged": 15},
    "lease_answers_late": {"freeze": 8, "split": 8},
    "lease_answers_late_one_way": {"freeze": 8, "split": 8},
    "power_lost_after_drain": {"power": 6, "drains": 20},
    "every_voter_replaced_of_3": {"exchange": 10, "wiped, votes again": 10, "voter replaced": 3},
    "every_voter_replaced_of_4": {"exchange": 10, "wiped, votes again": 8, "voter replaced": 3},
    "every_voter_replaced_of_5": {"exchange": 10, "wiped, votes again": 7, "voter replaced": 3},
    "every_voter_replaced_of_5_tolerance_2": {"exchange": 10, "wiped, votes again": 10, "voter replaced": 5},
    "disks_replaced_in_turn": {"exchange": 9, "wiped, votes again": 9},
    "second_loss_after_exchange": {"exchange": 1, "power": 1, "wiped, votes again": 1, "acknowledged": 30},
    "sigterm_with_learner": {"sigterm": 3, "acknowledged": 20},
    "sigterm_without_learner": {"sigterm": 3, "acknowledged": 20},
    "change_interrupted_when_sending": {"exchange": 6, "kill": 5, "wiped, votes again": 5},
    "change_interrupted_when_receiving": {"exchange": 6, "kill": 5, "wiped, votes again": 5},
    "successor_ends_while_it_copies": {"exchange": 4, "wipe": 2, "power": 2, "voter replaced": 3},
    "wiped_during_change": {"exchange": 2, "wipe": 2, "wiped, votes again": 4},
    "former_majority_returns": {"exchange": 2, "return": 1, "cut": 1, "wiped, votes again": 2},
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
DISK_BYTES = 16_000  # three records of each family, with the scenarios' configurations of about 400 bytes

# The scenario that finds each seeded defect, by case (docs/design/control-safety.md).
SCENARIO_THAT_FINDS = {
    # 1: partitioned or frozen
    "isolated_controller_serves": "cut_off_for_20_s",
    "read_quorum_one_short": "cut_off_for_20_s",
    "caught_up_from_one_controller": "cut_off_for_20_s",
    "majority_one_short": "two_frozen_in_turn",
    "read_without_majority": "frozen_when_receiving",
    # 2: several contents under one number; configurations that are sent again
    "highest_digest_wins": "eight_contents_at_once",
    "repeated_order_refused": "eight_orders_at_once",
    "accepts_below_promise": "frozen_between_phases",
    "accepted_counts_as_chosen": "cut_between_phases",
    "acknowledged_once_accepted": "cut_between_phases",
    # 3: a second loss after a repair
    "only_new_voters": "former_majority_reconnects_2",
    "change_without_old_voters": "former_majority_reconnects_2",
    "lost_voter_never_replaced": "second_loss_after_exchange",
    "lost_disk_votes": "disks_replaced_in_turn",
    "partial_proposal_left": "acknowledged_and_learned_by_nobody",
    # 4: after many changes; records_never_removed has a test of its own
    "never_caught_up": "every_voter_replaced_of_3",
    # 5: late responses
    "lease_counted_from_answer": "lease_answers_late",
    "configuration_goes_back": "late_and_doubled",
}


@lru_cache(maxsize=1)
def results() -> dict[str, ScenarioResult]:
    """Runs all scenarios once, on all processors."""
    with ProcessPoolExecutor(PROCESSES) as pool:
        return dict(zip(SCRIPTED_SCENARIOS, pool.map(run_scripted, SCRIPTED_SCENARIOS), strict=True))


@lru_cache(maxsize=1)
def results_with_defects() -> dict[str, ScenarioResult]:
    """Runs each defect's scenario with that defect once, on all processors."""
    with ProcessPoolExecutor(PROCESSES) as pool:
        with_defects = pool.map(run_scripted, SCENARIO_THAT_FINDS.values(), SCENARIO_THAT_FINDS)
        return dict(zip(SCENARIO_THAT_FINDS, with_defects, strict=True))


@test("every scripted scenario has minimum event counts")
def _():
    assert set(MIN_EVENT_COUNTS) == set(SCRIPTED_SCENARIOS)


@test("scenario {name}: violates no invariant and has its minimum event counts")
def _(name=each(*SCRIPTED_SCENARIOS)):
    result = results()[name]
    assert not result.violations, str(result.violations[:3])
    for event, least in MIN_EVENT_COUNTS[name].items():
        assert result.event_counts[event] >= least, f"{event}: {result.event_counts[event]}"


@test("scenario {name}: at the end the disk holds no more data than the state requires")
def _(name=each(*SCRIPTED_SCENARIOS)):
    assert 0 < results()[name].disk_bytes < DISK_BYTES


@test("the seeded defect {defect} is found by its scenario")
def _(defect=each(*SCENARIO_THAT_FINDS)):
    assert results_with_defects()[defect].violations


@test("records that are never removed fill the disk")
def _():
    assert run_scripted("eight_contents_at_once", "records_never_removed").disk_bytes > DISK_BYTES
