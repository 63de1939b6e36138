"""The fleet part on a socket: datagrams to and from the other gateways, and a clock. Decides nothing."""

import asyncio
import time
from collections.abc import Iterable
from typing import cast

from loguru import logger

from stoneyoke.control.events import KnownBackend, PeerEvidence
from stoneyoke.control.parameters import AttemptOutcome
from stoneyoke.fleet.agent import TICK, FleetAgent
from stoneyoke.fleet.membership import Address
from stoneyoke.fleet.messages import Member
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.metrics import Metrics
from stoneyoke.runtime.runtime import Runtime
from stoneyoke.single_gateway.options import FleetParameters

STATES = ("is there", "is suspected", "is dead", "has left")
FLOOD = 100  # datagrams a tick; what comes beyond is dropped unread
# What an outcome says of its backend; the others say nothing. Only what is quiet is called off.
GOOD = {
    AttemptOutcome.OK: True,
    AttemptOutcome.ERROR: False,
    AttemptOutcome.TIMED_OUT: False,
    AttemptOutcome.BROKEN: False,
    AttemptOutcome.CANCELLED: False,
    AttemptOutcome.NO_CONNECTION: False,
    AttemptOutcome.CUT: False,
}


def own_member(parameters: FleetParameters, zone: str) -> Member:
    """This gateway, in a life that began now: a restart comes after its earlier life."""
    return Member(parameters.name, *parameters.advertise, zone[:64], time.time_ns() // 1_000_000)


class Peers(asyncio.DatagramProtocol):
    """Watches the runtime's call-outs, talks to the other gateways, tells the runtime what comes of it."""

    def __init__(
        self,
        own: Member,
        listen: Address,
        seeds: list[Address],
        keys: list[bytes],
        runtime: Runtime,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.listen, self.runtime, self.clock, self.metrics = listen, runtime, clock, metrics
        soft = max(method.soft_deadline_us for method in runtime.parameters.methods)
        self.agent = FleetAgent(own, seeds, keys, soft * 3 // 5, runtime.parameters.seed, clock.now(), metrics.add)
        self.transport: asyncio.DatagramTransport | None = None
        self.ticking: asyncio.Task[None] | None = None
        self.names: dict[int, str] = {}  # of backends, by the module's index; renewed by listed()
        self.came = 0  # datagrams since the last tick
        self.told = PeerEvidence(frozenset(), frozenset())
        self.deposed = False
        runtime.attempt_observer = self

    async def start(self) -> None:
        """Raises OSError where the address can't be had."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self.listen)
        self.ticking = loop.create_task(self.tick())
        logger.info("fleet: {} talks on {}:{}", self.agent.members.own.name, *self.listen)

    def reload(self, seeds: list[Address], keys: list[bytes]) -> None:
        """Seeds and keys are as given from now on; who is known stays known."""
        self.agent.seal.renew(keys)
        self.agent.members.seeds = [seed for seed in seeds if seed != self.agent.members.own.address]

    def leave(self) -> None:
        """Says farewell; nothing is heard or told after that."""
        if self.ticking:
            self.ticking.cancel()
        self.send(self.agent.leave(self.clock.now()))
        if self.transport:
            self.transport.close()
        self.advise(PeerEvidence(frozenset(), frozenset()))

    # ---- from the runtime ----

    def attempt_started(self, rpc: int, backend: int) -> None:
        self.agent.evidence.sent(rpc, backend, self.clock.now())

    def attempt_ended(self, rpc: int, outcome: AttemptOutcome) -> None:
        self.agent.evidence.ended(rpc, GOOD.get(outcome), self.clock.now())

    def listed(self, backends: Iterable[KnownBackend]) -> None:
        rows = list(backends)
        self.names = {row.index: row.name for row in rows}
        self.agent.listed(rows)

    # ---- from the socket ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, _: Address) -> None:
        self.came += 1
        if self.came > FLOOD:
            return self.metrics.add("fleet: datagrams too many")
        try:
            self.send(self.agent.datagram(data, self.clock.now()))
        except Exception:  # a fault here must not cost an RPC
            logger.exception("a datagram could not be taken")
            self.metrics.check_invariant(False, "fleet failed")

    def error_received(self, _: Exception) -> None:
        self.metrics.add("fleet: datagrams not delivered")

    def send(self, datagrams: list[tuple[Address, bytes]]) -> None:
        for address, data in datagrams:
            if self.transport and not self.transport.is_closing():
                self.transport.sendto(data, address)

    # ---- time ----

    async def tick(self) -> None:
        while True:
            await asyncio.sleep(TICK / 1_000_000)
            self.came = 0
            try:
                self.send(self.agent.tick(self.clock.now()))
                self.report()
                self.advise(self.agent.advice)
            except Exception:
                logger.exception("the fleet part failed")
                self.metrics.check_invariant(False, "fleet failed")

    def advise(self, advice: PeerEvidence) -> None:
        if advice != self.told:
            out = advice.left_out | advice.probed
            for index in sorted(out - (self.told.left_out | self.told.probed)):
                self.metrics.report("fleet: left out on hearsay", self.names.get(index, "?"))
            for index in sorted((self.told.left_out | self.told.probed) - out):
                self.metrics.report("fleet: back in", self.names.get(index, "?"))
            self.told = advice
            self.runtime.dispatch(advice)

    def report(self) -> None:
        for member in self.agent.changes():
            self.metrics.report(f"fleet: a gateway {STATES[member.state]}", member.name)
        later = self.agent.members.deposed
        if later and not self.deposed:
            self.deposed = True
            logger.error(
                "fleet: {} is the name of a gateway at {}:{} that started later: this one goes on alone",
                later.name,
                *later.address,
            )
