"""The fleet part on a socket: datagrams to and from the other gateways, and a clock. Decides nothing."""

import asyncio
import time
from collections.abc import Iterable
from typing import cast

from loguru import logger

from stoneyoke.fleet.council import TICK, Council
from stoneyoke.fleet.membership import Address
from stoneyoke.fleet.messages import Member
from stoneyoke.interface import Hearsay, Known, Outcome
from stoneyoke.options import FleetTerms
from stoneyoke.runtime import Clock, Runtime
from stoneyoke.tally import Tally

STATES = ("is there", "is suspected", "is dead", "has left")
FLOOD = 100  # datagrams a tick; what comes beyond is dropped unread
# What an outcome says of its backend; the others say nothing. Only what is quiet is called off.
GOOD = {
    Outcome.OK: True,
    Outcome.ERROR: False,
    Outcome.TIMED_OUT: False,
    Outcome.BROKEN: False,
    Outcome.CALLED_OFF: False,
    Outcome.NO_CONNECTION: False,
    Outcome.CUT: False,
}


def own_member(terms: FleetTerms, zone: str) -> Member:
    """This gateway, in a life that began now: a restart comes after its earlier life."""
    return Member(terms.name, *terms.advertise, zone[:64], time.time_ns() // 1_000_000)


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
        tally: Tally,
    ) -> None:
        self.listen, self.runtime, self.clock, self.tally = listen, runtime, clock, tally
        soft = max(method.soft_us for method in runtime.terms.methods)
        self.council = Council(own, seeds, keys, soft * 3 // 5, runtime.terms.seed, clock.now(), tally.add)
        self.transport: asyncio.DatagramTransport | None = None
        self.ticking: asyncio.Task[None] | None = None
        self.names: dict[int, str] = {}  # of backends, by the module's index; renewed by listed()
        self.came = 0  # datagrams since the last tick
        self.told = Hearsay(frozenset(), frozenset())
        self.deposed = False
        runtime.watch = self

    async def start(self) -> None:
        """Raises OSError where the address can't be had."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self.listen)
        self.ticking = loop.create_task(self.tick())
        logger.info("fleet: {} talks on {}:{}", self.council.members.own.name, *self.listen)

    def reload(self, seeds: list[Address], keys: list[bytes]) -> None:
        """Seeds and keys are as given from now on; who is known stays known."""
        self.council.seal.renew(keys)
        self.council.members.seeds = [seed for seed in seeds if seed != self.council.members.own.address]

    def leave(self) -> None:
        """Says farewell; nothing is heard or told after that."""
        if self.ticking:
            self.ticking.cancel()
        self.send(self.council.leave(self.clock.now()))
        if self.transport:
            self.transport.close()
        self.advise(Hearsay(frozenset(), frozenset()))

    # ---- from the runtime ----

    def sent(self, rpc: int, backend: int) -> None:
        self.council.evidence.sent(rpc, backend, self.clock.now())

    def ended(self, rpc: int, outcome: Outcome) -> None:
        self.council.evidence.ended(rpc, GOOD.get(outcome), self.clock.now())

    def listed(self, backends: Iterable[Known]) -> None:
        rows = list(backends)
        self.names = {row.index: row.name for row in rows}
        self.council.listed(rows)

    # ---- from the socket ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, _: Address) -> None:
        self.came += 1
        if self.came > FLOOD:
            return self.tally.add("fleet: datagrams too many")
        try:
            self.send(self.council.datagram(data, self.clock.now()))
        except Exception:  # a fault here must not cost an RPC
            logger.exception("a datagram could not be taken")
            self.tally.must(False, "fleet failed")

    def error_received(self, _: Exception) -> None:
        self.tally.add("fleet: datagrams not delivered")

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
                self.send(self.council.tick(self.clock.now()))
                self.report()
                self.advise(self.council.advice)
            except Exception:
                logger.exception("the fleet part failed")
                self.tally.must(False, "fleet failed")

    def advise(self, advice: Hearsay) -> None:
        if advice != self.told:
            out = advice.left_out | advice.probed
            for index in sorted(out - (self.told.left_out | self.told.probed)):
                self.tally.report("fleet: left out on hearsay", self.names.get(index, "?"))
            for index in sorted((self.told.left_out | self.told.probed) - out):
                self.tally.report("fleet: back in", self.names.get(index, "?"))
            self.told = advice
            self.runtime.tell(advice)

    def report(self) -> None:
        for member in self.council.changes():
            self.tally.report(f"fleet: a gateway {STATES[member.state]}", member.name)
        later = self.council.members.deposed
        if later and not self.deposed:
            self.deposed = True
            logger.error(
                "fleet: {} is the name of a gateway at {}:{} that started later: this one goes on alone",
                later.name,
                *later.address,
            )
