"""The base of all handlers of faults, which records what a fault disturbs."""

from stoneyoke.lab.simulation.control_api_client import ControlApiClient
from stoneyoke.lab.simulation.plans import Fault
from stoneyoke.lab.simulation.simulated_cluster import SimulatedCluster


class FaultEffects:
    """Records the machines that a fault disturbs, and those that need not respond in time."""

    def __init__(self, cluster: SimulatedCluster, client: ControlApiClient) -> None:
        """Disturbs a cluster, and exempts its controllers from responding to the client's calls in time."""
        self.cluster, self.client, self.environment = cluster, client, cluster.environment
        self.network, self.checker = self.environment.network, self.environment.checker
        self.disturbances = self.checker.disturbances

    def disturb(self, names: tuple[str, ...], for_s: float) -> None:
        """Counts machines as disturbed for `for_s` seconds from now on."""
        now = self.environment.now()
        for name in names:
            if name in self.cluster.controllers:
                self.disturbances.disturb_controller(name, now, now + for_s)
            else:
                self.disturbances.disturb_gateway(name, now + for_s)

    def exempt(self, fault: Fault) -> None:
        """Exempts the machines of a fault from responding in time, whether they are isolated or not."""
        for name in fault.who:
            self.client.exempt_until[name] = self.environment.now() + fault.for_s
