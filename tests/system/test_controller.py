import asyncio
import json

from configurations import example
from controller_cluster import run
from ward import test

from stoneyoke.controlplane.voter_set import Reply, change, to_propose
from stoneyoke.controlplane.instance_registry import Phase
from stoneyoke.controlplane.replica import VoterSet, Replica
from stoneyoke.api.calls import Acknowledged, ReadConfiguration, Rejected, Unavailable, Document, ask
from stoneyoke.api.configuration import read_configuration


def put(number, change=None):
    return ask("POST", "/config/replace", example(number, change))


def beat(seq=1, phase="ready", instance="i-1"):
    return ask(
        "POST",
        f"/instances/{instance}/heartbeat",
        json.dumps(
            {
                "address": "10.0.1.1:80",
                "details": {"target_service": "tide", "capacity": 2},
                "observed": {"phase": phase, "call_seq": seq},
            }
        ).encode(),
    )


async def touch(harbour):
    await harbour.until(lambda: all(one.in_touch() for one in harbour.offices.values()))


@test("a configuration acknowledged by one core is read back at every other, also after all lost power")
def _():
    async def play(harbour):
        await touch(harbour)
        assert await harbour.offices["10.0.0.1"].call(put(5)) == Acknowledged()
        assert await harbour.offices["10.0.0.2"].call(ReadConfiguration()) == Document(example(5))
        assert (
            sum(
                read_configuration(disk.records["word"][b"body"]).version.number == 5
                for disk in harbour.disks.values()
                if "word" in disk.records
            )
            >= 2
        )
        for name in harbour.names:
            harbour.stop(name)
        for name in harbour.names:
            await harbour.start(name)
        await touch(harbour)
        assert await harbour.offices["10.0.0.3"].call(ReadConfiguration()) == Document(example(5))

    run(play)


@test("before anything was put there is nothing to read, and that is said as such")
def _():
    async def play(harbour):
        await touch(harbour)
        assert isinstance(await harbour.offices["10.0.0.1"].call(ReadConfiguration()), Rejected)

    run(play)


@test("an older version, and the same one again, are acknowledged and change nothing")
def _():
    async def play(harbour):
        await touch(harbour)
        one = harbour.offices["10.0.0.1"]
        assert await one.call(put(9)) == Acknowledged() and await one.call(put(9)) == Acknowledged()
        assert await harbour.offices["10.0.0.2"].call(put(4)) == Acknowledged()
        assert await one.call(ReadConfiguration()) == Document(example(9))

    run(play)


@test("two operators at two cores at once: all end with the higher one, and with one text under one number")
def _():
    async def play(harbour):
        await touch(harbour)
        one, other = harbour.offices["10.0.0.1"], harbour.offices["10.0.0.2"]
        await asyncio.gather(one.call(put(6)), other.call(put(7)))
        assert await one.call(ReadConfiguration()) == await other.call(ReadConfiguration()) == Document(example(7))
        await asyncio.gather(one.call(put(8)), other.call(put(8, lambda c: c.update(limits=None))))
        await harbour.until(lambda: len({o.word.version for o in harbour.offices.values()}) == 1)
        assert await one.call(ReadConfiguration()) == await other.call(ReadConfiguration())

    run(play)


@test("a core that is cut off acknowledges nothing and says so at once; the others go on")
def _():
    async def play(harbour):
        await touch(harbour)
        harbour.cut("10.0.0.1")
        alone = harbour.offices["10.0.0.1"]
        await harbour.until(lambda: not alone.in_touch())
        began = alone.clock()
        for asked in (put(5), beat(), beat(2, "draining")):
            assert isinstance(await alone.call(asked), Unavailable)
        assert alone.clock() - began < 0.1
        assert await harbour.offices["10.0.0.2"].call(put(5)) == Acknowledged()
        harbour.cuts = set()
        await harbour.until(lambda: alone.word.version.number == 5)

    run(play)


@test("a disk that refuses does not count; the majority does without it")
def _():
    async def play(harbour):
        await touch(harbour)
        harbour.disks["10.0.0.1"].refuses = True
        assert await harbour.offices["10.0.0.1"].call(put(5)) == Acknowledged()
        assert harbour.offices["10.0.0.1"].word.version.number == 0
        harbour.disks["10.0.0.2"].refuses = True
        assert isinstance(await harbour.offices["10.0.0.3"].call(put(6)), Unavailable)

    run(play)


@test("an empty disk does not vote before it has copied from both others")
def _():
    async def play(harbour):
        await touch(harbour)
        harbour.stop("10.0.0.3")
        assert await harbour.offices["10.0.0.1"].call(put(5)) == Acknowledged()
        harbour.stop("10.0.0.2")  # held by 1 and 2 alone; 1 loses its disk
        harbour.stop("10.0.0.1")
        harbour.disks["10.0.0.1"].records.clear()
        wiped = await harbour.start("10.0.0.1")
        await harbour.start("10.0.0.3")
        await harbour.until(lambda: wiped.word.crew.number == 1)
        await asyncio.sleep(0.05)
        assert not wiped.word.standing
        assert isinstance(await wiped.call(ReadConfiguration()), Unavailable) and isinstance(
            await wiped.call(put(4)), Unavailable
        )
        await harbour.start("10.0.0.2")
        await harbour.until(lambda: wiped.word.standing)
        assert wiped.word.version.number == 5
        assert await wiped.call(ReadConfiguration()) == Document(example(5))

    run(play)


@test("a drain is acknowledged once a majority knows it, and survives the core that acknowledged it")
def _():
    async def play(harbour):
        await touch(harbour)
        one = harbour.offices["10.0.0.1"]
        assert await one.call(beat()) == Acknowledged()
        assert await one.call(beat(2, "draining")) == Acknowledged()
        know = [
            name
            for name, office in harbour.offices.items()
            if office.register.records.get("i-1") and office.register.records["i-1"].row.phase == Phase.DRAINING
        ]
        assert len(know) >= 2
        harbour.lost = {name: ("InstanceUpdate",) for name in harbour.names}
        assert isinstance(await one.call(ask("POST", "/instances/i-1/leave", b"")), Unavailable)

    run(play)


@test("a core that starts again hears of drains from the others before it calls itself settled")
def _():
    async def play(harbour):
        await touch(harbour)
        assert await harbour.offices["10.0.0.1"].call(beat(2, "draining")) == Acknowledged()
        harbour.stop("10.0.0.1")
        again = await harbour.start("10.0.0.1")
        assert not again.settled()
        await harbour.until(again.settled)
        assert again.register.records["i-1"].row.phase == Phase.DRAINING

    run(play)


@test("one core holds the duty of the quotas; when it is cut off another one does, not before its lease has ended")
def _():
    async def play(harbour):
        def holders():
            return [name for name, one in harbour.offices.items() if one.tenure.holds(one.clock())]

        await harbour.until(holders)
        first = holders()[0]
        harbour.cut(first)
        seen = []
        await harbour.until(lambda: seen.append(tuple(holders())) or seen[-1] not in ((), (first,)))
        assert all(len(one) <= 1 for one in seen)

    run(play)


@test("five cores that are to bear two losses: those that were no seeds are made voters, one after the other")
def _():
    async def play(harbour):
        await harbour.until(
            lambda: all(len(one.word.crew.names) == 5 and one.word.votes() for one in harbour.offices.values())
        )
        assert {one.word.crew.number for one in harbour.offices.values()} == {3}
        await touch(harbour)
        harbour.stop("10.0.0.1")
        harbour.stop("10.0.0.2")
        assert await harbour.offices["10.0.0.3"].call(put(5)) == Acknowledged()

    run(play, count=5, losses=2)


ABC = VoterSet(4, ("a", "b", "c"))


@test("a core that is told to end hands its vote to one that has none, and holds nobody up where there is none")
def _():
    async def play(harbour):
        await touch(harbour)
        leaver = harbour.offices["10.0.0.1"]
        await harbour.until(lambda: any(one.tenure.holds(one.clock()) for one in harbour.offices.values()))
        await asyncio.sleep(3)
        await leaver.leave(3.0)
        assert leaver.word.crew.names == ("10.0.0.2", "10.0.0.3", "10.0.0.4")
        await harbour.until(lambda: harbour.offices["10.0.0.4"].word.votes())

    async def alone(harbour):
        await touch(harbour)
        begun = asyncio.get_running_loop().time()
        await harbour.offices["10.0.0.1"].leave(3.0)
        assert asyncio.get_running_loop().time() == begun
        assert "10.0.0.1" in harbour.offices["10.0.0.2"].word.crew.names

    run(play, count=4)
    run(alone)


@test("a voter lost for long is replaced by a core that is steady: first added, then the lost one goes")
def _():
    assert change(ABC, {"a": 40.0}, {}, 3) == ABC.names
    assert change(ABC, {"a": 20.0}, {"d": 9.0}, 3) == ABC.names
    more = change(ABC, {"a": 40.0}, {"d": 9.0}, 3)
    assert more == ("a", "b", "c", "d")
    assert change(VoterSet(5, more), {"a": 40.0}, {}, 3) == ("b", "c", "d")
    assert change(VoterSet(5, more), {"a": 40.0, "b": 9.0, "c": 9.0}, {}, 3) == more  # the rest has no majority


@test("a list that may be decided already is taken on by whoever ends the change")
def _():
    half = Reply(True, ABC, (2, "b"), ((2, "b"), ("a", "b", "c", "d")))
    later = Reply(True, ABC, (3, "c"), ((3, "c"), ("a", "b")))
    assert to_propose(("x",), [Reply(True, ABC, (1, "a"), None), half]) == ("a", "b", "c", "d")
    assert to_propose(("x",), [half, later]) == ("a", "b")
    assert to_propose(("x",), [Reply(False, ABC, (2, "b"), half.pending)]) == ("x",)


@test("who has accepted a list votes no more until it is sure, and promises hold against older rounds")
def _():
    word = Replica("a")
    word.found(ABC, True, read_configuration(example(3)).version, example(3))
    assert word.promise(5, (2, "b")) and not word.promise(5, (1, "c")) and not word.promise(6, (9, "b"))
    assert not word.accept(5, (1, "c"), ("a",)) and word.accept(5, (2, "b"), ("a", "b", "c", "d"))
    assert not word.votes() and word.member()
    assert word.sure(VoterSet(5, ("a", "b", "c", "d"))) and word.votes() and not word.sure(ABC)
    assert word.sure(VoterSet(6, ("b", "c", "d"))) and not word.votes()
    assert word.sure(VoterSet(7, ("a", "b", "c"))) and not word.votes()  # it copies first
