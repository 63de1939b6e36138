"""Defects seeded into the logic, one at a time, to see that the simulation or the exhaustive check finds each of
them. A defect that nothing finds means that they are weak."""

import contextlib
from collections.abc import Callable, Iterator

from stoneyoke.lab.simulation import fleet_defects, register_defects
from stoneyoke.lab.simulation.register_defects import Patch

SEEDED_DEFECTS: dict[str, Callable[[], list[Patch]]] = {
    make.__name__: make
    for make in (
        register_defects.quorum_short,
        register_defects.copies_short,
        register_defects.lost_disk_votes,
        register_defects.promises_in_memory,
        register_defects.accepts_any,
        register_defects.joint_ignored,
        register_defects.highest_digest_wins,
        register_defects.reads_alone,
        register_defects.unchosen_in_force,
        register_defects.cut_off_serves,
        register_defects.taken_is_refused,
        register_defects.confirmed_once_accepted,
        register_defects.replaced_singly,
        register_defects.never_caught_up,
        register_defects.records_kept,
        register_defects.late_answer_counts,
        register_defects.lost_voter_stays,
        register_defects.half_way_left,
        register_defects.ack_before_sync,
        fleet_defects.lease_unfenced,
        fleet_defects.grants_after_start,
        fleet_defects.counts_from_answer,
        fleet_defects.alone_not_told,
        fleet_defects.silent_not_lent,
        fleet_defects.new_keeper_trusts,
        fleet_defects.new_keeper_full,
        fleet_defects.parts_over_one,
        fleet_defects.part_for_ever,
        fleet_defects.pull_from_one,
        fleet_defects.goes_back,
        fleet_defects.drain_at_one,
        fleet_defects.drain_forgotten,
        fleet_defects.gives_back_late,
        fleet_defects.first_whole,
    )
}


@contextlib.contextmanager
def seeded(name: str) -> Iterator[None]:
    """The logic with this defect; with none where the name is empty."""
    patches = SEEDED_DEFECTS[name]() if name else []
    before = [(home, field, getattr(home, field)) for home, field, _ in patches]
    for home, field, other in patches:
        setattr(home, field, other)
    try:
        yield
    finally:
        for home, field, other in before:
            setattr(home, field, other)
