"""The simulated network and loop with meters: whose processor time each step was, and what bytes each message had.

The simulation names the machine that each step belongs to; what carries messages belongs to none, so that the
simulation's own cost is not the system's."""

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
    """spent: processor seconds by machine; each callback is charged to the one in whose context it runs."""

    def __init__(self) -> None:
        super().__init__()
        self.spent: defaultdict[str, float] = defaultdict(float)

    def metered(self, callback: Callable[..., Any]) -> Callable[..., Any]:
        spent = self.spent

        def step(*args: Any) -> None:
            begun = time.process_time()
            try:
                callback(*args)
            finally:
                spent[MACHINE.get()] += time.process_time() - begun

        return step

    def _call_soon(self, callback: Any, args: Any, context: Any) -> asyncio.Handle:
        return super()._call_soon(self.metered(callback), args, context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        return super().call_at(when, self.metered(callback), *args, context=context)


@dataclass
class Traffic:
    """Messages and their bytes, by sender and receiver's machine."""

    messages: defaultdict[str, int] = field(default_factory=lambda: defaultdict(int))  # in and out
    sent: defaultdict[str, int] = field(default_factory=lambda: defaultdict(int))
    received: defaultdict[str, int] = field(default_factory=lambda: defaultdict(int))
    between_regions: int = 0

    def carried(self, sender: str, receiver: str, size: int, far: bool) -> None:
        self.messages[sender] += 1
        self.messages[receiver] += 1
        self.sent[sender] += size
        self.received[receiver] += size
        self.between_regions += size if far else 0


class MeteredNetwork(SimulatedNetwork):
    """region_of: machines' regions; far_s: one way between two of them."""

    def __init__(self, random_source: random.Random, region_of: Callable[[str], int], far_s: float) -> None:
        super().__init__(random_source)
        self.region_of, self.far_s = region_of, far_s
        self.traffic = Traffic()

    def far(self, own: str, other: str) -> bool:
        return self.region_of(own) != self.region_of(other)

    async def transmit(self, own: str, other: str) -> bool:
        arrives = await super().transmit(own, other)
        if self.far(own, other):
            await asyncio.sleep(self.far_s)
        return arrives

    async def deliver(self, call: PeerCall) -> None:
        """Counts a call's bytes and carries it."""
        self.traffic.carried(call.sender, call.receiver, len(call.frame), self.far(call.sender, call.receiver))
        await super().deliver(call)

    async def return_answer(self, call: PeerCall, frame: bytes) -> None:
        """Counts an answer's bytes and carries it."""
        self.traffic.carried(call.receiver, call.sender, len(frame), self.far(call.sender, call.receiver))
        await super().return_answer(call, frame)
