"""gateway: an edge machine's program. Puts the data plane's parts together."""

import asyncio
import gc
import os
import random
import signal
import socket
import sys

from absl import app, flags
from loguru import logger

from stoneyoke.api.configuration import Configuration
from stoneyoke.gateway.control_client import ControlClient
from stoneyoke.gateway.request_handler import RequestHandler
from stoneyoke.gateway.routes import table_of
from stoneyoke.gateway.upstreams import Upstreams, judge
from stoneyoke.net.backends import Backends
from stoneyoke.net.http import Line, Messages, status_line, write_message
from stoneyoke.net.room import Room
from stoneyoke.programs.log_buffer import LogBuffer, set_up
from stoneyoke.programs.settings import BadSettings, Settings, read_settings
from stoneyoke.runtime import Clock
from stoneyoke.tally import Tally

SETTINGS = flags.DEFINE_string("settings", None, "The settings file; else the one that the environment names.")
DIAL_US = 300_000
IDLE_US = 4_000_000  # where a backend doesn't say for how long it keeps a connection
OWN_DESCRIPTORS = 300  # files, the loop's own, listeners, the cores' wires
SWEEP_S = 0.25
ANSWER_PART = 32  # of the memory, for one body


class GatewayProgram:
    """A gateway's parts, put together from its settings."""

    def __init__(self, settings: Settings) -> None:
        if settings.front is None or settings.ready is None:
            raise BadSettings("network.binds.front_addr or ready_addr is missing")
        self.settings, self.front_at, self.ready_at = settings, settings.front, settings.ready
        self.clock, self.tally = Clock(), Tally()
        free = settings.descriptors - OWN_DESCRIPTORS
        part = max(1, free // 8)
        room = Room(free - 2 * part, part)
        body_most = settings.memory // ANSWER_PART
        self.backends = Backends(self.clock, self.tally, DIAL_US, IDLE_US, room, body_most)
        self.backends.judge = judge
        self.bridge = ControlClient(
            settings.name,
            settings.ip,
            settings.zone,
            settings.port,
            settings.seeds,
            settings.bounds,
            clock=lambda: self.clock.now() / 1_000_000,
            take=self.take,
            told=self.told,
        )
        self.roster, seed = self.bridge.roster, self.bridge.seed
        self.piers = Upstreams(
            self.clock, self.tally, self.backends, self.roster, settings.zones, settings.zone, seed, settings.bounds
        )
        self.front = RequestHandler(self.clock, self.tally, room, free, self.backends)
        self.front.body_most = body_most
        self.front.admission, self.front.teller = self.bridge.admission, self.bridge.teller
        self.front.piers, self.front.roster, self.front.draw = self.piers, self.roster, random.Random(seed).random
        self.leaving = False
        self.seen = self.stamp()

    # ---- what is heard ----

    def take(self, chart: Configuration) -> None:
        self.front.take(table_of(chart))

    def told(self) -> None:
        self.piers.among(self.bridge.fleet)
        self.piers.renew()

    # ---- readiness ----

    async def answer_ready(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        messages = Messages(reader, answers=False)
        try:
            while message := await messages.next():
                ready = self.bridge.lookout.ready and not self.leaving
                status, body = (200, b"ready\n") if ready else (503, b"not ready\n")
                write_message(writer, [status_line(status), b"Content-Length: %d\r\n" % len(body)], body)
                if not message.keeps:
                    break
        except Exception:  # whoever asks gets no more than silence for bad input
            pass
        finally:
            writer.close()

    # ---- the program ----

    def stamp(self) -> tuple[float, int]:
        try:
            found = os.stat(os.environ.get("STONEYOKE_NODE_FILE", ""))
            return found.st_mtime, found.st_size
        except OSError:
            return 0.0, 0

    def reload(self) -> None:
        """The settings file has changed, with a signal or without one: other seeds are followed too."""
        self.seen = self.stamp()
        try:
            settings = read_settings(SETTINGS.value)
        except BadSettings as bad:
            logger.error("reload: {}", bad)
            return
        for seed in settings.seeds:
            self.roster.meet(seed)
        self.bridge.lookout.follow_all()

    async def sweep(self) -> None:
        looks = 0
        while True:
            await asyncio.sleep(SWEEP_S)
            looks += 1
            self.backends.sweep()
            self.front.sweep()
            self.roster.sweep(self.bridge.clock())
            self.piers.renew()
            if looks % 4 == 0 and self.stamp() != self.seen:
                self.reload()

    async def serve(self, ring: LogBuffer) -> None:
        loop, ended = asyncio.get_running_loop(), asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, ended.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        loop.add_signal_handler(signal.SIGUSR1, lambda: self.report(ring))
        ready = await loop.create_server(lambda: Line(self.answer_ready), *self.ready_at, backlog=64)
        listener = socket.create_server(self.front_at)
        front = await loop.create_server(self.front.line, sock=listener, backlog=256)
        tasks = [loop.create_task(self.sweep()), *self.bridge.start()]
        gc.collect()
        gc.freeze()
        await ended.wait()
        self.leaving = self.front.leaving = True
        await self.front.leave(self.settings.bounds["grace_s"], front.close)
        ready.close()
        for task in tasks:
            task.cancel()
        self.bridge.lookout.close()
        logger.info("counts: {}", self.tally.line())

    def report(self, ring: LogBuffer) -> None:
        logger.info("counts: {}", self.tally.line())
        ring.dump()


def run(_: list[str]) -> None:
    """What absl calls with the command line's words."""
    ring = set_up()
    try:
        asyncio.run(GatewayProgram(read_settings(SETTINGS.value)).serve(ring))
    except BadSettings as bad:
        print(f"gateway: {bad}", file=sys.stderr)
        sys.exit(2)


def main() -> None:
    """The entry point of stoneyoke-gateway."""
    app.run(run)


if __name__ == "__main__":
    main()
