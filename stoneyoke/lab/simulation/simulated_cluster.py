"""The simulated cluster: all machines of a scenario."""

from stoneyoke.lab.simulation.environment import Environment, simulated_loop
from stoneyoke.lab.simulation.machines import ControllerMachine, GatewayMachine
from stoneyoke.lab.simulation.plans import controller_address, gateway_address

MAX_SEEDS = 3  # maximum number of seed addresses in a machine's settings


class SimulatedCluster:
    """The controllers and the gateways of a scenario, by their addresses.

    Attributes:
        environment: The parts that all components of the scenario share.
        controllers: The machines of controllers, spares included.
        gateways: The machines of gateways.
        first_seeds: The seed addresses of the controllers that start first.
    """

    def __init__(self, environment: Environment) -> None:
        """Starts without machines: `create_machines` needs a running loop."""
        self.environment = environment
        self.controllers: dict[str, ControllerMachine] = {}
        self.gateways: dict[str, GatewayMachine] = {}
        self.first_seeds = tuple(
            controller_address(index) for index in range(min(MAX_SEEDS, environment.plan.controllers))
        )

    def create_machines(self) -> None:
        """Creates the machines that the plan names, without processes."""
        plan = self.environment.plan
        names = [controller_address(index) for index in range(plan.controllers + plan.spares)]
        self.controllers = {name: ControllerMachine(self.environment, name) for name in names}
        gateways = [gateway_address(index) for index in range(plan.gateways)]
        self.gateways = {name: GatewayMachine(self.environment, name) for name in gateways}

    async def start(self) -> None:
        """Starts the controllers one after the other, then the gateways."""
        for name in list(self.controllers)[: self.environment.plan.controllers]:
            await self.controllers[name].start(self.first_seeds, first_start=True)
        for gateway in self.gateways.values():
            await gateway.start(self.seeds())

    def seeds(self) -> tuple[str, ...]:
        """Returns the seed addresses for a machine that starts now: the first machines that operators know."""
        listed = [name for name, machine in self.controllers.items() if machine.is_listed()]
        return tuple(listed[:MAX_SEEDS]) or self.first_seeds

    def machine(self, name: str) -> ControllerMachine | GatewayMachine:
        """Returns the machine at an address."""
        return self.controllers.get(name) or self.gateways[name]

    def is_frozen(self, name: str) -> bool:
        """Returns whether a machine is frozen."""
        return name in simulated_loop().frozen

    def cannot_answer(self, name: str) -> bool:
        """Returns whether a machine is frozen or held, or its disk, its links or its responses are disturbed."""
        network = self.environment.network
        disk = self.controllers[name].disk if name in self.controllers else None
        disk_disturbed = disk is not None and (disk.stalled or disk.refuses)
        links_disturbed = network.held[name] > 0 or network.late > 0 or network.answers_lost > 0
        return disk_disturbed or links_disturbed or self.is_frozen(name)
