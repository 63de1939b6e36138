"""Walks a world breadth first: the shortest way to a broken state is found first."""

import time
from dataclasses import dataclass
from typing import Any

from stoneyoke.lab.simulation.exhaustive.state import State
from stoneyoke.lab.simulation.exhaustive.steps import steps
from stoneyoke.lab.simulation.exhaustive.worlds import World

MOST = 400_000  # states: bounds memory


@dataclass(frozen=True)
class Result:
    """ended: every state that can be reached was seen; else those within depth steps."""

    world: str
    states: int
    depth: int
    ended: bool
    seconds: float
    broken: str = ""
    way: tuple[str, ...] = ()

    def text(self) -> str:
        extent = "walked to its end" if self.ended else f"all within {self.depth} steps"
        if self.broken:
            extent = f"stopped after {len(self.way)} steps"
        return f"{self.world}: {self.states} states, {extent}, {self.seconds:.0f} s: {self.broken or 'nothing broken'}"


class Seen:
    """Which states were seen, and how each was reached. A state is kept as the numbers of its parts, each part once."""

    def __init__(self) -> None:
        self.parts: dict[Any, int] = {}
        self.came: dict[tuple[int, ...], tuple[tuple[int, ...], str] | None] = {}

    def key(self, state: State) -> tuple[int, ...]:
        parts = self.parts
        found = [parts.setdefault(part, len(parts)) for part in state.processes]
        found += [parts.setdefault(part, len(parts)) for part in state[1:]]
        return tuple(found)

    def add(self, key: tuple[int, ...], before: tuple[int, ...] | None, what: str) -> bool:
        """Whether it is new."""
        if key in self.came:
            return False
        self.came[key] = (before, what) if before is not None else None
        return True

    def way(self, key: tuple[int, ...]) -> tuple[str, ...]:
        found = []
        while before := self.came[key]:
            key, what = before
            found.append(what)
        return tuple(reversed(found))


def explore(world: World, depth: int = 0, most: int = MOST) -> Result:
    """Every state within so many steps (0: no bound), or until so many were seen."""
    begun, seen = time.monotonic(), Seen()
    start = world.start()
    layer = [(seen.key(start), start)]
    seen.add(layer[0][0], None, "")
    step = 0
    while layer and (not depth or step < depth):
        following = []
        for key, state in layer:
            for what, after in steps(world, state):
                key_after = seen.key(after)
                if not seen.add(key_after, key, what):
                    continue
                if after.broken:
                    way = seen.way(key_after)
                    seconds = time.monotonic() - begun
                    return Result(world.name, len(seen.came), step + 1, False, seconds, after.broken, way)
                following.append((key_after, after))
            if len(seen.came) > most:
                return Result(world.name, len(seen.came), step, False, time.monotonic() - begun)
        layer, step = following, step + 1
    return Result(world.name, len(seen.came), step, not layer, time.monotonic() - begun)
