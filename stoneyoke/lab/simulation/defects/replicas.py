"""Defects in a replica's disk, in what it learns, and in its membership of the voters."""

from typing import Any

from stoneyoke.consensus import replica
from stoneyoke.consensus.learner import Learner
from stoneyoke.consensus.record_formats import PROMISE
from stoneyoke.consensus.register_value import INITIAL_DISK_NAME
from stoneyoke.controlplane import membership, peers
from stoneyoke.lab.simulation.defects.patches import Patch
from stoneyoke.lab.simulation.disks import SimulatedRecordStore
from stoneyoke.storage import record_store


def lost_disk_votes() -> list[Patch]:
    """A controller that lost its disk restarts under its former identity."""
    real = replica.Replica.load

    async def load(self: replica.Replica, seeds: tuple[str, ...], first_start: bool, random_source: Any) -> None:
        await real(self, seeds, first_start, random_source)
        self.identity = self.identity._replace(disk=INITIAL_DISK_NAME)

    return [Patch(replica.Replica, "load", load)]


def promises_in_memory() -> list[Patch]:
    """Promises are not written to disk."""
    real = SimulatedRecordStore.save

    def save(self: SimulatedRecordStore, family: str, record: dict[bytes, bytes]) -> None:
        if family != PROMISE:
            real(self, family, record)

    return [Patch(SimulatedRecordStore, "save", save)]


def accepted_counts_as_chosen() -> list[Patch]:
    """A proposal that a controller has accepted counts as chosen, so that gateways receive it."""
    real = replica.Replica.accept

    async def accept(self: replica.Replica, proposal: Any) -> bool:
        done = await real(self, proposal)
        if done:
            self.learn_chosen_ballot(proposal.ballot)
        return done

    return [Patch(replica.Replica, "accept", accept)]


def isolated_controller_serves() -> list[Patch]:
    """A controller that reaches no majority continues to serve."""
    return [Patch(peers.Peers, "majority_reachable", lambda self, members, own: True)]


def never_caught_up() -> list[Patch]:
    """A controller that missed a chosen value does not fetch it and waits for the next one."""

    async def catch_up(self: Any, address: str, chosen: Any) -> None:
        self.replica.learn_chosen_ballot(chosen)

    return [Patch(Learner, "catch_up", catch_up)]


def records_never_removed() -> list[Patch]:
    """No record is ever removed from disk."""
    return [Patch(record_store.RecordStore, "remove_old_records", lambda self, *_: None)]


def lost_voter_never_replaced() -> list[Patch]:
    """A voter that is lost permanently is never replaced."""
    return [Patch(membership, "LOST_FRACTION", 1e9)]


def partial_proposal_left() -> list[Patch]:
    """A proposal that its proposer did not complete is not resolved before the next configuration change."""
    return [Patch(membership, "RESOLVE_DELAY_S", 1e9)]


def ack_before_sync() -> list[Patch]:
    """A record counts as written before it is synced."""
    return [Patch(SimulatedRecordStore, "sync_path", lambda self, path: None)]
