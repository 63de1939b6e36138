"""Measurements of whole fleets over one axis; each runs a simulated fleet from start to shutdown."""

import asyncio
import shutil
import tempfile
from collections.abc import Callable

from loguru import logger

from stoneyoke.lab.capacity.figures import Figure
from stoneyoke.lab.capacity.fleet_costs import Cost, FleetShape, event_figures, steady_figures
from stoneyoke.lab.capacity.hollow_fleet import HollowFleet
from stoneyoke.lab.capacity.metered_network import MeteredLoop
from stoneyoke.lab.capacity.meters import read_rss_mb
from stoneyoke.lab.simulation.bounds import HEARTBEAT_S

ELECTION_S = 0.5  # simulated time that passes after the start of the controllers
AFTER_EVENT_S = 0.5  # simulated time after an event is complete; the traffic in it still counts as part of the event
LARGE_FLEET = 2000  # gateways; a fleet of this size or more is measured for two simulated seconds only, without events
SHORT_WINDOW_S = 1.0  # as long as a pull waits: the shortest window that contains each pull once


async def measure_fleet(fleet: HollowFleet) -> list[Figure]:
    """Measures the start of a fleet, a steady window and, unless its shape has no events, each event."""
    before_mb = read_rss_mb()
    await fleet.start_controllers()
    await asyncio.sleep(ELECTION_S)
    await fleet.write_configuration()
    fleet.network.run_on("", fleet.send_heartbeats())
    await asyncio.sleep(HEARTBEAT_S)
    await fleet.send_heartbeat(0)
    start = await fleet.measure_cost(fleet.start_gateways, fleet.shape.settle_s)
    fleet.network.run_on("", fleet.write_configurations())
    steady = await fleet.measure_cost(lambda: asyncio.sleep(fleet.shape.window_s))
    figures = [
        *event_figures("all gateways start", start, None, len(fleet.gateways)),
        *steady_figures(steady, fleet.shape.gateways),
        Figure("all in one process: memory", "MB", read_rss_mb() - before_mb),
    ]
    if not fleet.shape.events:
        return figures
    figures += await measure_change(fleet, steady)
    figures += await measure_drain(fleet, steady)
    return figures + await measure_join(fleet, steady)


async def measure_change(fleet: HollowFleet, steady: Cost) -> list[Figure]:
    """Measures a configuration change, from its request until it is in force at all gateways."""
    acknowledged_s = 0.0

    async def change() -> None:
        nonlocal acknowledged_s
        acknowledged_s = await fleet.write_configuration()
        await fleet.wait_until(lambda gateway: gateway.has(fleet.version))

    cost = await fleet.measure_cost(change, AFTER_EVENT_S)
    figures = event_figures("a change", cost, steady, len(fleet.gateways))
    return [*figures, Figure("a change: until acknowledged", "s", acknowledged_s)]


async def measure_drain(fleet: HollowFleet, steady: Cost) -> list[Figure]:
    """Measures a drain, from its heartbeat until all gateways know of it."""

    async def drain() -> None:
        await fleet.send_heartbeat(0, "draining")
        await fleet.wait_until(fleet.knows_drain)

    cost = await fleet.measure_cost(drain, AFTER_EVENT_S)
    return event_figures("a drain", cost, steady, len(fleet.gateways))


async def measure_join(fleet: HollowFleet, steady: Cost) -> list[Figure]:
    """Measures the start of one more gateway, until it is ready."""

    async def join() -> None:
        fleet.start_gateway(fleet.shape.gateways)
        await fleet.wait_until(lambda gateway: gateway.client.config_sync.ready)

    cost = await fleet.measure_cost(join, 2 * AFTER_EVENT_S)
    return event_figures("one gateway joins", cost, steady, len(fleet.gateways))


def fleet_figures(shape: FleetShape) -> list[Figure]:
    """Runs and measures one fleet, and removes its data at the end."""
    folder, loop = tempfile.mkdtemp(prefix="capacity-"), MeteredLoop()
    logger.disable("stoneyoke")

    async def measure_and_cancel_tasks() -> list[Figure]:
        try:
            return await measure_fleet(HollowFleet(shape, loop, folder))
        finally:
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()
            await asyncio.sleep(0)

    try:
        return loop.run_until_complete(measure_and_cancel_tasks())
    finally:
        loop.close()
        logger.enable("stoneyoke")
        shutil.rmtree(folder, ignore_errors=True)


def by_gateways(size: int) -> list[Figure]:
    """Measures a fleet with this number of gateways."""
    if size >= LARGE_FLEET:
        return fleet_figures(FleetShape(gateways=size, settle_s=SHORT_WINDOW_S, window_s=SHORT_WINDOW_S, events=False))
    return fleet_figures(FleetShape(gateways=size, window_s=2.0))


def by_instances(size: int) -> list[Figure]:
    """Measures a fleet with this number of backends."""
    return fleet_figures(FleetShape(instances=size))


def by_routes(size: int) -> list[Figure]:
    """Measures a fleet with this number of routes."""
    return fleet_figures(FleetShape(routes=size))


def by_changes(size: int) -> list[Figure]:
    """Measures a fleet with this number of configuration changes per minute."""
    return fleet_figures(FleetShape(gateways=30, routes=300, changes_per_minute=size, window_s=30.0, events=False))


def by_regions(size: int) -> list[Figure]:
    """Measures a fleet in this number of regions."""
    return fleet_figures(FleetShape(gateways=40, controllers=5, regions=size))


FLEET_MEASUREMENTS: dict[str, Callable[[int], list[Figure]]] = {
    "fleet by gateways": by_gateways,
    "fleet by instances": by_instances,
    "fleet by routes": by_routes,
    "fleet by changes": by_changes,
    "fleet by regions": by_regions,
}
