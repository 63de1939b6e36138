"""Fault injection: carries out the faults of a plan, at their time or when their trigger fires."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

from stoneyoke.lab.simulation.control_api_client import ControlApiClient
from stoneyoke.lab.simulation.link_faults import LinkFaults
from stoneyoke.lab.simulation.network import MessageTrigger
from stoneyoke.lab.simulation.plans import Fault, FaultKind
from stoneyoke.lab.simulation.process_faults import ProcessFaults
from stoneyoke.lab.simulation.simulated_cluster import SimulatedCluster
from stoneyoke.lab.simulation.tenants import Tenants

MAX_TRIGGER_DELAY_S = 0.004  # maximum delay between an acknowledgement and the fault that it triggers
DISK_LOSS_KINDS = (FaultKind.WIPE, FaultKind.WIPE_SOME, FaultKind.EXCHANGE)
IMMEDIATE_KINDS = (FaultKind.KILL, FaultKind.POWER, FaultKind.FREEZE)

Handler = Callable[[Fault], Awaitable[None]]


class FaultInjector:
    """Carries out faults.

    Attributes:
        acknowledgement_triggers: Faults that the next acknowledgement starts, by the kind of the trigger. They strike
            the controller that acknowledges.
        faults_end_at: When the last fault of the plan ends; a triggered fault that would last longer is skipped.
        handlers: The function that carries out each kind of fault.
    """

    def __init__(self, cluster: SimulatedCluster, client: ControlApiClient, tenants: Tenants) -> None:
        """Disturbs a cluster; see `FaultEffects` for the client."""
        self.cluster, self.environment, self.tenants = cluster, cluster.environment, tenants
        self.network, self.checker = self.environment.network, self.environment.checker
        self.processes, self.links = ProcessFaults(cluster, client), LinkFaults(cluster, client)
        self.acknowledgement_triggers: dict[str, Fault] = {}
        self.faults_end_at = 0.0
        self.handlers: dict[FaultKind, Handler] = {
            FaultKind.KILL: self.processes.restart_machines,
            FaultKind.POWER: self.processes.lose_power,
            FaultKind.WIPE: self.processes.wipe,
            FaultKind.WIPE_SOME: self.processes.wipe_some,
            FaultKind.RESTART_GATEWAYS: self.processes.restart_machines,
            FaultKind.ALL_CONTROLLERS: self.processes.restart_machines,
            FaultKind.KILL_ALL: self.processes.restart_machines,
            FaultKind.POWER_ALL: self.processes.lose_power,
            FaultKind.LEASE_HOLDER: self.processes.kill_lease_holder,
            FaultKind.SIGTERM: self.processes.terminate_gracefully,
            FaultKind.EXCHANGE: self.processes.exchange,
            FaultKind.REMOVE: self.processes.remove,
            FaultKind.RETURN: self.processes.restart_removed,
            FaultKind.JOIN: self.processes.join,
            FaultKind.FREEZE: self.processes.freeze,
            FaultKind.CUT: self.links.cut,
            FaultKind.CUT_GATEWAYS: self.links.cut,
            FaultKind.SPLIT: self.links.cut,
            FaultKind.HOLD: self.links.hold,
            FaultKind.DISK: self.links.disturb_disk,
            FaultKind.LATE: self.links.delay_messages,
            FaultKind.ANSWERS_LOST: self.links.drop_responses,
            FaultKind.AT_MESSAGE: self.arm_message_trigger,
            FaultKind.AFTER_ACK: self.arm_acknowledgement_trigger,
            FaultKind.AFTER_DRAIN: self.arm_acknowledgement_trigger,
            FaultKind.SHIFT: self.shift,
        }

    async def inject(self, fault: Fault) -> None:
        """Carries out a fault. A disk loss beyond the tolerance is replaced by a power loss."""
        controllers = [name for name in fault.who if name in self.cluster.controllers]
        now = self.environment.now()
        if fault.kind in DISK_LOSS_KINDS and not self.checker.disturbances.tolerates_loss_of(controllers, now):
            # This text is part of the trace digest: a change of it changes the traces.
            self.checker.record(now, f"{fault.kind} {fault.who} is more than is to be borne")
            fault = replace(fault, kind=FaultKind.POWER)
        self.checker.record(now, f"{fault.kind} {fault.how or ''} {list(fault.who)}")
        self.environment.event_counts[fault.kind] += 1
        await self.handlers[fault.kind](fault)

    async def inject_later(self, fault: Fault, delay_s: float) -> None:
        """Carries out a fault after a delay."""
        await asyncio.sleep(delay_s)
        await self.inject(fault)

    async def shift(self, fault: Fault) -> None:
        """Changes the weights by which tenants choose among gateways."""
        self.tenants.shift(fault.weights)

    # ---- triggers ----

    async def arm_acknowledgement_trigger(self, fault: Fault) -> None:
        """Arms a trigger: the next acknowledgement of a configuration or a drain starts a fault of its controller."""
        self.acknowledgement_triggers[fault.kind] = fault

    def on_acknowledgement(self, kind: FaultKind, name: str) -> None:
        """Fires the trigger of this kind, if one is armed: the controller fails within MAX_TRIGGER_DELAY_S."""
        fault = self.acknowledgement_triggers.pop(kind, None)
        if fault and self.environment.now() + fault.for_s < self.faults_end_at:
            delay_s = self.environment.random_source.uniform(0, MAX_TRIGGER_DELAY_S)
            triggered = replace(fault, kind=FaultKind(fault.how), how="", who=(name,))
            self.network.run_on("", self.inject_later(triggered, delay_s))

    async def arm_message_trigger(self, fault: Fault) -> None:
        """Arms a trigger: the matching message starts a fault of its sender or receiver, which lasts `for_s`."""

        def fire(name: str) -> None:
            if name in self.cluster.controllers and self.environment.now() + fault.for_s < self.faults_end_at:
                self.inject_immediately(replace(fault, kind=FaultKind(fault.how), how="", who=(name,)))

        for machine in fault.who or ("",):
            trigger = MessageTrigger(machine, fault.message, fault.sent, fault.count, fire)
            self.network.message_triggers.append(trigger)

    def inject_immediately(self, fault: Fault) -> None:
        """Carries out a triggered fault within the event loop step that triggered it.

        A kill, a power loss or a freeze takes effect with the message: the machine runs no further step. Other kinds
        run in a task.
        """
        if fault.kind not in IMMEDIATE_KINDS:
            self.network.run_on("", self.inject(fault))
            return
        self.checker.record(self.environment.now(), f"{fault.kind} {list(fault.who)} in a step")
        self.environment.event_counts[fault.kind] += 1
        if fault.kind == FaultKind.FREEZE:
            frozen = self.processes.freeze_machines(fault)
            self.network.run_on("", self.processes.thaw_after(frozen, fault.for_s))
        else:
            ended = self.processes.end_machines(fault, fault.kind == FaultKind.POWER)
            self.network.run_on("", self.processes.start_after(ended, fault.for_s))
