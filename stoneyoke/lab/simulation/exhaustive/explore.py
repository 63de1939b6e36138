"""Walks a world breadth first: the shortest way to a broken state is found first."""

import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Any

from stoneyoke.consensus.protocol import Accepted
from stoneyoke.lab.simulation.exhaustive.state import State
from stoneyoke.lab.simulation.exhaustive.steps import begin, steps
from stoneyoke.lab.simulation.exhaustive.worlds import WORLDS, World

MOST = 150_000  # states: bounds memory


@dataclass(frozen=True)
class Result:
    """ended: every state that can be reached was seen; else those within depth steps. changes: of voters, chosen one
    after the other in some state. configurations: contents that were chosen in any state."""

    world: str
    states: int
    depth: int
    ended: bool
    seconds: float
    changes: int
    configurations: int
    broken: str = ""
    way: tuple[str, ...] = ()

    def text(self) -> str:
        extent = "walked to its end" if self.ended else f"all within {self.depth} steps"
        if self.broken:
            extent = f"stopped after {len(self.way)} steps"
        met = f"{self.configurations} contents and {self.changes} changes of voters chosen"
        seconds = f"{self.seconds:.0f} s"
        return f"{self.world}: {self.states} states, {extent}, {met}, {seconds}: {self.broken or 'nothing broken'}"


Key = tuple[int, ...]


def parts(state: State) -> tuple[Any, ...]:
    return (*state.processes, *state[1:])


class Seen:
    """Which states were seen, and how each was reached. A state is kept as the numbers of its parts, each part once."""

    def __init__(self) -> None:
        self.numbers: dict[Any, int] = {}
        self.came: dict[Key, tuple[Key, str] | None] = {}

    def key(self, state: State) -> Key:
        return tuple(self.number(part) for part in parts(state))

    def key_after(self, state: State, before: State, key: Key) -> Key:
        """The same, of a state that shares most of its parts with the one before it."""
        pairs = zip(parts(state), parts(before), key, strict=True)
        return tuple(number if part is old else self.number(part) for part, old, number in pairs)

    def number(self, part: Any) -> int:
        return self.numbers.setdefault(part, len(self.numbers))

    def add(self, key: Key, before: Key | None, what: str) -> bool:
        """Whether it is new."""
        if key in self.came:
            return False
        self.came[key] = (before, what) if before is not None else None
        return True

    def way(self, key: Key) -> tuple[str, ...]:
        found = []
        while before := self.came[key]:
            key, what = before
            found.append(what)
        return tuple(reversed(found))


class Walk:
    """One walk through a world."""

    def __init__(self, world: World) -> None:
        self.world, self.seen, self.begun = world, Seen(), time.monotonic()
        self.chosen: set[Accepted] = set()
        start = begin(world)
        self.layer = [(self.seen.key(start), start)]
        self.seen.add(self.layer[0][0], None, "")
        self.broken: tuple[Key, str] | None = None

    def further(self) -> None:
        """All states one step on that are new; ends at the first that is broken."""
        following: list[tuple[Key, State]] = []
        for key, state in self.layer:
            for what, after in steps(self.world, state):
                key_after = self.seen.key_after(after, state, key)
                if not self.seen.add(key_after, key, what):
                    continue
                if after.broken:
                    self.broken = (key_after, after.broken)
                    return
                if after.ghost.chosen is not state.ghost.chosen:
                    self.chosen.update(after.ghost.chosen)
                following.append((key_after, after))
        self.layer = following

    def result(self, depth: int) -> Result:
        key, broken = self.broken or ((), "")
        return Result(
            self.world.name,
            len(self.seen.came),
            depth,
            not self.layer,
            time.monotonic() - self.begun,
            max((one.value.voters.number - 1 for one in self.chosen), default=0),
            len({one.value.version for one in self.chosen if one.value.version.number}),
            broken,
            self.seen.way(key) if broken else (),
        )


def explore(world: World, depth: int = 0, most: int = MOST) -> Result:
    """Every state within so many steps (0: no bound); ends after the step with which so many were seen."""
    walk, step = Walk(world), 0
    while walk.layer and not walk.broken and (not depth or step < depth) and len(walk.seen.came) <= most:
        walk.further()
        step += 1
    return walk.result(step)


def report(depth: int, jobs: int) -> int:
    """Prints a line a world; 1 if anything is broken."""
    broken = 0
    with ProcessPoolExecutor(jobs) as pool:
        for result in pool.map(explore, WORLDS, [depth] * len(WORLDS)):
            print(result.text(), flush=True)
            for what in result.way:
                print(f"    {what}")
            broken += bool(result.broken)
    return bool(broken)


def world_named(name: str) -> World:
    return next(world for world in WORLDS if world.name == name)
