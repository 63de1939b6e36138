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
from stoneyoke.gateway.control_settings import ControlClientSettings, ControlEnvironment
from stoneyoke.gateway.request_handler import RequestHandler, RequestServices
from stoneyoke.gateway.routes import build_routing_table
from stoneyoke.gateway.upstreams import Upstreams, UpstreamSettings, classify_answer
from stoneyoke.net.backends import BackendLimits, Backends
from stoneyoke.net.descriptor_budget import DescriptorBudget
from stoneyoke.net.message_reader import MessageReader
from stoneyoke.net.message_writer import status_line, write_message
from stoneyoke.net.stream import StreamProtocol
from stoneyoke.programs.log_buffer import LogBuffer, set_up
from stoneyoke.programs.settings import BadSettings, Settings, read_settings
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.metrics import Metrics

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
        self.clock, self.metrics = Clock(), Metrics()
        free = settings.descriptors - OWN_DESCRIPTORS
        part = max(1, free // 8)
        descriptor_budget = DescriptorBudget(free - 2 * part, part)
        body_most = settings.memory // ANSWER_PART
        limits = BackendLimits(connect_timeout_us=DIAL_US, idle_timeout_us=IDLE_US, response_max_bytes=body_most)
        self.backends = Backends(self.clock, self.metrics, descriptor_budget, limits)
        self.backends.classify = classify_answer
        control_settings = ControlClientSettings(
            name=settings.name,
            ip=settings.ip,
            zone=settings.zone,
            port=settings.port,
            seeds=settings.seeds,
            bounds=settings.bounds,
        )
        environment = ControlEnvironment(clock=lambda: self.clock.now() / 1_000_000)
        self.control_client = ControlClient(control_settings, self, environment)
        self.instance_directory, seed = self.control_client.instance_directory, self.control_client.seed
        upstream_settings = UpstreamSettings(
            zones=settings.zones, zone=settings.zone, seed=seed, bounds=settings.bounds
        )
        self.upstreams = Upstreams(self.clock, self.metrics, self.backends, self.instance_directory, upstream_settings)
        services = RequestServices(
            admission=self.control_client.admission,
            quota_client=self.control_client.quota_client,
            backends=self.backends,
            upstreams=self.upstreams,
            instance_directory=self.instance_directory,
            random_point=random.Random(seed).random,
            body_limit_bytes=body_most,
        )
        self.front = RequestHandler(self.clock, self.metrics, descriptor_budget, free, services)
        self.leaving = False
        self.seen = self.stamp()

    # ---- what is heard ----

    def take(self, chart: Configuration) -> None:
        self.front.install(build_routing_table(chart))

    def on_update(self) -> None:
        self.upstreams.set_fleet(self.control_client.fleet)
        self.upstreams.refresh()

    # ---- readiness ----

    async def answer_ready(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        messages = MessageReader(reader, responses=False)
        try:
            while message := await messages.next():
                ready = self.control_client.config_sync.ready and not self.leaving
                status, body = (200, b"ready\n") if ready else (503, b"not ready\n")
                write_message(writer, [status_line(status), b"Content-Length: %d\r\n" % len(body)], body)
                if not message.keep_alive:
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
            self.instance_directory.add_controller(seed)
        self.control_client.config_sync.follow_controllers()

    async def sweep(self) -> None:
        looks = 0
        while True:
            await asyncio.sleep(SWEEP_S)
            looks += 1
            self.backends.close_expired()
            self.front.connections.close_expired()
            self.instance_directory.sweep(self.control_client.clock())
            self.upstreams.refresh()
            if looks % 4 == 0 and self.stamp() != self.seen:
                self.reload()

    async def serve(self, ring: LogBuffer) -> None:
        loop, ended = asyncio.get_running_loop(), asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, ended.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        loop.add_signal_handler(signal.SIGUSR1, lambda: self.report(ring))
        ready = await loop.create_server(lambda: StreamProtocol(self.answer_ready), *self.ready_at, backlog=64)
        listener = socket.create_server(self.front_at)
        front = await loop.create_server(self.front.make_protocol, sock=listener, backlog=256)
        tasks = [loop.create_task(self.sweep()), *self.control_client.start()]
        gc.collect()
        gc.freeze()
        await ended.wait()
        self.leaving = self.front.draining = True
        await self.front.drain(self.settings.bounds.grace_s, front.close)
        ready.close()
        for task in tasks:
            task.cancel()
        self.control_client.config_sync.close()
        logger.info("counts: {}", self.metrics.summary())

    def report(self, ring: LogBuffer) -> None:
        logger.info("counts: {}", self.metrics.summary())
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
