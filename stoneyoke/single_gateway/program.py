"""`python -m stoneyoke`: one gateway on sockets, as NODE_CONFIG describes it, until SIGTERM."""

import asyncio
import gc
import json
import os
import signal
import socket
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

from loguru import logger

from stoneyoke.net.backends import Backends
from stoneyoke.net.clients import ClientConnections
from stoneyoke.net.descriptor_budget import DescriptorBudget
from stoneyoke.net.errors import MalformedMessage
from stoneyoke.net.message_reader import BODY_MAX_BYTES
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.metrics import Metrics
from stoneyoke.runtime.runtime import Runtime
from stoneyoke.single_gateway.counter import Counter
from stoneyoke.single_gateway.discovery import Discovery, EndpointTable, EndpointUpdate
from stoneyoke.single_gateway.parameters import InvalidConfiguration, field, read_parameters
from stoneyoke.single_gateway.request_head import RpcVocabulary

if TYPE_CHECKING:
    from stoneyoke.fleet.transport import FleetTransport
    from stoneyoke.single_gateway.options import FleetParameters, Options

SWEEP_S = 0.25  # the shortest time-out that it ends, 2 s, has to be kept within 3
WAITING = 1024  # connections that may wait to be accepted; the system cuts it down to what it allows
OWN_DESCRIPTORS = 24  # standard streams, the loop's own, the listener, the counter's and discovery's
LEAST_DESCRIPTORS = 80  # with fewer there is no use in starting
LEAST_MB = 32  # the operators' page: no machine has less
ANSWER_PART = 32  # of the memory, for one answer's body: backends send more than the protocol page's 64 KiB


def address(table: Any, key: str) -> tuple[str, int]:
    """A table's HOST:PORT, as a pair. Raises BadStart where it is none."""
    text = field(table, key, str)
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65535:
        raise InvalidConfiguration(f"{key!r} is no address: {text!r}")
    return host, int(port)


def read_configuration() -> dict[str, Any]:
    """The configuration file that NODE_CONFIG names. Raises BadStart where it can't be read."""
    path = os.environ.get("NODE_CONFIG")
    if not path:
        raise InvalidConfiguration("NODE_CONFIG names no file")
    try:
        with open(path, "rb") as file:
            given = json.load(file)
    except (OSError, ValueError, RecursionError) as bad:
        raise InvalidConfiguration(f"NODE_CONFIG: {path!r} can't be read: {bad}") from bad
    if not isinstance(given, dict):
        raise InvalidConfiguration("NODE_CONFIG: not an object")
    return given


class GatewaySettings:
    """What the configuration says, read and checked as a whole. BadStart names what can't be used."""

    def __init__(self, given: dict[str, Any]) -> None:
        settings = field(given, "settings", dict)
        try:
            seed = int(field(given, "seed", str), 16)
        except ValueError as bad:
            raise InvalidConfiguration(f"'seed' is no hex number: {given['seed']!r}") from bad
        self.parameters = read_parameters(seed, settings)
        self.names = RpcVocabulary(
            [field(row, "name", str) for row in settings["classes"]],
            [field(row, "name", str) for row in settings["tariffs"]],
            self.parameters,
        )
        caps = settings["caps"]
        self.dial_us, self.idle_us = (field(caps, key, int, 1) for key in ("dial-timeout-us", "conn-idle-us"))
        self.slack_us = field(settings["rules"], "answer-slack-us", int)
        self.zones = field(settings, "zones", list)
        limits = field(given, "limits", dict)
        self.descriptors = field(limits, "sockets", int, LEAST_DESCRIPTORS)
        self.memory = field({"memory_mb": LEAST_MB} | limits, "memory_mb", int, 1) << 20
        self.listen, self.discovery = address(given, "listen"), address(given, "discovery")
        self.counter: tuple[str, int] | None = None
        self.count_limit_us = 0
        if self.parameters.has_counter:
            self.counter = address(given, "counter")
            self.count_limit_us = field(settings["extra"], "count-limit-us", int, 1)
        try:
            self.known = EndpointUpdate(field(given, "known", dict))
        except MalformedMessage as bad:
            raise InvalidConfiguration(f"'known': {bad}") from bad


class SingleGatewayProgram:
    """The parts of a gateway, put together from its configuration."""

    def __init__(self, settings: GatewaySettings, fleet_parameters: "FleetParameters | None" = None) -> None:
        self.settings = settings
        # An eighth is kept spare, and an eighth is for connections accepted and not yet looked at: five turns
        # of the loop pass until one closed for room is gone, and each turn accepts as many as it is let.
        part = settings.descriptors // 8
        self.accepts = max(1, part // 5)
        descriptor_budget = DescriptorBudget(settings.descriptors - OWN_DESCRIPTORS - 2 * part, part)
        self.clock, self.metrics = Clock(), Metrics()
        self.runtime = Runtime(settings.parameters, self.clock, self.metrics)
        self.backends = Backends(
            self.clock,
            self.metrics,
            settings.dial_us,
            settings.idle_us,
            descriptor_budget,
            max(BODY_MAX_BYTES, settings.memory // ANSWER_PART),
        )
        self.clients = ClientConnections(
            self.clock,
            self.metrics,
            self.runtime,
            self.backends,
            settings.names,
            settings.slack_us,
            descriptor_budget,
            settings.descriptors,
        )
        self.counter: Counter | None = None
        if settings.counter:
            self.counter = Counter(self.clock, self.metrics, self.runtime, settings.counter, settings.count_limit_us)
            self.runtime.send_to_counter = self.counter.add
        self.fleet = EndpointTable(
            settings.zones, self.backends.set_address, self.backends.remove, self.runtime.knows_backend
        )
        self.backends.accepts_new_work = self.fleet.takes
        self.discovery = Discovery(self.metrics, self.update_endpoints)
        self.peers: FleetTransport | None = None
        if fleet_parameters:
            from stoneyoke.fleet import transport

            zone = settings.zones[settings.parameters.zone] if settings.parameters.zone < len(settings.zones) else ""
            self.peers = transport.FleetTransport(fleet_parameters, str(zone), self.runtime, self.clock, self.metrics)
        self.clients.endpoints_known = self.discovery.spoke

    def update_endpoints(self, news: EndpointUpdate) -> None:
        self.runtime.endpoints_changed(self.fleet.news(news))
        if self.peers:
            self.peers.set_backends(self.fleet.ready())

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self.loop_failed)
        self.update_endpoints(self.settings.known)
        self.discovery.follow(self.settings.discovery)
        self.maintenance = loop.create_task(self.sweep())
        if self.peers:
            await self.peers.start()
        listener = socket.create_server(self.settings.listen)
        self.server = await loop.create_server(self.clients.line, sock=listener, backlog=self.accepts)
        listener.listen(WAITING)  # the loop has set it to what it accepts in a turn; more may wait
        logger.info(
            "gateway {} of {} listens on {}:{}",
            self.runtime.parameters.own_index,
            self.runtime.parameters.gateways,
            *self.settings.listen,
        )

    def reload(self) -> None:
        """SIGHUP: discovery and counter are where the file says now; all that is known stays. Whatever else
        it says counts from the next start on."""
        try:
            given = read_configuration()
            new, options = GatewaySettings(given), read_options(given)
            fleet_parameters = fleet_parameters_of(options, given)
        except Exception as bad:  # whatever is wrong with a file must not reach what runs
            self.metrics.add("reloads: unusable")
            logger.error("reload: the old configuration stays: {}", bad)
            return
        self.metrics.add("reloads")
        if new.discovery != self.settings.discovery:
            self.discovery.follow(new.discovery)
        if self.counter and new.counter:
            self.counter.move(new.counter)
        if self.peers and fleet_parameters:
            self.peers.reload(fleet_parameters.seeds, fleet_parameters.keys)
        self.settings = new
        logger.info("reload: discovery at {}, counter at {}", new.discovery, new.counter)

    async def finish(self) -> None:
        logger.info("ending: answers what is held")
        if self.peers:
            self.peers.leave()
        await self.clients.drain()
        self.server.close()
        await self.clients.finish_pending()
        self.discovery.stop()
        self.maintenance.cancel()
        logger.info("counts: {}", self.metrics.summary())

    async def run(self) -> None:
        loop, ended = asyncio.get_running_loop(), asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, ended.set)
        loop.add_signal_handler(signal.SIGINT, ended.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        loop.add_signal_handler(signal.SIGUSR1, lambda: logger.info("counts: {}", self.metrics.summary()))
        await self.start()
        gc.collect()
        gc.freeze()  # what is there now stays: later collections needn't look at it
        await ended.wait()
        await self.finish()

    def loop_failed(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """What nothing else caught: logged and counted, and the gateway goes on."""
        logger.opt(exception=context.get("exception")).error("event loop: {}", context.get("message"))
        self.metrics.check_invariant(False, "event loop")

    async def sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            self.backends.close_expired()
            self.clients.close_expired()
            self.fleet.sweep()


def read_options(given: dict[str, Any]) -> "Options | None":
    """The gateway's own options. No file, no library loaded for it."""
    named = os.environ.get("STONEYOKE_OPTIONS") or given.get("options")
    if not named:
        return None
    if not isinstance(named, str):
        raise InvalidConfiguration(f"'options' names no file: {named!r}")
    try:
        from stoneyoke.single_gateway.options import read
    except ImportError as bad:
        raise InvalidConfiguration(f"options: their library is missing, pip install .[options] ({bad})") from bad
    return read(Path(named))


def fleet_parameters_of(options: "Options | None", given: dict[str, Any]) -> "FleetParameters | None":
    """None where no fleet part is asked for."""
    if options is None:
        return None
    from stoneyoke.single_gateway.options import fleet_parameters

    return fleet_parameters(options.fleet, str(given.get("name", "")))


def main() -> int:
    """Serves until SIGTERM; the exit code."""
    logger.remove()
    logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {level} {message}", backtrace=False, diagnose=False)
    try:
        given = read_configuration()
        options = read_options(given)
        if options and options.log.form == "json":
            logger.remove()
            logger.add(sys.stderr, serialize=True, backtrace=False, diagnose=False)
        program = SingleGatewayProgram(GatewaySettings(given), fleet_parameters_of(options, given))
    except InvalidConfiguration as bad:
        print(f"stoneyoke: {bad}", file=sys.stderr)
        return 2
    try:
        asyncio.run(program.run())
    except OSError as bad:
        print(f"stoneyoke: {bad}", file=sys.stderr)
        return 1
    return 0
