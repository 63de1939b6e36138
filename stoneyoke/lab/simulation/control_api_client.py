"""Calls of operators and backends to a controller over HTTP. A call has a response, or its outcome is uncertain."""

import asyncio

from stoneyoke.api.calls import ApiCall, ApiResult, Document, Rejected
from stoneyoke.lab.simulation.bounds import CALL_TIMEOUT_S, DETECT_ISOLATION_S, REJECT_S
from stoneyoke.lab.simulation.machines import ControllerMachine
from stoneyoke.lab.simulation.network import LATE_S
from stoneyoke.lab.simulation.simulated_cluster import SimulatedCluster

ONE_WAY_S = 0.002  # one-way delay between a caller and a controller
NEVER_S = 1e18  # later than any time of a scenario


class ControlApiClient:
    """The client through which operators and backends call controllers.

    Attributes:
        isolated_since: The controllers that reach no majority, and since when.
        exempt_until: The controllers that need not respond in time for other reasons, and until when.
    """

    def __init__(self, cluster: SimulatedCluster) -> None:
        """Calls the controllers of a cluster."""
        self.cluster, self.environment = cluster, cluster.environment
        self.isolated_since: dict[str, float] = {}
        self.exempt_until: dict[str, float] = {}

    def shuffled_controllers(self) -> list[str]:
        """Returns the controllers that callers know, in the random order in which a caller tries them."""
        names = [name for name, machine in self.cluster.controllers.items() if machine.is_listed()]
        self.environment.random_source.shuffle(names)
        return names

    async def call(self, name: str, asked: ApiCall | Rejected, timeout_s: float = CALL_TIMEOUT_S) -> ApiResult | None:
        """Calls one controller.

        Args:
            name: The controller's address.
            asked: The call; an invalid one is `Rejected` and returned immediately.
            timeout_s: Time-out of the call in seconds.

        Returns:
            The response; None if the call timed out or the controller's process ended meanwhile.
        """
        if isinstance(asked, Rejected):
            return asked
        machine = self.cluster.controllers[name]
        controller, asked_at = machine.controller, self.environment.now()
        response: asyncio.Future[ApiResult] = asyncio.get_running_loop().create_future()
        self.environment.network.run_on("", self.deliver(machine, asked, response))
        received: ApiResult | None
        try:
            async with asyncio.timeout(timeout_s):
                received = await response
        except TimeoutError:
            received = None
        if machine.controller is not controller:
            received = None
        self.check_rejection(machine, asked_at, received)
        return received

    async def deliver(self, machine: ControllerMachine, asked: ApiCall, response: "asyncio.Future[ApiResult]") -> None:
        """Delivers a call, possibly late or twice, even if its caller has timed out, unless no process runs."""
        network, random_source = self.environment.network, self.environment.random_source
        await asyncio.sleep(ONE_WAY_S)
        if network.late and random_source.random() < network.late:
            await asyncio.sleep(random_source.choice(LATE_S))
        for _ in range(2 if network.doubled and random_source.random() < network.doubled else 1):
            controller = machine.controller
            if controller is None or network.held[machine.name] > 0:
                return
            result = await asyncio.shield(network.run_on(machine.name, controller.handle_call(asked)))
        await asyncio.sleep(ONE_WAY_S)
        is_lost = network.answers_lost and random_source.random() < network.answers_lost
        if is_lost:
            self.exempt_until[machine.name] = self.environment.now()
        if not response.done() and not is_lost and not network.held[machine.name]:
            response.set_result(result)

    def check_rejection(self, machine: ControllerMachine, asked_at: float, received: ApiResult | None) -> None:
        """Checks that an isolated controller rejects a call within REJECT_S, and not as an error of the caller."""
        isolated_since = self.isolated_since.get(machine.name, NEVER_S)
        must_know_at = max(isolated_since, machine.started_at) + DETECT_ISOLATION_S
        if asked_at <= self.exempt_until.get(machine.name, 0.0):
            return
        if machine.controller is None or asked_at < must_know_at or self.cluster.cannot_answer(machine.name):
            return
        now, checker = self.environment.now(), self.environment.checker
        took_s = now - asked_at
        in_time = received is not None and took_s <= REJECT_S
        checker.check(in_time, now, f"CUT: {machine.name} is isolated and takes {took_s:.2f} s to reject a call")
        is_served = isinstance(received, Document | Rejected)
        checker.check(
            not is_served, now, f"CUT: {machine.name} is isolated and responds with {type(received).__name__}"
        )
        self.environment.event_counts["refused, cut off"] += 1
