"""Faults as orders to the processes that carry them out."""

import time
from typing import Any, Protocol

import msgspec

from stoneyoke.lab.addresses import Addresses
from stoneyoke.lab.fault_kinds import FaultTarget, target_of
from stoneyoke.lab.plan import FaultEvent
from stoneyoke.lab.worker_process import WorkerProcess


class Gateways(Protocol):
    """Who starts and configures gateways."""

    def start_gateway(self, g: int, life: int = 0) -> None:
        """A life of gateway g."""

    def configure(self, g: int, life: int = 0) -> Any:
        """Writes its files anew."""


class FaultOrders:
    """Tells each process what a strike of the plan means for it."""

    def __init__(self, addresses: Addresses, workers: dict[str, WorkerProcess], gateways: Gateways) -> None:
        self.addresses, self.workers, self.gateways = addresses, workers, gateways
        self.lives: dict[str, int] = {}  # of gateways that were started again

    def strike(self, strike: FaultEvent) -> None:
        """Carries out one strike, or mends it."""
        fault = msgspec.to_builtins(strike.fault)
        order = {"number": strike.number, "fault": fault, "begins": strike.begins}
        what = target_of(strike.kind)
        if what == FaultTarget.LINK:
            for name, worker in self.workers.items():
                if name.startswith("links"):
                    worker.say(order | {"do": "link", "from": strike.source, "to": strike.destination})
        elif what == FaultTarget.GATEWAY:
            for name in strike.processes:
                self.strike_gateway(strike, name)
        elif what == FaultTarget.BACKEND:
            for name in strike.processes:
                self.strike_backend(strike, name, order)
        else:
            self.workers["front" if what == FaultTarget.CLIENTS else what].say(
                order | {"do": "front" if what == FaultTarget.CLIENTS else what}
            )

    def strike_gateway(self, strike: FaultEvent, name: str) -> None:
        g, supervisor = self.addresses.gateway_names.index(name), self.workers["keeper"]
        match strike.kind, strike.begins:
            case ("kill", True):
                supervisor.say({"do": "signal", "name": name, "signal": "SIGKILL", "ends": True})
            case ("term", True):
                supervisor.say({"do": "signal", "name": name, "signal": "SIGTERM", "ends": True})
            case ("kill" | "term", False):
                self.lives[name] = self.lives.get(name, 0) + 1
                self.gateways.start_gateway(g, self.lives[name])
            case ("stop", begins):
                supervisor.say({"do": "signal", "name": name, "signal": "SIGSTOP" if begins else "SIGCONT"})
            case ("reload", True):
                self.gateways.configure(g)
                supervisor.say({"do": "signal", "name": name, "signal": "SIGHUP"})

    def strike_backend(self, strike: FaultEvent, name: str, order: dict[str, Any]) -> None:
        backends, discovery = self.workers["backends"], self.workers["discovery"]
        now_ms, b = int(time.time() * 1000), self.addresses.backend_names.index(name)
        backends.say(order | {"do": "backend", "name": name, "new": name + "-new"})
        match strike.kind, strike.begins:
            case ("crash", True):
                discovery.say({"do": "list", "name": name, "status": "left", "since_ms": 0})
            case ("crash", False):
                discovery.say({"do": "list", "name": name, "status": "active", "since_ms": now_ms})
            case ("drain" | "replace", True):
                discovery.say({"do": "list", "name": name, "status": "leaving", "since_ms": 0})
            case ("drain", False):
                discovery.say({"do": "list", "name": name, "status": "left", "since_ms": 0})
            case ("replace", False):
                discovery.say({"do": "list", "name": name, "status": "left", "since_ms": 0})
                discovery.say({"do": "list", "name": name + "-new", "status": "active", "since_ms": now_ms, "place": b})
