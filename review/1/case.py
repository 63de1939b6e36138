"""Case: a gateway takes requests for longer after SIGTERM than it can still answer them."""

import asyncio
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402 -- the folder above has to be on the path first
    GRACE_S,
    Answer,
    Backend,
    Client,
    Http,
    Outcome,
    Platform,
    Record,
    bring_up,
    configuration,
    now,
    route,
    run_case,
)

SERVICE = "kafi81c"
WORK_S = 2.65  # of an order; the deployments have requests that take up to 4.1 s
TIMEOUT_S, TARGET_S, DEADLINE_S = 12.0, 8.0, 12.0
FIRST_STOP_S = 0.4  # after the platform has asked for readiness
ROLL_GAP_S = 1.0  # machines are stopped in turn, one each second
RESTART_DELAY_S = 0.3
CLIENT_INTERVAL_S = 0.04
BACKENDS = 90
LATEST_EXCUSED_S = 3.0  # the rule excuses only requests sent no later than this after the SIGTERM
TRAFFIC_S = 9.0  # of one round
ROUNDS = 2
PAUSE_S = 6.0  # between two rounds, for the machines to be in touch again


async def work(_: Http) -> Answer:
    """Runs an order."""
    await asyncio.sleep(WORK_S)
    return Answer(200, b"booked\n")


class Entry:
    """The platform's entry: asks each gateway once a second, and hands new connections to those that are in."""

    def __init__(self, platform: Platform) -> None:
        """Counts all gateways as in."""
        self.platform, self.misses = platform, dict.fromkeys(platform.gateways, 0)
        self.asked = asyncio.Event()

    async def watch(self) -> None:
        """Asks for readiness until it is cancelled. Two misses take a gateway out, a 200 puts it back in."""
        while True:
            self.asked.set()
            ready = await asyncio.gather(*(self.platform.is_ready(name) for name in self.misses))
            for name, answered in zip(list(self.misses), ready, strict=True):
                self.misses[name] = 0 if answered else self.misses[name] + 1
            self.platform.record.add("platform asked for readiness", misses=dict(self.misses))
            await asyncio.sleep(1.0)

    def candidates(self) -> list[str]:
        """Returns the gateways that get new connections: all of them if fewer than half are in."""
        found = [name for name, misses in self.misses.items() if misses < 2]
        return found if 2 * len(found) >= len(self.misses) else list(self.misses)


async def send_orders(platform: Platform, entry: Entry) -> list[tuple[str, Outcome]]:
    """Sends orders, each by a new client; its hash picks one of the gateways that the entry offers."""

    async def one(gateway: str) -> tuple[str, Outcome]:
        client = Client(platform, gateway)
        outcome = await client.request("POST", "/bookings/5", b"confirm", wait_s=DEADLINE_S)
        client.close()
        return gateway, outcome

    tasks, end = [], now() + TRAFFIC_S
    while now() < end:
        offered = entry.candidates()
        tasks.append(asyncio.create_task(one(random.choice(offered))))
        await asyncio.sleep(CLIENT_INTERVAL_S)
    return await asyncio.gather(*tasks)


async def restart(platform: Platform, name: str) -> float:
    """Stops a gateway with SIGTERM, with SIGKILL after the grace period, and starts it again.

    Returns:
        When the SIGTERM was sent.
    """
    platform.send_signal(name, signal.SIGTERM)
    stopped_at = now()
    process = platform.running.pop(name)
    try:
        await asyncio.wait_for(process.wait(), GRACE_S)
    except TimeoutError:
        process.kill()
        await process.wait()
    platform.record.add("process ended", name=name, s_after_sigterm=round(now() - stopped_at, 3))
    await asyncio.sleep(RESTART_DELAY_S)
    await platform.start(name)
    return stopped_at


def breaks_of(outcomes: list[tuple[str, Outcome]], stops: dict[str, float], backends: list[Backend]) -> list[str]:
    """Returns the orders that ran, were sent more than 3 s after the SIGTERM, and got no answer."""
    found = []
    runs = {attempt_id: backend.instance for backend in backends for attempt_id in backend.runs}
    for gateway, one in outcomes:
        since_stop_s = one.sent_at - stops.get(gateway, 1e9)
        in_time = LATEST_EXCUSED_S < since_stop_s < GRACE_S + 1
        if in_time and one.id in runs and one.status == 0 and one.reason.startswith("connection"):
            found.append(
                f"{one.id}: sent to {gateway} {since_stop_s:.2f} s after its SIGTERM, ran at {runs[one.id]}; "
                f"the client: {one.reason} {one.ended_at - stops[gateway]:.2f} s after the SIGTERM"
            )
    return found


async def play_round(platform: Platform, entry: Entry, backends: list[Backend], *, with_trouble: bool) -> list[str]:
    """Sends orders, meanwhile stops two of three gateways in turn; returns the breaks."""
    stops: dict[str, float] = {}
    traffic = asyncio.create_task(send_orders(platform, entry))
    await asyncio.sleep(1.0)
    entry.asked.clear()
    await entry.asked.wait()
    await asyncio.sleep(FIRST_STOP_S)
    if with_trouble:
        rolls = [asyncio.create_task(restart(platform, "edge-1"))]
        await asyncio.sleep(ROLL_GAP_S)
        rolls.append(asyncio.create_task(restart(platform, "edge-2")))
        for name, roll in zip(("edge-1", "edge-2"), rolls, strict=True):
            stops[name] = await roll
    outcomes = await traffic
    served = sum(one.status == 200 for _, one in outcomes)
    platform.record.add("orders of a round", sent=len(outcomes), served=served)
    print(f"{served} of {len(outcomes)} orders answered with 200")
    return breaks_of(outcomes, stops, backends)


async def case(record: Record, with_trouble: bool) -> list[str]:
    """Plays the rounds."""
    platform = Platform(record, gateways=3)
    backends = [Backend(platform, SERVICE, number, work) for number in range(1, BACKENDS + 1)]
    entry = Entry(platform)
    routes = [route("/bookings/", "effectful", SERVICE, timeout_s=TIMEOUT_S, target_s=TARGET_S)]
    breaks: list[str] = []
    try:
        await bring_up(platform, backends, configuration(7, [SERVICE], routes))
        watch = asyncio.create_task(entry.watch())
        for _ in range(ROUNDS):
            breaks += await play_round(platform, entry, backends, with_trouble=with_trouble)
            await asyncio.sleep(PAUSE_S)
        watch.cancel()
    finally:
        await platform.close()
        for backend in backends:
            await backend.close()
    return breaks


if __name__ == "__main__":
    run_case(FOLDER, case)
