"""The simulated network between the machines of a scenario: it delays, loses and duplicates messages, and partitions.

Messages go through the real encoding. A call may be delivered late, twice, or after its caller has timed out. TCP
allows fewer of these, so an invariant that holds over this network also holds over TCP.
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
DELAY_S = 0.0015  # mean one-way delay of a message
LATE_S = (0.02, 0.2, 0.8, 2.0)  # a late message has one of these additional delays
NO_POWER_POLL_S = 0.5  # interval between two checks whether a machine has power again
MAX_RELEASE_DELAY_S = 0.05  # blocked messages arrive within this time after they are unblocked, in any order
FRAME_HEADER_BYTES = 4  # size of the length prefix of an encoded frame
CALL_ID = 1  # each call has its own future for the response here, so that its id is not used for matching
PORT = 1


@dataclass(slots=True)
class MessageTrigger:
    """Starts an action when a matching message is sent or delivered.

    Attributes:
        machine: The machine that sends or receives it; empty for any.
        kind: The message's type.
        sent: Whether the action runs before the message is sent, else before the receiver handles it.
        count: The number of the matching message that starts the action, counted from 1.
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
        response: Future for the encoded response.
    """

    sender: str
    receiver: str
    kind: str
    frame: bytes
    response: asyncio.Future[bytes]


class SimulatedNetwork:
    """The network, and the tasks of the machines.

    Attributes:
        ports: The handler at each address; None if the machine has power and nothing listens; absent without power.
        tasks: The tasks of each machine, which are cancelled when its process ends.
        ended: How often the processes of each machine have ended.
        partitions: Number of active partitions between each sender and receiver. Any partition blocks their messages.
        held: Number of active faults that hold the links of each machine. Held messages wait.
        late: Share of messages that are late.
        doubled: Share of messages that arrive twice.
        answers_lost: Share of the responses to operators and backends that are lost.
        messages_by_kind: Number of messages that were sent, by type.
        message_triggers: Triggers whose message has not passed yet.
        unblocked: Set, and replaced by a new event, when a partition or a hold ends.
    """

    def __init__(self, random_source: random.Random) -> None:
        """Starts without machines; delays are drawn from the random source."""
        self.random_source = random_source
        self.ports: dict[str, MessageHandler | None] = {}
        self.tasks: dict[str, set[asyncio.Task[Any]]] = {}
        self.ended: Counter[str] = Counter()
        self.partitions: Counter[tuple[str, str]] = Counter()
        self.held: Counter[str] = Counter()
        self.late, self.doubled, self.answers_lost = 0.0, 0.0, 0.0
        self.messages_by_kind: Counter[str] = Counter()
        self.message_triggers: list[MessageTrigger] = []
        self.unblocked = asyncio.Event()

    # ---- machines ----

    def context(self, machine: str) -> contextvars.Context:
        """Returns a context whose tasks and timers belong to a machine; empty: to the network or outside callers."""
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
        """Cancels all tasks of a machine. Without power calls get no response; otherwise connections are refused."""
        self.ended[machine] += 1
        if power:
            self.ports.pop(machine, None)
        else:
            self.ports[machine] = None
        for task in in_creation_order(self.tasks.get(machine, ())):
            task.cancel()

    def dialler(self, own: str) -> Callable[[tuple[str, int]], Any]:
        """Returns the function with which a machine connects to an address."""
        return lambda address: SimulatedPeerClient(self, own, address[0])

    # ---- faults ----

    def release_waiting(self) -> None:
        """Wakes blocked messages, which check again whether they may pass."""
        self.unblocked.set()
        self.unblocked = asyncio.Event()

    def is_blocked(self, sender: str, receiver: str) -> bool:
        """Returns whether a partition or a hold blocks messages from a sender to a receiver."""
        return self.partitions[sender, receiver] > 0 or self.held[sender] > 0 or self.held[receiver] > 0

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
        """Waits for the transmission of a message. A blocked message waits until it may pass.

        Returns:
            Whether it arrives: False if the sender's process ended while the message was blocked.
        """
        wait_s = DELAY_S * (0.7 + 0.6 * self.random_source.random())
        if self.late and self.random_source.random() < self.late:
            wait_s += self.random_source.choice(LATE_S)
        await asyncio.sleep(wait_s)
        ended = self.ended[sender]
        while self.is_blocked(sender, receiver):
            await self.unblocked.wait()
            await asyncio.sleep(self.random_source.uniform(0.0, MAX_RELEASE_DELAY_S))
        return self.ended[sender] == ended

    async def deliver(self, call: PeerCall) -> None:
        """Delivers a call to its receiver whether or not the caller still waits."""
        if not await self.transmit(call.sender, call.receiver):
            return
        while call.receiver not in self.ports:
            await asyncio.sleep(NO_POWER_POLL_S)
            if call.receiver in self.ports:
                return  # the connection does not survive the restart of the machine
        self.fire_message_triggers(call.receiver, call.kind, sent=False)
        handler = self.ports.get(call.receiver)
        if handler is None:
            if not call.response.done():
                call.response.set_exception(PeerUnreachable(f"nothing listens at {call.receiver}"))
            return
        times = 2 if self.doubled and self.random_source.random() < self.doubled else 1
        for _ in range(times):
            self.run_on(call.receiver, self.serve(handler, call))

    async def serve(self, handler: MessageHandler, call: PeerCall) -> None:
        """Lets the receiver handle a call, and sends its response back."""
        response = await handler(unpack(call.frame[FRAME_HEADER_BYTES:])[1])
        if response is not None:
            # The response is a task of the network, not of its sender: its end or freeze does not stop it.
            self.run_on("", self.return_answer(call, pack(CALL_ID, response)))

    async def return_answer(self, call: PeerCall, frame: bytes) -> None:
        """Delivers a response to the caller, if the caller still waits."""
        if await self.transmit(call.receiver, call.sender) and not call.response.done():
            call.response.set_result(frame)


def in_creation_order(tasks: Iterable[asyncio.Future[Any]]) -> list[asyncio.Task[Any]]:
    """Returns tasks in the order of their creation, since the order of a set differs between processes."""
    return sorted((one for one in tasks if isinstance(one, asyncio.Task)), key=lambda one: int(one.get_name()[5:]))


class SimulatedPeerClient:
    """Replaces transport.peer_client.PeerClient in a simulation."""

    def __init__(self, network: SimulatedNetwork, own: str, other: str) -> None:
        """Creates the client of one machine for another one."""
        self.network, self.own, self.other, self.address = network, own, other, (other, PORT)

    async def call(self, message: Message, timeout_s: float) -> Message:
        """Calls the other machine.

        Raises:
            PeerUnreachable: If no response arrives within `timeout_s`, or if nothing listens.
        """
        kind = type(message).__name__
        self.network.messages_by_kind[kind] += 1
        self.network.fire_message_triggers(self.own, kind, sent=True)
        response: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        call = PeerCall(self.own, self.other, kind, pack(CALL_ID, message), response)
        # The call is a task of the network, not of its sender: the end of the sender does not cancel it.
        self.network.run_on("", self.network.deliver(call))
        try:
            async with asyncio.timeout(timeout_s):
                frame = await response
        except TimeoutError as error:
            raise PeerUnreachable(f"no response from {self.other} within {timeout_s} s") from error
        finally:
            if response.done() and not response.cancelled():
                response.exception()  # otherwise asyncio logs that the exception was never retrieved
        return unpack(frame[FRAME_HEADER_BYTES:])[1]
