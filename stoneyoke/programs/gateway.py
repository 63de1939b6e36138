"""The gateway program of an edge machine: composes the components, serves readiness, reloads settings, drains."""

import asyncio
import gc
import os
import random
import signal
import socket
import sys
import time

from absl import app
from loguru import logger

from stoneyoke.api.configuration import Configuration
from stoneyoke.gateway.control_client import ControlClient
from stoneyoke.gateway.control_settings import ControlClientSettings, ControlEnvironment
from stoneyoke.gateway.request_handler import RequestHandler, RequestServices
from stoneyoke.gateway.routes import build_routing_table
from stoneyoke.gateway.upstreams import Upstreams, UpstreamSettings, classify_response
from stoneyoke.net.backends import BackendLimits, Backends
from stoneyoke.net.descriptor_budget import DescriptorBudget
from stoneyoke.net.message_reader import MessageReader
from stoneyoke.net.message_writer import status_line, write_message
from stoneyoke.net.stream import StreamProtocol
from stoneyoke.net.unanswered import UNANSWERED_AT_EXIT
from stoneyoke.programs.log_buffer import LogBuffer, configure_logging
from stoneyoke.programs.metrics_server import METRICS_PORT, MetricsServer
from stoneyoke.programs.settings import InvalidSettings, Settings, read_settings
from stoneyoke.programs.settings_flag import SETTINGS
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.metrics import Metrics
from stoneyoke.runtime.metrics_text import metrics_text

CONNECT_TIMEOUT_US = 300_000  # for a connection to a backend
IDLE_TIMEOUT_US = 4_000_000  # for a connection to a backend
RESERVED_DESCRIPTORS = 300  # for files, the event loop, listeners and connections to controllers
SWEEP_S = 0.25
BODY_MEMORY_DIVISOR = 32  # one request or response body uses at most 1/32 of the memory


class GatewayProgram:
    """A gateway's components, created from its settings.

    Attributes:
        settings: The settings of the start. Of a reload, only the seeds and the grace period have an effect.
        grace_s: The time from SIGTERM to SIGKILL, in seconds, by the latest valid settings.
    """

    def __init__(self, settings: Settings) -> None:
        """Creates and connects the components; `serve` runs them.

        Raises:
            InvalidSettings: An address that a gateway needs is missing.
        """
        if settings.front_address is None or settings.ready_address is None:
            raise InvalidSettings("network.binds.front_addr or ready_addr is missing")
        self.settings, self.listen_address, self.readiness_address = (
            settings,
            settings.front_address,
            settings.ready_address,
        )
        self.clock, self.metrics = Clock(), Metrics()
        free = settings.descriptors - RESERVED_DESCRIPTORS
        part = max(1, free // 8)
        descriptor_budget = DescriptorBudget(free - 2 * part, part)
        body_max_bytes = settings.memory_bytes // BODY_MEMORY_DIVISOR
        limits = BackendLimits(
            connect_timeout_us=CONNECT_TIMEOUT_US, idle_timeout_us=IDLE_TIMEOUT_US, response_max_bytes=body_max_bytes
        )
        self.backends = Backends(self.clock, self.metrics, descriptor_budget, limits)
        self.backends.classify = classify_response
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
            body_limit_bytes=body_max_bytes,
        )
        self.front = RequestHandler(self.clock, self.metrics, descriptor_budget, free, services)
        self.draining = False
        self.grace_s = settings.bounds.grace_s
        self.settings_file_signature = self.read_file_signature()

    # ---- called by the control client ----

    def apply_configuration(self, configuration: Configuration) -> None:
        """Puts a newer configuration in force."""
        self.front.install(build_routing_table(configuration))

    def on_update(self) -> None:
        """Updates the services after a controller's response."""
        self.upstreams.set_fleet(self.control_client.fleet)
        self.upstreams.refresh()

    # ---- readiness ----

    async def serve_readiness(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves a connection of readiness checks.

        The status is 200 once the gateway has every acknowledged change, and 503 before that and from SIGTERM on.
        """
        messages = MessageReader(reader, responses=False)
        try:
            while message := await messages.next():
                ready = self.control_client.config_sync.ready and not self.draining
                status, body = (200, b"ready\n") if ready else (503, b"not ready\n")
                write_message(writer, [status_line(status), b"Content-Length: %d\r\n" % len(body)], body)
                if not message.keep_alive:
                    break
        except Exception:  # an error on one connection, such as malformed input, only closes that connection
            pass
        finally:
            writer.close()

    # ---- the program ----

    def read_file_signature(self) -> tuple[float, int]:
        """Returns the settings file's modification time and size, by which a change is detected."""
        try:
            found = os.stat(os.environ.get("STONEYOKE_NODE_FILE", ""))
            return found.st_mtime, found.st_size
        except OSError:
            return 0.0, 0

    def reload(self) -> None:
        """Reloads the settings file after SIGHUP or a change of the file.

        The gateway pulls from new controllers in it, and a later shutdown uses its grace period.
        """
        self.settings_file_signature = self.read_file_signature()
        try:
            settings = read_settings(SETTINGS.value)
        except InvalidSettings as error:
            logger.error("reload: can't load the settings file, the current settings stay in force: {}", error)
            return
        self.grace_s = settings.bounds.grace_s
        for seed in settings.seeds:
            self.instance_directory.add_controller(seed)
        self.control_client.config_sync.follow_controllers()

    async def sweep(self) -> None:
        """Closes expired connections, removes stale state, and checks the settings file for changes once a second."""
        sweeps = 0
        while True:
            await asyncio.sleep(SWEEP_S)
            sweeps += 1
            self.backends.close_expired()
            self.front.connections.close_expired()
            self.instance_directory.sweep(self.control_client.clock())
            self.upstreams.refresh()
            for upstream in self.upstreams.upstreams.values():
                upstream.runtime.departures.sweep()
            if sweeps % 4 == 0 and self.read_file_signature() != self.settings_file_signature:
                self.reload()

    async def serve(self, log_buffer: LogBuffer) -> None:
        """Serves until SIGTERM or SIGINT, then drains."""
        loop, ended = asyncio.get_running_loop(), asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, ended.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        loop.add_signal_handler(signal.SIGUSR1, lambda: self.report(log_buffer))
        ready = await loop.create_server(
            lambda: StreamProtocol(self.serve_readiness), *self.readiness_address, backlog=64
        )
        listener = socket.create_server(self.listen_address)
        front = await loop.create_server(self.front.make_protocol, sock=listener, backlog=256)
        await MetricsServer(self.figures).open((self.settings.ip, METRICS_PORT.value))
        tasks = [loop.create_task(self.sweep()), *self.control_client.start()]
        gc.collect()
        gc.freeze()
        await ended.wait()
        self.draining = self.front.draining = True
        await self.front.drain(self.grace_s, front.close)
        ready.close()
        for task in tasks:
            task.cancel()
        self.control_client.config_sync.close()
        logger.info("counts: {}", self.metrics.summary())
        if self.metrics.counts[UNANSWERED_AT_EXIT]:
            log_buffer.dump()

    def figures(self) -> str:
        """Returns the counters and the current gauges as text."""
        runtimes = [upstream.runtime for upstream in self.upstreams.upstreams.values()]
        gauges = {
            "ready": float(self.control_client.config_sync.ready and not self.draining),
            "configuration_version": float(self.front.table.version.number if self.front.table else 0),
            "client_connections_open": float(len(self.front.connections.open)),
            "requests_in_flight": float(sum(len(runtime.pending) for runtime in runtimes)),
            "attempts_in_flight": float(sum(pool.busy for pool in self.backends.pools.values())),
            "attempts_of_clients_gone": float(sum(runtime.orphaned_attempts() for runtime in runtimes)),
            "descriptors_in_use": float(self.backends.descriptor_budget.used),
            "backend_connections_idle": float(sum(len(pool.idle) for pool in self.backends.pools.values())),
            "backend_instances": float(len(self.upstreams.instances)),
            "process_cpu_seconds": time.process_time(),
        }
        return metrics_text(self.metrics, gauges)

    def report(self, log_buffer: LogBuffer) -> None:
        """Logs the counters and writes all buffered log lines to standard error; on SIGUSR1."""
        logger.info("counts: {}", self.metrics.summary())
        log_buffer.dump()


def run(_: list[str]) -> None:
    """Runs the program; absl calls it with the command-line arguments."""
    log_buffer = configure_logging()
    try:
        asyncio.run(GatewayProgram(read_settings(SETTINGS.value)).serve(log_buffer))
    except InvalidSettings as error:
        print(f"gateway: {error}", file=sys.stderr)
        sys.exit(2)


def main() -> None:
    """The entry point of stoneyoke-gateway."""
    app.run(run)


if __name__ == "__main__":
    main()
