"""What has to hold at each moment of a scenario, and at its end."""

import asyncio
from typing import TYPE_CHECKING

from stoneyoke.consensus.register_value import FIRST_DISK, Proposal
from stoneyoke.controlplane.controller import Controller
from stoneyoke.controlplane.instance_registry import Phase
from stoneyoke.lab.simulation.bounds import BOUNDS, CHECK_INTERVAL_S, CONVERGE_S

if TYPE_CHECKING:
    from stoneyoke.lab.simulation.machines import ControllerMachine, GatewayMachine
    from stoneyoke.lab.simulation.scenario import Scenario

READY_S = 2.5  # more than contact_s, that a gateway may take to be ready


class Invariants:
    """learnt: what each controller last took for chosen."""

    def __init__(self, scenario: "Scenario") -> None:
        self.scenario, self.checker = scenario, scenario.checker
        self.learned: dict[str, Proposal | None] = {}

    async def watch(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = self.scenario.now()
            self.checker.check_orders(now)
            self.check_lease(now)
            for machine in self.scenario.controllers.values():
                if machine.controller:
                    self.check_controller(machine, machine.controller, now)
            for gateway in self.scenario.gateways.values():
                if gateway.client and self.checker.has_contact(gateway.name, now):
                    self.check_gateway(gateway, now)

    def check_lease(self, now: float) -> None:
        machines = self.scenario.controllers.items()
        holders = [name for name, one in machines if one.controller and one.controller.lease.is_held()]
        self.checker.check(len(holders) <= 1, now, f"LEASE: two hold it: {holders}")

    def check_controller(self, machine: "ControllerMachine", controller: Controller, now: float) -> None:
        name, chosen = machine.name, controller.replica.chosen
        if chosen is not None and chosen is not self.learned.get(name):
            self.learned[name] = chosen
            self.checker.register.learn(now, name, chosen)
        if machine.wiped and controller.replica.is_voter():
            machine.wiped = False
            self.scenario.events["wiped, votes again"] += 1
            new = controller.replica.identity.disk != FIRST_DISK
            self.checker.check(new, now, f"{name} votes by the name of the disk that it lost")
        catch_up_s = BOUNDS.catch_up_s
        calm = (
            now
            > max(self.checker.controllers_disturbed_until, self.checker.links_disturbed_until, machine.started_at)
            + catch_up_s
        )
        if calm and not self.scenario.busy(name):
            held, needed = controller.replica.version(), self.checker.register.newest_acknowledged(now - catch_up_s)
            caught_up = held.number >= needed
            self.checker.check(caught_up, now, f"BEHIND: {name} holds {held} and not r{needed} after {catch_up_s} s")

    def check_gateway(self, gateway: "GatewayMachine", now: float) -> None:
        checker, name, client = self.checker, gateway.name, gateway.client
        assert client
        needed = checker.register.newest_acknowledged(now - BOUNDS.apply_s)
        held = gateway.version()
        checker.check(held.number >= needed, now, f"CONFIG: {name} has {held} only, r{needed} was acknowledged")
        # No rule, a duty: controllers that start at once need three seconds, and a gateway hears of it then.
        expected = checker.register.newest_acknowledged(now - 4) and checker.has_contact(name, now - READY_S)
        checker.check(client.config_sync.ready or not expected, now, f"{name} is not ready")
        for drained in checker.drained:
            known = client.instance_directory.known.get(drained.instance)
            gone = known is None or known.row.phase == Phase.DRAINING or now - drained.at < BOUNDS.drain_s
            checker.check(gone, now, f"DRAIN: {name} takes {drained.instance} for ready")

    # ---- at the end ----

    async def check_converged(self) -> None:
        """Well after the last fault all tell the same."""
        scenario, checker, now = self.scenario, self.checker, self.scenario.now()
        up = {name: one.controller for name, one in scenario.controllers.items() if one.controller}
        newest = checker.register.newest_acknowledged(now)
        for name, controller in up.items():
            held = controller.replica.version()
            checker.check(held.number >= newest, now, f"{name} holds {held}, r{newest} is the newest")
        versions = {controller.replica.version() for controller in up.values()}
        versions |= {one.version() for one in scenario.gateways.values() if one.table}
        checker.check(len(versions) <= 1, now, f"versions differ at the end: {sorted(map(str, versions))}")
        voters = {controller.replica.voters() for controller in up.values()}
        checker.check(len(voters) == 1, now, f"voters differ at the end: {voters}")
        checker.check(sum(one.lease.is_held() for one in up.values()) == 1, now, "LEASE: nobody holds it at the end")
        for name, gateway in scenario.gateways.items():
            ready = gateway.client is not None and gateway.client.config_sync.ready
            checker.check(ready, now, f"{name} is not ready at the end")
        for name in up:
            told = any([await scenario.operators.read_back(name) or await scenario.operators.read_back(name)])
            checker.check(told or not newest, now, f"LOST: {name} can't read back r{newest}")
        self.check_removed(up, now)
        checker.register.audit(scenario.now())
        tenants = scenario.tenants
        checker.record(now, f"end {sorted(map(str, versions))} {tenants.sent} {tenants.refused} {len(checker.broken)}")

    def check_removed(self, up: dict[str, Controller], now: float) -> None:
        """Who was taken away for good votes no more, if anybody could take the place."""
        gone = [name for name, one in self.scenario.controllers.items() if one.removed]
        since = min((controller.clock() - controller.started_at for controller in up.values()), default=0.0)
        if not gone or since < CONVERGE_S:
            return
        for controller in up.values():
            voters = controller.replica.voters().addresses()
            if len(up) >= len(voters):
                self.checker.check(not set(gone) & set(voters), now, f"{gone} still votes")
                self.scenario.events["voter replaced"] += 1
