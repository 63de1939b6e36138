"""Faults of processes and machines: they end, restart, freeze, lose their disk, are replaced or join."""

import asyncio
from dataclasses import replace

from stoneyoke.lab.simulation.bounds import BOUNDS
from stoneyoke.lab.simulation.environment import simulated_loop
from stoneyoke.lab.simulation.fault_effects import FaultEffects
from stoneyoke.lab.simulation.machines import ControllerMachine
from stoneyoke.lab.simulation.plans import Fault, FaultKind

LEAVE_S = 0.5 * BOUNDS.grace_s  # the time that the controller program has for its hand-over
RESTART_MARGIN_S = 0.3  # a machine counts as disturbed for so much longer than it is down
FOREVER_S = 1e9


class ProcessFaults(FaultEffects):
    """Handles the faults of processes and machines."""

    # ---- ends of processes ----

    async def restart_machines(self, fault: Fault, power: bool | None = None, wiped: tuple[str, ...] = ()) -> None:
        """Ends the processes of a fault and starts them again after `for_s`.

        Args:
            fault: Names the machines.
            power: Whether they lose their power; None: as the fault says.
            wiped: Machines among them that lose their disks, too.
        """
        ended = self.end_machines(fault, fault.power if power is None else power)
        for name in set(ended).intersection(wiped):
            self.cluster.controllers[name].wipe()
        await self.start_after(ended, fault.for_s)

    def end_machines(self, fault: Fault, power: bool) -> tuple[str, ...]:
        """Ends the processes of a fault at once; returns the machines on which one ran."""
        up = tuple(name for name in fault.who if self.cluster.machine(name).is_up())
        self.disturb(up, fault.for_s + RESTART_MARGIN_S)
        for name in up:
            self.cluster.machine(name).end(power)
        return up

    async def start_after(self, names: tuple[str, ...], delay_s: float) -> None:
        """Starts the processes of machines after a delay, one after the other."""
        await asyncio.sleep(delay_s)
        for name in names:
            await self.start_again(name)

    async def start_again(self, name: str) -> None:
        """Starts the process of a machine, unless one runs or the machine was taken away."""
        machine = self.cluster.machine(name)
        if machine.is_up() or isinstance(machine, ControllerMachine) and machine.removed:
            return
        self.disturb((name,), 0.0)
        await machine.start(self.cluster.seeds())
        self.disturb((name,), 0.0)

    async def lose_power(self, fault: Fault) -> None:
        """Machines lose their power: writes that are not synced may be lost."""
        await self.restart_machines(fault, power=True)

    async def wipe(self, fault: Fault) -> None:
        """Machines lose their disks and start again on empty ones."""
        await self.restart_machines(fault, power=True, wiped=fault.who)

    async def wipe_some(self, fault: Fault) -> None:
        """Machines lose their disks, at times while all other controllers lose power."""
        others = tuple(name for name in self.cluster.controllers if name not in fault.who)
        all_lose_power = self.environment.random_source.random() < 0.5
        who = fault.who + others if all_lose_power else fault.who
        await self.restart_machines(replace(fault, who=who), power=True, wiped=fault.who)

    async def kill_lease_holder(self, fault: Fault) -> None:
        """The controller that allocates the quotas ends and starts again."""
        machines = self.cluster.controllers.items()
        holders = tuple(name for name, one in machines if one.controller and one.controller.lease.allocator)
        await self.restart_machines(replace(fault, who=holders))

    async def terminate_gracefully(self, fault: Fault) -> None:
        """SIGTERM: the controller may hand over, then its process ends and starts again with its disk."""
        machine = self.cluster.controllers[fault.who[0]]
        if controller := machine.controller:
            self.disturb(fault.who, LEAVE_S + fault.for_s)
            await self.request_shutdown(machine)
            if machine.controller is controller:
                await self.restart_machines(fault)

    async def request_shutdown(self, machine: ControllerMachine) -> None:
        """Asks a controller to hand over; returns once it has, or has ended."""
        if machine.controller:
            await asyncio.wait([self.network.run_on(machine.name, machine.controller.transfer_vote(LEAVE_S))])

    # ---- machines that come and go ----

    async def remove(self, fault: Fault) -> None:
        """Machines are taken away for good. Each counts as lost until its successor has caught up."""
        for name in fault.who:
            machine = self.cluster.controllers[name]
            if machine.is_up():
                self.disturb((name,), FOREVER_S if fault.kind == FaultKind.EXCHANGE else LEAVE_S)
                if fault.asked:
                    await self.request_shutdown(machine)
                machine.end(power=True)
            machine.removed = True

    async def exchange(self, fault: Fault) -> None:
        """Machines are taken away; after `for_s` an empty one starts in the place of each."""
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
            self.disturbances.lost_until.pop(name, None)  # its successor counts in its place
            self.disturbances.disturb_controller(successor.name, now, now)

    async def restart_removed(self, fault: Fault) -> None:
        """Machines that were taken away start again with their old disks."""
        for name in fault.who:
            if not self.cluster.controllers[name].is_up():
                self.disturb((name,), 0.0)
                await self.cluster.controllers[name].start(self.cluster.seeds())

    async def join(self, fault: Fault) -> None:
        """Spare machines start for the first time."""
        self.disturb(fault.who, 0.0)
        for name in fault.who:
            machine = self.cluster.controllers[name]
            if not machine.is_up() and not machine.incarnations:
                await machine.start(self.cluster.seeds())

    # ---- machines that freeze ----

    async def freeze(self, fault: Fault) -> None:
        """Processes stop wherever they are while time goes on, and continue from there after `for_s`."""
        await self.thaw_after(self.freeze_machines(fault), fault.for_s)

    def freeze_machines(self, fault: Fault) -> dict[str, int]:
        """Freezes machines at once; returns those on which a process ran, with its incarnation."""
        up = [name for name in fault.who if self.cluster.machine(name).is_up() and not self.cluster.is_frozen(name)]
        self.disturb(tuple(up), fault.for_s)
        self.excuse(fault)
        for name in up:
            simulated_loop().freeze(name)
        return {name: self.cluster.machine(name).incarnations for name in up}

    async def thaw_after(self, incarnations: dict[str, int], delay_s: float) -> None:
        """Thaws the processes that still run after a delay; the end of a process has thawed its machine."""
        await asyncio.sleep(delay_s)
        for name, incarnation in incarnations.items():
            if self.cluster.machine(name).incarnations == incarnation:
                simulated_loop().thaw(name)
