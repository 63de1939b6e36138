"""The single gateway as a process: its parts, its signals, its reload and its end."""

import asyncio
import gc
import signal
import socket
import sys
from typing import TYPE_CHECKING, Any

from loguru import logger

from stoneyoke.net.backends import BackendLimits, Backends
from stoneyoke.net.descriptor_budget import DescriptorBudget
from stoneyoke.net.message_reader import BODY_MAX_BYTES
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.metrics import Metrics
from stoneyoke.runtime.runtime import Runtime
from stoneyoke.single_gateway.configuration import (
    GatewaySettings,
    fleet_parameters_of,
    read_configuration,
    read_options,
    read_settings,
)
from stoneyoke.single_gateway.counter import CounterClient
from stoneyoke.single_gateway.discovery import Discovery
from stoneyoke.single_gateway.endpoint_table import EndpointTable
from stoneyoke.single_gateway.endpoints import EndpointUpdate
from stoneyoke.single_gateway.errors import InvalidConfiguration
from stoneyoke.single_gateway.rpc_handler import RpcHandler

if TYPE_CHECKING:
    from stoneyoke.fleet.parameters import FleetParameters
    from stoneyoke.fleet.transport import FleetTransport

MAINTENANCE_S = 0.25  # the shortest time-out that it ends, 2 s, has to be kept within 3
ACCEPT_QUEUE = 1024  # connections that may wait to be accepted; the system cuts it down to what it allows
OWN_DESCRIPTORS = 24  # standard streams, the event loop's, the listener, the counter's and discovery's
RESERVE_DIVISOR = 8  # one descriptor of so many is kept in reserve, and another one for what is being accepted
ITERATIONS_UNTIL_CLOSED = 5  # of the event loop, until a connection that is closed for another one is gone
# Divisor of the memory, for the body of one response: backends send more than the 64 KiB of the protocol page.
RESPONSE_MEMORY_DIVISOR = 32
LOG_FORMAT = "{time:HH:mm:ss.SSS} {level} {message}"
EXIT_OK, EXIT_FAILURE, EXIT_INVALID_CONFIGURATION = 0, 1, 2


class SingleGatewayProgram:
    """The parts of a gateway, put together from its settings.

    Attributes:
        settings: What the process was started with, with the addresses of the last reload.
        peers: The fleet part, if there is one.
        server: The listener; set by start().
        maintenance: The periodic task; set by start().
    """

    server: asyncio.Server
    maintenance: asyncio.Task[None]

    def __init__(self, settings: GatewaySettings, fleet_parameters: "FleetParameters | None" = None) -> None:
        """Puts the parts together; nothing is opened yet."""
        self.settings = settings
        self.clock, self.metrics = Clock(), Metrics()
        self.runtime = Runtime(settings.parameters, self.clock, self.metrics)
        # Until a connection that is closed for another one is gone, some turns of the event loop pass, and each turn
        # accepts as many connections as it is let.
        reserve = settings.descriptors // RESERVE_DIVISOR
        self.accepts_per_iteration = max(1, reserve // ITERATIONS_UNTIL_CLOSED)
        descriptor_budget = DescriptorBudget(settings.descriptors - OWN_DESCRIPTORS - 2 * reserve, reserve)
        limits = BackendLimits(
            connect_timeout_us=settings.connect_timeout_us,
            idle_timeout_us=settings.idle_timeout_us,
            response_max_bytes=max(BODY_MAX_BYTES, settings.memory_bytes // RESPONSE_MEMORY_DIVISOR),
        )
        self.backends = Backends(self.clock, self.metrics, descriptor_budget, limits)
        self.clients = RpcHandler(self.runtime, self.backends, settings, descriptor_budget)
        self.counter = self.make_counter()
        self.endpoints = EndpointTable(settings.zones, self.backends, self.runtime.knows_backend)
        self.backends.accepts_new_work = self.endpoints.accepts_new_work
        self.discovery = Discovery(self.metrics, self.update_endpoints)
        self.clients.endpoints_known = self.discovery.first_response
        self.peers = self.make_peers(fleet_parameters) if fleet_parameters else None

    def make_counter(self) -> CounterClient | None:
        """The counter service's client, if the settings have such a service."""
        settings = self.settings
        if settings.counter is None:
            return None
        counter = CounterClient(self.clock, self.metrics, self.runtime, settings.counter, settings.counter_timeout_us)
        self.runtime.send_to_counter = counter.add
        return counter

    def make_peers(self, fleet_parameters: "FleetParameters") -> "FleetTransport":
        """The fleet part. Its package is imported only where there is one."""
        from stoneyoke.fleet import transport

        zone = self.settings.own_zone()
        return transport.FleetTransport(fleet_parameters, zone, self.runtime, self.clock, self.metrics)

    def update_endpoints(self, update: EndpointUpdate) -> None:
        """Applies an update of the endpoint list."""
        self.runtime.endpoints_changed(self.endpoints.apply(update))
        if self.peers:
            self.peers.set_backends(self.endpoints.ready())

    # ---- start, reload and end ----

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT."""
        loop, shutdown_requested = asyncio.get_running_loop(), asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, shutdown_requested.set)
        loop.add_signal_handler(signal.SIGINT, shutdown_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        loop.add_signal_handler(signal.SIGUSR1, self.log_counts)
        await self.start()
        gc.collect()
        gc.freeze()  # what is there now stays: later collections need not look at it
        await shutdown_requested.wait()
        await self.shut_down()

    async def start(self) -> None:
        """Opens the listener and starts the watches.

        Raises:
            OSError: An address can't be had.
        """
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self.handle_loop_exception)
        self.update_endpoints(self.settings.known_endpoints)
        self.discovery.watch_address(self.settings.discovery)
        self.maintenance = loop.create_task(self.maintain())
        if self.peers:
            await self.peers.start()
        listener = socket.create_server(self.settings.listen)
        self.server = await loop.create_server(
            self.clients.make_protocol, sock=listener, backlog=self.accepts_per_iteration
        )
        # create_server() has set the system's queue to what a turn of the event loop accepts; more may wait.
        listener.listen(ACCEPT_QUEUE)
        parameters = self.runtime.parameters
        logger.info(
            "gateway {} of {} listens on {}:{}", parameters.own_index, parameters.gateways, *self.settings.listen
        )

    def reload(self) -> None:
        """After SIGHUP: follows discovery and counter to where the file says now, and keeps all that is known.

        Whatever else the file says counts from the next start on. A file that can't be used changes nothing.
        """
        try:
            configuration = read_configuration()
            settings, options = read_settings(configuration), read_options(configuration)
            fleet_parameters = fleet_parameters_of(options, configuration)
        except Exception as error:  # outermost guard: whatever is wrong with a file must not reach what runs
            self.metrics.add("reloads: unusable")
            logger.error("reload: the new configuration can't be used, the old configuration stays: {}", error)
            return
        self.metrics.add("reloads")
        if settings.discovery != self.settings.discovery:
            self.discovery.watch_address(settings.discovery)
        if self.counter and settings.counter:
            self.counter.set_address(settings.counter)
        if self.peers and fleet_parameters:
            self.peers.reload(fleet_parameters.seeds, fleet_parameters.keys)
        self.settings = settings
        logger.info("reload: discovery at {}, counter at {}", settings.discovery, settings.counter)

    async def shut_down(self) -> None:
        """After SIGTERM: lets clients go elsewhere, answers what is open, and ends."""
        logger.info("SIGTERM: serves on for a moment while clients turn to other gateways, then answers open requests")
        if self.peers:
            self.peers.leave()
        await self.clients.drain()
        self.server.close()
        await self.clients.finish_pending(self.clients.longest_deadline_s)
        self.discovery.stop()
        self.maintenance.cancel()
        self.log_counts()

    async def maintain(self) -> None:
        """Ends what is overdue, several times a second."""
        while True:
            await asyncio.sleep(MAINTENANCE_S)
            self.backends.close_expired()
            self.clients.connections.close_expired()
            self.runtime.departures.sweep()
            self.endpoints.release_unused()

    # ---- log ----

    def log_counts(self) -> None:
        """Logs all counters, on one line."""
        logger.info("counts: {}", self.metrics.summary())

    def handle_loop_exception(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Logs and counts what nothing else has caught; the gateway serves on."""
        logger.opt(exception=context.get("exception")).error(
            "The event loop reports an error that nothing caught; the gateway serves on: {}", context.get("message")
        )
        self.metrics.check_invariant(False, "event loop")


def main() -> int:
    """Serves until SIGTERM; returns the exit code."""
    logger.remove()
    logger.add(sys.stderr, format=LOG_FORMAT, backtrace=False, diagnose=False)
    try:
        configuration = read_configuration()
        options = read_options(configuration)
        if options and options.log.form == "json":
            logger.remove()
            logger.add(sys.stderr, serialize=True, backtrace=False, diagnose=False)
        program = SingleGatewayProgram(read_settings(configuration), fleet_parameters_of(options, configuration))
    except InvalidConfiguration as error:
        print(f"stoneyoke: {error}", file=sys.stderr)
        return EXIT_INVALID_CONFIGURATION
    try:
        asyncio.run(program.run())
    except OSError as error:
        print(f"stoneyoke: {error}", file=sys.stderr)
        return EXIT_FAILURE
    return EXIT_OK
