"""The defects that scenarios must find, by name. The files of stored plans have the names of defects."""

import contextlib

from stoneyoke.lab.simulation.defects import gateways, leases, orders, quorums, quotas, replicas, rounds
from stoneyoke.lab.simulation.defects.patches import Defect, applied, by_name

SEEDED_DEFECTS: dict[str, Defect] = by_name(
    quorums.majority_one_short,
    quorums.read_quorum_one_short,
    replicas.lost_disk_votes,
    replicas.promises_in_memory,
    rounds.accepts_below_promise,
    quorums.only_new_voters,
    orders.highest_digest_wins,
    orders.read_without_majority,
    replicas.accepted_counts_as_chosen,
    replicas.isolated_controller_serves,
    orders.repeated_order_refused,
    orders.acknowledged_once_accepted,
    quorums.change_without_old_voters,
    replicas.never_caught_up,
    replicas.records_never_removed,
    leases.late_grant_counts,
    replicas.lost_voter_never_replaced,
    replicas.partial_proposal_left,
    replicas.ack_before_sync,
    leases.lease_held_too_long,
    leases.grants_right_after_start,
    leases.lease_counted_from_answer,
    quotas.isolated_usage_not_counted,
    quotas.silent_gateways_not_withheld,
    quotas.new_holder_withholds_nothing,
    quotas.new_holder_starts_full,
    quotas.shares_exceed_one,
    quotas.share_never_expires,
    gateways.caught_up_from_one_controller,
    gateways.configuration_goes_back,
    gateways.drain_acknowledged_by_one,
    gateways.drain_lost_to_new_instance,
    leases.late_release_counts,
    quotas.isolated_gateway_starts_whole,
)


def seeded(name: str) -> contextlib.AbstractContextManager[None]:
    """Returns a context in which the logic has a defect; none if the name is empty."""
    return applied(SEEDED_DEFECTS[name]() if name else [])
