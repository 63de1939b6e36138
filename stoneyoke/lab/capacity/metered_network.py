"""The simulated network and loop with meters: whose processor time each step was, and what bytes each message had.

Every machine's steps run in a context that names it; what carries messages runs under a name of its own, so that the
simulation's own cost is not the system's."""

import asyncio
import contextvars
import random
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from stoneyoke.lab.simulation.clock import SimulatedLoop
from stoneyoke.lab.simulation.network import Meet, SimulatedNetwork
from stoneyoke.transport.messages import pack, unpack

CARRIER = "carrier"
OWNER: contextvars.ContextVar[str] = contextvars.ContextVar("owner", default=CARRIER)


@dataclass
class ProcessorMeter:
    """Processor seconds by machine. One step runs at a time."""

    spent: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))
    since: float = 0.0

    def begin(self) -> None:
        self.since = time.process_time()

    def end(self, owner: str) -> None:
        now = time.process_time()
        self.spent[owner] += now - self.since
        self.since = now

    def turn_to(self, owner: str) -> None:
        """The rest of this step is another machine's."""
        self.end(OWNER.get())
        OWNER.set(owner)


class MeteredLoop(SimulatedLoop):
    """Charges each callback to the machine in whose context it runs."""

    def __init__(self) -> None:
        super().__init__()
        self.meter = ProcessorMeter()

    def metered(self, callback: Callable[..., Any]) -> Callable[..., Any]:
        meter = self.meter

        def step(*args: Any) -> None:
            meter.begin()
            try:
                callback(*args)
            finally:
                meter.end(OWNER.get())

        return step

    def call_soon(self, callback: Any, *args: Any, context: Any = None) -> Any:  # type: ignore[override]
        return super().call_soon(self.metered(callback), *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> Any:
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

    def __init__(
        self, chance: random.Random, meter: ProcessorMeter, region_of: Callable[[str], int], far_s: float
    ) -> None:
        super().__init__(chance)
        self.meter, self.region_of, self.far_s = meter, region_of, far_s
        self.traffic = Traffic()

    def far(self, own: str, other: str) -> bool:
        return self.region_of(own) != self.region_of(other)

    async def cross(self, own: str, other: str) -> None:
        await super().cross(own, other)
        if self.far(own, other):
            await asyncio.sleep(self.far_s)

    async def deliver(self, own: str, other: str, data: bytes, answer: asyncio.Future[bytes]) -> None:
        self.meter.turn_to(CARRIER)
        self.traffic.carried(own, other, len(data), self.far(own, other))
        await super().deliver(own, other, data, answer)

    async def met(self, meet: Meet, own: str, other: str, data: bytes, answer: asyncio.Future[bytes]) -> None:
        self.meter.turn_to(other)
        said = await meet(unpack(data[4:])[1])
        if said is None:
            return
        back = pack(1, said)
        self.meter.turn_to(CARRIER)
        self.traffic.carried(other, own, len(back), self.far(own, other))
        await self.cross(other, own)
        if not answer.done():
            answer.set_result(back)
