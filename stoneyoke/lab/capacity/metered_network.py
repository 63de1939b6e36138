"""A simulated network and event loop that measure the processor time of each machine and the bytes of its messages.

The simulation records the machine to which each step belongs. Steps that transport messages belong to no machine, so
that the cost of the simulation is not counted as a cost of the system.
"""

import asyncio
import random
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from stoneyoke.lab.simulation.clock import MACHINE, SimulatedLoop
from stoneyoke.lab.simulation.network import PeerCall, SimulatedNetwork


class MeteredLoop(SimulatedLoop):
    """A simulated event loop that measures processor time.

    Attributes:
        cpu_s: Processor seconds by machine; a step is charged to the machine in whose context it runs.
    """

    def __init__(self) -> None:
        """Creates a loop without charged time."""
        super().__init__()
        self.cpu_s: defaultdict[str, float] = defaultdict(float)

    def with_meter(self, callback: Callable[..., Any]) -> Callable[..., Any]:
        """Returns a callback whose processor time is charged to the machine in whose context it runs."""
        cpu_s = self.cpu_s

        def step(*args: Any) -> None:
            started_at = time.process_time()
            try:
                callback(*args)
            finally:
                cpu_s[MACHINE.get()] += time.process_time() - started_at

        return step

    def _call_soon(self, callback: Any, args: Any, context: Any) -> asyncio.Handle:
        return super()._call_soon(self.with_meter(callback), args, context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        """Schedules a callback whose processor time is charged."""
        return super().call_at(when, self.with_meter(callback), *args, context=context)


@dataclass
class Traffic:
    """The number of messages and their bytes.

    Attributes:
        messages: Messages sent and received, by machine.
        sent: Bytes sent, by machine.
        received: Bytes received, by machine.
        between_regions: Bytes sent from one region to another.
    """

    messages: defaultdict[str, int] = field(default_factory=lambda: defaultdict(int))
    sent: defaultdict[str, int] = field(default_factory=lambda: defaultdict(int))
    received: defaultdict[str, int] = field(default_factory=lambda: defaultdict(int))
    between_regions: int = 0

    def bytes_of(self, machine: str) -> int:
        """Returns the bytes that a machine sent and received."""
        return self.sent[machine] + self.received[machine]

    def add(self, sender: str, receiver: str, size: int, crosses_regions: bool) -> None:
        """Counts a message of this number of bytes."""
        self.messages[sender] += 1
        self.messages[receiver] += 1
        self.sent[sender] += size
        self.received[receiver] += size
        self.between_regions += size if crosses_regions else 0


class MeteredNetwork(SimulatedNetwork):
    """A simulated network that counts messages and bytes, with an additional delay between regions."""

    def __init__(self, random_source: random.Random, region_of: Callable[[str], int], between_regions_s: float) -> None:
        """Creates a network without machines.

        Args:
            random_source: The source of the random delays.
            region_of: Returns the region of a machine.
            between_regions_s: The additional one-way delay between two regions, in seconds.
        """
        super().__init__(random_source)
        self.region_of, self.between_regions_s = region_of, between_regions_s
        self.traffic = Traffic()

    def crosses_regions(self, own: str, other: str) -> bool:
        """Returns whether two machines are in different regions."""
        return self.region_of(own) != self.region_of(other)

    async def transmit(self, sender: str, receiver: str) -> bool:
        """Waits for the delay of a message; returns whether it arrives."""
        arrives = await super().transmit(sender, receiver)
        if self.crosses_regions(sender, receiver):
            await asyncio.sleep(self.between_regions_s)
        return arrives

    async def deliver(self, call: PeerCall) -> None:
        """Counts the bytes of a call and delivers it."""
        self.traffic.add(call.sender, call.receiver, len(call.frame), self.crosses_regions(call.sender, call.receiver))
        await super().deliver(call)

    async def return_answer(self, call: PeerCall, frame: bytes) -> None:
        """Counts the bytes of a response and delivers it."""
        self.traffic.add(call.receiver, call.sender, len(frame), self.crosses_regions(call.sender, call.receiver))
        await super().return_answer(call, frame)
