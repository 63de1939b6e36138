"""The controller program of a core machine: composes the control plane, reloads settings, shuts down."""

import asyncio
import signal
import sys
import time

from absl import app
from loguru import logger

from stoneyoke.controlplane.controller import Controller
from stoneyoke.controlplane.http_api import HttpApi
from stoneyoke.controlplane.settings import ControllerEnvironment, ControllerSettings
from stoneyoke.programs.log_buffer import LogBuffer, configure_logging
from stoneyoke.programs.metrics_server import METRICS_PORT, MetricsServer
from stoneyoke.programs.settings import InvalidSettings, Settings, read_settings
from stoneyoke.programs.settings_flag import SETTINGS
from stoneyoke.runtime.metrics import Metrics
from stoneyoke.runtime.metrics_text import metrics_text
from stoneyoke.storage.record_store import RecordStore
from stoneyoke.transport.peer_server import PeerServer

BODY_MEMORY_DIVISOR = 16  # the text of one configuration uses at most 1/16 of the memory
MISSED_HEARTBEATS = 2.4  # a backend counts as silent after this many heartbeat intervals, plus SILENCE_MARGIN_S
SILENCE_MARGIN_S = 0.5
TRANSFER_SHARE = 0.5  # of the grace period, in which the vote is handed over
CALLS_MAX_S = 1.0  # callers move on to another controller after a second
CALLS_MAX_SHARE = 0.25  # of the grace period
LINGER_S = 0.3  # how long the last calls of peers are still served after the operators' API has closed


class ControllerProgram:
    """A controller's components, created from its settings.

    Attributes:
        grace_s: The time from SIGTERM to SIGKILL, in seconds, by the latest valid settings.
    """

    def __init__(self, settings: Settings) -> None:
        """Creates the components; `serve` runs them.

        Raises:
            InvalidSettings: An address or the data folder that a controller needs is missing.
        """
        if settings.control_address is None:
            raise InvalidSettings("network.binds.control_addr is missing")
        if not settings.data_dir:
            raise InvalidSettings("self.data_dir is missing: a controller stores the configuration on disk")
        self.settings, self.control_address = settings, settings.control_address
        self.grace_s = settings.bounds.grace_s
        environment = ControllerEnvironment(store=RecordStore(settings.data_dir))
        self.controller = Controller(controller_settings(settings), environment)
        self.http_api = HttpApi(self.controller.handle_call, settings.memory_bytes // BODY_MEMORY_DIVISOR)
        self.peer_server = PeerServer(self.controller.handle_message)

    def reload(self) -> None:
        """Reloads the settings file after SIGHUP: adds new peers in it, and a later shutdown uses its grace period."""
        try:
            settings = read_settings(SETTINGS.value)
        except InvalidSettings as error:
            logger.error("reload: can't load the settings file, the current settings stay in force: {}", error)
            return
        self.grace_s = settings.bounds.grace_s
        self.controller.add_peers(*settings.seeds)

    async def serve(self, log_buffer: LogBuffer) -> None:
        """Runs until SIGTERM or SIGINT, then shuts down."""
        loop, ended = asyncio.get_running_loop(), asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, ended.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        loop.add_signal_handler(signal.SIGUSR1, log_buffer.dump)
        await self.start()
        await ended.wait()
        await self.shut_down()

    async def start(self) -> None:
        """Starts the controller and opens its listeners.

        Raises:
            OSError: An address can't be used.
        """
        settings = self.settings
        await self.controller.start()
        await self.peer_server.open((settings.ip, settings.port))
        await self.http_api.open(self.control_address)
        await MetricsServer(lambda: figures(self.controller)).open((settings.ip, METRICS_PORT.value))
        voters = len(self.controller.replica.voters().members)
        logger.info("controller {} is serving; the cluster has {} voters", settings.name, voters)

    async def shut_down(self) -> None:
        """Hands over the vote, answers the calls that have been read, then closes the peers' listener."""
        await self.controller.transfer_vote(TRANSFER_SHARE * self.grace_s)
        await self.http_api.shut_down(min(CALLS_MAX_S, CALLS_MAX_SHARE * self.grace_s))
        await asyncio.sleep(LINGER_S)
        self.peer_server.close()


def controller_settings(settings: Settings) -> ControllerSettings:
    """Returns the controller's part of a program's settings."""
    return ControllerSettings(
        name=settings.name,
        ip=settings.ip,
        port=settings.port,
        zone=settings.zone,
        seeds=settings.seeds,
        first_start=settings.first_start,
        silence_timeout_s=MISSED_HEARTBEATS * settings.heartbeat_interval_s + SILENCE_MARGIN_S,
        bounds=settings.bounds,
        losses=settings.machine_losses,
    )


async def serve(settings: Settings, log_buffer: LogBuffer) -> None:
    """Creates a controller in the running event loop and runs it until SIGTERM or SIGINT.

    Raises:
        InvalidSettings: An address or the data folder that a controller needs is missing.
    """
    await ControllerProgram(settings).serve(log_buffer)


def figures(controller: Controller) -> str:
    """Returns the controller's current gauges as text. The controller has no event counters yet."""
    return metrics_text(Metrics(), controller.gauges() | {"process_cpu_seconds": time.process_time()})


def run(_: list[str]) -> None:
    """Runs the program; absl calls it with the command-line arguments."""
    log_buffer = configure_logging()
    try:
        asyncio.run(serve(read_settings(SETTINGS.value), log_buffer))
    except InvalidSettings as error:
        print(f"controller: {error}", file=sys.stderr)
        sys.exit(2)


def main() -> None:
    """The entry point of stoneyoke-controller."""
    app.run(run)


if __name__ == "__main__":
    main()
