"""The network between the machines of a scenario: it delays, loses, doubles and cuts.

Messages go through the real packing. A call may be delivered though its caller has given up, late, or twice: that is
more than TCP allows, so what holds here holds there."""

import asyncio
import contextvars
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from dataclasses import dataclass
from typing import Any

from stoneyoke.lab.simulation.clock import MACHINE
from stoneyoke.transport.errors import PeerUnreachable
from stoneyoke.transport.messages import Message, pack, unpack

Serve = Callable[[Message], Awaitable[Message | None]]
DELAY_S = 0.0015
LATE_S = (0.02, 0.2, 0.8, 2.0)  # how late a late message is
NO_POWER_STEP_S = 0.5
SCATTER_S = 0.05


@dataclass(slots=True)
class MessageTrigger:
    """Strikes where a message passes. machine: that sends or gets it, any if empty; kind: of the message; sent:
    whether it strikes its sender (before it leaves) or its receiver (before it is taken); count: of such messages."""

    machine: str
    kind: str
    sent: bool
    count: int
    inject: Callable[[str], None]


class SimulatedNetwork:
    """ports: who answers at an address, None where the machine is up and nothing listens; absent: no power.
    cuts: pairs (from, to) that carry nothing. held: machines whose links stand still. late, doubled: shares of
    messages. answers_lost: share of the answers to operators and backends that never come."""

    def __init__(self, random_source: random.Random) -> None:
        self.random_source = random_source
        self.ports: dict[str, Serve | None] = {}
        self.tasks: dict[str, set[asyncio.Task[Any]]] = {}  # what runs on a machine; ended with it
        self.ended: Counter[str] = Counter()  # how often all that ran on a machine has ended
        self.cuts: Counter[tuple[str, str]] = Counter()  # how many cuts lie on a way
        self.held: Counter[str] = Counter()
        self.late, self.doubled, self.answers_lost = 0.0, 0.0, 0.0
        self.messages_by_kind: Counter[str] = Counter()  # messages, by kind
        self.message_triggers: list[MessageTrigger] = []
        self.opened = asyncio.Event()  # set and renewed when a cut or a hold ends

    def context(self, machine: str) -> contextvars.Context:
        """Whatever is begun in it belongs to this machine; to the network or the outside if empty."""
        context = contextvars.copy_context()
        context.run(MACHINE.set, machine)
        return context

    def run_on(self, machine: str, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """A task of this machine."""
        task = asyncio.get_running_loop().create_task(work, context=self.context(machine))
        tasks = self.tasks.setdefault(machine, set())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        return task

    def end_machine(self, machine: str, power: bool) -> None:
        """All that runs there ends; without power nothing says so."""
        self.ended[machine] += 1
        if power:
            self.ports.pop(machine, None)
        else:
            self.ports[machine] = None
        for task in in_creation_order(self.tasks.get(machine, ())):
            task.cancel()

    def release_waiting(self) -> None:
        """What waited at a cut goes on."""
        self.opened.set()
        self.opened = asyncio.Event()

    def blocked(self, own: str, other: str) -> bool:
        return self.cuts[own, other] > 0 or self.held[own] > 0 or self.held[other] > 0

    async def transmit(self, own: str, other: str) -> bool:
        """One message's way; whether it arrives. One that can't come through is sent again until its sender ends."""
        wait = DELAY_S * (0.7 + 0.6 * self.random_source.random())
        if self.late and self.random_source.random() < self.late:
            wait += self.random_source.choice(LATE_S)
        await asyncio.sleep(wait)
        ended = self.ended[own]
        while self.blocked(own, other):
            await self.opened.wait()
            await asyncio.sleep(self.random_source.uniform(0.0, SCATTER_S))  # what waited comes in any order
        return self.ended[own] == ended

    def dialler(self, own: str) -> Callable[[tuple[str, int]], Any]:
        return lambda address: SimulatedPeerClient(self, own, address[0])

    def fire_message_triggers(self, machine: str, kind: str, sent: bool) -> None:
        for trigger in list(self.message_triggers):
            if trigger.kind == kind and trigger.sent == sent and trigger.machine in ("", machine):
                trigger.count -= 1
                if trigger.count <= 0:
                    self.message_triggers.remove(trigger)
                    trigger.inject(machine)

    async def deliver(self, own: str, other: str, kind: str, data: bytes, answer: asyncio.Future[bytes]) -> None:
        """Carried whether or not the caller still waits."""
        if not await self.transmit(own, other):
            return
        while other not in self.ports:
            await asyncio.sleep(NO_POWER_STEP_S)  # nothing answers, and who comes back knows no old connection
            if other in self.ports:
                return
        self.fire_message_triggers(other, kind, sent=False)
        serve = self.ports.get(other)
        if serve is None:
            if not answer.done():
                answer.set_exception(PeerUnreachable("nothing listens"))
            return
        times = 2 if self.doubled and self.random_source.random() < self.doubled else 1
        for _ in range(times):
            self.run_on(other, self.serve(serve, own, other, data, answer))

    async def serve(self, serve: Serve, own: str, other: str, data: bytes, answer: asyncio.Future[bytes]) -> None:
        said = await serve(unpack(data[4:])[1])
        if said is not None:
            # On its way back it belongs to the network: its sender's end or freeze does not hold it up.
            self.run_on("", self.return_answer(own, other, pack(1, said), answer))

    async def return_answer(self, own: str, other: str, data: bytes, answer: asyncio.Future[bytes]) -> None:
        if await self.transmit(other, own) and not answer.done():
            answer.set_result(data)


def in_creation_order(tasks: Iterable[asyncio.Future[Any]]) -> list[asyncio.Task[Any]]:
    """As they were begun: sets of tasks have another order in each process."""
    return sorted((one for one in tasks if isinstance(one, asyncio.Task)), key=lambda one: int(one.get_name()[5:]))


class SimulatedPeerClient:
    """In place of transport.peer_client.PeerClient."""

    def __init__(self, network: SimulatedNetwork, own: str, other: str) -> None:
        self.network, self.own, self.other, self.address = network, own, other, (other, 1)

    async def call(self, message: Message, within_s: float) -> Message:
        kind = type(message).__name__
        self.network.messages_by_kind[kind] += 1
        self.network.fire_message_triggers(self.own, kind, sent=True)
        answer: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        # On its way it belongs to the network: its sender's end does not take it back.
        self.network.run_on("", self.network.deliver(self.own, self.other, kind, pack(1, message), answer))
        try:
            async with asyncio.timeout(within_s):
                data = await answer
        except TimeoutError as bad:
            raise PeerUnreachable("no answer in time") from bad
        finally:
            if answer.done() and not answer.cancelled():
                answer.exception()
        return unpack(data[4:])[1]
