"""Calls from outside, as operators and backends make them over HTTP: an answer, or none that is clear."""

import asyncio
from typing import TYPE_CHECKING

from stoneyoke.api.calls import Answer, Asked, Document, Rejected
from stoneyoke.lab.simulation.bounds import CALL_S, CUT_KNOWN_S, REFUSED_S
from stoneyoke.lab.simulation.machines import ControllerMachine
from stoneyoke.lab.simulation.network import LATE_S

if TYPE_CHECKING:
    from stoneyoke.lab.simulation.scenario import Scenario

WAY_S = 0.002


class ControlApiClient:
    """Whoever calls from outside. cut_off: controllers that hear no majority, since when. excused: those that were
    not able to answer for other reasons, until when."""

    def __init__(self, scenario: "Scenario") -> None:
        self.scenario = scenario
        self.cut_off: dict[str, float] = {}
        self.excused: dict[str, float] = {}

    def choices(self) -> list[str]:
        """Controllers that callers know of, in an order by chance: one after the other is asked."""
        names = [name for name, machine in self.scenario.controllers.items() if machine.listed()]
        self.scenario.random_source.shuffle(names)
        return names

    async def call(self, name: str, asked: Asked | Rejected, within_s: float = CALL_S) -> Answer | None:
        """A call to one controller; None: no clear answer."""
        if isinstance(asked, Rejected):
            return asked
        scenario, machine = self.scenario, self.scenario.controllers[name]
        controller, asked_at = machine.controller, scenario.now()
        answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        scenario.network.run_on("", self.carry(machine, asked, answer))
        try:
            async with asyncio.timeout(within_s):
                said = await answer
        except TimeoutError:
            said = None
        if machine.controller is not controller:
            said = None
        self.check_refused(machine, asked_at, said)
        return said

    async def carry(self, machine: ControllerMachine, asked: Asked, answer: "asyncio.Future[Answer]") -> None:
        """It is carried out whether or not its caller waits, maybe late or twice, for as long as the process lives."""
        network, random_source = self.scenario.network, self.scenario.random_source
        await asyncio.sleep(WAY_S)
        if network.late and random_source.random() < network.late:
            await asyncio.sleep(random_source.choice(LATE_S))
        for _ in range(2 if network.doubled and random_source.random() < network.doubled else 1):
            controller = machine.controller
            if controller is None or network.held[machine.name] > 0:
                return
            said = await asyncio.shield(network.run_on(machine.name, controller.handle_call(asked)))
        await asyncio.sleep(WAY_S)
        lost = network.answers_lost and random_source.random() < network.answers_lost
        if lost:
            self.excused[machine.name] = self.scenario.now()
        if not answer.done() and not lost and not network.held[machine.name]:
            answer.set_result(said)

    def check_refused(self, machine: ControllerMachine, asked_at: float, said: Answer | None) -> None:
        """One that is cut off refuses, at once, and not as its caller's fault."""
        scenario, since = self.scenario, self.cut_off.get(machine.name, 1e18)
        known_at = max(since, machine.started_at) + CUT_KNOWN_S
        if asked_at <= self.excused.get(machine.name, 0.0):
            return
        if machine.controller is None or asked_at < known_at or scenario.busy(machine.name):
            return
        now, checker = scenario.now(), scenario.checker
        quick = said is not None and now - asked_at <= REFUSED_S
        checker.check(quick, now, f"CUT: {machine.name} is cut off and takes {now - asked_at:.2f} s to say so")
        served = isinstance(said, Document | Rejected)
        checker.check(not served, now, f"CUT: {machine.name} is cut off and says {type(said).__name__}")
        scenario.events["refused, cut off"] += 1
