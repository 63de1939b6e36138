"""The process of a single gateway: its components, signals, reload and shutdown."""

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
    read_configuration,
    read_fleet_parameters,
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

MAINTENANCE_INTERVAL_S = (
    0.25  # the shortest time-out that is checked at this interval, 2 s, must take effect within 3 s
)
ACCEPT_QUEUE = 1024  # connections that may wait to be accepted; the system reduces it to its own limit
OWN_DESCRIPTORS = 24  # standard streams, event loop, listener, counter and discovery
# The descriptors divided by this are kept in reserve, and as many again for connections that are being accepted.
RESERVE_DIVISOR = 8
ITERATIONS_UNTIL_CLOSED = 5  # of the event loop, until an evicted connection is closed
# The body of one response may use the memory divided by this: backends send more than the protocol page's 64 KiB.
RESPONSE_MEMORY_DIVISOR = 32
LOG_FORMAT = "{time:HH:mm:ss.SSS} {level} {message}"
EXIT_OK, EXIT_FAILURE, EXIT_INVALID_CONFIGURATION = 0, 1, 2


class SingleGatewayProgram:
    """The components of a gateway, created from its settings.

    Attributes:
        settings: The settings of the last reload, or of the start. Of a reload, only the addresses of discovery and the
            counter service have an effect.
        peers: The fleet component; None if it is off.
        server: The listener; set by start().
        maintenance: The periodic task; set by start().
    """

    server: asyncio.Server
    maintenance: asyncio.Task[None]

    def __init__(self, settings: GatewaySettings, fleet_parameters: "FleetParameters | None" = None) -> None:
        """Creates the components; opens no socket yet."""
        self.settings = settings
        self.clock, self.metrics = Clock(), Metrics()
        self.runtime = Runtime(settings.parameters, self.clock, self.metrics)
        # It takes some iterations of the event loop until an evicted connection is closed. Each iteration accepts up to
        # accepts_per_iteration connections in the meantime, which use the reserve.
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
        self.endpoints = EndpointTable(settings.zones, self.backends, self.runtime.is_known_backend)
        self.backends.accepts_new_work = self.endpoints.accepts_new_work
        self.discovery = Discovery(self.metrics, self.update_endpoints)
        self.clients.endpoints_known = self.discovery.first_response
        self.peers = self.make_peers(fleet_parameters) if fleet_parameters else None

    def make_counter(self) -> CounterClient | None:
        """Creates the client of the counter service; None if the settings have no counter service."""
        settings = self.settings
        if settings.counter is None:
            return None
        counter = CounterClient(self.clock, self.metrics, self.runtime, settings.counter, settings.counter_timeout_us)
        self.runtime.send_to_counter = counter.add
        return counter

    def make_peers(self, fleet_parameters: "FleetParameters") -> "FleetTransport":
        """Creates the fleet component. Its package is imported only if the component is on."""
        from stoneyoke.fleet import transport

        zone = self.settings.own_zone()
        return transport.FleetTransport(fleet_parameters, zone, self.runtime, self.clock, self.metrics)

    def update_endpoints(self, update: EndpointUpdate) -> None:
        """Applies an update of the endpoint list."""
        self.runtime.endpoints_changed(self.endpoints.apply(update))
        if self.peers:
            self.peers.set_backends(self.endpoints.ready())

    # ---- start, reload and shutdown ----

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT."""
        loop, shutdown_requested = asyncio.get_running_loop(), asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, shutdown_requested.set)
        loop.add_signal_handler(signal.SIGINT, shutdown_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        loop.add_signal_handler(signal.SIGUSR1, self.log_counts)
        await self.start()
        gc.collect()
        gc.freeze()  # the objects that exist now live as long as the process, so later collections skip them
        await shutdown_requested.wait()
        await self.shut_down()

    async def start(self) -> None:
        """Opens the listener, and starts the watch on discovery and the maintenance.

        Raises:
            OSError: An address can't be bound.
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
        # create_server() has limited the system's accept queue to `backlog`, which it also uses as the number of
        # connections to accept per iteration of the event loop. More connections may wait in the queue.
        listener.listen(ACCEPT_QUEUE)
        parameters = self.runtime.parameters
        logger.info(
            "gateway {} of {} listens on {}:{}", parameters.own_index, parameters.gateways, *self.settings.listen
        )

    def reload(self) -> None:
        """After SIGHUP, uses the addresses of discovery and counter service in the file, and keeps all other state.

        With a fleet component, also its seeds and keys are updated. Other changes of the file have an effect only at
        the next start. An invalid file changes nothing.
        """
        try:
            configuration = read_configuration()
            settings, options = read_settings(configuration), read_options(configuration)
            fleet_parameters = read_fleet_parameters(options, configuration)
        except Exception as error:  # outermost guard: an error in a file must not affect the running gateway
            self.metrics.add("reloads: unusable")
            logger.error("reload: the new configuration is invalid, the old configuration stays: {}", error)
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
        """After SIGTERM, drains the clients, answers the pending requests, and stops."""
        logger.info("SIGTERM: serving continues while clients change to other gateways, then pending requests finish")
        if self.peers:
            self.peers.leave()
        await self.clients.drain(self.server.close)
        self.discovery.stop()
        self.maintenance.cancel()
        self.log_counts()

    async def maintain(self) -> None:
        """Closes expired connections, checks for orphaned attempts, and releases unused indices, periodically."""
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            self.backends.close_expired()
            self.clients.connections.close_expired()
            self.runtime.departures.sweep()
            self.endpoints.release_unused()

    # ---- log ----

    def log_counts(self) -> None:
        """Logs all counters on one line."""
        logger.info("counts: {}", self.metrics.summary())

    def handle_loop_exception(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Logs and counts an error that nothing else has handled; the gateway continues."""
        logger.opt(exception=context.get("exception")).error(
            "The event loop reports an unhandled error; the gateway continues: {}", context.get("message")
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
        program = SingleGatewayProgram(read_settings(configuration), read_fleet_parameters(options, configuration))
    except InvalidConfiguration as error:
        print(f"stoneyoke: {error}", file=sys.stderr)
        return EXIT_INVALID_CONFIGURATION
    try:
        asyncio.run(program.run())
    except OSError as error:
        print(f"stoneyoke: {error}", file=sys.stderr)
        return EXIT_FAILURE
    return EXIT_OK
