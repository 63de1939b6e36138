"""The network between the machines of a scenario: it delays, loses, doubles and cuts messages.

Messages go through the real encoding. A call may be delivered late, twice, or after its caller has given up. TCP allows
less, so what holds here holds there.
"""

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

MessageHandler = Callable[[Message], Awaitable[Message | None]]
DELAY_S = 0.0015  # one way, on average
LATE_S = (0.02, 0.2, 0.8, 2.0)  # a late message is later by one of these
NO_POWER_POLL_S = 0.5  # between two looks whether a machine has power again
MAX_RELEASE_DELAY_S = 0.05  # messages that waited arrive within this, in any order
FRAME_HEADER_BYTES = 4  # the length of a frame, which the encoding puts first
CALL_ID = 1  # every call has its own answer here, so that the id of a call does not matter
PORT = 1


@dataclass(slots=True)
class MessageTrigger:
    """Starts an action when a message passes.

    Attributes:
        machine: The machine that sends or receives it; empty for any.
        kind: The message's type.
        sent: Whether the action comes before the message leaves its sender, else before its receiver handles it.
        count: Which such message starts the action, counted from 1.
        action: Called with the sender, or the receiver.
    """

    machine: str
    kind: str
    sent: bool
    count: int
    action: Callable[[str], None]


@dataclass(frozen=True, slots=True)
class PeerCall:
    """One call between machines.

    Attributes:
        sender: The calling machine.
        receiver: The machine that is called.
        kind: The message's type.
        frame: The encoded message.
        answer: Takes the encoded answer.
    """

    sender: str
    receiver: str
    kind: str
    frame: bytes
    answer: asyncio.Future[bytes]


class SimulatedNetwork:
    """The network, and the tasks of the machines.

    Attributes:
        ports: What answers at an address; None where the machine is up and nothing listens; absent without power.
        tasks: What runs on each machine and ends with it.
        ended: How often all that ran on a machine has ended.
        cuts: How many cuts lie on each way, from one machine to another. A way with a cut carries nothing.
        held: How many faults hold the links of a machine. Held messages wait.
        late: Share of messages that are late.
        doubled: Share of messages that arrive twice.
        answers_lost: Share of the answers to operators and backends that are lost.
        messages_by_kind: Messages that were sent, by their type.
        message_triggers: Actions that wait for a message.
        opened: Set, and replaced by a new event, when a cut or a hold ends.
    """

    def __init__(self, random_source: random.Random) -> None:
        """Starts without machines; delays are drawn from the random source."""
        self.random_source = random_source
        self.ports: dict[str, MessageHandler | None] = {}
        self.tasks: dict[str, set[asyncio.Task[Any]]] = {}
        self.ended: Counter[str] = Counter()
        self.cuts: Counter[tuple[str, str]] = Counter()
        self.held: Counter[str] = Counter()
        self.late, self.doubled, self.answers_lost = 0.0, 0.0, 0.0
        self.messages_by_kind: Counter[str] = Counter()
        self.message_triggers: list[MessageTrigger] = []
        self.opened = asyncio.Event()

    # ---- machines ----

    def context(self, machine: str) -> contextvars.Context:
        """Returns a context whose tasks and timers belong to a machine; empty: to the network or the callers."""
        context = contextvars.copy_context()
        context.run(MACHINE.set, machine)
        return context

    def run_on(self, machine: str, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Starts a task of a machine."""
        task = asyncio.get_running_loop().create_task(work, context=self.context(machine))
        tasks = self.tasks.setdefault(machine, set())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        return task

    def end_machine(self, machine: str, power: bool) -> None:
        """Ends all tasks of a machine. Without power nothing answers there; else connections are refused."""
        self.ended[machine] += 1
        if power:
            self.ports.pop(machine, None)
        else:
            self.ports[machine] = None
        for task in in_creation_order(self.tasks.get(machine, ())):
            task.cancel()

    def dialler(self, own: str) -> Callable[[tuple[str, int]], Any]:
        """Returns what a machine uses to connect to an address."""
        return lambda address: SimulatedPeerClient(self, own, address[0])

    # ---- faults ----

    def release_waiting(self) -> None:
        """Lets messages look again whether their way is open."""
        self.opened.set()
        self.opened = asyncio.Event()

    def is_blocked(self, sender: str, receiver: str) -> bool:
        """Returns whether a message has to wait."""
        return self.cuts[sender, receiver] > 0 or self.held[sender] > 0 or self.held[receiver] > 0

    def fire_message_triggers(self, machine: str, kind: str, sent: bool) -> None:
        """Counts a message at all triggers, and starts the actions that are due."""
        for trigger in list(self.message_triggers):
            if trigger.kind == kind and trigger.sent == sent and trigger.machine in ("", machine):
                trigger.count -= 1
                if trigger.count <= 0:
                    self.message_triggers.remove(trigger)
                    trigger.action(machine)

    # ---- messages ----

    async def transmit(self, sender: str, receiver: str) -> bool:
        """Waits for as long as a message is on its way; a blocked one is repeated until its sender ends.

        Returns:
            Whether it arrives.
        """
        wait_s = DELAY_S * (0.7 + 0.6 * self.random_source.random())
        if self.late and self.random_source.random() < self.late:
            wait_s += self.random_source.choice(LATE_S)
        await asyncio.sleep(wait_s)
        ended = self.ended[sender]
        while self.is_blocked(sender, receiver):
            await self.opened.wait()
            await asyncio.sleep(self.random_source.uniform(0.0, MAX_RELEASE_DELAY_S))
        return self.ended[sender] == ended

    async def deliver(self, call: PeerCall) -> None:
        """Carries a call to its receiver whether or not the caller still waits."""
        if not await self.transmit(call.sender, call.receiver):
            return
        while call.receiver not in self.ports:
            await asyncio.sleep(NO_POWER_POLL_S)
            if call.receiver in self.ports:
                return  # a machine that comes back does not know the old connection
        self.fire_message_triggers(call.receiver, call.kind, sent=False)
        handler = self.ports.get(call.receiver)
        if handler is None:
            if not call.answer.done():
                call.answer.set_exception(PeerUnreachable("nothing listens"))
            return
        times = 2 if self.doubled and self.random_source.random() < self.doubled else 1
        for _ in range(times):
            self.run_on(call.receiver, self.serve(handler, call))

    async def serve(self, handler: MessageHandler, call: PeerCall) -> None:
        """Lets the receiver handle a call, and sends its answer back."""
        answer = await handler(unpack(call.frame[FRAME_HEADER_BYTES:])[1])
        if answer is not None:
            # On its way back the answer belongs to the network: the end or a freeze of its sender does not hold it.
            self.run_on("", self.return_answer(call, pack(CALL_ID, answer)))

    async def return_answer(self, call: PeerCall, frame: bytes) -> None:
        """Carries an answer back to the caller, if that still waits."""
        if await self.transmit(call.receiver, call.sender) and not call.answer.done():
            call.answer.set_result(frame)


def in_creation_order(tasks: Iterable[asyncio.Future[Any]]) -> list[asyncio.Task[Any]]:
    """Returns tasks in the order of their creation: the order of a set differs from process to process."""
    return sorted((one for one in tasks if isinstance(one, asyncio.Task)), key=lambda one: int(one.get_name()[5:]))


class SimulatedPeerClient:
    """Stands in for transport.peer_client.PeerClient."""

    def __init__(self, network: SimulatedNetwork, own: str, other: str) -> None:
        """Connects one machine to another one."""
        self.network, self.own, self.other, self.address = network, own, other, (other, PORT)

    async def call(self, message: Message, timeout_s: float) -> Message:
        """Calls the other machine.

        Raises:
            PeerUnreachable: If there is no answer within the time, or if nothing listens.
        """
        kind = type(message).__name__
        self.network.messages_by_kind[kind] += 1
        self.network.fire_message_triggers(self.own, kind, sent=True)
        answer: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        call = PeerCall(self.own, self.other, kind, pack(CALL_ID, message), answer)
        # On its way the call belongs to the network: the end of its sender does not take it back.
        self.network.run_on("", self.network.deliver(call))
        try:
            async with asyncio.timeout(timeout_s):
                frame = await answer
        except TimeoutError as error:
            raise PeerUnreachable("no answer in time") from error
        finally:
            if answer.done() and not answer.cancelled():
                answer.exception()  # else asyncio reports an exception that nobody took
        return unpack(frame[FRAME_HEADER_BYTES:])[1]
