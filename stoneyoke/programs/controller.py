"""controller: a core machine's program. Puts the control plane's parts together."""

import asyncio
import signal
import sys

from absl import app, flags
from loguru import logger

from stoneyoke.controlplane.controller import Controller
from stoneyoke.controlplane.http_api import HttpApi
from stoneyoke.controlplane.settings import ControllerEnvironment, ControllerSettings
from stoneyoke.programs.log_buffer import LogBuffer, set_up
from stoneyoke.programs.settings import BadSettings, Settings, read_settings
from stoneyoke.storage.record_store import RecordStore
from stoneyoke.transport.peer_server import PeerServer

SETTINGS = flags.DEFINE_string("settings", None, "The settings file; else the one that the environment names.")
BODY_PART = 16  # of the memory, for one configuration's text
SILENT_BEATS = 2.4  # beats missed, after which a backend counts as silent
LINGER_S = 0.3


async def serve(settings: Settings, log_buffer: LogBuffer) -> None:
    """Runs a controller until it is told to end."""
    if settings.control is None:
        raise BadSettings("network.binds.control_addr is missing")
    if not settings.data_dir:
        raise BadSettings("self.data_dir is missing: the configuration needs a disk")
    loop, ended = asyncio.get_running_loop(), asyncio.Event()
    controller_settings = ControllerSettings(
        name=settings.name,
        ip=settings.ip,
        port=settings.port,
        zone=settings.zone,
        seeds=settings.seeds,
        first_start=settings.first_start,
        silence_timeout_s=SILENT_BEATS * settings.beat_s + 0.5,
        bounds=settings.bounds,
        losses=settings.losses,
    )
    controller = Controller(controller_settings, ControllerEnvironment(store=RecordStore(settings.data_dir)))
    http_api = HttpApi(controller.handle_call, settings.memory // BODY_PART)
    peer_server = PeerServer(controller.handle_message)

    def reload() -> None:
        try:
            controller.add_peers(*read_settings(SETTINGS.value).seeds)
        except BadSettings as bad:
            logger.error("reload: {}", bad)

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    loop.add_signal_handler(signal.SIGUSR1, log_buffer.dump)
    await controller.start()
    await peer_server.open((settings.ip, settings.port))
    await http_api.open(settings.control)
    logger.info("controller {} of {} voters", settings.name, len(controller.replica.voters().members))
    await ended.wait()
    await controller.leave(0.5 * settings.bounds.grace_s)
    http_api.close()
    await asyncio.sleep(LINGER_S)
    peer_server.close()


def run(_: list[str]) -> None:
    """What absl calls with the command line's words."""
    log_buffer = set_up()
    try:
        asyncio.run(serve(read_settings(SETTINGS.value), log_buffer))
    except BadSettings as bad:
        print(f"controller: {bad}", file=sys.stderr)
        sys.exit(2)


def main() -> None:
    """The entry point of stoneyoke-controller."""
    app.run(run)


if __name__ == "__main__":
    main()
