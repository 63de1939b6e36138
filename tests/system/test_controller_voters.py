"""A cluster of controllers: changes of the voters, lost and failing disks, members that restart or reconnect."""

import asyncio

from configurations import example
from controller_cluster import run
from controller_steps import all_have_quorum, lease_holders, put, voters
from ward import each, test

from stoneyoke.api.calls import Acknowledged, Document, ReadConfiguration, Unavailable
from stoneyoke.consensus.register_value import INITIAL_DISK_NAME


@test("a voter whose disk fails to write does not count towards the majority; the others are enough")
def _():
    async def scenario(cluster):
        await all_have_quorum(cluster)
        cluster.disks["10.0.0.1"].refuses = True
        assert await cluster.controllers["10.0.0.1"].handle_call(put(5)) == Acknowledged()
        assert cluster.disks["10.0.0.1"].records["register"][b"body"] == b""
        cluster.disks["10.0.0.2"].refuses = True
        assert isinstance(await cluster.controllers["10.0.0.3"].handle_call(put(6)), Unavailable)

    run(scenario)


@test("a machine whose disk is empty is another member: a value that it had stored with one other is still read")
def _():
    async def scenario(cluster):
        await all_have_quorum(cluster)
        cluster.stop("10.0.0.3")
        assert await cluster.controllers["10.0.0.1"].handle_call(put(5)) == Acknowledged()
        cluster.stop("10.0.0.2")  # only 1 and 2 have the value, and 1 loses its disk
        cluster.stop("10.0.0.1")
        cluster.disks["10.0.0.1"].records.clear()
        wiped = await cluster.start("10.0.0.1")
        await cluster.start("10.0.0.3")
        await asyncio.sleep(5)
        assert not wiped.replica.is_voter() and wiped.replica.identity.disk != INITIAL_DISK_NAME
        for call in (ReadConfiguration(), put(4), put(9)):
            assert isinstance(await wiped.handle_call(call), Unavailable)
            assert isinstance(await cluster.controllers["10.0.0.3"].handle_call(call), Unavailable)
        await cluster.start("10.0.0.2")
        await cluster.wait_until(wiped.replica.is_voter)
        assert await wiped.handle_call(ReadConfiguration()) == Document(example(5))
        assert voters(cluster).number == 2 and wiped.replica.identity in voters(cluster).members

    run(scenario)


@test("a machine that lost its disk votes again within the operators' bound, so that the next loss leaves a majority")
def _():
    async def scenario(cluster):
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

    run(scenario)


@test(
    "a machine replaced by an empty one at another address is replaced as a voter within the bound, six times in a row"
)
def _():
    async def scenario(cluster):
        await all_have_quorum(cluster)
        present = list(cluster.names)
        for number in range(5, 11):
            gone, new = present.pop(0), f"10.0.0.{number + 10}"
            cluster.stop(gone)
            await asyncio.sleep(1.0)
            cluster.add(new)
            cluster.seeds = tuple(present)  # the operator's current list
            await cluster.start(new)
            present.append(new)
            await asyncio.sleep(4.0)
            assert {*voters(cluster, new).addresses()} == {*present}
            assert await cluster.controllers[new].handle_call(put(number)) == Acknowledged()
        assert len(present) == 3

    run(scenario)


@test("a voter that was replaced while unreachable decides nothing when it reconnects, not even with a former voter")
def _():
    async def scenario(cluster):
        await all_have_quorum(cluster)
        await cluster.wait_until(lambda: lease_holders(cluster))
        cluster.cut("10.0.0.1")
        await cluster.wait_until(lambda: "10.0.0.4" in voters(cluster).addresses())
        assert await cluster.controllers["10.0.0.2"].handle_call(put(5)) == Acknowledged()
        old = cluster.controllers["10.0.0.1"]
        assert "10.0.0.1" in old.replica.voters().addresses()  # it hasn't learned of its replacement
        assert isinstance(await old.handle_call(put(6)), Unavailable) and isinstance(
            await old.handle_call(ReadConfiguration()), Unavailable
        )
        # It reaches only one of the former voters, 10.0.0.3.
        cluster.partitions = [{"10.0.0.1", "10.0.0.2"}, {"10.0.0.1", "10.0.0.4"}]
        await cluster.wait_until(lambda: old.replica.version().number == 5)
        assert not old.replica.is_voter()
        assert isinstance(await old.handle_call(put(6)), Unavailable)  # it reaches one of three voters
        cluster.partitions = []
        await all_have_quorum(cluster)
        assert await old.handle_call(put(6)) == Acknowledged()

    run(scenario, count=4)


@test("five controllers that tolerate two losses: those that were not seeds become voters")
def _():
    async def scenario(cluster):
        await cluster.wait_until(
            lambda: all(len(one.replica.voters().members) == 5 for one in cluster.controllers.values())
        )
        assert {one.replica.voters().number for one in cluster.controllers.values()} == {2}
        await all_have_quorum(cluster)
        cluster.stop("10.0.0.1")
        cluster.stop("10.0.0.2")
        assert await cluster.controllers["10.0.0.3"].handle_call(put(5)) == Acknowledged()

    run(scenario, count=5, losses=2)


@test("a controller that shuts down transfers its vote to a learner, and does not wait if there is none")
def _():
    async def scenario(cluster):
        await all_have_quorum(cluster)
        stopping = cluster.controllers["10.0.0.1"]
        await cluster.wait_until(lambda: lease_holders(cluster))
        await asyncio.sleep(3)
        await stopping.transfer_vote(3.0)
        assert voters(cluster).addresses() == ("10.0.0.2", "10.0.0.3", "10.0.0.4")
        await cluster.wait_until(cluster.controllers["10.0.0.4"].replica.is_voter)
        cluster.stop("10.0.0.1")
        cluster.stop("10.0.0.2")
        assert await cluster.controllers["10.0.0.3"].handle_call(put(5)) == Acknowledged()

    async def alone(cluster):
        await all_have_quorum(cluster)
        started_at = asyncio.get_running_loop().time()
        await cluster.controllers["10.0.0.1"].transfer_vote(3.0)
        assert asyncio.get_running_loop().time() == started_at
        assert "10.0.0.1" in voters(cluster).addresses()

    run(scenario, count=4)
    run(alone)


@test("a change of voters whose proposer is isolated after a {kind} is completed by others, and replacements continue")
def _(kind=each("PrepareRequest", "AcceptRequest", "ChosenNotice")):
    async def scenario(cluster):
        await all_have_quorum(cluster)
        await cluster.wait_until(lambda: lease_holders(cluster))
        assert await cluster.controllers["10.0.0.1"].handle_call(put(5)) == Acknowledged()
        holder = lease_holders(cluster)[0]
        gone = next(name for name in cluster.names[:3] if name != holder)
        cluster.stop(gone)
        cluster.isolate_after_sending(holder, kind)
        await cluster.wait_until(lambda: cluster.partitions)
        rest = [name for name in cluster.names if name not in (gone, holder)]
        await asyncio.sleep(3.0)
        cluster.partitions = []  # the holder reconnects
        await cluster.wait_until(lambda: len({one.replica.voters() for one in cluster.controllers.values()}) == 1)
        await all_have_quorum(cluster)
        assert await cluster.controllers[rest[0]].handle_call(put(6)) == Acknowledged()
        await cluster.wait_until(lambda: "10.0.0.4" in voters(cluster, rest[0]).addresses())

    run(scenario, count=4)


@test("initializing a new disk that fails to write is retried until it succeeds")
def _():
    async def scenario(cluster):
        await all_have_quorum(cluster)
        cluster.stop("10.0.0.3")
        cluster.disks["10.0.0.3"].records.clear()
        cluster.disks["10.0.0.3"].refuses = True
        starting = asyncio.ensure_future(cluster.start("10.0.0.3"))
        await asyncio.sleep(2)
        assert not starting.done()
        cluster.disks["10.0.0.3"].refuses = False
        again = await starting
        await cluster.wait_until(again.replica.is_voter)

    run(scenario)


@test("a controller whose disk hangs acknowledges once the others' disks have the value, and still has a quorum")
def _():
    async def scenario(cluster):
        await all_have_quorum(cluster)
        one = cluster.controllers["10.0.0.1"]
        assert await one.handle_call(put(5)) == Acknowledged()
        stalled = asyncio.Event()

        async def wait_for_disk(operation, *args):
            await stalled.wait()
            return operation(*args)

        run_blocking, one.replica.disk.run_blocking = one.replica.disk.run_blocking, wait_for_disk
        for number in (6, 7, 8):
            assert await one.handle_call(put(number)) == Acknowledged()
        assert await one.handle_call(ReadConfiguration()) == Document(example(8))
        await asyncio.sleep(5)
        assert one.has_quorum() and cluster.disks["10.0.0.1"].records["register"][b"body"] == example(5)
        one.replica.disk.run_blocking = run_blocking
        stalled.set()
        await cluster.wait_until(lambda: cluster.disks["10.0.0.1"].records["register"][b"body"] == example(8))

    run(scenario)
