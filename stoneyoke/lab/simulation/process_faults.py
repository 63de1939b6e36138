"""Faults of processes and machines: ends, restarts, freezes, lost disks, replacements and joins."""

import asyncio
from dataclasses import replace

from stoneyoke.lab.simulation.bounds import BOUNDS
from stoneyoke.lab.simulation.environment import simulated_loop
from stoneyoke.lab.simulation.fault_effects import FaultEffects
from stoneyoke.lab.simulation.machines import ControllerMachine
from stoneyoke.lab.simulation.plans import Fault, FaultKind

LEAVE_S = 0.5 * BOUNDS.grace_s  # the time that the controller program allows for its hand-over
RESTART_MARGIN_S = 0.3  # a machine counts as disturbed for this much longer than it is down
FOREVER_S = 1e9


class ProcessFaults(FaultEffects):
    """Handles the faults of processes and machines."""

    # ---- ends of processes ----

    async def restart_machines(self, fault: Fault, power: bool | None = None, wiped: tuple[str, ...] = ()) -> None:
        """Ends the processes of a fault and starts them again after `for_s`.

        Args:
            fault: The fault, whose `who` lists the machines.
            power: Whether the machines lose power; None: as the fault says.
            wiped: Those of the machines that also lose their disks.
        """
        ended = self.end_machines(fault, fault.power if power is None else power)
        for name in set(ended).intersection(wiped):
            self.cluster.controllers[name].wipe()
        await self.start_after(ended, fault.for_s)

    def end_machines(self, fault: Fault, power: bool) -> tuple[str, ...]:
        """Ends the processes on the machines of a fault immediately; returns the machines on which one ran."""
        up = tuple(name for name in fault.who if self.cluster.machine(name).is_up())
        self.disturb(up, fault.for_s + RESTART_MARGIN_S)
        for name in up:
            self.cluster.machine(name).end(power)
        return up

    async def start_after(self, names: tuple[str, ...], delay_s: float) -> None:
        """Starts the processes of machines after a delay, one after the other."""
        await asyncio.sleep(delay_s)
        for name in names:
            await self.restart_machine(name)

    async def restart_machine(self, name: str) -> None:
        """Starts the process of a machine, unless one runs or the machine was removed."""
        machine = self.cluster.machine(name)
        if machine.is_up() or isinstance(machine, ControllerMachine) and machine.removed:
            return
        self.disturb((name,), 0.0)
        await machine.start(self.cluster.seeds())
        self.disturb((name,), 0.0)

    async def lose_power(self, fault: Fault) -> None:
        """Cuts the power of machines, so that writes that are not synced may be lost, and restarts them."""
        await self.restart_machines(fault, power=True)

    async def wipe(self, fault: Fault) -> None:
        """Empties the disks of machines and restarts them."""
        await self.restart_machines(fault, power=True, wiped=fault.who)

    async def wipe_some(self, fault: Fault) -> None:
        """Empties the disks of machines and restarts them; with probability 0.5 all other controllers lose power."""
        others = tuple(name for name in self.cluster.controllers if name not in fault.who)
        all_lose_power = self.environment.random_source.random() < 0.5
        who = fault.who + others if all_lose_power else fault.who
        await self.restart_machines(replace(fault, who=who), power=True, wiped=fault.who)

    async def kill_lease_holder(self, fault: Fault) -> None:
        """Restarts the controller that allocates the quotas."""
        machines = self.cluster.controllers.items()
        holders = tuple(name for name, one in machines if one.controller and one.controller.lease.allocator)
        await self.restart_machines(replace(fault, who=holders))

    async def terminate_gracefully(self, fault: Fault) -> None:
        """Lets a controller hand over, as on SIGTERM, then ends its process and starts it again with its disk."""
        machine = self.cluster.controllers[fault.who[0]]
        if controller := machine.controller:
            self.disturb(fault.who, LEAVE_S + fault.for_s)
            await self.request_shutdown(machine)
            if machine.controller is controller:
                await self.restart_machines(fault)

    async def request_shutdown(self, machine: ControllerMachine) -> None:
        """Lets a controller hand over; returns once that is done or its process has ended."""
        if machine.controller:
            await asyncio.wait([self.network.run_on(machine.name, machine.controller.transfer_vote(LEAVE_S))])

    # ---- machines that are removed, replaced or added ----

    async def remove(self, fault: Fault) -> None:
        """Removes machines permanently. Each counts as lost until its successor has caught up."""
        for name in fault.who:
            machine = self.cluster.controllers[name]
            if machine.is_up():
                self.disturb((name,), FOREVER_S if fault.kind == FaultKind.EXCHANGE else LEAVE_S)
                if fault.asked:
                    await self.request_shutdown(machine)
                machine.end(power=True)
            machine.removed = True

    async def exchange(self, fault: Fault) -> None:
        """Removes machines permanently; after `for_s` seconds starts a replacement with an empty disk for each."""
        before = self.disturbances.controllers_until
        await self.remove(fault)
        self.disturbances.controllers_until = max(before, self.environment.now())
        await asyncio.sleep(fault.for_s)
        for name in fault.who:
            successor = self.cluster.controllers[fault.successor or name]
            if not successor.is_up():
                successor.wipe()
                await successor.start(self.cluster.seeds())
            now = self.environment.now()
            self.disturbances.lost_until.pop(name, None)  # from now on its successor counts as lost instead
            self.disturbances.disturb_controller(successor.name, now, now)

    async def restart_removed(self, fault: Fault) -> None:
        """Starts removed machines again, with their old disks."""
        for name in fault.who:
            if not self.cluster.controllers[name].is_up():
                self.disturb((name,), 0.0)
                await self.cluster.controllers[name].start(self.cluster.seeds())

    async def join(self, fault: Fault) -> None:
        """Starts spare machines for the first time."""
        self.disturb(fault.who, 0.0)
        for name in fault.who:
            machine = self.cluster.controllers[name]
            if not machine.is_up() and not machine.incarnations:
                await machine.start(self.cluster.seeds())

    # ---- machines that freeze ----

    async def freeze(self, fault: Fault) -> None:
        """Suspends processes at their current step, and resumes them after `for_s`. Their clocks go on meanwhile."""
        await self.thaw_after(self.freeze_machines(fault), fault.for_s)

    def freeze_machines(self, fault: Fault) -> dict[str, int]:
        """Freezes machines immediately; returns those on which a process ran, with its incarnation."""
        up = [name for name in fault.who if self.cluster.machine(name).is_up() and not self.cluster.is_frozen(name)]
        self.disturb(tuple(up), fault.for_s)
        self.exempt(fault)
        for name in up:
            simulated_loop().freeze(name)
        return {name: self.cluster.machine(name).incarnations for name in up}

    async def thaw_after(self, incarnations: dict[str, int], delay_s: float) -> None:
        """Thaws the processes that still run after a delay. The end of a process has already thawed its machine."""
        await asyncio.sleep(delay_s)
        for name, incarnation in incarnations.items():
            if self.cluster.machine(name).incarnations == incarnation:
                simulated_loop().thaw(name)
