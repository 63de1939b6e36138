"""The invariants of a scenario: what must hold at each moment, and what must hold at the end."""

import asyncio

from stoneyoke.consensus.register_value import INITIAL_DISK_NAME, Proposal
from stoneyoke.controlplane.controller import Controller
from stoneyoke.controlplane.instance_registry import Phase
from stoneyoke.lab.simulation.bounds import BOUNDS, CHECK_INTERVAL_S, CONVERGE_S
from stoneyoke.lab.simulation.checker import AcknowledgedDrain
from stoneyoke.lab.simulation.machines import ControllerMachine, GatewayMachine
from stoneyoke.lab.simulation.operators import Operators
from stoneyoke.lab.simulation.simulated_cluster import SimulatedCluster
from stoneyoke.lab.simulation.tenants import Tenants

READY_S = 2.5  # how long a gateway may take to become ready, beyond contact_s
FIRST_CONFIGURATION_S = 4.0  # controllers that start together need 3 s, and a gateway receives the configuration then


class Invariants:
    """Checks the invariants of a scenario.

    Attributes:
        last_chosen: The proposal that each controller last considered chosen.
    """

    def __init__(self, cluster: SimulatedCluster, operators: Operators, tenants: Tenants) -> None:
        """Checks the machines of a cluster. At the end the operators read the configuration from each controller."""
        self.cluster, self.operators, self.tenants = cluster, operators, tenants
        self.environment, self.checker = cluster.environment, cluster.environment.checker
        self.disturbances = self.checker.disturbances
        self.last_chosen: dict[str, Proposal | None] = {}

    async def watch(self) -> None:
        """Checks all invariants every CHECK_INTERVAL_S, for as long as the scenario lasts."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = self.environment.now()
            self.checker.check_orders(now)
            self.check_lease(now)
            for machine in self.cluster.controllers.values():
                if machine.controller:
                    self.check_controller(machine, machine.controller, now)
            for gateway in self.cluster.gateways.values():
                if gateway.client and self.disturbances.has_contact(gateway.name, now):
                    self.check_gateway(gateway, now)

    def check_lease(self, now: float) -> None:
        """Checks that at most one controller considers itself the lease holder."""
        machines = self.cluster.controllers.items()
        holders = [name for name, one in machines if one.controller and one.controller.lease.is_held()]
        self.checker.check(len(holders) <= 1, now, f"LEASE: several controllers hold it: {holders}")

    def check_controller(self, machine: ControllerMachine, controller: Controller, now: float) -> None:
        """Checks what a controller considers chosen, its identity after a disk loss, and that it has caught up."""
        name, chosen = machine.name, controller.replica.chosen
        if chosen is not None and chosen is not self.last_chosen.get(name):
            self.last_chosen[name] = chosen
            self.checker.register.learn(now, name, chosen)
        if machine.wiped and controller.replica.is_voter():
            machine.wiped = False
            self.environment.event_counts["wiped, votes again"] += 1
            has_new_identity = controller.replica.identity.disk != INITIAL_DISK_NAME
            self.checker.check(has_new_identity, now, f"{name} votes under the identity of its lost disk")
        self.check_caught_up(machine, controller, now)

    def check_caught_up(self, machine: ControllerMachine, controller: Controller, now: float) -> None:
        """Checks that an undisturbed controller has every version that was acknowledged at least catch_up_s ago."""
        name, catch_up_s = machine.name, BOUNDS.catch_up_s
        disturbed_until = max(self.disturbances.controllers_until, self.disturbances.links_until, machine.started_at)
        if now <= disturbed_until + catch_up_s or self.cluster.cannot_answer(name):
            return
        held, required = controller.replica.version(), self.checker.register.newest_acknowledged(now - catch_up_s)
        violation = f"BEHIND: {name} has {held} instead of r{required} after {catch_up_s} s"
        self.checker.check(held.number >= required, now, violation)

    def check_gateway(self, gateway: GatewayMachine, now: float) -> None:
        """Checks that a gateway with contact has the acknowledged version, is ready, and knows each drain."""
        checker, name, client = self.checker, gateway.name, gateway.client
        assert client
        required = checker.register.newest_acknowledged(now - BOUNDS.apply_s)
        held = gateway.version()
        checker.check(held.number >= required, now, f"CONFIG: {name} has {held}, though r{required} was acknowledged")
        # The operators set no such bound. Without this check a gateway that never becomes ready violates nothing.
        has_configuration = checker.register.newest_acknowledged(now - FIRST_CONFIGURATION_S)
        must_be_ready = has_configuration and self.disturbances.has_contact(name, now - READY_S)
        checker.check(client.config_sync.ready or not must_be_ready, now, f"{name} is not ready")
        for drain in checker.drains:
            self.check_drain(gateway, drain, now)

    def check_drain(self, gateway: GatewayMachine, drain: AcknowledgedDrain, now: float) -> None:
        """Checks that a gateway no longer considers an instance ready drain_s after its drain was acknowledged."""
        assert gateway.client
        known = gateway.client.instance_directory.instances.get(drain.instance)
        holds = known is None or known.row.phase == Phase.DRAINING or now - drain.at < BOUNDS.drain_s
        self.checker.check(holds, now, f"DRAIN: {gateway.name} considers {drain.instance} ready")

    # ---- at the end ----

    async def check_converged(self) -> None:
        """Checks, REST_S after the last fault, that all machines agree and that no acknowledged version is lost."""
        checker, now = self.checker, self.environment.now()
        up = {name: one.controller for name, one in self.cluster.controllers.items() if one.controller}
        newest = checker.register.newest_acknowledged(now)
        versions = self.check_agreement(up, newest, now)
        for name, gateway in self.cluster.gateways.items():
            is_ready = gateway.client is not None and gateway.client.config_sync.ready
            checker.check(is_ready, now, f"{name} is not ready at the end")
        for name in up:
            was_read = await self.operators.read_back(name) or await self.operators.read_back(name)
            checker.check(was_read or not newest, now, f"LOST: {name} can't read r{newest}")
        self.check_removed(up, now)
        checker.register.audit(self.environment.now())
        tenants, violations = self.tenants, len(checker.violations)
        checker.record(now, f"end {versions} {tenants.admitted} {tenants.rejected} {violations}")

    def check_agreement(self, up: dict[str, Controller], newest: int, now: float) -> list[str]:
        """Checks that all machines have the same version and the same voters, and that one controller holds the lease.

        Returns:
            The versions that the machines have, sorted by their text.
        """
        checker = self.checker
        for name, controller in up.items():
            held = controller.replica.version()
            checker.check(
                held.number >= newest, now, f"{name} has {held}, though r{newest} is the newest acknowledged version"
            )
        versions = {controller.replica.version() for controller in up.values()}
        versions |= {one.version() for one in self.cluster.gateways.values() if one.table}
        version_texts = sorted(map(str, versions))
        checker.check(len(versions) <= 1, now, f"versions differ at the end: {version_texts}")
        voters = {controller.replica.voters() for controller in up.values()}
        checker.check(len(voters) == 1, now, f"voters differ at the end: {voters}")
        holders = sum(controller.lease.is_held() for controller in up.values())
        checker.check(holders == 1, now, "LEASE: not exactly one controller holds it at the end")
        return version_texts

    def check_removed(self, up: dict[str, Controller], now: float) -> None:
        """Checks that a permanently removed machine is no longer a voter, if another machine could replace it."""
        removed = [name for name, one in self.cluster.controllers.items() if one.removed]
        shortest_uptime_s = min((controller.clock() - controller.started_at for controller in up.values()), default=0.0)
        if not removed or shortest_uptime_s < CONVERGE_S:
            return
        for controller in up.values():
            voters = controller.replica.voters().addresses()
            if len(up) >= len(voters):
                self.checker.check(not set(removed) & set(voters), now, f"{removed} are removed and still voters")
                self.environment.event_counts["voter replaced"] += 1
