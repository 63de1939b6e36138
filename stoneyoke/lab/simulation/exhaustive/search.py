"""Breadth-first search through the states of a model, which finds a shortest counterexample."""

import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Any

from stoneyoke.consensus.register_value import Proposal
from stoneyoke.lab.simulation.exhaustive.models import MODELS, Model
from stoneyoke.lab.simulation.exhaustive.state import State
from stoneyoke.lab.simulation.exhaustive.transitions import initial_state, transitions

MAX_STATES = 150_000  # limits the memory of a search


@dataclass(frozen=True, kw_only=True)
class Result:
    """The result of one search.

    Attributes:
        model: The model's name.
        states: The number of distinct states that were reached.
        depth: The number of transitions from the initial state to the farthest states.
        exhausted: Whether every reachable state was explored; else only those within `depth` transitions were.
        seconds: Wall-clock time of the search.
        changes: The highest number of consecutive changes of voters that were chosen in some state.
        configurations: The number of distinct configurations that were chosen in any state.
        violation: The invariant that does not hold; empty if all hold.
        counterexample: The transitions from the initial state to the violation.
    """

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
        """Returns the result in one line."""
        extent = "searched completely" if self.exhausted else f"all within {self.depth} steps"
        if self.violation:
            extent = f"stopped after {len(self.counterexample)} steps"
        chosen = f"{self.configurations} contents and {self.changes} changes of voters chosen"
        outcome = self.violation or "no violation"
        return f"{self.model}: {self.states} states, {extent}, {chosen}, {self.seconds:.0f} s: {outcome}"


Key = tuple[int, ...]


def numbered_parts(state: State) -> tuple[Any, ...]:
    """Returns the parts of a state that get a number: each process, then each other field."""
    return (*state.processes, *state[1:])


class VisitedStates:
    """The states that were reached, each with the transition that reached it first.

    A state is stored as the numbers of its parts; each distinct part is stored once.
    """

    def __init__(self) -> None:
        """Creates an empty set of states."""
        self.part_numbers: dict[Any, int] = {}
        self.predecessors: dict[Key, tuple[Key, str] | None] = {}

    def key(self, state: State) -> Key:
        """Returns the key of a state: the numbers of its parts."""
        return tuple(self.part_number(part) for part in numbered_parts(state))

    def key_after(self, state: State, before: State, key: Key) -> Key:
        """Returns the key of a successor of a state whose key is known; numbers only the parts that differ."""
        pairs = zip(numbered_parts(state), numbered_parts(before), key, strict=True)
        return tuple(number if part is old else self.part_number(part) for part, old, number in pairs)

    def part_number(self, part: Any) -> int:
        """Returns the number of a part; a new part gets the next number."""
        return self.part_numbers.setdefault(part, len(self.part_numbers))

    def add(self, key: Key, predecessor: Key | None, label: str) -> bool:
        """Stores a state with the transition that reached it; returns False and changes nothing if it is known."""
        if key in self.predecessors:
            return False
        self.predecessors[key] = (predecessor, label) if predecessor is not None else None
        return True

    def counterexample(self, key: Key) -> tuple[str, ...]:
        """Returns the labels of the transitions from the initial state to this one."""
        labels = []
        while before := self.predecessors[key]:
            key, label = before
            labels.append(label)
        return tuple(reversed(labels))


class BreadthFirstSearch:
    """A search through a model, one layer of states after another."""

    def __init__(self, model: Model) -> None:
        """Creates a search that has reached only the initial state of a model."""
        self.model, self.visited, self.started_at = model, VisitedStates(), time.monotonic()
        self.chosen: set[Proposal] = set()
        start = initial_state(model)
        self.layer = [(self.visited.key(start), start)]
        self.visited.add(self.layer[0][0], None, "")
        self.violation: tuple[Key, str] | None = None

    def expand_layer(self) -> None:
        """Replaces the layer with its new successors; stops at the first violation."""
        successors: list[tuple[Key, State]] = []
        for key, state in self.layer:
            for label, after in transitions(self.model, state):
                key_after = self.visited.key_after(after, state, key)
                if not self.visited.add(key_after, key, label):
                    continue
                if after.violation:
                    self.violation = (key_after, after.violation)
                    return
                if after.history.chosen is not state.history.chosen:
                    self.chosen.update(after.history.chosen)
                successors.append((key_after, after))
        self.layer = successors

    def result(self, depth: int) -> Result:
        """Returns the result of the search so far."""
        key, violation = self.violation or ((), "")
        return Result(
            model=self.model.name,
            states=len(self.visited.predecessors),
            depth=depth,
            exhausted=not self.layer,
            seconds=time.monotonic() - self.started_at,
            changes=max((one.value.voters.number - 1 for one in self.chosen), default=0),
            configurations=len({one.value.version for one in self.chosen if one.value.version.number}),
            violation=violation,
            counterexample=self.visited.counterexample(key) if violation else (),
        )


def explore(model: Model, depth: int = 0, max_states: int = MAX_STATES) -> Result:
    """Searches a model.

    Args:
        model: The model to search.
        depth: The highest number of transitions from the initial state; 0 for no limit.
        max_states: The search ends after the layer in which the number of reached states exceeds this.

    Returns:
        The result, with a counterexample if an invariant does not hold.
    """
    search, steps = BreadthFirstSearch(model), 0
    while search.layer and not search.violation and len(search.visited.predecessors) <= max_states:
        if depth and steps >= depth:
            break
        search.expand_layer()
        steps += 1
    return search.result(steps)


def report(depth: int, jobs: int) -> int:
    """Searches all models and prints one line for each, followed by the counterexample if there is a violation.

    Args:
        depth: See `explore`.
        jobs: The number of parallel processes.

    Returns:
        An exit status: 1 if an invariant does not hold in any model, else 0.
    """
    violations = 0
    with ProcessPoolExecutor(jobs) as pool:
        for result in pool.map(explore, MODELS, [depth] * len(MODELS)):
            print(result.describe(), flush=True)
            for label in result.counterexample:
                print(f"    {label}")
            violations += bool(result.violation)
    return int(violations > 0)


def model_named(name: str) -> Model:
    """Returns the model with this name."""
    return next(model for model in MODELS if model.name == name)
