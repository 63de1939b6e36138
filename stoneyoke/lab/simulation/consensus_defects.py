"""Defects seeded into the consensus register, one at a time: the exhaustive walk has to find each of them."""

import contextlib
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import replace
from http import HTTPStatus
from typing import Any

from stoneyoke.api.calls import Acknowledged, ApiResult, Rejected
from stoneyoke.api.configuration import Configuration
from stoneyoke.consensus import quorum, replica, voter_set
from stoneyoke.consensus.acceptor import Acceptor
from stoneyoke.consensus.ballot import Ballot
from stoneyoke.consensus.majority_read import MajorityRead
from stoneyoke.consensus.proposal_round import Phase, ProposalRound
from stoneyoke.consensus.quorum import majority
from stoneyoke.consensus.register_value import Change, Proposal, RegisterValue, ReplicaId, VoterSet
from stoneyoke.controlplane import configuration_service
from stoneyoke.lab.simulation.exhaustive import failures, operations, reads, search, snapshots, state

MAX_STATES = 20_000  # states in which a defect has to be found

Patch = tuple[Any, str, Any]  # object, attribute, what to put there


def majority_one_short() -> list[Patch]:
    """Half of the voters count as a majority."""

    def short(voters: int) -> int:
        return max(1, voters // 2)

    return [(quorum, "majority", short)]


def own_wish_first() -> list[Patch]:
    """A round builds on what its process knew, not on the highest value that it found."""

    def build_value(self: ProposalRound, found: RegisterValue) -> RegisterValue:
        return real(self, self.known.value)

    real = ProposalRound.build_value
    return [(ProposalRound, "build_value", build_value)]


def accepts_below_promise() -> list[Patch]:
    """A voter accepts whatever it has promised."""
    return [(Acceptor, "may_accept", lambda self, ballot: True)]


def only_new_voters() -> list[Patch]:
    """A change of voters is chosen by a majority of the new voters alone."""
    return [(RegisterValue, "quorum_groups", lambda self: (self.voters.members,))]


def only_old_voters() -> list[Patch]:
    """A change of voters is chosen by a majority of the voters before alone."""

    def quorum_groups(self: RegisterValue) -> tuple[tuple[ReplicaId, ...], ...]:
        return (self.previous or self.voters.members,)

    return [(RegisterValue, "quorum_groups", quorum_groups)]


def number_believed_early() -> list[Patch]:
    """The newest voters that are known count as chosen: those before are let go early."""

    def chosen_voters_number(self: replica.Replica) -> int:
        view = self.view()
        return view.value.voters.number if view else 0

    return [(replica.Replica, "chosen_voters_number", chosen_voters_number)]


def change_on_undecided() -> list[Patch]:
    """A second change of voters is begun on top of one that is not known to be chosen."""

    def build_value(self: ProposalRound, found: RegisterValue) -> RegisterValue:
        proposal = self.change(found)
        if proposal.voters == found.voters:
            return real(self, found)
        return replace(proposal, previous=found.voters.members)

    def change(chosen: RegisterValue, wanted: tuple[ReplicaId, ...]) -> Change | None:
        if wanted == chosen.voters.members:
            return None

        def with_members(found: RegisterValue) -> RegisterValue:
            if wanted == found.voters.members:
                return found
            return replace(found, voters=VoterSet(found.voters.number + 1, wanted))

        return with_members

    real = ProposalRound.build_value
    return [(ProposalRound, "build_value", build_value), (voter_set, "voter_change", change)]


def lost_disk_same_member() -> list[Patch]:
    """A machine that comes back with an empty disk counts as the same member."""
    real = failures.restart

    def restart(model: Any, before: state.State, process: state.Process, disk: str) -> state.State:
        after = real(model, before, process, disk)
        if not disk:
            return after
        empty = state.process_at(after, process.replica.address)
        return state.with_process(after, empty._replace(replica=process.replica))

    return [(failures, "restart", restart)]


def equal_numbers_overwritten() -> list[Patch]:
    """Of two contents under one number the later one replaces the first."""

    def apply_replacements(orders: tuple[Configuration, ...], found: RegisterValue) -> RegisterValue:
        newer = [one for one in orders if one.version.number >= found.version.number]
        if not newer:
            return found
        first = max(newer, key=lambda one: one.version.number)
        return replace(found, version=first.version, body=first.body)

    return [(configuration_service, "apply_replacements", apply_replacements)]


def conflict_from_undecided() -> list[Patch]:
    """An order is refused by a value that its controller has accepted and nobody has chosen."""
    real = operations.reads_first

    def reads_first(process: state.Process, operation: state.Operation) -> bool:
        view = snapshots.restore_replica(process).view()
        known = view.value.version.number if view else 0
        orders = operation.kind is state.OperationKind.ORDER
        return real(process, operation) or orders and all(one.number <= known for one in operation.versions)

    def chosen_proposal(self: MajorityRead) -> Proposal:
        return self.known

    return [(operations, "reads_first", reads_first), (MajorityRead, "chosen_proposal", chosen_proposal)]


def conflict_for_older() -> list[Patch]:
    """An order below what is chosen is refused."""

    def outcome_of(order: Configuration, chosen: RegisterValue) -> ApiResult | None:
        if chosen.version.number > order.version.number:
            return Rejected(HTTPStatus.CONFLICT, "generation", "older")
        return real(order, chosen)

    real = configuration_service.outcome_of
    return [(configuration_service, "outcome_of", outcome_of)]


def conflict_acknowledged() -> list[Patch]:
    """Another content under a number that is in force is acknowledged."""

    def outcome_of(order: Configuration, chosen: RegisterValue) -> ApiResult | None:
        return Acknowledged() if chosen.version.number >= order.version.number else None

    return [(configuration_service, "outcome_of", outcome_of)]


def query_without_agreement() -> list[Patch]:
    """A read takes the newest value that a majority tells, though one member alone may hold it."""

    def chosen_proposal(self: MajorityRead) -> Proposal | None:
        return self.newest_found() if self.has_quorum() else None

    return [(MajorityRead, "chosen_proposal", chosen_proposal)]


def query_incomplete() -> list[Patch]:
    """A read asks no majority: what this process knows to be newest is enough."""
    return [
        (MajorityRead, "has_quorum", lambda self: True),
        (MajorityRead, "chosen_proposal", lambda self: self.newest_found()),
    ]


def one_view_enough() -> list[Patch]:
    """A gateway takes one controller's view for the newest."""

    def newest_view(views: Mapping[ReplicaId, Proposal]) -> Proposal | None:
        return max(views.values(), key=lambda view: view.ballot, default=None)

    return [(reads, "newest_view", newest_view)]


def views_of_new_voters() -> list[Patch]:
    """A gateway asks the newest voters told only, also while the change to them may fail."""

    def newest_view(views: Mapping[ReplicaId, Proposal]) -> Proposal | None:
        newest = max(views.values(), key=lambda view: view.ballot)
        return newest if quorum.has_read_quorum(newest.value.voters.members, views) else None

    return [(reads, "newest_view", newest_view)]


def ballot_used_twice() -> list[Patch]:
    """A process that comes back uses the ballots of its life before."""
    return [(state.Process, "proposer", lambda self: self.replica.address)]


def learns_unchosen() -> list[Patch]:
    """A proposal counts as chosen once its proposer has sent it."""

    def on_accepted(self: ProposalRound, voter: ReplicaId) -> None:
        self.phase = Phase.CHOSEN

    return [(ProposalRound, "on_accepted", on_accepted)]


def promise_forgotten() -> list[Patch]:
    """A promise is not kept."""

    def promise(self: Acceptor, ballot: Ballot) -> None:
        pass

    return [(Acceptor, "promise", promise)]


def any_member_counts() -> list[Patch]:
    """Whoever answers counts for a majority, voter or not."""

    def has_majority(group: Iterable[ReplicaId], heard: Iterable[ReplicaId]) -> bool:
        return len(set(heard)) >= majority(len(set(group)))

    return [(quorum, "has_majority", has_majority)]


CONSENSUS_DEFECTS: dict[str, Callable[[], list[Patch]]] = {
    make.__name__: make
    for make in (
        majority_one_short,
        own_wish_first,
        accepts_below_promise,
        only_new_voters,
        only_old_voters,
        number_believed_early,
        change_on_undecided,
        lost_disk_same_member,
        equal_numbers_overwritten,
        conflict_from_undecided,
        conflict_for_older,
        conflict_acknowledged,
        query_without_agreement,
        query_incomplete,
        one_view_enough,
        views_of_new_voters,
        ballot_used_twice,
        learns_unchosen,
        promise_forgotten,
        any_member_counts,
    )
}


@contextlib.contextmanager
def seeded(name: str) -> Iterator[None]:
    """The logic with this defect; with none where the name is empty."""
    patches = CONSENSUS_DEFECTS[name]() if name else []
    before = [(home, field, getattr(home, field)) for home, field, _ in patches]
    for home, field, other in patches:
        setattr(home, field, other)
    try:
        yield
    finally:
        for home, field, other in reversed(before):
            setattr(home, field, other)


# The world that finds each defect with the fewest states.
MODEL_THAT_FINDS = {
    "majority_one_short": "a controller restarts between two orders",
    "own_wish_first": "two contents under one number, one of them prepared",
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


def found(name: str) -> str:
    """What the walk finds of a defect; "": nothing."""
    with seeded(name):
        result = search.explore(search.model_named(MODEL_THAT_FINDS[name]), max_states=MAX_STATES)
    return f"{result.describe()} {'; '.join(result.counterexample)}" if result.violation else ""
