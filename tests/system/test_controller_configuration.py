"""A cluster of controllers: what operators put and read during network partitions, restarts and lost responses."""

import asyncio

from configurations import example
from controller_cluster import run
from controller_steps import all_have_quorum, heartbeat, other_content, put
from ward import test

from stoneyoke.api.calls import Acknowledged, Document, ReadConfiguration, Rejected, Unavailable


@test("a configuration acknowledged by one controller is read back at every other, also after a power loss of all")
def _():
    async def scenario(cluster):
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

    run(scenario)


@test("before the first replacement a read is rejected: there is no configuration")
def _():
    async def scenario(cluster):
        await all_have_quorum(cluster)
        assert isinstance(await cluster.controllers["10.0.0.1"].handle_call(ReadConfiguration()), Rejected)

    run(scenario)


@test("an older version and the current one sent again are acknowledged and change nothing")
def _():
    async def scenario(cluster):
        await all_have_quorum(cluster)
        one = cluster.controllers["10.0.0.1"]
        assert await one.handle_call(put(9)) == Acknowledged() and await one.handle_call(put(9)) == Acknowledged()
        assert await cluster.controllers["10.0.0.2"].handle_call(put(4)) == Acknowledged()
        assert await one.handle_call(ReadConfiguration()) == Document(example(9))

    run(scenario)


@test("two operators replace the configuration at two controllers at once: all end with the higher number")
def _():
    async def scenario(cluster):
        await all_have_quorum(cluster)
        one, other = cluster.controllers["10.0.0.1"], cluster.controllers["10.0.0.2"]
        await asyncio.gather(one.handle_call(put(6)), other.handle_call(put(7)))
        assert (
            await one.handle_call(ReadConfiguration())
            == await other.handle_call(ReadConfiguration())
            == Document(example(7))
        )

    run(scenario)


@test("two contents under one number: one is acknowledged, the other conflicts, at every controller and for ever")
def _():
    async def scenario(cluster):
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

    run(scenario)


@test("a replacement whose response was lost is acknowledged when sent again, at any controller, also after later ones")
def _():
    async def scenario(cluster):
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

    run(scenario)


@test("a replacement that its controller left unfinished is completed by others, so its number can't get other content")
def _():
    async def scenario(cluster):
        await all_have_quorum(cluster)
        proposer, other = cluster.controllers["10.0.0.1"], cluster.controllers["10.0.0.2"]
        cluster.lost = {"10.0.0.2": ("AcceptRequest",), "10.0.0.3": ("AcceptRequest",)}
        assert isinstance(await proposer.handle_call(put(5)), Unavailable)
        cluster.lost = {}
        assert isinstance(await other.handle_call(put(5, other_content)), Rejected)
        assert await other.handle_call(ReadConfiguration()) == Document(example(5))

    run(scenario)


@test("a controller without a quorum acknowledges nothing and responds at once; the others continue")
def _():
    async def scenario(cluster):
        await all_have_quorum(cluster)
        cluster.cut("10.0.0.1")
        alone = cluster.controllers["10.0.0.1"]
        await cluster.wait_until(lambda: not alone.has_quorum())
        began = alone.clock()
        for call in (put(5), heartbeat(), heartbeat(2, "draining")):
            assert isinstance(await alone.handle_call(call), Unavailable)
        assert not alone.lease.is_held()
        assert alone.clock() - began < 0.1
        assert await cluster.controllers["10.0.0.2"].handle_call(put(5)) == Acknowledged()
        cluster.partitions = set()
        await cluster.wait_until(lambda: alone.replica.version().number == 5)

    run(scenario)


@test("a member that was down during 300 changes fetches the newest value in one step and stores little else")
def _():
    async def scenario(cluster):
        await all_have_quorum(cluster)
        cluster.stop("10.0.0.3")
        for number in range(1, 301):
            assert await cluster.controllers["10.0.0.1"].handle_call(put(number)) == Acknowledged()
        sent_before = cluster.carried["ValueRequest"]
        again = await cluster.start("10.0.0.3")
        assert again.replica.chosen is None and not again.lease.is_held()
        await cluster.wait_until(lambda: again.replica.version().number == 300)
        assert cluster.carried["ValueRequest"] - sent_before <= 4
        assert sum(len(part) for part in cluster.disks["10.0.0.3"].records["register"].values()) < 2 * len(example(300))

    run(scenario)
