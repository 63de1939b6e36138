"""Every order of messages in small worlds, and each defect of the register found by the walk."""

from concurrent.futures import ProcessPoolExecutor

from ward import test

from stoneyoke.consensus import quorum
from stoneyoke.lab.simulation.defects.in_models import CONSENSUS_DEFECTS, MODEL_THAT_FINDS, find, seeded
from stoneyoke.lab.simulation.exhaustive.search import explore, model_named
from stoneyoke.lab.simulation.exhaustive.models import MODELS

JOBS = 4
# Worlds that are walked to their ends: the first three change voters.
ENDED = (
    "a voter added to two, an order",
    "a lost disk replaced, an order",
    "a voter removed, an order",
    "two contents under one number, one of them prepared",
    "a gateway, a change accepted by the one voter that is left, an order",
)


@test("small worlds are walked to their ends and nothing breaks")
def _():
    with ProcessPoolExecutor(JOBS) as pool:
        results = list(pool.map(explore, map(model_named, ENDED)))
    for result in results:
        assert result.exhausted and not result.violation, result.describe()
        assert result.configurations >= 1, result.describe()
    assert all(result.changes >= 1 for result in results[:3])
    assert results[3].configurations == 2


@test("a controller that has missed two changes of voters finds the newest ones")
def _():
    result = explore(model_named("a stale controller after two changes, an order there"), depth=10)
    assert not result.violation and result.changes == 2 and result.configurations == 1, result.describe()


@test("every world begins, and its first steps break nothing")
def _():
    for model in MODELS:
        result = explore(model, depth=3)
        assert not result.violation and result.states > 3, result.describe()


@test("each defect of the register is found by the walk")
def _():
    assert set(MODEL_THAT_FINDS) == set(CONSENSUS_DEFECTS)
    with ProcessPoolExecutor(JOBS) as pool:
        for name, how in zip(MODEL_THAT_FINDS, pool.map(find, MODEL_THAT_FINDS), strict=True):
            assert how, name


@test("a defect of the register is there only while it is seeded")
def _():
    before = quorum.majority
    with seeded("majority_one_short"):
        assert quorum.majority(3) == 1
    assert quorum.majority is before
