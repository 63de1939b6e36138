"""The exhaustive check: the models have no violation, and the search finds every seeded defect of the register."""

from concurrent.futures import ProcessPoolExecutor
from functools import lru_cache

from ward import each, test

from stoneyoke.consensus import quorum
from stoneyoke.lab.simulation.defects.in_models import CONSENSUS_DEFECTS, MODEL_THAT_FINDS, find, seeded
from stoneyoke.lab.simulation.exhaustive.models import MODELS
from stoneyoke.lab.simulation.exhaustive.search import Result, explore, model_named

JOBS = 4
# Models that are searched completely, each with the least numbers of changes of voters and of configurations that
# the search must find chosen.
EXHAUSTED = {
    "a voter added to two, an order": (1, 1),
    "a lost disk replaced, an order": (1, 1),
    "a voter removed, an order": (1, 1),
    "two contents under one number, one of them prepared": (0, 2),
    "a gateway, a change accepted by the one voter that is left, an order": (0, 1),
}


@lru_cache(maxsize=1)
def exhausted_results() -> dict[str, Result]:
    """Searches the models in EXHAUSTED once, in several processes."""
    with ProcessPoolExecutor(JOBS) as pool:
        return dict(zip(EXHAUSTED, pool.map(explore, map(model_named, EXHAUSTED)), strict=True))


@lru_cache(maxsize=1)
def findings() -> dict[str, str]:
    """Searches for each defect once, in several processes."""
    with ProcessPoolExecutor(JOBS) as pool:
        return dict(zip(MODEL_THAT_FINDS, pool.map(find, MODEL_THAT_FINDS), strict=True))


@test("{name}: searched completely without a violation")
def _(name=each(*EXHAUSTED)):
    result = exhausted_results()[name]
    changes, configurations = EXHAUSTED[name]
    assert result.exhausted and not result.violation, result.describe()
    assert result.changes >= changes and result.configurations >= configurations, result.describe()


@test("two contents written under one number are each chosen in some state, and no third one is")
def _():
    assert exhausted_results()["two contents under one number, one of them prepared"].configurations == 2


@test("a controller that has missed two changes of voters finds the newest voters")
def _():
    result = explore(model_named("a stale controller after two changes, an order there"), depth=10)
    assert not result.violation and result.changes == 2 and result.configurations == 1, result.describe()


@test("{model.name}: the first three transitions have no violation")
def _(model=each(*MODELS)):
    result = explore(model, depth=3)
    assert not result.violation and result.states > 3, result.describe()


@test("each defect of the register has a model that finds it")
def _():
    assert set(MODEL_THAT_FINDS) == set(CONSENSUS_DEFECTS)


@test("the search finds the defect {name}")
def _(name=each(*MODEL_THAT_FINDS)):
    assert findings()[name]


@test("a seeded defect of the register is removed after its search")
def _():
    before = quorum.majority
    with seeded("majority_one_short"):
        assert quorum.majority(3) == 1
    assert quorum.majority is before
