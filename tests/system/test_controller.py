"""Controllers at work together: configuration, voters, leases and drains under cuts, restarts and lost disks."""

import asyncio
import json

from configurations import example
from controller_cluster import run
from ward import each, test

from stoneyoke.api.calls import Acknowledged, Document, ReadConfiguration, Rejected, Unavailable
from stoneyoke.api.http_mapping import read_call
from stoneyoke.consensus.register_value import FIRST_DISK
from stoneyoke.controlplane.instance_registry import Phase


def put(number, change=None):
    return read_call("POST", "/config/replace", example(number, change))


def other_content(configuration):
    configuration.update(limits=None)


def heartbeat(seq=1, phase="ready", instance="i-1"):
    return read_call(
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


async def all_have_quorum(cluster):
    await cluster.until(lambda: all(one.has_quorum() for one in cluster.controllers.values()))


def voters(cluster, name="10.0.0.2"):
    return cluster.controllers[name].replica.voters()


def status(cluster, name="10.0.0.2"):
    return json.loads(cluster.controllers[name].status())


def lease_holders(cluster):
    return [name for name, one in cluster.controllers.items() if one.lease.is_held()]


@test("a configuration acknowledged by one controller is read back at every other, also after a power loss of all")
def _():
    async def play(cluster):
        await all_have_quorum(cluster)
        assert await cluster.controllers["10.0.0.1"].handle_call(put(5)) == Acknowledged()
        assert await cluster.controllers["10.0.0.2"].handle_call(ReadConfiguration()) == Document(example(5))
        assert sum(disk.records["register"][b"body"] == example(5) for disk in cluster.disks.values()) >= 2
        for name in cluster.names:
            cluster.stop(name)
        for name in cluster.names:
            await cluster.start(name)
        await all_have_quorum(cluster)
        assert await cluster.controllers["10.0.0.3"].handle_call(ReadConfiguration()) == Document(example(5))

    run(play)


@test("before the first replacement a read is rejected: there is no configuration")
def _():
    async def play(cluster):
        await all_have_quorum(cluster)
        assert isinstance(await cluster.controllers["10.0.0.1"].handle_call(ReadConfiguration()), Rejected)

    run(play)


@test("an older version, and the same one again, are acknowledged and change nothing")
def _():
    async def play(cluster):
        await all_have_quorum(cluster)
        one = cluster.controllers["10.0.0.1"]
        assert await one.handle_call(put(9)) == Acknowledged() and await one.handle_call(put(9)) == Acknowledged()
        assert await cluster.controllers["10.0.0.2"].handle_call(put(4)) == Acknowledged()
        assert await one.handle_call(ReadConfiguration()) == Document(example(9))

    run(play)


@test("two operators at two controllers at once: all controllers end with the higher number")
def _():
    async def play(cluster):
        await all_have_quorum(cluster)
        one, other = cluster.controllers["10.0.0.1"], cluster.controllers["10.0.0.2"]
        await asyncio.gather(one.handle_call(put(6)), other.handle_call(put(7)))
        assert (
            await one.handle_call(ReadConfiguration())
            == await other.handle_call(ReadConfiguration())
            == Document(example(7))
        )

    run(play)


@test("two contents under one number: one is acknowledged, the other conflicts, at every controller and for ever")
def _():
    async def play(cluster):
        await all_have_quorum(cluster)
        one, other = cluster.controllers["10.0.0.1"], cluster.controllers["10.0.0.2"]
        answers = await asyncio.gather(one.handle_call(put(8)), other.handle_call(put(8, other_content)))
        assert sorted(type(answer).__name__ for answer in answers) == ["Acknowledged", "Rejected"]
        rejected = next(answer for answer in answers if isinstance(answer, Rejected))
        assert rejected.status == 409
        first, second = (
            (put(8), put(8, other_content)) if answers[0] == Acknowledged() else (put(8, other_content), put(8))
        )
        for controller in cluster.controllers.values():
            assert await controller.handle_call(first) == Acknowledged()
            assert isinstance(await controller.handle_call(second), Rejected)
            assert await controller.handle_call(ReadConfiguration()) == Document(first.configuration.body)

    run(play)


@test("a replacement whose answer was lost is acknowledged when sent again, at any controller, also after later ones")
def _():
    async def play(cluster):
        await all_have_quorum(cluster)
        cluster.lost = dict.fromkeys(cluster.names, ("AcceptRequest",))
        assert isinstance(await cluster.controllers["10.0.0.1"].handle_call(put(5)), Unavailable)
        cluster.lost = {}
        for name in ("10.0.0.2", "10.0.0.3", "10.0.0.1"):
            assert await cluster.controllers[name].handle_call(put(5)) == Acknowledged()
        assert await cluster.controllers["10.0.0.2"].handle_call(put(6)) == Acknowledged()
        for controller in cluster.controllers.values():
            assert await controller.handle_call(put(5)) == Acknowledged()
            assert await controller.handle_call(ReadConfiguration()) == Document(example(6))

    run(play)


@test("a replacement that its controller left unfinished is completed by others, and keeps its number for its content")
def _():
    async def play(cluster):
        await all_have_quorum(cluster)
        proposer, other = cluster.controllers["10.0.0.1"], cluster.controllers["10.0.0.2"]
        cluster.lost = {"10.0.0.2": ("AcceptRequest",), "10.0.0.3": ("AcceptRequest",)}
        assert isinstance(await proposer.handle_call(put(5)), Unavailable)
        cluster.lost = {}
        assert isinstance(await other.handle_call(put(5, other_content)), Rejected)
        assert await other.handle_call(ReadConfiguration()) == Document(example(5))

    run(play)


@test("a controller without a quorum acknowledges nothing and answers at once; the others go on")
def _():
    async def play(cluster):
        await all_have_quorum(cluster)
        cluster.cut("10.0.0.1")
        alone = cluster.controllers["10.0.0.1"]
        await cluster.until(lambda: not alone.has_quorum())
        began = alone.clock()
        for call in (put(5), heartbeat(), heartbeat(2, "draining")):
            assert isinstance(await alone.handle_call(call), Unavailable)
        assert not alone.lease.is_held()
        assert alone.clock() - began < 0.1
        assert await cluster.controllers["10.0.0.2"].handle_call(put(5)) == Acknowledged()
        cluster.cuts = set()
        await cluster.until(lambda: alone.replica.version().number == 5)

    run(play)


@test("a disk that refuses writes does not count towards the majority; the others are enough")
def _():
    async def play(cluster):
        await all_have_quorum(cluster)
        cluster.disks["10.0.0.1"].refuses = True
        assert await cluster.controllers["10.0.0.1"].handle_call(put(5)) == Acknowledged()
        assert cluster.disks["10.0.0.1"].records["register"][b"body"] == b""
        cluster.disks["10.0.0.2"].refuses = True
        assert isinstance(await cluster.controllers["10.0.0.3"].handle_call(put(6)), Unavailable)

    run(play)


@test("a machine whose disk is empty is another member: what it and one other held stays what is read")
def _():
    async def play(cluster):
        await all_have_quorum(cluster)
        cluster.stop("10.0.0.3")
        assert await cluster.controllers["10.0.0.1"].handle_call(put(5)) == Acknowledged()
        cluster.stop("10.0.0.2")  # held by 1 and 2 alone; 1 loses its disk
        cluster.stop("10.0.0.1")
        cluster.disks["10.0.0.1"].records.clear()
        wiped = await cluster.start("10.0.0.1")
        await cluster.start("10.0.0.3")
        await asyncio.sleep(5)
        assert not wiped.replica.is_voter() and wiped.replica.identity.disk != FIRST_DISK
        for call in (ReadConfiguration(), put(4), put(9)):
            assert isinstance(await wiped.handle_call(call), Unavailable)
            assert isinstance(await cluster.controllers["10.0.0.3"].handle_call(call), Unavailable)
        await cluster.start("10.0.0.2")
        await cluster.until(wiped.replica.is_voter)
        assert await wiped.handle_call(ReadConfiguration()) == Document(example(5))
        assert voters(cluster).number == 2 and wiped.replica.identity in voters(cluster).members

    run(play)


@test("a machine that lost its disk votes again within the operators' bound, so that the next loss leaves a majority")
def _():
    async def play(cluster):
        await all_have_quorum(cluster)
        for number, name in enumerate(cluster.names * 3, 5):
            others = [other for other in cluster.names if other != name]
            cluster.stop(name)
            cluster.disks[name].records.clear()
            assert await cluster.controllers[others[0]].handle_call(put(number)) == Acknowledged()
            again = await cluster.start(name)
            await asyncio.sleep(4.0)
            assert again.replica.is_voter()
            assert await again.handle_call(ReadConfiguration()) == Document(example(number))

    run(play)


@test(
    "a machine exchanged for an empty one at another address is replaced as a voter within the bound, one after another"
)
def _():
    async def play(cluster):
        await all_have_quorum(cluster)
        present = list(cluster.names)
        for number in range(5, 11):
            gone, new = present.pop(0), f"10.0.0.{number + 10}"
            cluster.stop(gone)
            await asyncio.sleep(1.0)
            cluster.add(new)
            cluster.seeds = tuple(present)  # the operator's list as it is now
            await cluster.start(new)
            present.append(new)
            await asyncio.sleep(4.0)
            assert {*voters(cluster, new).addresses()} == {*present}
            assert await cluster.controllers[new].handle_call(put(number)) == Acknowledged()
        assert len(present) == 3

    run(play)


@test("a voter that was replaced while cut off decides nothing when it is back, nor together with former voters")
def _():
    async def play(cluster):
        await all_have_quorum(cluster)
        await cluster.until(lambda: lease_holders(cluster))
        cluster.cut("10.0.0.1")
        await cluster.until(lambda: "10.0.0.4" in voters(cluster).addresses())
        assert await cluster.controllers["10.0.0.2"].handle_call(put(5)) == Acknowledged()
        old = cluster.controllers["10.0.0.1"]
        assert "10.0.0.1" in old.replica.voters().addresses()  # it cannot know
        assert isinstance(await old.handle_call(put(6)), Unavailable) and isinstance(
            await old.handle_call(ReadConfiguration()), Unavailable
        )
        cluster.cuts = [{"10.0.0.1", "10.0.0.2"}, {"10.0.0.1", "10.0.0.4"}]  # with one former fellow voter alone
        await cluster.until(lambda: old.replica.version().number == 5)
        assert not old.replica.is_voter()
        assert isinstance(await old.handle_call(put(6)), Unavailable)  # it reaches one of three voters
        cluster.cuts = []
        await all_have_quorum(cluster)
        assert await old.handle_call(put(6)) == Acknowledged()

    run(play, count=4)


@test("a drain is acknowledged once a majority knows it, and survives the controller that acknowledged it")
def _():
    async def play(cluster):
        await all_have_quorum(cluster)
        one = cluster.controllers["10.0.0.1"]
        assert await one.handle_call(heartbeat()) == Acknowledged()
        assert await one.handle_call(heartbeat(2, "draining")) == Acknowledged()
        registries = [controller.discovery.registry for controller in cluster.controllers.values()]
        records = [registry.records.get("i-1") for registry in registries]
        assert sum(record is not None and record.row.phase == Phase.DRAINING for record in records) >= 2
        cluster.lost = dict.fromkeys(cluster.names, ("InstanceUpdate",))
        assert isinstance(await one.handle_call(read_call("POST", "/instances/i-1/leave", b"")), Unavailable)

    run(play)


@test("a controller that starts again learns of drains from the others before it is synced")
def _():
    async def play(cluster):
        await all_have_quorum(cluster)
        assert await cluster.controllers["10.0.0.1"].handle_call(heartbeat(2, "draining")) == Acknowledged()
        cluster.stop("10.0.0.1")
        again = await cluster.start("10.0.0.1")
        assert not again.discovery.synced()
        await cluster.until(again.discovery.synced)
        assert again.discovery.registry.records["i-1"].row.phase == Phase.DRAINING

    run(play)


@test("one controller holds the quota lease; when it is cut off another one does, not before its lease has ended")
def _():
    async def play(cluster):
        def holders():
            return lease_holders(cluster)

        await cluster.until(holders)
        first = holders()[0]
        cluster.cut(first)
        seen = []
        await cluster.until(lambda: seen.append(tuple(holders())) or seen[-1] not in ((), (first,)))
        assert all(len(one) <= 1 for one in seen)

    run(play)


@test("a controller that is cut off from the others never names itself as the holder of the lease")
def _():
    async def play(cluster):
        await cluster.until(lambda: lease_holders(cluster))
        first = lease_holders(cluster)[0]
        other = next(name for name in cluster.names if name != first)
        for name in (first, other):
            cluster.cut(name)
            alone = cluster.controllers[name]
            await cluster.until(lambda alone=alone: not alone.has_quorum() and not alone.lease.is_held())
            for _ in range(2000):
                assert alone.lease.holder_known() != name
                await asyncio.sleep(0.01)
            cluster.cuts = set()
            await all_have_quorum(cluster)
            await cluster.until(lambda: lease_holders(cluster))

    run(play)


@test("five controllers that are to survive two losses: those that were not seeds become voters")
def _():
    async def play(cluster):
        await cluster.until(lambda: all(len(one.replica.voters().members) == 5 for one in cluster.controllers.values()))
        assert {one.replica.voters().number for one in cluster.controllers.values()} == {2}
        await all_have_quorum(cluster)
        cluster.stop("10.0.0.1")
        cluster.stop("10.0.0.2")
        assert await cluster.controllers["10.0.0.3"].handle_call(put(5)) == Acknowledged()

    run(play, count=5, losses=2)


@test("a controller that shuts down hands its vote to a learner, and does not wait if there is none")
def _():
    async def play(cluster):
        await all_have_quorum(cluster)
        leaver = cluster.controllers["10.0.0.1"]
        await cluster.until(lambda: lease_holders(cluster))
        await asyncio.sleep(3)
        await leaver.leave(3.0)
        assert voters(cluster).addresses() == ("10.0.0.2", "10.0.0.3", "10.0.0.4")
        await cluster.until(cluster.controllers["10.0.0.4"].replica.is_voter)
        cluster.stop("10.0.0.1")
        cluster.stop("10.0.0.2")
        assert await cluster.controllers["10.0.0.3"].handle_call(put(5)) == Acknowledged()

    async def alone(cluster):
        await all_have_quorum(cluster)
        begun = asyncio.get_running_loop().time()
        await cluster.controllers["10.0.0.1"].leave(3.0)
        assert asyncio.get_running_loop().time() == begun
        assert "10.0.0.1" in voters(cluster).addresses()

    run(play, count=4)
    run(alone)


@test("a change of voters whose proposer is cut off after a {kind} is completed by the others, and replacements go on")
def _(kind=each("PrepareRequest", "AcceptRequest", "ChosenNotice")):
    async def play(cluster):
        await all_have_quorum(cluster)
        await cluster.until(lambda: lease_holders(cluster))
        assert await cluster.controllers["10.0.0.1"].handle_call(put(5)) == Acknowledged()
        holder = lease_holders(cluster)[0]
        gone = next(name for name in cluster.names[:3] if name != holder)
        cluster.stop(gone)
        cluster.cut_after(holder, kind)
        await cluster.until(lambda: cluster.cuts)
        rest = [name for name in cluster.names if name not in (gone, holder)]
        await asyncio.sleep(3.0)
        cluster.cuts = []  # it is back
        await cluster.until(lambda: len({one.replica.voters() for one in cluster.controllers.values()}) == 1)
        await all_have_quorum(cluster)
        assert await cluster.controllers[rest[0]].handle_call(put(6)) == Acknowledged()
        await cluster.until(lambda: "10.0.0.4" in voters(cluster, rest[0]).addresses())

    run(play, count=4)


@test("after hundreds of changes a member that was away holds the newest value in one step, and little else")
def _():
    async def play(cluster):
        await all_have_quorum(cluster)
        cluster.stop("10.0.0.3")
        for number in range(1, 301):
            assert await cluster.controllers["10.0.0.1"].handle_call(put(number)) == Acknowledged()
        sent_before = cluster.carried["ValueRequest"]
        again = await cluster.start("10.0.0.3")
        assert again.replica.chosen is None and not again.lease.is_held()
        await cluster.until(lambda: again.replica.version().number == 300)
        assert cluster.carried["ValueRequest"] - sent_before <= 4
        assert sum(len(part) for part in cluster.disks["10.0.0.3"].records["register"].values()) < 2 * len(example(300))

    run(play)


@test("a new disk that refuses is tried again until it takes its name")
def _():
    async def play(cluster):
        await all_have_quorum(cluster)
        cluster.stop("10.0.0.3")
        cluster.disks["10.0.0.3"].records.clear()
        cluster.disks["10.0.0.3"].refuses = True
        starting = asyncio.ensure_future(cluster.start("10.0.0.3"))
        await asyncio.sleep(2)
        assert not starting.done()
        cluster.disks["10.0.0.3"].refuses = False
        again = await starting
        await cluster.until(again.replica.is_voter)

    run(play)


@test("a controller whose disk hangs acknowledges by the others' disks, and keeps its quorum")
def _():
    async def play(cluster):
        await all_have_quorum(cluster)
        one = cluster.controllers["10.0.0.1"]
        assert await one.handle_call(put(5)) == Acknowledged()
        stalled = asyncio.Event()

        async def stands_still(work, *args):
            await stalled.wait()
            return work(*args)

        usual, one.replica.disk.run_blocking = one.replica.disk.run_blocking, stands_still
        for number in (6, 7, 8):
            assert await one.handle_call(put(number)) == Acknowledged()
        assert await one.handle_call(ReadConfiguration()) == Document(example(8))
        await asyncio.sleep(5)
        assert one.has_quorum() and cluster.disks["10.0.0.1"].records["register"][b"body"] == example(5)
        one.replica.disk.run_blocking = usual
        stalled.set()
        await cluster.until(lambda: cluster.disks["10.0.0.1"].records["register"][b"body"] == example(8))

    run(play)


@test("the status names quorum and lease holder, also by their names of the release before")
def _():
    async def play(cluster):
        await all_have_quorum(cluster)
        await cluster.until(lambda: lease_holders(cluster))
        await asyncio.sleep(1)
        found = status(cluster)
        assert found["has_quorum"] is found["in_touch"] is True
        assert found["lease_holder"] == found["keeper"] == lease_holders(cluster)[0]
        assert found["voters"] == {"number": 1, "members": [f"{name}/{FIRST_DISK}" for name in cluster.names]}
        assert set(found["controllers"]) == {"10.0.0.1", "10.0.0.3"}

    run(play)
