"""Every order of messages, crashes and one lost disk in the smallest worlds: what was acknowledged is among what
any enough voters tell, and no two lists of voters carry one number.

Each step calls the real harbour.word and harbour.crew; what an office does around them is written here as steps that
one message or one fault makes. Messages wait in a set, in no order, and may never come."""

import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from stoneyoke.controlplane import controller
from stoneyoke.controlplane import replica as logic
from stoneyoke.controlplane.voter_set import Reply
from stoneyoke.controlplane.replica import NO_BALLOT, Ballot, VoterSet, ReplicaStatus, Replica
from stoneyoke.api.configuration import Version
from stoneyoke.lab.simulation import seeded_defects

Pending = tuple[Ballot, tuple[str, ...]] | None


class Core(NamedTuple):
    """On disk: version, crew, standing, promised, pending. In memory: votes of others, what it is about."""

    version: int
    crew: VoterSet
    standing: bool
    promised: Ballot
    pending: Pending
    votes: tuple[tuple[str, ReplicaStatus], ...] = ()
    put: int = 0  # the version that it is to acknowledge
    back: bool = False  # it lost its disk: it takes no part in changes that may have begun before
    change: Any = None  # a Change that it is about


class Change(NamedTuple):
    ballot: Ballot
    wish: tuple[str, ...]
    phase: str  # promise, accept, copy
    number: int
    names: tuple[str, ...] = ()
    replies: tuple[tuple[str, Reply, int], ...] = ()  # who, what, the version there
    version: int = 0
    copied: frozenset[str] = frozenset()


class State(NamedTuple):
    cores: tuple[tuple[str, Core], ...]
    air: frozenset[tuple[Any, ...]]
    puts: tuple[tuple[int, str], ...]  # to come: number, at whom
    changes: tuple[tuple[str, tuple[str, ...]], ...]  # to come: who proposes what
    crashes: int
    wipes: int
    acked: int
    sure: tuple[VoterSet, ...]  # every list that was sure anywhere


@dataclass(frozen=True)
class World:
    name: str
    voters: tuple[str, ...]
    spares: tuple[str, ...]
    puts: tuple[tuple[int, str], ...]
    changes: tuple[tuple[str, tuple[str, ...]], ...]
    crashes: int
    wipes: int
    depth: int

    def start(self) -> State:
        crew = VoterSet(1, self.voters)
        cores = tuple(
            (name, Core(0, crew if name in self.voters else VoterSet(), name in self.voters, NO_BALLOT, None))
            for name in (*self.voters, *self.spares)
        )
        return State(cores, frozenset(), self.puts, self.changes, self.crashes, self.wipes, 0, (crew,))


ABC = ("a", "b", "c")
ABSTAINS = True  # Controller.mustered
WORLDS = (
    World("two versions, a disk lost, a crash", ABC, (), ((1, "a"), (2, "b")), (), 1, 1, 17),
    World("a voter more, a version, a crash", ABC, ("d",), ((1, "b"),), (("a", ("a", "b", "c", "d")),), 1, 0, 13),
    World("a voter more, a version, a disk lost", ABC, ("d",), ((1, "b"),), (("a", ("a", "b", "c", "d")),), 0, 1, 13),
    World("a voter less, a version", ("a", "b", "c", "d"), (), ((1, "b"),), (("a", ABC),), 1, 0, 12),
    World(
        "two rounds at once", ABC, ("d", "e"), (), (("a", ("a", "b", "c", "d")), ("b", ("a", "b", "c", "e"))), 0, 0, 14
    ),
    World(
        "two rounds at once, a disk lost",
        ABC,
        ("d", "e"),
        (),
        (("a", ("a", "b", "c", "d")), ("b", ("a", "b", "c", "e"))),
        0,
        1,
        13,
    ),
)


def version_of(number: int) -> Version:
    return Version(number)


def wake(name: str, core: Core) -> Replica:
    word = Replica(name)
    word.crew, word.standing, word.version = core.crew, core.standing, version_of(core.version)
    word.promised, word.pending = core.promised, core.pending
    return word


def rest(word: Replica, core: Core) -> Core:
    return core._replace(
        version=word.version.number,
        crew=word.crew,
        standing=word.standing,
        promised=word.promised,
        pending=word.pending,
    )


def steps(state: State) -> Iterator[tuple[str, State]]:
    """Whatever may happen next."""
    cores = dict(state.cores)
    for at, (number, name) in enumerate(state.puts):
        left = state.puts[:at] + state.puts[at + 1 :]
        core = cores[name]
        if core.crew.number and not core.put:
            cores_after = put(cores, name, number)
            yield (
                f"put {number} at {name}",
                settle(
                    state._replace(puts=left),
                    cores_after,
                    {("keep", name, other, number) for other in cores if other != name},
                ),
            )
    for at, (name, wish) in enumerate(state.changes):
        core = cores[name]
        if core.crew.number and core.standing and not core.change:
            ballot = (core.promised[0] + 1, name)
            change = Change(ballot, wish, "promise", core.crew.number + 1)
            yield (
                f"{name} begins {wish}",
                settle(
                    state._replace(changes=state.changes[:at] + state.changes[at + 1 :]),
                    cores | {name: core._replace(change=change)},
                    {("promise", name, other, change.number, ballot) for other in core.crew.names},
                ),
            )
    for message in sorted(state.air, key=repr):
        yield f"{message}", deliver(state._replace(air=state.air - {message}), cores, message)
    for name in cores:
        for other in cores:
            if name != other and told_anew(cores, name, other):
                yield f"{name} hears {other}", settle(state, hear(cores, name, other), set())
    for name, core in cores.items():
        if state.crashes and (core.put or core.change or core.votes):
            yield (
                f"{name} crashes",
                settle(
                    state._replace(crashes=state.crashes - 1),
                    cores | {name: core._replace(votes=(), put=0, change=None)},
                    set(),
                ),
            )
        if state.wipes and core.crew.number:
            yield (
                f"{name} loses its disk",
                settle(
                    state._replace(wipes=state.wipes - 1),
                    cores | {name: Core(0, VoterSet(), False, NO_BALLOT, None, back=ABSTAINS)},
                    set(),
                ),
            )


def put(cores: dict[str, Core], name: str, number: int) -> dict[str, Core]:
    core = cores[name]
    word = wake(name, core)
    word.hold(version_of(number), b"")
    return cores | {name: rest(word, core)._replace(put=max(number, core.version))}


def told_anew(cores: dict[str, Core], name: str, other: str) -> bool:
    """Whether hearing it changes anything. Who votes keeps no votes of others: it needs them for nothing here."""
    core, there = cores[name], cores[other]
    return (
        there.version > core.version
        or there.crew.number > core.crew.number
        or (not core.standing and name in core.crew.names and dict(core.votes).get(other) != wake(other, there).vote())
    )


def hear(cores: dict[str, Core], name: str, other: str) -> dict[str, Core]:
    """A pull and its answer, as Controller.voted takes it."""
    core = cores[name]
    word, vote = wake(name, core), wake(other, cores[other]).vote()
    word.hold(vote.version, b"")
    votes = dict(core.votes) | {other: vote}
    if newer := word.learn_crew(votes):
        word.sure(newer)
    if word.may_stand(votes):
        word.standing = True
    kept = votes if core.put or not word.standing and name in word.crew.names else {}
    return cores | {name: rest(word, core)._replace(votes=tuple(sorted(kept.items())))}


def deliver(state: State, cores: dict[str, Core], message: tuple[Any, ...]) -> State:
    kind, sender, name, *told = message
    core = cores[name]
    word = wake(name, core)
    more: set[tuple[Any, ...]] = set()
    match kind:
        case "keep":
            word.hold(version_of(told[0]), b"")
            more.add(("kept", name, sender, word.version.number, word.crew.number, word.votes()))
        case "kept":
            number, crew_number, standing = told
            if core.put and crew_number == core.crew.number:
                votes = dict(core.votes)
                before = votes[sender].version if sender in votes else version_of(0)
                votes[sender] = ReplicaStatus(max(before, version_of(number)), core.crew, standing)
                core = core._replace(votes=tuple(sorted(votes.items())))
            if core.change and core.change.phase == "copy" and number >= core.change.version:
                core = core._replace(change=core.change._replace(copied=core.change.copied | {sender}))
        case "promise" | "accept":
            ok = not core.back and (word.promise if kind == "promise" else word.accept)(*told)
            reply = Reply(ok, word.crew, word.promised, word.pending)
            more.add((f"{kind}d", name, sender, told[1], reply, word.version.number))
        case "promised" | "accepted":
            change = core.change
            if (
                change
                and change.ballot == told[0]
                and change.phase + "d" == kind.replace("edd", "ed")
                and (sender not in [one for one, _, _ in change.replies])
            ):
                core = core._replace(change=change._replace(replies=(*change.replies, (sender, told[1], told[2]))))
        case "sure":
            word.sure(VoterSet(*told))
    core = rest(word, core) if kind not in ("kept", "promised", "accepted") else core
    return settle(state, cores | {name: core}, more)


def settle(state: State, cores: dict[str, Core], more: set[tuple[Any, ...]]) -> State:
    """What follows at once: acknowledgements, the next phase of a change."""
    acked = state.acked
    for name, core in list(cores.items()):
        if core.put and wake(name, core).kept(version_of(core.put), dict(core.votes)):
            acked = max(acked, core.put)
            cores = cores | {name: core._replace(put=0, votes=())}
    for name, core in list(cores.items()):
        if core.change:
            core, sent = advance(name, core, cores)
            cores, more = cores | {name: core}, more | sent
    lists = {*state.sure, *(core.crew for core in cores.values() if core.crew.number)}
    return state._replace(
        cores=tuple(sorted(cores.items())),
        air=state.air | frozenset(more),
        acked=acked,
        sure=tuple(sorted(lists, key=repr)),
    )


def advance(name: str, core: Core, cores: dict[str, Core]) -> tuple[Core, set[tuple[Any, ...]]]:
    change: Change = core.change
    majority, to_propose = (
        vars(controller)["majority"],
        vars(controller)["to_propose"],
    )  # as they are there, seeded or not
    if change.number != core.crew.number + 1:
        return core._replace(change=None), set()
    enough = majority(len(core.crew.names))
    fine = [(who, reply, version) for who, reply, version in change.replies if reply.ok]
    if change.phase == "promise" and len(fine) >= enough:
        names = to_propose(change.wish, [reply for _, reply, _ in fine])
        change = change._replace(phase="accept", names=names, replies=())
        return core._replace(change=change), {
            ("accept", name, other, change.number, change.ballot, names) for other in core.crew.names
        }
    if change.phase == "accept" and len(fine) >= enough:
        version = max(version for _, _, version in fine)
        word = wake(name, core)
        word.hold(version_of(version), b"")  # fetched from its holder
        core = rest(word, core)
        change = change._replace(phase="copy", version=version, copied=frozenset({name}))
        return core._replace(change=change), {
            ("keep", name, other, core.version) for other in change.names if other != name
        }
    if change.phase == "copy" and len(change.copied & set(change.names)) >= majority(len(change.names)):
        word = wake(name, core)
        word.sure(VoterSet(change.number, change.names))
        return rest(word, core)._replace(change=None), {
            ("sure", name, other, change.number, change.names) for other in {*core.crew.names, *change.names} - {name}
        }
    return core, set()


def wrong(state: State) -> str:
    """What is broken in a state, "" if nothing is."""
    numbers = [crew.number for crew in state.sure]
    if len(numbers) != len(set(numbers)):
        return f"two lists of voters carry one number: {state.sure}"
    cores = dict(state.cores)
    for name, core in cores.items():
        if not core.crew.number:
            continue
        told = sorted(
            cores[other].version
            for other in core.crew.names
            if other in cores and wake(other, cores[other]).votes() and cores[other].crew.number == core.crew.number
        )
        enough = vars(logic)["copies"](len(core.crew.names))
        if len(told) >= enough and told[enough - 1] < state.acked:
            return f"{name} may read back {told[enough - 1]}, {state.acked} was acknowledged"
    return ""


@dataclass(frozen=True)
class Result:
    world: str
    states: int
    depth: int
    seconds: float
    broken: str = ""
    way: tuple[str, ...] = ()


def explore(world: World, depth: int = 0, most: int = 150_000) -> Result:
    """Every state within so many steps, the shortest ways first; `most` bounds memory."""
    begun, depth = time.monotonic(), depth or world.depth
    start = world.start()
    came: dict[State, tuple[State, str] | None] = {start: None}
    layer = [start]
    for step in range(depth):
        following = []
        for state in layer:
            for what, after in steps(state):
                if after in came:
                    continue
                came[after] = (state, what)
                if broken := wrong(after):
                    return Result(
                        world.name, len(came), step + 1, time.monotonic() - begun, broken, way_to(came, after)
                    )
                following.append(after)
            if len(came) > most:
                return Result(world.name, len(came), step, time.monotonic() - begun)
        layer = following
        if not layer:
            break
    return Result(world.name, len(came), step + 1, time.monotonic() - begun)


def way_to(came: dict[State, tuple[State, str] | None], state: State) -> tuple[str, ...]:
    way = []
    while before := came[state]:
        state, what = before
        way.append(what)
    return tuple(reversed(way))


def found(mutant: str, most: int = 12_000) -> str:
    """What the check finds of a seeded defect, "" if nothing."""
    with seeded_defects.seeded(mutant):
        for world in WORLDS:
            result = explore(world, most=most)
            if result.broken:
                return f"{world.name}: {result.broken} ({len(result.way)} steps, {result.states} states)"
    return ""


def report(depth: int = 0) -> int:
    """Prints a line a world; 1 if anything is broken."""
    broken = 0
    for world in WORLDS:
        result = explore(world, depth)
        print(
            f"{world.name}: {result.states} states, {result.depth} steps deep, {result.seconds:.0f} s: "
            + (result.broken or "nothing broken")
        )
        for what in result.way:
            print(f"    {what}")
        broken += bool(result.broken)
    return bool(broken)
