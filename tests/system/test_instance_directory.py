from ward import test

from stoneyoke.controlplane.instance_registry import Phase
from stoneyoke.api.configuration import Version
from stoneyoke.gateway.instance_directory import DROP_S, TOUCH_S, InstanceDirectory
from stoneyoke.transport.messages import PullResponse

CREW = ["a", "b", "c"]


def news(
    number=1,
    rows=(),
    whole=False,
    standing=True,
    settled=True,
    seq=1,
    keeper="",
    roll=1,
    pilots=(),
    life="l",
    crew_number=1,
    crew=CREW,
):
    return PullResponse(
        life,
        seq,
        whole,
        list(rows),
        (number, b"x"),
        standing,
        settled,
        crew_number,
        list(crew),
        keeper,
        False,
        "east",
        roll,
        [],
        list(pilots),
    )


def row(seq=1, phase=Phase.READY, instance="i-1"):
    return (instance, "10.0.0.9:80", "tide", "east", "v1", 2, int(phase), seq, 0.0)


@test("one stale core does not make a gateway ready; enough voters that stand and have settled do")
def _():
    roster = InstanceDirectory(("a", "b", "c"))
    assert roster.caught_up(0.0) is None
    roster.hear("a", news(3), 0.0)
    assert roster.caught_up(0.1) is None
    roster.hear("b", news(5, standing=False), 0.1)
    assert roster.caught_up(0.1) is None  # its disk may have been lost
    roster.hear("b", news(5, settled=False), 0.1)
    assert roster.caught_up(0.1) is None  # it may lack a drain
    roster.hear("b", news(5), 0.1)
    assert roster.caught_up(0.1) == Version(5, b"x") and roster.newest()[1] == "b"
    assert roster.caught_up(0.1 + TOUCH_S) is None


@test("who is not in the newest crew does not count")
def _():
    roster = InstanceDirectory(("a", "d"))
    roster.hear("a", news(3), 0.0)
    roster.hear("d", news(3), 0.0)
    assert roster.caught_up(0.0) is None
    roster.hear("d", news(3, crew_number=2, crew=["a", "c", "d"]), 0.0)
    assert roster.caught_up(0.0) == Version(3, b"x")


@test("a drain told by one core holds against older tellings of others, and leaves hold for good")
def _():
    roster = InstanceDirectory(("a", "b"))
    roster.hear("a", news(rows=[row(5, Phase.DRAINING)]), 0.0)
    roster.hear("b", news(rows=[row(4)]), 0.1)
    roster.hear("b", news(rows=[row(6)]), 0.2)
    assert roster.known["i-1"].row.phase == Phase.DRAINING
    roster.hear("a", news(rows=[row(6, Phase.GONE)]), 0.3)
    roster.hear("b", news(rows=[row(9)]), 0.4)
    assert not roster.known


@test("a backend that no core in touch hears is doubted, then dropped; not while the cores are lost themselves")
def _():
    roster = InstanceDirectory(("a", "b", "c"))
    for name in "abc":
        roster.hear(name, news(rows=[row(), row(instance="i-2")]), 0.0)
    for name in "ab":
        roster.hear(name, news(rows=[row(phase=Phase.SILENT)], seq=2), 1.0)
    roster.sweep(1.0)
    assert not roster.doubted("tide")  # c still hears it
    roster.hear("c", news(rows=[row(phase=Phase.SILENT)], seq=2), 1.1)
    roster.sweep(1.2)
    assert roster.doubted("tide") == {"i-1"}
    roster.sweep(1.2 + DROP_S + TOUCH_S)
    assert set(roster.known) == {"i-2"}
    roster.sweep(90.0)  # no core is in touch: nobody can tell
    assert set(roster.known) == {"i-2"}


@test("doubts of more than half of a service are the cores' own trouble")
def _():
    roster = InstanceDirectory(("a",))
    roster.hear("a", news(rows=[row(), row(instance="i-2")], crew=["a"]), 0.0)
    roster.hear("a", news(whole=True, life="new", crew=["a"]), 1.0)  # started again, knows nobody yet
    roster.sweep(1.0)
    assert roster.doubted("tide") == frozenset() and len(roster.known) == 2


@test("a core's own word on who keeps the quotas goes before what others heard; rolls are kept while not told anew")
def _():
    roster = InstanceDirectory(("a", "b", "c"))
    for name in "ab":
        roster.hear(name, news(keeper="a", pilots=["edge-1"]), 0.0)
    assert roster.keeper(0.1) == "a" and roster.pilots(0.1) == ["edge-1"]
    roster.hear("c", news(keeper="c", pilots=["edge-2"]), 0.2)
    assert roster.keeper(0.2) == "c"
    roster.hear("c", news(keeper="c"), 0.3)
    assert roster.pilots(0.3) == ["edge-1", "edge-2"]
    roster.hear("c", news(keeper="c", roll=2), 0.4)
    assert roster.pilots(0.4) == ["edge-1"]
