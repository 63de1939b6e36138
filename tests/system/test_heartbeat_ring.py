"""Which controllers receive a gateway's heartbeats, and when a gateway is removed."""

from ward import each, test

from stoneyoke.controlplane.heartbeat_ring import WATCHER_COUNT, HeartbeatMonitor, heartbeat_receivers

CONTROLLERS = [f"10.0.0.{at}" for at in range(7)]


@test(
    "{name} has the same heartbeat receivers on every machine that computes them, whatever the order of the controllers"
)
def _(name=each("edge-1", "edge-2", "edge-3")):
    found = heartbeat_receivers(name, CONTROLLERS)
    assert found == heartbeat_receivers(name, reversed(CONTROLLERS)) and len(set(found)) == WATCHER_COUNT == 2


@test("gateways are spread over the controllers")
def _():
    assert len({tuple(heartbeat_receivers(f"edge-{at}", CONTROLLERS)) for at in range(50)}) > 3


@test("a gateway is new with its first heartbeat, and again after it was removed")
def _():
    watch = HeartbeatMonitor(timeout_s=10.0)
    assert watch.record_heartbeat("edge-1", 0.0) and not watch.record_heartbeat("edge-1", 5.0)
    assert not watch.expire(15.0) and watch.expire(15.1)
    assert watch.record_heartbeat("edge-1", 16.0)
