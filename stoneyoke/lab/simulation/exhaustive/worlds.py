"""The smallest worlds: who votes, what is to be done, what may fail."""

from collections.abc import Iterator
from dataclasses import dataclass

from stoneyoke.api.configuration import Version
from stoneyoke.controlplane.consensus import NO_BALLOT, ReplicaId, initial_value
from stoneyoke.lab.simulation.exhaustive.state import Floor, Gateway, Ghost, Kind, Operation, Process, State

EMPTY_DISK = "empty"


@dataclass(frozen=True)
class World:
    """voters: addresses. learners: controllers without a vote, which know what was chosen first. operations: what is
    to be done, at any time. size: how many voters there should be. crashes, losses: how many processes may end and
    come back, and come back with an empty disk. replies_apart: an answer is a message of its own, which may come late;
    else it comes at once or never. duplicates: each request may be delivered again. told: who may learn what is chosen
    from others at any time; None: all. fallible: who may crash or lose its disk; None: all. views: whether a gateway
    asks for views. whole: whether the walk is expected to end within the bound on states."""

    name: str
    operations: tuple[Operation, ...]
    voters: tuple[str, ...] = ("a", "b", "c")
    learners: tuple[str, ...] = ()
    size: int = 3
    crashes: int = 0
    losses: int = 0
    replies_apart: bool = False
    duplicates: bool = False
    told: tuple[str, ...] | None = None
    fallible: tuple[str, ...] | None = None
    views: bool = False

    def start(self) -> State:
        first = initial_value(self.voters)
        members = {member.address: member for member in first.value.voters.members}
        processes = [Process(members[name], NO_BALLOT, first, chosen=first) for name in self.voters]
        processes += [Process(ReplicaId(name, EMPTY_DISK), NO_BALLOT, first, chosen=first) for name in self.learners]
        return State(
            tuple(processes),
            (),
            frozenset(),
            frozenset(),
            tuple(range(len(self.operations))),
            self.crashes,
            self.losses,
            frozenset((first,)),
            Gateway(Floor(), frozenset()) if self.views else None,
            Ghost(frozenset(), (first,)),
        )


def order(at: str, number: int, content: bytes = b"x", tries: int = 1) -> Operation:
    return Operation(Kind.ORDER, at, (Version(number, content),), tries=tries)


def change(at: str, silent: tuple[str, ...] = (), leaving: tuple[str, ...] = (), tries: int = 1) -> Operation:
    return Operation(Kind.CHANGE, at, silent=silent, leaving=leaving, tries=tries)


def read(at: str, tries: int = 1) -> Operation:
    return Operation(Kind.READ, at, tries=tries)


def worlds() -> Iterator[World]:
    yield World("two numbers from two operators", (order("a", 1), order("b", 2)))
    yield World("two contents under one number", (order("a", 1, b"x"), order("b", 1, b"y")))


WORLDS = tuple(worlds())
