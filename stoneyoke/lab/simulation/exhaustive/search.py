"""Walks a world breadth first: the shortest way to a broken state is found first."""

import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Any

from stoneyoke.consensus.protocol import Accepted
from stoneyoke.lab.simulation.exhaustive.models import MODELS, Model
from stoneyoke.lab.simulation.exhaustive.state import State
from stoneyoke.lab.simulation.exhaustive.transitions import initial_state, transitions

MAX_STATES = 150_000  # states: bounds memory


@dataclass(frozen=True)
class Result:
    """ended: every state that can be reached was seen; else those within depth steps. changes: of voters, chosen one
    after the other in some state. configurations: contents that were chosen in any state."""

    model: str
    states: int
    depth: int
    exhausted: bool
    seconds: float
    changes: int
    configurations: int
    violation: str = ""
    counterexample: tuple[str, ...] = ()

    def describe(self) -> str:
        extent = "walked to its end" if self.exhausted else f"all within {self.depth} steps"
        if self.violation:
            extent = f"stopped after {len(self.counterexample)} steps"
        met = f"{self.configurations} contents and {self.changes} changes of voters chosen"
        seconds = f"{self.seconds:.0f} s"
        return f"{self.model}: {self.states} states, {extent}, {met}, {seconds}: {self.violation or 'nothing broken'}"


Key = tuple[int, ...]


def parts(state: State) -> tuple[Any, ...]:
    return (*state.processes, *state[1:])


class VisitedStates:
    """Which states were seen, and how each was reached. A state is kept as the numbers of its parts, each part once."""

    def __init__(self) -> None:
        self.numbers: dict[Any, int] = {}
        self.predecessors: dict[Key, tuple[Key, str] | None] = {}

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
        if key in self.predecessors:
            return False
        self.predecessors[key] = (before, what) if before is not None else None
        return True

    def counterexample(self, key: Key) -> tuple[str, ...]:
        found = []
        while before := self.predecessors[key]:
            key, what = before
            found.append(what)
        return tuple(reversed(found))


class BreadthFirstSearch:
    """One walk through a world."""

    def __init__(self, model: Model) -> None:
        self.model, self.seen, self.begun = model, VisitedStates(), time.monotonic()
        self.chosen: set[Accepted] = set()
        start = initial_state(model)
        self.layer = [(self.seen.key(start), start)]
        self.seen.add(self.layer[0][0], None, "")
        self.violation: tuple[Key, str] | None = None

    def expand_layer(self) -> None:
        """All states one step on that are new; ends at the first that is broken."""
        following: list[tuple[Key, State]] = []
        for key, state in self.layer:
            for what, after in transitions(self.model, state):
                key_after = self.seen.key_after(after, state, key)
                if not self.seen.add(key_after, key, what):
                    continue
                if after.violation:
                    self.violation = (key_after, after.violation)
                    return
                if after.history.chosen is not state.history.chosen:
                    self.chosen.update(after.history.chosen)
                following.append((key_after, after))
        self.layer = following

    def result(self, depth: int) -> Result:
        key, violation = self.violation or ((), "")
        return Result(
            self.model.name,
            len(self.seen.predecessors),
            depth,
            not self.layer,
            time.monotonic() - self.begun,
            max((one.value.voters.number - 1 for one in self.chosen), default=0),
            len({one.value.version for one in self.chosen if one.value.version.number}),
            violation,
            self.seen.counterexample(key) if violation else (),
        )


def explore(model: Model, depth: int = 0, max_states: int = MAX_STATES) -> Result:
    """Every state within so many steps (0: no bound); ends after the step with which so many were seen."""
    search, step = BreadthFirstSearch(model), 0
    while (
        search.layer
        and not search.violation
        and (not depth or step < depth)
        and len(search.seen.predecessors) <= max_states
    ):
        search.expand_layer()
        step += 1
    return search.result(step)


def report(depth: int, jobs: int) -> int:
    """Prints a line a world; 1 if anything is broken."""
    violation = 0
    with ProcessPoolExecutor(jobs) as pool:
        for result in pool.map(explore, MODELS, [depth] * len(MODELS)):
            print(result.describe(), flush=True)
            for what in result.counterexample:
                print(f"    {what}")
            violation += bool(result.violation)
    return bool(violation)


def model_named(name: str) -> Model:
    return next(model for model in MODELS if model.name == name)
