"""The discovery service alone, with simulated links, which the tests control, and simulated time."""

import asyncio
import random

from controller_cluster import SimulatedLoop
from ward import test

from stoneyoke.api.calls import Acknowledged, Heartbeat, Leave, Unavailable
from stoneyoke.controlplane.controller_context import BackgroundTasks, ChangeNotifier, ControllerContext
from stoneyoke.controlplane.discovery_service import (
    STALL_RECOVERY_S,
    STALL_THRESHOLD_S,
    SWEEP_INTERVAL_S,
    DiscoveryService,
)
from stoneyoke.controlplane.instance_registry import Phase
from stoneyoke.controlplane.startup_sync import ACK_WINDOW_S, CLOCK_MARGIN_S, StartupSync
from stoneyoke.transport.errors import PeerUnreachable
from stoneyoke.transport.messages import HeartbeatRow, InstanceRefresh, InstanceUpdate, InstanceUpdateResponse

HEARTBEAT_ROUND_S = 4.0
PULL_COUNTS_AFTER_S = ACK_WINDOW_S + CLOCK_MARGIN_S


class Link:
    """A controller's link to another one: `handle` returns the response, after delay_s."""

    def __init__(self, handle):
        self.handle, self.delay_s, self.lost, self.carried = handle, 0.0, (), []

    async def call(self, message, timeout_s):
        self.carried.append(type(message))
        await asyncio.sleep(min(self.delay_s, timeout_s))
        if self.delay_s > timeout_s or type(message) in self.lost:
            raise PeerUnreachable("no response")
        return self.handle(message)


class FakeClusterView:
    """One controller's view of the cluster."""

    def __init__(self, cluster, own_address, links):
        self.cluster, self.own_address, self.own_links = cluster, own_address, links

    def voters(self):
        return self.cluster.voters

    def links(self):
        return self.own_links

    def has_quorum(self):
        return self.cluster.quorum


class RecordingNotifier(ChangeNotifier):
    """Records the name of each controller that notifies of a change."""

    def __init__(self, name, notified):
        super().__init__()
        self.name, self.notified = name, notified

    def notify(self):
        self.notified.append(self.name)
        super().notify()


class DiscoveryCluster:
    """The discovery services of several controllers, each with links to all others.

    clock_offset_s: seconds that the clock jumped ahead, as after a suspension of the process.
    """

    def __init__(self, count, first_start=True):
        self.names = [f"10.0.0.{at}" for at in range(1, count + 1)]
        self.voters, self.quorum, self.clock_offset_s = tuple(self.names), True, 0.0
        self.tasks, self.services, self.links, self.notified = BackgroundTasks(), {}, {}, []
        for name in self.names:
            self.start(name, first_start)

    def clock(self):
        return asyncio.get_running_loop().time() + self.clock_offset_s

    def start(self, name, first_start=False):
        links = {other: Link(lambda message, other=other: self.handle(other, message)) for other in self.names}
        del links[name]
        self.links[name] = links
        context = ControllerContext(
            clock=self.clock,
            random_source=random.Random(name),
            tasks=self.tasks,
            changes=RecordingNotifier(name, self.notified),
        )
        self.services[name] = DiscoveryService(
            FakeClusterView(self, name, links), context, silence_timeout_s=5.0, heartbeat_round_s=HEARTBEAT_ROUND_S
        )
        if first_start:
            self.services[name].mark_first_start()
        return self.services[name]

    def handle(self, name, message):
        service = self.services[name]
        return (
            service.handle_update(message) if isinstance(message, InstanceUpdate) else service.handle_refresh(message)
        )

    def pull(self, name, other):
        """Makes one controller pull all rows from another, as PeerFollower does."""
        request_sent_at, source = self.clock(), self.services[other]
        self.services[name].merge_rows(source.registry.changes_since(0, self.clock()))
        self.services[name].record_pull(other, source.synced(), request_sent_at)

    async def pass_time(self, for_s):
        """Lets this many seconds pass, in which all controllers sweep."""
        until = self.clock() + for_s
        while self.clock() < until:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for service in self.services.values():
                service.sweep()


def run(scenario, count=3, first_start=True):
    async def run_scenario():
        cluster = DiscoveryCluster(count, first_start)
        await scenario(cluster)
        if running := list(cluster.tasks):
            await asyncio.wait(running)

    loop = SimulatedLoop()
    try:
        loop.run_until_complete(run_scenario())
    finally:
        loop.close()


def heartbeat_call(call_seq=1, draining=False, instance="i-1"):
    return Heartbeat(
        instance=instance,
        address="10.0.1.1:80",
        service="tide",
        generation="v1",
        zone="east",
        capacity=2,
        draining=draining,
        call_seq=call_seq,
        warmup_left_s=0.0,
    )


@test("a drain is acknowledged once a majority of the voters has it, and only then")
def _():
    async def scenario(cluster):
        one, links = cluster.services["10.0.0.1"], cluster.links["10.0.0.1"]
        assert await one.heartbeat(heartbeat_call()) == Acknowledged()
        for other in ("10.0.0.2", "10.0.0.3"):
            links[other].lost = (InstanceUpdate,)
        assert isinstance(await one.heartbeat(heartbeat_call(2, True)), Unavailable)
        links["10.0.0.3"].lost = ()
        assert await one.heartbeat(heartbeat_call(3, True)) == Acknowledged()
        assert cluster.services["10.0.0.3"].registry.records["i-1"].row.phase == Phase.DRAINING
        cluster.voters = ("10.0.0.1", "10.0.0.2")  # the third controller has the drain, but does not vote
        assert isinstance(await one.leave(Leave("i-1")), Unavailable)
        cluster.quorum = False
        links["10.0.0.2"].lost = ()
        assert isinstance(await one.leave(Leave("i-1")), Unavailable)
        cluster.quorum = True
        assert await one.leave(Leave("i-1")) == Acknowledged()

    run(scenario)


@test("a response is not counted if it arrives after a suspension of the process, or if the voters changed meanwhile")
def _():
    async def scenario(cluster):
        one, links = cluster.services["10.0.0.1"], cluster.links["10.0.0.1"]

        def suspend(_):
            cluster.clock_offset_s += ACK_WINDOW_S + 0.1
            return InstanceUpdateResponse()

        handle = links["10.0.0.2"].handle
        links["10.0.0.3"].lost = (InstanceUpdate,)
        links["10.0.0.2"].handle = suspend
        assert isinstance(await one.heartbeat(heartbeat_call(2, True)), Unavailable)

        def voters_change(message):
            cluster.voters = ("10.0.0.1", "10.0.0.2", "10.0.0.4")
            return handle(message)

        links["10.0.0.2"].handle = voters_change
        assert isinstance(await one.heartbeat(heartbeat_call(3, True)), Unavailable)
        assert await one.heartbeat(heartbeat_call(4, True)) == Acknowledged()

    run(scenario)


@test("a process that was suspended refuses updates and heartbeats for a while: they may have waited in its sockets")
def _():
    async def scenario(cluster):
        one = cluster.services["10.0.0.1"]
        await cluster.services["10.0.0.2"].heartbeat(heartbeat_call())
        row = cluster.services["10.0.0.2"].registry.records["i-1"].row
        cluster.clock_offset_s += STALL_THRESHOLD_S + 0.1
        for _ in range(2):  # before its first sweep and after it
            assert one.handle_update(InstanceUpdate(instances=[row])) == InstanceUpdateResponse(accepted=False)
            assert one.handle_refresh(InstanceRefresh(heartbeats=[HeartbeatRow("i-1", 9)])) == InstanceUpdateResponse(
                accepted=False
            )
            assert isinstance(await one.heartbeat(heartbeat_call()), Unavailable)
            assert not one.registry.records
            one.sweep()
        assert isinstance(await cluster.services["10.0.0.2"].heartbeat(heartbeat_call(2, True)), Unavailable)
        await cluster.pass_time(STALL_RECOVERY_S + 0.1)
        assert one.handle_update(InstanceUpdate(instances=[row])) == InstanceUpdateResponse(accepted=True)

    run(scenario)


@test("a row that was forwarded and did not change is sent as a refresh, a row that changed in full")
def _():
    async def scenario(cluster):
        one, link = cluster.services["10.0.0.1"], cluster.links["10.0.0.1"]["10.0.0.2"]
        for call_seq in (1, 2, 3):
            await one.heartbeat(heartbeat_call(call_seq))
            await one.forward_heartbeats(one.registry.rows_of(["i-1"], cluster.clock()))
        await one.heartbeat(heartbeat_call(4, True))
        await one.forward_heartbeats(one.registry.rows_of(["i-1"], cluster.clock()))
        await asyncio.sleep(0.1)
        assert link.carried == [InstanceUpdate, InstanceRefresh, InstanceRefresh, InstanceUpdate, InstanceUpdate]
        assert cluster.services["10.0.0.2"].registry.records["i-1"].row.call_seq == 4

    run(scenario)


@test("a pull from a single synced peer does not make a restarted controller synced: that peer may lack a drain")
def _():
    async def scenario(cluster):
        one, links = cluster.services["10.0.0.1"], cluster.links["10.0.0.1"]
        links["10.0.0.3"].lost = (InstanceUpdate,)
        assert await one.heartbeat(heartbeat_call(2, True)) == Acknowledged()  # 1 and 2 have it, 3 does not
        again = cluster.start("10.0.0.2")
        await cluster.pass_time(PULL_COUNTS_AFTER_S)
        cluster.pull("10.0.0.2", "10.0.0.3")
        assert not again.synced() and not again.registry.records
        cluster.notified.clear()
        cluster.pull("10.0.0.2", "10.0.0.1")
        assert cluster.notified == ["10.0.0.2", "10.0.0.2"]  # for the row, and for being synced
        assert again.synced() and again.registry.records["i-1"].row.phase == Phase.DRAINING

    run(scenario)


@test("pulls count only from synced voters, and not while a response of the previous process may be counted")
def _():
    async def scenario(cluster):
        again = cluster.start("10.0.0.1")
        for other in ("10.0.0.2", "10.0.0.3"):
            cluster.pull("10.0.0.1", other)  # right after the start, which is too early
        assert not again.synced()
        await cluster.pass_time(PULL_COUNTS_AFTER_S)
        cluster.pull("10.0.0.1", "10.0.0.2")
        again.record_pull("10.0.0.9", True, cluster.clock())
        again.record_pull("10.0.0.3", False, cluster.clock())
        assert not again.synced()
        again.record_pull("10.0.0.3", True, cluster.clock())
        assert again.synced()

    run(scenario)


@test("five voters: one that responded and restarted before the end of the count still learns of the drain")
def _():
    async def scenario(cluster):
        one, links = cluster.services["10.0.0.1"], cluster.links["10.0.0.1"]
        for other in ("10.0.0.4", "10.0.0.5"):
            links[other].lost = (InstanceUpdate,)
        links["10.0.0.3"].delay_s = 0.5
        counting = cluster.tasks.spawn(one.heartbeat(heartbeat_call(2, True)))
        await asyncio.sleep(0.1)
        assert cluster.services["10.0.0.2"].registry.records  # it has responded, and now it restarts
        again = cluster.start("10.0.0.2")
        for other in ("10.0.0.3", "10.0.0.4", "10.0.0.5"):
            cluster.pull("10.0.0.2", other)
        assert await counting == Acknowledged()
        assert not again.synced()
        await cluster.pass_time(PULL_COUNTS_AFTER_S)
        for other in ("10.0.0.3", "10.0.0.4", "10.0.0.5"):
            cluster.pull("10.0.0.2", other)
        assert again.synced() and again.registry.records["i-1"].row.phase == Phase.DRAINING

    run(scenario, count=5)


@test("with no synced voter to pull from, a controller is synced after a full heartbeat round with a quorum")
def _():
    async def scenario(cluster):
        one = cluster.services["10.0.0.1"]
        await cluster.pass_time(HEARTBEAT_ROUND_S - 1.0)
        cluster.pull("10.0.0.1", "10.0.0.2")
        cluster.pull("10.0.0.1", "10.0.0.3")
        assert not one.synced()
        cluster.quorum = False
        await cluster.pass_time(0.5)
        cluster.quorum = True
        await cluster.pass_time(HEARTBEAT_ROUND_S - 0.5)
        assert not one.synced()
        cluster.clock_offset_s += HEARTBEAT_ROUND_S  # it was suspended and received nothing meanwhile
        assert not one.synced()
        cluster.notified.clear()
        await cluster.pass_time(HEARTBEAT_ROUND_S + STALL_RECOVERY_S + 2 * SWEEP_INTERVAL_S)
        assert one.synced() and "10.0.0.1" in cluster.notified

    run(scenario, first_start=False)


@test(
    "a controller is synced at once at the system's first start, and not synced once it becomes a voter while it runs"
)
def _():
    startup_sync = StartupSync("d", 0.0, HEARTBEAT_ROUND_S)
    startup_sync.mark_first_start()
    assert startup_sync.evaluate((), 0.0) and startup_sync.evaluate(("a", "b", "c"), 1.0)
    assert not startup_sync.evaluate(("a", "b", "d"), 9.0)
    for name in "ab":
        startup_sync.record_pull(name, True, 9.0 + PULL_COUNTS_AFTER_S)
    assert startup_sync.evaluate(("a", "b", "d"), 10.0)
    assert not StartupSync("a", 0.0, HEARTBEAT_ROUND_S).evaluate((), 99.0)  # the voters are not known
