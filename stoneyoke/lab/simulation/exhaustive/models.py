"""The models that are checked: small systems, each with its voters, operations and failures."""

from dataclasses import dataclass

from stoneyoke.api.configuration import Version
from stoneyoke.consensus.ballot import NO_BALLOT
from stoneyoke.consensus.register_value import ReplicaId, initial_value
from stoneyoke.lab.simulation.exhaustive.state import (
    Gateway,
    History,
    LowerBound,
    Operation,
    OperationKind,
    Process,
    State,
)

EMPTY_DISK = "empty"


@dataclass(frozen=True)
class Model:
    """A model that a search explores.

    Attributes:
        name: A description; defects and tests refer to the model by it.
        operations: The operations; each runs once, at any time.
        voters: Addresses of the controllers that are voters.
        learners: Addresses of the controllers that are not voters; they know the first chosen value.
        size: The number of voters that changes of voters aim at.
        crashes: How often processes may restart with their disk, all together.
        losses: How often processes may restart with an empty disk, all together.
        separate_responses: Whether a response is a separate message that may be late; else it arrives at once or never.
        duplicates: Whether each request may be delivered more than once.
        may_learn: Addresses of the processes that may learn chosen values from others at any time; None for all.
        may_fail: Addresses of the processes that may restart or lose their disk; None for all.
        gateway_views: Whether a gateway collects views of controllers.
        prefix: Labels of the transitions that are taken before the search starts.
    """

    name: str
    operations: tuple[Operation, ...]
    voters: tuple[str, ...] = ("a", "b", "c")
    learners: tuple[str, ...] = ()
    size: int = 3
    crashes: int = 0
    losses: int = 0
    separate_responses: bool = False
    duplicates: bool = False
    may_learn: tuple[str, ...] | None = None
    may_fail: tuple[str, ...] | None = None
    gateway_views: bool = False
    prefix: tuple[str, ...] = ()

    def start(self) -> State:
        """Returns the state before any transition, in which every process knows the first value."""
        first = initial_value(self.voters)
        members = {member.address: member for member in first.value.voters.members}
        processes = [Process(members[name], NO_BALLOT, first, chosen=first) for name in self.voters]
        processes += [Process(ReplicaId(name, EMPTY_DISK), NO_BALLOT, first, chosen=first) for name in self.learners]
        return State(
            processes=tuple(processes),
            ongoing=(),
            requests=frozenset(),
            responses=frozenset(),
            not_started=tuple(range(len(self.operations))),
            crashes=self.crashes,
            losses=self.losses,
            known=frozenset((first,)),
            gateway=Gateway(LowerBound(), frozenset()) if self.gateway_views else None,
            history=History(frozenset(), (first,)),
        )


def write(address: str, number: int, content: bytes = b"x", max_rounds: int = 1) -> Operation:
    """Returns an operation that writes a configuration."""
    return Operation(OperationKind.ORDER, address, (Version(number, content),), max_rounds=max_rounds)


def change(address: str, silent: str = "", leaving: str = "", members: str = "", max_rounds: int = 1) -> Operation:
    """Returns a change of voters; each character of `silent`, `leaving` and `members` is an address."""
    return Operation(
        OperationKind.CHANGE,
        address,
        silent=tuple(silent),
        leaving=tuple(leaving),
        members=tuple(members),
        max_rounds=max_rounds,
    )


def read(address: str, max_rounds: int = 1) -> Operation:
    """Returns an operation that reads the register."""
    return Operation(OperationKind.READ, address, max_rounds=max_rounds)


X, Y = b"x", b"y"  # two contents under one number

WRITES = (
    Model("two numbers at two controllers, one restarts", (write("a", 1), write("b", 2)), crashes=1),
    Model("two contents under one number, one restarts", (write("a", 1, X), write("b", 1, Y)), crashes=1),
    Model(
        "two contents under one number, each tried twice",
        (write("a", 1, X, max_rounds=2), write("b", 1, Y, max_rounds=2)),
    ),
    Model("two contents under one number, answers late", (write("a", 1, X), write("b", 1, Y)), separate_responses=True),
    Model("two contents under one number, requests doubled", (write("a", 1, X), write("b", 1, Y)), duplicates=True),
    Model("one order at two controllers, one restarts", (write("a", 1), write("b", 1)), crashes=1),
    Model(
        "an order sent again, another content", (write("a", 1, X), write("b", 1, X), write("b", 1, Y)), may_learn=("b",)
    ),
    Model("an order sent again after a newer one", (write("a", 1), write("b", 2), write("a", 1)), may_learn=("a",)),
    Model("two contents under one number, a disk lost", (write("a", 1, X), write("b", 1, Y)), losses=1),
)
SMALLEST = (
    Model("three orders among two", (write("a", 2), write("b", 1, X), write("b", 1, Y)), ("a", "b"), may_learn=("b",)),
    Model(
        "a controller restarts between two orders",
        (write("a", 1, X), write("a", 1, Y)),
        crashes=1,
        may_fail=("a",),
        may_learn=(),
    ),
)
READS = (
    Model("a read and two orders", (write("a", 1), write("b", 2), read("c")), may_learn=()),
    Model("two reads and an order", (write("a", 1), read("b"), read("c")), crashes=1, may_fail=("a",), may_learn=()),
    Model("a gateway and two orders", (write("a", 1), write("b", 2)), gateway_views=True),
    Model("a gateway and an order, a disk lost", (write("a", 1),), losses=1, gateway_views=True),
)
# a replaces c by d; d completes that change and then replaces b by e. c and b have learned neither change.
TWO_CHANGES = (
    "a begins change of voters",
    "prepare 1a.0 at a",
    "prepare 1a.0 at b",
    "accept 1a.0 at a",
    "accept 1a.0 at b",
    "d learns 1a.0",
    "d begins change of voters",
    "prepare 2d.0 at a",
    "prepare 2d.0 at d",
    "accept 2d.0 at a",
    "accept 2d.0 at d",
    "e learns 2d.0",
    "d begins change of voters",
    "prepare 3d.0 at a",
    "prepare 3d.0 at d",
    "accept 3d.0 at a",
    "accept 3d.0 at d",
)
CHANGES = (
    Model("a voter added to two, an order", (change("a"), write("b", 1)), ("a", "b"), ("d",)),
    Model("two voters added to one, an order", (change("a"), write("a", 1)), ("a",), ("d", "e"), crashes=1),
    Model("a silent voter replaced, an order", (change("a", "c"), write("b", 1)), learners=("d",)),
    Model("a lost disk replaced, an order", (change("a"), write("b", 1)), losses=1, may_fail=("c",), may_learn=("c",)),
    Model("a voter removed, an order", (change("a", members="ab"), write("b", 1))),
    Model(
        "a silent voter replaced, the proposer restarts, an order",
        (change("a", "c"), write("b", 1)),
        learners=("d",),
        crashes=1,
        may_fail=("a",),
        may_learn=("a", "b"),
    ),
    Model(
        "a silent voter replaced, a disk lost meanwhile, an order",
        (change("a", "c"), write("b", 1)),
        learners=("d",),
        losses=1,
        may_fail=("b", "d"),
        may_learn=("a", "b"),
    ),
    Model("two changes at once", (change("a", "c"), change("b", "a")), learners=("d",), may_learn=("a", "b")),
    Model(
        "two changes at once, two learners",
        (change("a", leaving="b"), change("b", leaving="c")),
        learners=("d", "e"),
        may_learn=("a", "b"),
    ),
    Model(
        "a stale controller after one change, an order there",
        (change("a", "c"), write("c", 1)),
        learners=("d",),
        crashes=1,
        may_fail=("c",),
        may_learn=("a",),
    ),
    Model(
        "a stale controller after two changes, an order there",
        (change("a", "c"), change("d"), change("d", "b"), write("c", 1, max_rounds=2)),
        learners=("d", "e"),
        crashes=1,
        may_fail=("c",),
        may_learn=("d", "e"),
        prefix=TWO_CHANGES,
    ),
    Model(
        "a stale read after two changes and an order",
        (change("a", "c"), change("d"), change("d", "b"), write("d", 1), read("c", max_rounds=2)),
        learners=("d", "e"),
        may_learn=("d", "e"),
        prefix=TWO_CHANGES,
    ),
    Model("a read and a change", (change("a", "c"), read("b")), learners=("d",), may_learn=("a", "b")),
    Model(
        "a stale read after a change and an order",
        (change("a", "c"), write("d", 1), read("c")),
        learners=("d",),
        may_learn=("d",),
    ),
    Model(
        "voters removed but one, tried twice, an order",
        (change("a", members="a", max_rounds=2), write("b", 1)),
        may_learn=(),
    ),
    Model(
        "a gateway, voters removed but one, an order",
        (change("a", members="a"), write("b", 1)),
        gateway_views=True,
        may_learn=(),
    ),
    Model(
        "a gateway, a change, an order",
        (change("a", "c"), write("b", 1)),
        learners=("d",),
        gateway_views=True,
        may_learn=("b",),
    ),
)
PREPARED = (
    Model(
        "two contents under one number, one of them prepared",
        (write("a", 1, X), write("b", 1, Y)),
        may_learn=(),
        prefix=("a begins order", "b begins order", "prepare 1a.0 at a", "prepare 1a.0 at c"),
    ),
    Model(
        "two changes at once, one of them prepared",
        (change("a", "c"), change("b", "a")),
        learners=("d",),
        may_learn=(),
        prefix=(
            "a begins change of voters",
            "b begins change of voters",
            "prepare 1a.0 at a",
            "prepare 1a.0 at c",
        ),
    ),
    Model(
        "a gateway, a change accepted by the one voter that is left, an order",
        (change("a", members="a"), write("b", 1)),
        gateway_views=True,
        may_learn=(),
        prefix=("a begins change of voters", "prepare 1a.0 at a", "prepare 1a.0 at b", "accept 1a.0 at a, answer lost"),
    ),
)
MODELS = (*SMALLEST, *PREPARED, *WRITES, *READS, *CHANGES)
