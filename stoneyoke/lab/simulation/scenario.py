"""One scenario: the real logic of controllers and gateways under the faults of a plan, in simulated time."""

import asyncio
import random
import shutil
import tempfile
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from loguru import logger

from stoneyoke.lab.simulation import backends
from stoneyoke.lab.simulation.checker import InvariantChecker
from stoneyoke.lab.simulation.clock import SimulatedLoop
from stoneyoke.lab.simulation.control_api_client import ControlApiClient
from stoneyoke.lab.simulation.environment import Environment, simulated_loop
from stoneyoke.lab.simulation.faults import FaultInjector
from stoneyoke.lab.simulation.invariants import Invariants
from stoneyoke.lab.simulation.network import SimulatedNetwork
from stoneyoke.lab.simulation.operators import Operators
from stoneyoke.lab.simulation.plans import LEAD_S, REST_S, Fault, Order, Plan
from stoneyoke.lab.simulation.results import ScenarioResult
from stoneyoke.lab.simulation.simulated_cluster import SimulatedCluster
from stoneyoke.lab.simulation.tenants import Tenants

CANCELLATION_ITERATIONS = 4  # loop iterations in which cancelled tasks end
FaultOrOrder = TypeVar("FaultOrOrder", Fault, Order)


class Scenario:
    """A plan with its simulated machines, operators, tenants, faults and checks."""

    def __init__(self, plan: Plan) -> None:
        """Prepares a scenario; nothing runs before `simulate`."""
        self.plan, random_source = plan, random.Random(plan.seed * 7 + 1)
        self.environment = Environment(
            plan=plan,
            random_source=random_source,
            network=SimulatedNetwork(random_source),
            checker=InvariantChecker(plan.losses),
        )
        self.checker, self.network = self.environment.checker, self.environment.network
        self.cluster = SimulatedCluster(self.environment)
        self.client, self.tenants = ControlApiClient(self.cluster), Tenants(self.cluster)
        self.faults = FaultInjector(self.cluster, self.client, self.tenants)
        self.operators = Operators(self.client, self.faults)
        self.invariants = Invariants(self.cluster, self.operators, self.tenants)
        self.disk_bytes = 0

    def simulate(self) -> ScenarioResult:
        """Runs the scenario to its end, in an event loop of its own."""
        self.environment.folder = tempfile.mkdtemp(prefix="scenario-")
        logger.disable("stoneyoke")
        loop = SimulatedLoop()
        loop.set_exception_handler(self.on_exception)
        try:
            loop.run_until_complete(self.run())
        finally:
            loop.close()
            logger.enable("stoneyoke")
            shutil.rmtree(self.environment.folder, ignore_errors=True)
        return self.result()

    def result(self) -> ScenarioResult:
        """Returns the result of the scenario."""
        return ScenarioResult(
            seed=self.plan.seed,
            violations=self.checker.violations,
            trace=self.checker.trace_digest.hexdigest(),
            event_counts=self.environment.event_counts,
            admitted=self.tenants.admitted,
            rejected=self.tenants.rejected,
            requests_below_quota=self.tenants.requests_below_quota,
            rejected_below_quota=self.tenants.rejected_below_quota,
            disk_bytes=self.disk_bytes,
        )

    def on_exception(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Reports an exception that ended a task of a machine and was never retrieved as a violation."""
        error = context.get("exception") or context["message"]
        self.checker.check(False, loop.time(), f"EXCEPTION: {error!r}")

    async def run(self) -> None:
        """Starts the machines, runs the plan, and checks the final state REST_S after the last fault."""
        plan, now = self.plan, self.environment.now
        self.cluster.create_machines()
        await self.cluster.start()
        started_at = now()
        self.checker.disturbances.controllers_until = self.checker.beyond_tolerance_until = started_at
        tasks = self.start_tasks(started_at)
        ends_s = max([LEAD_S + plan.seconds, *(fault.at + fault.for_s for fault in plan.faults)])
        self.faults.faults_end_at = started_at + ends_s
        try:
            timeout_s = started_at + ends_s + REST_S - now()
            await asyncio.wait(tasks, timeout=timeout_s, return_when=asyncio.FIRST_EXCEPTION)
            for task in tasks:
                if task.done():
                    task.result()
            await self.invariants.check_converged()
            self.disk_bytes = max(machine.disk.size() for machine in self.cluster.controllers.values())
        finally:
            await self.cancel_all_tasks()

    def start_tasks(self, started_at: float) -> list[asyncio.Task[Any]]:
        """Starts the tasks of operators, tenants, backends, faults and checks. Their order is part of the trace."""
        plan, client, faults = self.plan, self.client, self.faults
        work = [self.operators.put(1), self.tenants.send_requests(), self.invariants.watch()]
        if plan.reads:
            work.append(self.operators.read_back_repeatedly())
        work += [backends.run_backends_at(client, faults, index) for index in range(plan.backends)]
        if plan.instances:
            work.append(backends.run_short_lived_instances(client, faults, plan.instances))
        work += [self.run_at(started_at, fault, faults.inject) for fault in plan.faults]
        work += [self.run_at(started_at, order, self.operators.carry_out) for order in plan.orders]
        return [self.network.run_on("", one) for one in work]

    async def run_at(
        self, started_at: float, due: FaultOrOrder, action: Callable[[FaultOrOrder], Awaitable[None]]
    ) -> None:
        """Carries out a fault or a configuration change at its time."""
        await asyncio.sleep(started_at + due.at - self.environment.now())
        await action(due)

    async def cancel_all_tasks(self) -> None:
        """Cancels every task of every machine."""
        for name in list(simulated_loop().frozen):
            simulated_loop().thaw(name)
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        for _ in range(CANCELLATION_ITERATIONS):
            await asyncio.sleep(0)
