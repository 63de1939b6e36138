"""Carries out a schedule: signals to processes, link faults, and faults of backends and clients."""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass

from stoneyoke.lab.cluster.processes import ClusterProcesses
from stoneyoke.lab.cluster.traffic_ledger import Rule
from stoneyoke.lab.links import Link
from stoneyoke.lab.scenario import Fault
from stoneyoke.lab.soak.backend import SoakBackend
from stoneyoke.lab.soak.client import FAULT_ABANDON_SHARE, NORMAL_ABANDON_SHARE, SoakClient
from stoneyoke.lab.soak.ledger import Disturbance, Shutdown, SoakLedger
from stoneyoke.lab.soak.schedule import LINK_FAULTS, PLANNED_FAULTS, FaultKind, ScheduledFault

DELAY_MS, JITTER_MS = 250.0, 150.0
RELOADS = 3  # signals of one RELOAD
GRACE_MARGIN_S = 2.0  # additional time, since many processes share the machine


@dataclass(frozen=True, slots=True, kw_only=True)
class FaultTargets:
    """The processes, clients, links and backends that faults affect."""

    cluster: ClusterProcesses
    client: SoakClient
    links: Mapping[str, Link]
    backends: Mapping[str, SoakBackend]


class FaultInjector:
    """Starts and ends the faults of a schedule, and records the disturbances in the ledger."""

    def __init__(self, targets: FaultTargets, ledger: SoakLedger) -> None:
        """Creates an injector without active faults."""
        self.targets, self.ledger = targets, ledger
        self.loop = asyncio.get_running_loop()
        self.down: set[str] = set()  # processes that a fault has ended and not restarted yet

    async def run(self, schedule: tuple[ScheduledFault, ...]) -> None:
        """Carries out a schedule from now on; returns once all faults have ended."""
        start_s = self.loop.time()
        async with asyncio.TaskGroup() as faults:
            for fault in schedule:
                faults.create_task(self.carry_out(fault, start_s + fault.at_s), name=str(fault))

    async def carry_out(self, fault: ScheduledFault, at_s: float) -> None:
        """Carries out one fault, from its start until its effect is removed."""
        await asyncio.sleep(at_s - self.loop.time())
        from_s = self.loop.time()
        if fault.target in self.down:  # a SIGTERM of the previous episode has not ended this process yet
            return
        if fault.kind in LINK_FAULTS:
            await self.disturb_link(fault)
        else:
            effect: Callable[[ScheduledFault], Awaitable[None]] = {
                FaultKind.KILL: self.kill,
                FaultKind.TERMINATE: self.terminate,
                FaultKind.PAUSE: self.pause,
                FaultKind.RELOAD: self.reload,
                FaultKind.LOSE_ANSWERS: self.lose_answers,
                FaultKind.STALL: self.stall,
                FaultKind.LEAVE: self.make_clients_abandon_requests,
            }[fault.kind]
            await effect(fault)
        if fault.target and fault.kind not in PLANNED_FAULTS and from_s < self.loop.time():
            self.ledger.disturbances.append(Disturbance(fault.target, from_s, self.loop.time()))

    # ---- processes ----

    async def kill(self, fault: ScheduledFault) -> None:
        """Kills a process, and starts it again after the duration of the fault."""
        self.down.add(fault.target)
        await self.targets.cluster.kill(fault.target)
        await asyncio.sleep(fault.for_s)
        await self.restart_process(fault.target)

    async def terminate(self, fault: ScheduledFault) -> None:
        """Ends a process by SIGTERM and starts it again. Not ending within its grace period violates a rule."""
        cluster, name = self.targets.cluster, fault.target
        limit_s = cluster.grace_s + GRACE_MARGIN_S
        self.down.add(name)
        shutdown = Shutdown(name, self.loop.time(), cluster.grace_s)
        if name in cluster.gateways:
            self.ledger.shutdowns.append(shutdown)
        cluster.signal(name, signal.SIGTERM)
        try:
            async with asyncio.timeout(limit_s):
                await cluster.running[name].wait()
        except TimeoutError:
            self.ledger.report(Rule.STAYS_UP, f"{name} is still running {limit_s} s after SIGTERM")
        await cluster.kill(name)
        shutdown.exited_s = self.loop.time()
        await asyncio.sleep(fault.for_s)
        await self.restart_process(name)

    async def restart_process(self, name: str) -> None:
        """Starts a process that a fault has ended."""
        await self.targets.cluster.start(name)
        self.down.discard(name)

    async def pause(self, fault: ScheduledFault) -> None:
        """Suspends a process for the duration of the fault. Its connections stay open."""
        self.targets.cluster.signal(fault.target, signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        self.targets.cluster.signal(fault.target, signal.SIGCONT)

    async def reload(self, fault: ScheduledFault) -> None:
        """Sends SIGHUP to a gateway that is ready, several times within the duration of the fault.

        During a start, SIGHUP ends a process (KNOWN-RED.txt).
        """
        for _ in range(RELOADS):
            if fault.target not in self.down and await self.targets.cluster.is_ready(fault.target):
                self.targets.cluster.signal(fault.target, signal.SIGHUP)
            await asyncio.sleep(fault.for_s / RELOADS)

    # ---- links, backends, clients ----

    async def disturb_link(self, fault: ScheduledFault) -> None:
        """Applies a fault to a link, and removes it after its duration; a reset needs no removal."""
        link = self.targets.links[fault.target]
        condition = Fault(at_s=fault.at_s, kind=fault.kind.value, for_s=fault.for_s, ms=DELAY_MS, jitter_ms=JITTER_MS)
        link.change_fault(fault.number, condition, True)
        if fault.kind is not FaultKind.RESET:
            await asyncio.sleep(fault.for_s)
            link.change_fault(fault.number, condition, False)

    async def lose_answers(self, fault: ScheduledFault) -> None:
        """Makes a backend lose the responses to its runs, for the duration of the fault."""
        backend = self.targets.backends[fault.target]
        backend.loses_responses = True
        await asyncio.sleep(fault.for_s)
        backend.loses_responses = False

    async def stall(self, fault: ScheduledFault) -> None:
        """Makes a backend withhold the rest of its responses, for the duration of the fault."""
        backend = self.targets.backends[fault.target]
        backend.stalls = True
        await asyncio.sleep(fault.for_s)
        backend.stalls = False

    async def make_clients_abandon_requests(self, fault: ScheduledFault) -> None:
        """Makes clients abandon most requests, for the duration of the fault."""
        self.targets.client.abandon_share = FAULT_ABANDON_SHARE
        await asyncio.sleep(fault.for_s)
        self.targets.client.abandon_share = NORMAL_ABANDON_SHARE
