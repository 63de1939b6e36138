"""A stand-in for the counter service, in two halves that a fault can partition from each other."""

import asyncio
import random
import re

from stoneyoke.lab.http import Request, ServerConnection
from stoneyoke.lab.ledger_writer import LedgerWriter
from stoneyoke.lab.worker_messages import Begin, ChangeCounterFault, Command, CounterSetup, Reply

BACKLOG = 1024
MAX_LIFE_S = 60.0  # maximum lifetime of a counter, from its first addition
ADD_TARGET = re.compile(rb"^/counters/([0-9a-zA-Z._-]{1,64})\?by=([-+0-9.eE]+)&expire_ms=([0-9]+)$").match

CounterValues = dict[bytes, tuple[float, float]]  # by name: the value, and the loop time when it expires


class StandInCounter:
    """Adds to counters by name. Each partition serves its calls one at a time, at a bounded rate."""

    def __init__(self, setup: CounterSetup, ledger: LedgerWriter) -> None:
        """Listens after `start`, and rejects calls until it receives Begin."""
        self.ledger = ledger
        self._addresses = setup.addresses
        self._settings = setup.settings
        self._values: list[CounterValues] = [{}, {}]  # by half; both halves use the first unless partitioned
        self._free_at_s = [0.0] * setup.settings.parts  # by partition: loop time when its queue is empty
        self._silent = self._split = False
        self._service_time_factor = 1.0
        self._serving = False

    async def start(self) -> None:
        """Starts to listen at the addresses of both halves."""
        self._servers = [await self._listen(half) for half in range(len(self._addresses))]

    async def _listen(self, half: int) -> asyncio.Server:
        def receive(request: Request) -> None:
            self._receive(request, half)

        loop = asyncio.get_running_loop()
        return await loop.create_server(lambda: ServerConnection(receive), *self._addresses[half], backlog=BACKLOG)

    def _receive(self, request: Request, half: int) -> None:
        matched = ADD_TARGET(request.target)
        if not matched:
            request.respond(400)
            return
        if self._silent:
            return
        loop, name = asyncio.get_running_loop(), matched[1]
        partition = int.from_bytes(name[-4:], "big") % len(self._free_at_s)
        wait_s = self._free_at_s[partition] - loop.time()
        if not self._serving or wait_s > self._settings.line_ms / 1000:
            request.respond(503)
            self.ledger.add("count", name.decode(), None)
            return
        service_time_s = self._service_time_factor * len(self._free_at_s) / self._settings.per_s
        self._free_at_s[partition] = max(loop.time(), self._free_at_s[partition]) + service_time_s
        amount, life_s = float(matched[2]), int(matched[3]) / 1000
        loop.call_at(self._free_at_s[partition], self._add, request, half, name, amount, life_s)

    def _add(self, request: Request, half: int, name: bytes, amount: float, life_s: float) -> None:
        if self._silent:
            return
        now_s, values = asyncio.get_running_loop().time(), self._values[half if self._split else 0]
        value, expires_at_s = values.get(name, (0.0, 0.0))
        if expires_at_s <= now_s:
            value, expires_at_s = 0.0, now_s + min(MAX_LIFE_S, life_s)
        value += amount
        values[name] = value, expires_at_s
        self.ledger.add("count", name.decode(), round(value, 4))
        request.respond(200, b"%.6f" % value)

    async def execute(self, command: Command) -> Reply | None:
        """Starts to serve calls, or starts or ends a fault."""
        if isinstance(command, Begin):
            self._serving = True
        elif isinstance(command, ChangeCounterFault):
            self._change_fault(command)
            self.ledger.add("counter", command.fault.kind, command.begins)
        return None

    def _change_fault(self, command: ChangeCounterFault) -> None:
        fault, begins = command.fault, command.begins
        match fault.kind:
            case "silent":
                self._silent = begins
            case "crawl":
                self._service_time_factor = fault.factor if begins else 1.0
            case "wipe" if begins:
                self._wipe(command.number, fault.part)
            case "empty":
                self._silent = begins
                self._values = [{}, {}]
            case "split":
                self._split = begins
                self._values[1] = dict(self._values[0]) if begins else {}

    def _wipe(self, seed: int, share: float) -> None:
        """Deletes a random share of the counters."""
        random_source = random.Random(seed)
        for name in [name for name in sorted(self._values[0]) if random_source.random() < share]:
            del self._values[0][name]

    async def shut_down(self) -> None:
        """Stops listening."""
        for server in self._servers:
            server.close()
