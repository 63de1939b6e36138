"""What all kinds of faults share: they record what they disturb."""

from stoneyoke.lab.simulation.control_api_client import ControlApiClient
from stoneyoke.lab.simulation.plans import Fault
from stoneyoke.lab.simulation.simulated_cluster import SimulatedCluster


class FaultEffects:
    """Base of the handlers of faults."""

    def __init__(self, cluster: SimulatedCluster, client: ControlApiClient) -> None:
        """Disturbs a cluster, and excuses its controllers from answering the client's calls."""
        self.cluster, self.client, self.environment = cluster, client, cluster.environment
        self.network, self.checker = self.environment.network, self.environment.checker
        self.disturbances = self.checker.disturbances

    def disturb(self, names: tuple[str, ...], for_s: float) -> None:
        """Counts machines as disturbed from now on."""
        now = self.environment.now()
        for name in names:
            if name in self.cluster.controllers:
                self.disturbances.disturb_controller(name, now, now + for_s)
            else:
                self.disturbances.disturb_gateway(name, now + for_s)

    def excuse(self, fault: Fault) -> None:
        """Excuses the machines of a fault from answering in time, whether they are cut off or not."""
        for name in fault.who:
            self.client.excused_until[name] = self.environment.now() + fault.for_s
