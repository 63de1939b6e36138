"""The controller program of a core machine: composes the control plane, reloads settings, shuts down."""

import asyncio
import signal
import sys
import time

from absl import app, flags
from loguru import logger

from stoneyoke.controlplane.controller import Controller
from stoneyoke.controlplane.http_api import HttpApi
from stoneyoke.controlplane.settings import ControllerEnvironment, ControllerSettings
from stoneyoke.programs.log_buffer import LogBuffer, configure_logging
from stoneyoke.programs.metrics_server import METRICS_PORT, MetricsServer
from stoneyoke.programs.settings import InvalidSettings, Settings, read_settings
from stoneyoke.runtime.metrics import Metrics
from stoneyoke.runtime.metrics_text import metrics_text
from stoneyoke.storage.record_store import RecordStore
from stoneyoke.transport.peer_server import PeerServer

SETTINGS = flags.DEFINE_string(
    "settings", None, "The settings file. Default: the file that the environment variable STONEYOKE_NODE_FILE names."
)
BODY_MEMORY_DIVISOR = 16  # the text of one configuration uses at most 1/16 of the memory
MISSED_HEARTBEATS = 2.4  # a backend counts as silent after this many heartbeat intervals, plus SILENCE_MARGIN_S
SILENCE_MARGIN_S = 0.5
LINGER_S = 0.3  # how long the last calls of peers are still served after the operators' API has closed


async def serve(settings: Settings, log_buffer: LogBuffer) -> None:
    """Runs a controller until SIGTERM or SIGINT.

    Raises:
        InvalidSettings: An address or the data folder that a controller needs is missing.
    """
    if settings.control_address is None:
        raise InvalidSettings("network.binds.control_addr is missing")
    if not settings.data_dir:
        raise InvalidSettings("self.data_dir is missing: a controller stores the configuration on disk")
    loop, ended = asyncio.get_running_loop(), asyncio.Event()
    controller_settings = ControllerSettings(
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
    controller = Controller(controller_settings, ControllerEnvironment(store=RecordStore(settings.data_dir)))
    http_api = HttpApi(controller.handle_call, settings.memory_bytes // BODY_MEMORY_DIVISOR)
    peer_server = PeerServer(controller.handle_message)

    def reload() -> None:
        try:
            controller.add_peers(*read_settings(SETTINGS.value).seeds)
        except InvalidSettings as error:
            logger.error("reload: can't load the settings file, the current settings stay in force: {}", error)

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    loop.add_signal_handler(signal.SIGUSR1, log_buffer.dump)
    await controller.start()
    await peer_server.open((settings.ip, settings.port))
    await http_api.open(settings.control_address)
    await MetricsServer(lambda: figures(controller)).open((settings.ip, METRICS_PORT.value))
    logger.info(
        "controller {} is serving; the cluster has {} voters", settings.name, len(controller.replica.voters().members)
    )
    await ended.wait()
    await controller.transfer_vote(0.5 * settings.bounds.grace_s)
    http_api.close()
    await asyncio.sleep(LINGER_S)
    peer_server.close()


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
