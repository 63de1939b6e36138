"""One scenario: the real logic of controllers and gateways under a plan's faults, in simulated time, judged after
each step."""

import asyncio
import random
import shutil
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from loguru import logger

from stoneyoke.lab.simulation import backends
from stoneyoke.lab.simulation.checker import InvariantChecker, Outcome
from stoneyoke.lab.simulation.clock import SimulatedLoop
from stoneyoke.lab.simulation.control_api_client import ControlApiClient
from stoneyoke.lab.simulation.faults import Faults
from stoneyoke.lab.simulation.invariants import Invariants
from stoneyoke.lab.simulation.machines import ControllerMachine, GatewayMachine, simulated_loop
from stoneyoke.lab.simulation.network import SimulatedNetwork
from stoneyoke.lab.simulation.operators import Operators
from stoneyoke.lab.simulation.plans import (
    LEAD_S,
    REST_S,
    Fault,
    Order,
    Plan,
    controller_address,
    gateway_address,
)
from stoneyoke.lab.simulation.tenants import Tenants

MAX_SEEDS = 3  # controllers that all are told of at their start
Due = TypeVar("Due", Fault, Order)


class Scenario:
    """met: what came about, and how often."""

    def __init__(self, plan: Plan) -> None:
        self.plan, self.random_source = plan, random.Random(plan.seed * 7 + 1)
        self.checker, self.network = InvariantChecker(plan.losses), SimulatedNetwork(self.random_source)
        self.events: Counter[str] = Counter()
        self.disk_bytes = 0
        self.api_client, self.operators = ControlApiClient(self), Operators(self)
        self.tenants, self.invariants, self.faults = Tenants(self), Invariants(self), Faults(self)
        self.first_seeds = tuple(controller_address(at) for at in range(min(MAX_SEEDS, plan.controllers)))
        self.controllers: dict[str, ControllerMachine] = {}
        self.gateways: dict[str, GatewayMachine] = {}

    def seeds(self) -> tuple[str, ...]:
        """What a machine is told of at its start: the first machines, as far as the operators still list them."""
        listed = [name for name, machine in self.controllers.items() if machine.listed()]
        return tuple(listed[:MAX_SEEDS]) or self.first_seeds

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def frozen(self, name: str) -> bool:
        return name in simulated_loop().frozen

    def busy(self, name: str) -> bool:
        """Whether this machine can't be expected to answer: frozen, held up, its disk or its answers in trouble."""
        disk = self.controllers[name].disk if name in self.controllers else None
        set_fault = disk is not None and (disk.stalled or disk.refuses)
        return (
            set_fault
            or self.frozen(name)
            or self.network.held[name] > 0
            or self.network.late > 0
            or self.network.answers_lost > 0
        )

    def play(self) -> Outcome:
        self.folder = tempfile.mkdtemp(prefix="scenario-")
        logger.disable("stoneyoke")
        loop = SimulatedLoop()
        loop.set_exception_handler(self.failed)
        try:
            loop.run_until_complete(self.run())
        finally:
            loop.close()
            logger.enable("stoneyoke")
            shutil.rmtree(self.folder, ignore_errors=True)
        tenants = self.tenants
        return Outcome(
            self.plan.seed,
            self.checker.broken,
            self.checker.trace_digest.hexdigest(),
            self.events,
            tenants.sent,
            tenants.refused,
            tenants.rejected_below_quota,
            tenants.requests_below_quota,
            self.disk_bytes,
        )

    def failed(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """A task of some machine ended by an exception that nobody awaited."""
        self.checker.check(False, loop.time(), f"EXCEPTION: {context.get('exception') or context['message']!r}")

    async def run(self) -> None:
        plan, begun = self.plan, self.now()
        names = [controller_address(at) for at in range(plan.controllers + plan.spares)]
        self.controllers = {name: ControllerMachine(self, name) for name in names}
        self.gateways = {name: GatewayMachine(self, name) for name in map(gateway_address, range(plan.gateways))}
        for name in names[: plan.controllers]:
            await self.controllers[name].start(first=True)
        for gateway in self.gateways.values():
            await gateway.start()
        begun = self.now()
        self.checker.controllers_disturbed_until = self.checker.intolerable_until = begun
        work = [
            self.network.run_on("", one)
            for one in (
                self.operators.put(1),
                self.tenants.send_requests(),
                self.invariants.watch(),
                *([self.operators.read_back_repeatedly()] if plan.reads else []),
                *(backends.run_backends_at(self, at) for at in range(plan.backends)),
                *([backends.run_short_lived_instances(self, plan.instances)] if plan.instances else []),
                *(self.due(begun, fault, self.faults.inject) for fault in plan.faults),
                *(self.due(begun, order, self.operators.carry_out) for order in plan.orders),
            )
        ]
        ends = max([LEAD_S + plan.seconds, *(fault.at + fault.for_s for fault in plan.faults)])
        self.faults.faults_end_at = begun + ends
        try:
            await asyncio.wait(work, timeout=begun + ends + REST_S - self.now(), return_when=asyncio.FIRST_EXCEPTION)
            for one in work:
                if one.done():
                    one.result()
            await self.invariants.check_converged()
            self.disk_bytes = max(machine.disk.size() for machine in self.controllers.values())
        finally:
            await self.end_all()

    async def due(self, begun: float, what: Due, act: Callable[[Due], Awaitable[None]]) -> None:
        await asyncio.sleep(begun + what.at - self.now())
        await act(what)

    async def end_all(self) -> None:
        for name in list(simulated_loop().frozen):
            simulated_loop().thaw(name)
        for one in asyncio.all_tasks() - {asyncio.current_task()}:
            one.cancel()
        for _ in range(4):
            await asyncio.sleep(0)
