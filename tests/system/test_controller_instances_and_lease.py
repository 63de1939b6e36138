"""A cluster of controllers: drains, the quota lease and the status report."""

import asyncio

from controller_cluster import run
from controller_steps import all_have_quorum, heartbeat, lease_holders, status
from ward import test

from stoneyoke.api.calls import Acknowledged, Unavailable
from stoneyoke.api.http_mapping import read_call
from stoneyoke.consensus.register_value import INITIAL_DISK_NAME
from stoneyoke.controlplane.instance_registry import Phase


@test("a drain is acknowledged once a majority has it, so that it survives the controller that acknowledged it")
def _():
    async def scenario(cluster):
        await all_have_quorum(cluster)
        one = cluster.controllers["10.0.0.1"]
        assert await one.handle_call(heartbeat()) == Acknowledged()
        assert await one.handle_call(heartbeat(2, "draining")) == Acknowledged()
        registries = [controller.discovery.registry for controller in cluster.controllers.values()]
        records = [registry.records.get("i-1") for registry in registries]
        assert sum(record is not None and record.row.phase == Phase.DRAINING for record in records) >= 2
        cluster.lost = dict.fromkeys(cluster.names, ("InstanceUpdate",))
        assert isinstance(await one.handle_call(read_call("POST", "/instances/i-1/leave", b"")), Unavailable)

    run(scenario)


@test("a controller that restarts learns of drains from the others before it is synced")
def _():
    async def scenario(cluster):
        await all_have_quorum(cluster)
        assert await cluster.controllers["10.0.0.1"].handle_call(heartbeat(2, "draining")) == Acknowledged()
        cluster.stop("10.0.0.1")
        again = await cluster.start("10.0.0.1")
        assert not again.discovery.synced()
        await cluster.wait_until(again.discovery.synced)
        assert again.discovery.registry.records["i-1"].row.phase == Phase.DRAINING

    run(scenario)


@test("one controller holds the quota lease; when it is unreachable another one does, once the lease has expired")
def _():
    async def scenario(cluster):
        def holders():
            return lease_holders(cluster)

        await cluster.wait_until(holders)
        first = holders()[0]
        cluster.cut(first)
        seen = []
        await cluster.wait_until(lambda: seen.append(tuple(holders())) or seen[-1] not in ((), (first,)))
        assert all(len(one) <= 1 for one in seen)

    run(scenario)


@test("a controller that can't reach the others never names itself as the holder of the lease")
def _():
    async def scenario(cluster):
        await cluster.wait_until(lambda: lease_holders(cluster))
        first = lease_holders(cluster)[0]
        other = next(name for name in cluster.names if name != first)
        for name in (first, other):
            cluster.cut(name)
            alone = cluster.controllers[name]
            await cluster.wait_until(lambda alone=alone: not alone.has_quorum() and not alone.lease.is_held())
            for _ in range(2000):
                assert alone.lease.known_holder() != name
                await asyncio.sleep(0.01)
            cluster.partitions = set()
            await all_have_quorum(cluster)
            await cluster.wait_until(lambda: lease_holders(cluster))

    run(scenario)


@test("the status contains quorum and lease holder, also under their names of the previous release")
def _():
    async def scenario(cluster):
        await all_have_quorum(cluster)
        await cluster.wait_until(lambda: lease_holders(cluster))
        await asyncio.sleep(1)
        found = status(cluster)
        assert found["has_quorum"] is found["in_touch"] is True
        assert found["lease_holder"] == found["keeper"] == lease_holders(cluster)[0]
        assert found["voters"] == {"number": 1, "members": [f"{name}/{INITIAL_DISK_NAME}" for name in cluster.names]}
        assert set(found["controllers"]) == {"10.0.0.1", "10.0.0.3"}

    run(scenario)
