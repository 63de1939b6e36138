"""What goes wrong in a scenario, by the faults of its plan."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from stoneyoke.consensus.quorum import majority
from stoneyoke.lab.simulation.bounds import BOUNDS
from stoneyoke.lab.simulation.machines import ControllerMachine, GatewayMachine, simulated_loop
from stoneyoke.lab.simulation.network import MessageTrigger
from stoneyoke.lab.simulation.plans import Fault

if TYPE_CHECKING:
    from stoneyoke.lab.simulation.scenario import Scenario

LEAVE_S = 0.5 * BOUNDS.grace_s  # as the program gives it
TRIGGER_DELAY_S = 0.004  # after an acknowledgement
DISK_LOSS_KINDS = ("wipe", "wipe_some", "exchange")


class Faults:
    """armed: what strikes the controller that acknowledges next, by the kind of the acknowledgement. calm_from: when
    the last fault has ended."""

    def __init__(self, scenario: "Scenario") -> None:
        self.scenario, self.checker, self.network = scenario, scenario.checker, scenario.network
        self.acknowledgement_triggers: dict[str, Fault] = {}
        self.faults_end_at = 0.0
        self.kinds: dict[str, Callable[[Fault], Awaitable[None]]] = {
            "kill": self.restart_machines,
            "power": self.lose_power,
            "wipe": self.wipe,
            "wipe_some": self.wipe_some,
            "restart_gateways": self.restart_machines,
            "all_controllers": self.restart_machines,
            "kill_all": self.restart_machines,
            "power_all": self.lose_power,
            "lease_holder": self.kill_lease_holder,
            "sigterm": self.terminate_gracefully,
            "exchange": self.exchange,
            "remove": self.remove,
            "return": self.restart_removed,
            "join": self.join,
            "cut": self.cut,
            "cut_gateways": self.cut,
            "split": self.cut,
            "hold": self.hold,
            "freeze": self.freeze,
            "disk": self.disturb_disk,
            "late": self.delay_messages,
            "answers_lost": self.drop_answers,
            "at_message": self.arm_message_trigger,
            "after_ack": self.arm_acknowledgement_trigger,
            "after_drain": self.arm_acknowledgement_trigger,
            "shift": self.shift,
        }

    async def inject(self, fault: Fault) -> None:
        """Losses of disks keep to the tolerance: beyond it, the power goes only."""
        controllers = [name for name in fault.who if name in self.scenario.controllers]
        now = self.scenario.now()
        if fault.kind in DISK_LOSS_KINDS and not self.checker.tolerates_loss_of(controllers, now):
            self.checker.record(now, f"{fault.kind} {fault.who} is more than is to be borne")
            fault = replace(fault, kind="power")
        self.checker.record(now, f"{fault.kind} {fault.how or ''} {list(fault.who)}")
        self.scenario.events[fault.kind] += 1
        await self.kinds[fault.kind](fault)

    def acknowledged(self, kind: str, name: str) -> None:
        fault = self.acknowledgement_triggers.pop(kind, None)
        if fault and self.scenario.now() + fault.for_s < self.faults_end_at:
            after = self.scenario.random_source.uniform(0, TRIGGER_DELAY_S)
            self.network.run_on("", self.inject_later(replace(fault, kind=fault.how, how="", who=(name,)), after))

    async def inject_later(self, fault: Fault, after_s: float) -> None:
        await asyncio.sleep(after_s)
        await self.inject(fault)

    # ---- who is disturbed ----

    def machine(self, name: str) -> ControllerMachine | GatewayMachine:
        return self.scenario.controllers.get(name) or self.scenario.gateways[name]

    def disturb(self, names: tuple[str, ...], for_s: float) -> None:
        now = self.scenario.now()
        for name in names:
            if name in self.scenario.controllers:
                self.checker.disturb_controller(name, now, now + for_s)
            else:
                self.checker.disturb_gateway(name, now + for_s)

    def excuse(self, fault: Fault) -> None:
        """They can't answer in time, whether they are cut off or not."""
        for name in fault.who:
            self.scenario.api_client.excused[name] = self.scenario.now() + fault.for_s

    # ---- ends of processes ----

    async def restart_machines(self, fault: Fault, power: bool | None = None, wiped: tuple[str, ...] = ()) -> None:
        power = fault.power if power is None else power
        up = self.end_machines(fault, power)
        for name in set(up).intersection(wiped):
            self.scenario.controllers[name].wipe()
        await self.start_after(up, fault.for_s)

    def end_machines(self, fault: Fault, power: bool) -> tuple[str, ...]:
        """Those of them that were up."""
        up = tuple(name for name in fault.who if self.machine(name).up())
        self.disturb(up, fault.for_s + 0.3)
        for name in up:
            self.machine(name).end(power)
        return up

    async def start_after(self, names: tuple[str, ...], for_s: float) -> None:
        await asyncio.sleep(for_s)
        for name in names:
            await self.start_again(name)

    async def start_again(self, name: str) -> None:
        machine = self.machine(name)
        if machine.up() or isinstance(machine, ControllerMachine) and machine.removed:
            return
        self.disturb((name,), 0.0)
        await machine.start(first=False)
        self.disturb((name,), 0.0)

    async def lose_power(self, fault: Fault) -> None:
        await self.restart_machines(fault, power=True)

    async def wipe(self, fault: Fault) -> None:
        await self.restart_machines(fault, power=True, wiped=fault.who)

    async def wipe_some(self, fault: Fault) -> None:
        """Disks are lost, at times while all other controllers lose power."""
        others = tuple(name for name in self.scenario.controllers if name not in fault.who)
        everyone = self.scenario.random_source.random() < 0.5
        await self.restart_machines(
            replace(fault, who=fault.who + others if everyone else fault.who), power=True, wiped=fault.who
        )

    async def kill_lease_holder(self, fault: Fault) -> None:
        machines = self.scenario.controllers.items()
        holders = tuple(name for name, one in machines if one.controller and one.controller.lease.allocator)
        await self.restart_machines(replace(fault, who=holders))

    async def terminate_gracefully(self, fault: Fault) -> None:
        """SIGTERM: it may hand over, then its process ends; it starts again with its disk."""
        machine = self.scenario.controllers[fault.who[0]]
        if controller := machine.controller:
            self.disturb(fault.who, LEAVE_S + fault.for_s)
            machine.leaving = True
            await self.request_shutdown(machine)
            if machine.controller is controller:
                await self.restart_machines(fault)

    async def request_shutdown(self, machine: ControllerMachine) -> None:
        if machine.controller:
            await asyncio.wait([self.network.run_on(machine.name, machine.controller.leave(LEAVE_S))])

    # ---- machines that come and go ----

    async def remove(self, fault: Fault) -> None:
        """Taken away for good. It counts as lost until its successor has caught up."""
        for name in fault.who:
            machine = self.scenario.controllers[name]
            if machine.up():
                self.disturb((name,), 1e9 if fault.kind == "exchange" else LEAVE_S)
                if fault.asked:
                    await self.request_shutdown(machine)
                machine.end(power=True)
            machine.removed = True

    async def exchange(self, fault: Fault) -> None:
        """Machines go for good; for_s later an empty one starts for each, at an address of its own or the same."""
        before = self.checker.controllers_disturbed_until
        await self.remove(fault)
        self.checker.controllers_disturbed_until = max(before, self.scenario.now())
        await asyncio.sleep(fault.for_s)
        for name in fault.who:
            successor = self.scenario.controllers[fault.successor or name]
            if not successor.up():
                successor.wipe()
                await successor.start(first=False)
            now = self.scenario.now()
            self.checker.lost_until.pop(name, None)  # its successor counts in its place
            self.checker.disturb_controller(successor.name, now, now)

    async def restart_removed(self, fault: Fault) -> None:
        """Machines that were taken away start again, with the disk of then."""
        for name in fault.who:
            if not self.scenario.controllers[name].up():
                self.disturb((name,), 0.0)
                await self.scenario.controllers[name].start(first=False)

    async def join(self, fault: Fault) -> None:
        self.disturb(fault.who, 0.0)
        for name in fault.who:
            machine = self.scenario.controllers[name]
            if not machine.up() and not machine.incarnations:
                await machine.start(first=False)

    # ---- links, clocks, disks ----

    async def cut(self, fault: Fault) -> None:
        """These, together, off from all others; if gateways are cut or controllers split, from controllers only."""
        scenario, who = self.scenario, set(fault.who)
        gateways = [] if fault.kind in ("cut_gateways", "split") else [*scenario.gateways]
        others = [name for name in (*scenario.controllers, *gateways) if name not in who]
        pairs = {(one, other) for one in who for other in others}
        if not fault.one_way:
            pairs |= {(other, one) for one, other in pairs}
        self.disturb(fault.who, fault.for_s)
        self.network.cuts.update(pairs)
        known = {} if fault.one_way else self.cut_off(who)
        scenario.api_client.cut_off |= known
        await asyncio.sleep(fault.for_s)
        self.network.cuts.subtract(pairs)
        self.network.release_waiting()
        for name in known:
            scenario.api_client.cut_off.pop(name, None)

    def cut_off(self, who: set[str]) -> dict[str, float]:
        """Those controllers that hear no majority of any voters, with the time."""
        now, cut = self.scenario.now(), {}
        for name in who & set(self.scenario.controllers):
            controller = self.scenario.controllers[name].controller
            voters = controller.replica.voters().addresses() if controller else ()
            if controller and len(who.intersection(voters)) < majority(len(voters)):
                cut[name] = now
        return cut

    async def hold(self, fault: Fault) -> None:
        self.disturb(fault.who, fault.for_s)
        self.network.held.update(fault.who)
        self.excuse(fault)
        await asyncio.sleep(fault.for_s)
        self.network.held.subtract(fault.who)
        self.network.release_waiting()

    async def freeze(self, fault: Fault) -> None:
        """Processes stand still wherever they are, while time goes on, and go on from there."""
        await self.thaw_after(self.freeze_machines(fault), fault.for_s)

    def freeze_machines(self, fault: Fault) -> dict[str, int]:
        """Those of them that were up and not frozen, with the number of their lives."""
        up = [name for name in fault.who if self.machine(name).up() and not self.scenario.frozen(name)]
        self.disturb(tuple(up), fault.for_s)
        self.excuse(fault)
        for name in up:
            simulated_loop().freeze(name)
        return {name: self.machine(name).incarnations for name in up}

    async def thaw_after(self, incarnations: dict[str, int], for_s: float) -> None:
        await asyncio.sleep(for_s)
        for name, incarnation in incarnations.items():
            if self.machine(name).incarnations == incarnation:
                simulated_loop().thaw(name)

    async def disturb_disk(self, fault: Fault) -> None:
        disk = self.scenario.controllers[fault.who[0]].disk
        self.disturb(fault.who, fault.for_s)
        disk.set_fault(fault.how)
        self.excuse(fault)
        await asyncio.sleep(fault.for_s)
        disk.set_fault("")

    async def delay_messages(self, fault: Fault) -> None:
        now = self.scenario.now()
        self.checker.disturb_links(now, now + fault.for_s)
        for name in self.scenario.gateways:
            self.checker.disturb_gateway(name, now + fault.for_s)
        self.network.late, self.network.doubled = fault.share, fault.doubled
        self.excuse(replace(fault, who=tuple(self.scenario.controllers)))
        await asyncio.sleep(fault.for_s)
        self.network.late = self.network.doubled = 0.0

    async def drop_answers(self, fault: Fault) -> None:
        """Orders are carried out, and their answers never come."""
        now = self.scenario.now()
        self.checker.disturb_links(now, now + fault.for_s)
        self.network.answers_lost = fault.share
        await asyncio.sleep(fault.for_s)
        self.network.answers_lost = 0.0

    # ---- at hard moments ----

    async def arm_message_trigger(self, fault: Fault) -> None:
        """The next message of a kind sets off a fault of its sender or its receiver; for_s is how long that takes."""

        def inject(name: str) -> None:
            if name in self.scenario.controllers and self.scenario.now() + fault.for_s < self.faults_end_at:
                self.inject_immediately(replace(fault, kind=fault.how, how="", who=(name,)))

        for machine in fault.who or ("",):
            self.network.message_triggers.append(
                MessageTrigger(machine, fault.message, fault.sent, fault.count, inject)
            )

    def inject_immediately(self, fault: Fault) -> None:
        """No step more is done there: a kill or a freeze comes with the message, and not after the next one."""
        if fault.kind not in ("kill", "power", "freeze"):
            self.network.run_on("", self.inject(fault))
            return
        self.checker.record(self.scenario.now(), f"{fault.kind} {list(fault.who)} in a step")
        self.scenario.events[fault.kind] += 1
        if fault.kind == "freeze":
            self.network.run_on("", self.thaw_after(self.freeze_machines(fault), fault.for_s))
        else:
            up = self.end_machines(fault, fault.kind == "power")
            self.network.run_on("", self.start_after(up, fault.for_s))

    async def arm_acknowledgement_trigger(self, fault: Fault) -> None:
        self.acknowledgement_triggers[fault.kind] = fault

    async def shift(self, fault: Fault) -> None:
        self.scenario.tenants.shift(fault.weights)
