"""Runs the fleet agent on a UDP socket and a clock. All decisions are the agent's."""

import asyncio
import time
from collections.abc import Iterable
from typing import cast

from loguru import logger

from stoneyoke.control.events import KnownBackend, PeerEvidence
from stoneyoke.control.parameters import AttemptOutcome
from stoneyoke.fleet.agent import NO_ADVICE, TICK_INTERVAL_US, FleetAgent, FleetSettings
from stoneyoke.fleet.messages import Address, Member, MemberState
from stoneyoke.fleet.parameters import FleetParameters
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.metrics import Metrics
from stoneyoke.runtime.runtime import Runtime

SECOND_US = 1_000_000
MAX_DATAGRAMS_PER_TICK = 100  # further ones are counted and dropped without decoding
MAX_ZONE_CHARACTERS = 64
EJECTED = "fleet: backend ejected on peer evidence"
REINSTATED = "fleet: backend reinstated"
# Names of the same counters up to release 0.1. Both names are counted for one release.
EJECTED_OLD_NAME, REINSTATED_OLD_NAME = "fleet: left out on hearsay", "fleet: back in"
STATE_TEXTS = {
    MemberState.ALIVE: "is there",
    MemberState.SUSPECT: "is suspected",
    MemberState.DEAD: "is dead",
    MemberState.LEFT: "has left",
}
# Whether an outcome is a success or a failure of the backend; outcomes that are not listed are neither. CANCELLED is a
# failure, because only attempts without a response are cancelled; those whose client has gone end as CLIENT_GONE.
SUCCESS_BY_OUTCOME = {
    AttemptOutcome.OK: True,
    AttemptOutcome.ERROR: False,
    AttemptOutcome.TIMED_OUT: False,
    AttemptOutcome.BROKEN: False,
    AttemptOutcome.CANCELLED: False,
    AttemptOutcome.NO_CONNECTION: False,
    AttemptOutcome.CUT: False,
}


def own_member(parameters: FleetParameters, zone: str) -> Member:
    """Returns this gateway's record. It starts now, so it overrides the records of earlier processes of this name."""
    host, port = parameters.advertise
    return Member(parameters.name, host, port, zone[:MAX_ZONE_CHARACTERS], time.time_ns() // 1_000_000)


class FleetTransport(asyncio.DatagramProtocol):
    """Exchanges datagrams with other gateways, reports attempts to the agent, and passes its advice to the runtime."""

    def __init__(
        self, parameters: FleetParameters, zone: str, runtime: Runtime, clock: Clock, metrics: Metrics
    ) -> None:
        """Registers as the runtime's attempt observer. `start` opens the socket.

        Args:
            parameters: Addresses, seeds and keys.
            zone: This gateway's failure domain.
            runtime: Reports its attempts, and receives the advice.
            clock: Unix time in microseconds that never steps back.
            metrics: Counts datagrams and logs changes.
        """
        self.listen_address = parameters.listen
        self.runtime = runtime
        self.clock = clock
        self.metrics = metrics
        settings = FleetSettings(
            own=own_member(parameters, zone),
            seeds=parameters.seeds,
            keys=parameters.keys,
            overdue_after_us=max(method.overdue_after_us for method in runtime.parameters.methods),
            seed=runtime.parameters.seed,
        )
        self.agent = FleetAgent(settings, clock.now(), metrics.add)
        self.socket: asyncio.DatagramTransport | None = None
        self.tick_task: asyncio.Task[None] | None = None
        self._backend_names: dict[int, str] = {}  # by the gateway's index of the backend; replaced by set_backends
        self._datagrams_this_tick = 0
        self._applied_advice = NO_ADVICE
        self._superseded_logged = False
        runtime.attempt_observer = self

    async def start(self) -> None:
        """Opens the socket and starts the timer.

        Raises:
            OSError: The socket can't be bound to the address.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self.listen_address)
        self.tick_task = loop.create_task(self._tick_forever(), name="fleet tick")
        logger.info("fleet: gateway {} exchanges datagrams on {}:{}", self.agent.own.name, *self.listen_address)

    def reload(self, seeds: list[Address], keys: list[bytes]) -> None:
        """Replaces seeds and keys. The member table stays as it is."""
        self.agent.reload(seeds, keys)

    def leave(self) -> None:
        """Notifies some members that this gateway leaves, closes the socket, and passes empty advice to the runtime."""
        if self.tick_task:
            self.tick_task.cancel()
        self._send(self.agent.leave(self.clock.now()))
        if self.socket:
            self.socket.close()
        self.apply_advice(NO_ADVICE)

    # ---- calls of the runtime, for which this is an AttemptObserver ----

    def attempt_started(self, rpc: int, backend: int) -> None:
        """Records the start of an attempt. `rpc` and `backend` are the gateway's indices."""
        self.agent.evidence.attempt_started(rpc, backend, self.clock.now())

    def attempt_ended(self, rpc: int, outcome: AttemptOutcome) -> None:
        """Records the end of an attempt of an RPC."""
        self.agent.evidence.attempt_ended(rpc, SUCCESS_BY_OUTCOME.get(outcome), self.clock.now())

    def set_backends(self, backends: Iterable[KnownBackend]) -> None:
        """Replaces the backends that accept new requests."""
        known = list(backends)
        self._backend_names = {backend.index: backend.name for backend in known}
        self.agent.set_backends(known)

    # ---- calls of the event loop for the socket ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the open socket."""
        self.socket = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, _: Address) -> None:
        """Passes a datagram to the agent, unless too many have arrived since the last tick."""
        self._datagrams_this_tick += 1
        if self._datagrams_this_tick > MAX_DATAGRAMS_PER_TICK:
            self.metrics.add("fleet: datagrams too many")
            return
        try:
            self._send(self.agent.receive(data, self.clock.now()))
        except Exception:  # outermost guard of the fleet part: a fault in it must not fail an RPC
            logger.exception("fleet: a datagram caused an error in the fleet part; it is dropped")
            self.metrics.check_invariant(False, "fleet failed")

    def error_received(self, _: Exception) -> None:
        """Counts a datagram that could not be delivered."""
        self.metrics.add("fleet: datagrams not delivered")

    def _send(self, datagrams: list[tuple[Address, bytes]]) -> None:
        for address, data in datagrams:
            if self.socket and not self.socket.is_closing():
                self.socket.sendto(data, address)

    # ---- timer ----

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_US / SECOND_US)
            self._datagrams_this_tick = 0
            try:
                self._tick()
            except Exception:  # outermost guard of the fleet part: a fault in it must not fail an RPC
                logger.exception("fleet: the timer caused an error in the fleet part; the next tick tries again")
                self.metrics.check_invariant(False, "fleet failed")

    def _tick(self) -> None:
        self._send(self.agent.tick(self.clock.now()))
        self._report_members()
        self.apply_advice(self.agent.advice)

    def apply_advice(self, advice: PeerEvidence) -> None:
        """Passes changed advice to the runtime, and logs each backend that is newly ejected or reinstated."""
        if advice == self._applied_advice:
            return
        before = self._applied_advice.ejected_backends | self._applied_advice.probed
        after = advice.ejected_backends | advice.probed
        for index in sorted(after - before):
            self.metrics.report(EJECTED, self._backend_names.get(index, "?"))
            self.metrics.add(EJECTED_OLD_NAME)
        for index in sorted(before - after):
            self.metrics.report(REINSTATED, self._backend_names.get(index, "?"))
            self.metrics.add(REINSTATED_OLD_NAME)
        self._applied_advice = advice
        self.runtime.dispatch(advice)

    def _report_members(self) -> None:
        for member in self.agent.take_changes():
            self.metrics.report(f"fleet: a gateway {STATE_TEXTS[member.state]}", member.name)
        later = self.agent.membership.superseded_by
        if later and not self._superseded_logged:
            self._superseded_logged = True
            logger.error(
                "fleet: a gateway named {} at {}:{} started later and supersedes this one, which runs on without peers",
                later.name,
                *later.address,
            )
