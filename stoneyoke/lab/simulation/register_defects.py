"""Defects of the register: of consensus, its records, its voters, and what operators are told."""

from dataclasses import replace
from http import HTTPStatus
from typing import Any

from stoneyoke.api.calls import Acknowledged, Rejected
from stoneyoke.consensus import quorum, replica
from stoneyoke.consensus.acceptor import Acceptor
from stoneyoke.consensus.learner import Learner
from stoneyoke.consensus.proposal_round import Phase, ProposalRound
from stoneyoke.consensus.proposer import Proposer
from stoneyoke.consensus.reader import Reader
from stoneyoke.consensus.record_formats import PROMISE
from stoneyoke.consensus.register_value import FIRST_DISK, RegisterValue
from stoneyoke.controlplane import configuration_service, leases, membership, peers
from stoneyoke.storage import record_store

Patch = tuple[Any, str, Any]


def quorum_short() -> list[Patch]:
    """A majority that is one short."""

    def short(voters: int) -> int:
        return max(1, voters // 2)

    return [(quorum, "majority", short)]


def copies_short() -> list[Patch]:
    """One answer too few before what was acknowledged counts as known."""

    def short(voters: int) -> int:
        return max(1, (voters + 1) // 2 - 1)

    return [(quorum, "read_quorum", short)]


def lost_disk_votes() -> list[Patch]:
    """A machine that lost its disk comes back as the member that it was."""
    real = replica.Replica.load

    async def load(self: replica.Replica, seeds: tuple[str, ...], first_start: bool, random_source: Any) -> None:
        await real(self, seeds, first_start, random_source)
        self.identity = self.identity._replace(disk=FIRST_DISK)

    return [(replica.Replica, "load", load)]


def promises_in_memory() -> list[Patch]:
    """Promises are not written."""
    from stoneyoke.lab.simulation.disks import SimulatedRecordStore

    real = SimulatedRecordStore.save

    def save(self: SimulatedRecordStore, family: str, record: dict[bytes, bytes]) -> None:
        if family != PROMISE:
            real(self, family, record)

    return [(SimulatedRecordStore, "save", save)]


def accepts_any() -> list[Patch]:
    """A voter accepts whatever it has promised."""
    return [(Acceptor, "may_accept", lambda self, ballot: True)]


def joint_ignored() -> list[Patch]:
    """A change of voters is decided by the new ones alone."""
    return [(RegisterValue, "quorum_groups", lambda self: (self.voters.members,))]


def highest_digest_wins() -> list[Patch]:
    """Of two contents under one number the one with the greater digest replaces the other, and both are confirmed."""

    def apply_replacements(orders: Any, found: Any) -> Any:
        highest = max(orders, key=lambda one: one.version)
        return replace(found, version=highest.version, body=highest.body) if highest.version > found.version else found

    def outcome_of(order: Any, chosen: Any) -> Any:
        return Acknowledged() if chosen.version >= order.version else None

    return [
        (configuration_service, "apply_replacements", apply_replacements),
        (configuration_service, "outcome_of", outcome_of),
    ]


def reads_alone() -> list[Patch]:
    """A controller reads back what it knows itself."""

    async def read(self: Any, within_s: float) -> Any:
        return self.replica.chosen

    return [(Reader, "read", read)]


def unchosen_in_force() -> list[Patch]:
    """What is accepted counts as chosen: gateways are told of it."""
    real = replica.Replica.accept

    async def accept(self: replica.Replica, proposal: Any) -> bool:
        done = await real(self, proposal)
        if done:
            self.learn_chosen_ballot(proposal.ballot)
        return done

    return [(replica.Replica, "accept", accept)]


def cut_off_serves() -> list[Patch]:
    """A controller that hears no majority goes on as if it did."""
    return [(peers.Peers, "majority_reachable", lambda self, members, own: True)]


def taken_is_refused() -> list[Patch]:
    """An order whose number is taken is refused, be it the same one sent again."""
    real = configuration_service.outcome_of

    def outcome_of(order: Any, chosen: Any) -> Any:
        told = real(order, chosen)
        if chosen.version.number > order.version.number:
            return Rejected(HTTPStatus.CONFLICT, "generation", "older than what is in force")
        return told

    return [(configuration_service, "outcome_of", outcome_of)]


def confirmed_once_accepted() -> list[Patch]:
    """An order is confirmed once its own controller has accepted it."""
    real = Proposer.accept_at

    async def accept_at(self: Proposer, current: Any, address: str) -> None:
        await real(self, current, address)
        if address == self.peers.own_address and current.phase is Phase.ACCEPT:
            current.phase = Phase.CHOSEN

    return [(Proposer, "accept_at", accept_at)]


def replaced_singly() -> list[Patch]:
    """The voters before are forgotten at once: a change needs a majority of the new ones only."""
    real = ProposalRound.build_value

    def build_value(self: ProposalRound, found: RegisterValue) -> RegisterValue:
        return replace(real(self, found), previous=())

    return [(ProposalRound, "build_value", build_value)]


def never_caught_up() -> list[Patch]:
    """A controller that missed a value waits for the next one."""

    async def catch_up(self: Any, address: str, chosen: Any) -> None:
        self.replica.learn_chosen_ballot(chosen)

    return [(Learner, "catch_up", catch_up)]


def records_kept() -> list[Patch]:
    """No record is ever removed."""
    return [(record_store.RecordStore, "remove_old_records", lambda self, *_: None)]


def late_answer_counts() -> list[Patch]:
    """A grant counts for the round of asking that is out, whichever it was given for."""
    real = leases.LeaseHolder.record_grant

    def record_grant(self: leases.LeaseHolder, voter: Any, voters: Any, round_started_at: float) -> None:
        real(self, voter, voters, self.round_started_at)

    return [(leases.LeaseHolder, "record_grant", record_grant)]


def lost_voter_stays() -> list[Patch]:
    """A voter that is gone for good is never replaced."""
    return [(membership, "LOST_FRACTION", 1e9)]


def half_way_left() -> list[Patch]:
    """What a proposer left half way waits for the next order."""
    return [(membership, "RESOLVE_DELAY_S", 1e9)]


def ack_before_sync() -> list[Patch]:
    """A record counts before it is synced."""
    from stoneyoke.lab.simulation.disks import SimulatedRecordStore

    return [(SimulatedRecordStore, "sync_path", lambda self, path: None)]
