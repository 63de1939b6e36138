"""Turns the fault events of a plan into commands to the workers, which inject the faults."""

import time
from pathlib import Path
from typing import Protocol

from stoneyoke.lab.addresses import Addresses
from stoneyoke.lab.fault_kinds import FaultTarget, target_of
from stoneyoke.lab.plan import FaultEvent
from stoneyoke.lab.result import REPLACED_SUFFIX
from stoneyoke.lab.worker_messages import (
    BACKENDS,
    CLIENTS,
    COUNTER,
    DISCOVERY,
    LINKS_PREFIX,
    SUPERVISOR,
    ChangeBackendFault,
    ChangeClientsFault,
    ChangeCounterFault,
    ChangeDiscoveryFault,
    ChangeEndpoint,
    ChangeFault,
    ChangeLinkFault,
    SignalGateway,
)
from stoneyoke.lab.worker_process import WorkerProcess

ACTIVE, LEAVING, LEFT = "active", "leaving", "left"

# The worker and the type of command for a fault of the counter service, of discovery and of the clients.
SERVICE_COMMANDS: dict[FaultTarget, tuple[str, type[ChangeFault]]] = {
    FaultTarget.COUNTER: (COUNTER, ChangeCounterFault),
    FaultTarget.DISCOVERY: (DISCOVERY, ChangeDiscoveryFault),
    FaultTarget.CLIENTS: (CLIENTS, ChangeClientsFault),
}


class GatewayStarter(Protocol):
    """Configures and starts gateways. `restarts` is how often the gateway was started before."""

    def start_gateway(self, gateway: int, restarts: int = 0) -> None:
        """Writes a gateway's files and starts it."""

    def configure(self, gateway: int, restarts: int = 0) -> Path:
        """Overwrites a gateway's files."""


class FaultDispatcher:
    """Sends each worker the commands for its part of a fault event."""

    def __init__(self, addresses: Addresses, workers: dict[str, WorkerProcess], gateways: GatewayStarter) -> None:
        """Sends no command yet.

        Args:
            addresses: The names of the gateways and backends, in the order of their numbers.
            workers: The workers by name. The run adds them after this call, before it injects the first fault.
            gateways: Configures gateways and restarts them.
        """
        self._addresses = addresses
        self._workers = workers
        self._gateways = gateways
        self._restarts: dict[str, int] = {}  # by gateway

    def dispatch(self, event: FaultEvent) -> None:
        """Starts or ends a fault."""
        target = target_of(event.kind)
        if target == FaultTarget.LINK:
            self._dispatch_to_links(event)
        elif target == FaultTarget.GATEWAY:
            for name in event.processes:
                self._dispatch_to_gateway(event, name)
        elif target == FaultTarget.BACKEND:
            for name in event.processes:
                self._dispatch_to_backend(event, name)
        else:
            worker, command_type = SERVICE_COMMANDS[target]
            self._workers[worker].send(command_type(event.number, event.fault, event.begins))

    def _dispatch_to_links(self, event: FaultEvent) -> None:
        command = ChangeLinkFault(event.number, event.fault, event.begins, event.source, event.destination)
        for name, worker in self._workers.items():
            if name.startswith(LINKS_PREFIX):
                worker.send(command)

    def _dispatch_to_gateway(self, event: FaultEvent, name: str) -> None:
        gateway, supervisor = self._addresses.gateway_names.index(name), self._workers[SUPERVISOR]
        match event.kind, event.begins:
            case "kill", True:
                supervisor.send(SignalGateway(name, "SIGKILL", ends=True))
            case "term", True:
                supervisor.send(SignalGateway(name, "SIGTERM", ends=True))
            case "kill" | "term", False:
                self._restarts[name] = self._restarts.get(name, 0) + 1
                self._gateways.start_gateway(gateway, self._restarts[name])
            case "stop", begins:
                supervisor.send(SignalGateway(name, "SIGSTOP" if begins else "SIGCONT"))
            case "reload", True:
                self._gateways.configure(gateway)
                supervisor.send(SignalGateway(name, "SIGHUP"))

    def _dispatch_to_backend(self, event: FaultEvent, name: str) -> None:
        discovery = self._workers[DISCOVERY]
        now_ms = int(time.time() * 1000)
        replacement = name + REPLACED_SUFFIX
        self._workers[BACKENDS].send(ChangeBackendFault(event.number, event.fault, event.begins, name, replacement))
        match event.kind, event.begins:
            case ("crash", True) | ("drain", False):
                discovery.send(ChangeEndpoint(name, LEFT))
            case "crash", False:
                discovery.send(ChangeEndpoint(name, ACTIVE, now_ms))
            case "drain" | "replace", True:
                discovery.send(ChangeEndpoint(name, LEAVING))
            case "replace", False:
                number = self._addresses.backend_names.index(name)
                discovery.send(ChangeEndpoint(name, LEFT))
                discovery.send(ChangeEndpoint(replacement, ACTIVE, now_ms, replaces=number))
