"""The operator's calls: a configuration is put in force by a decision of the voters, and read back from them."""

import asyncio
import functools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from loguru import logger

from stoneyoke.api.calls import Acknowledged, Answer, Document, Rejected, Unavailable
from stoneyoke.api.configuration import Configuration
from stoneyoke.consensus.protocol import Accepted, RegisterValue
from stoneyoke.consensus.replication import LARGE_S, Replication

ANSWER_S = 0.85  # a caller moves on after a second of silence (PROTOCOL, The operator)
FINISH_S = 3.0  # a round goes on after its operator was told that the answer is unclear
CONFLICT = 409  # ends the call of the operator at once


@dataclass(slots=True)
class Order:
    """One call of an operator. given_up_at: by the loop's time."""

    configuration: Configuration
    answer: asyncio.Future[Answer]
    given_up_at: float


def applied(orders: tuple[Configuration, ...], found: RegisterValue) -> RegisterValue:
    """The register after these orders: the highest number wins, and one number means one content for ever."""
    newer = [one for one in orders if one.version.number > found.version.number]
    if not newer:
        return found
    highest = max(one.version.number for one in newer)
    first = next(one for one in newer if one.version.number == highest)
    return replace(found, version=first.version, body=first.body)


def verdict(order: Configuration, chosen: RegisterValue) -> Answer | None:
    """What its operator is told, by a value that is chosen; None: it is not decided yet."""
    if chosen.version.number > order.version.number or chosen.version == order.version:
        return Acknowledged()
    if chosen.version.number == order.version.number:
        return Rejected(CONFLICT, "generation", f"another configuration is in force as {order.version}")
    return None


class ConfigurationService:
    """in_touch: whether more than half of the voters are heard."""

    def __init__(self, replication: Replication, in_touch: Callable[[], bool]) -> None:
        self.replication, self.in_touch = replication, in_touch
        self.orders: deque[Order] = deque()
        self.working: asyncio.Task[None] | None = None

    async def replace(self, configuration: Configuration) -> Answer:
        """Acknowledged once it, or what is above it, is chosen."""
        if not self.in_touch():
            return Unavailable("cut off from most controllers: ask another one")
        loop = asyncio.get_running_loop()
        limit = ANSWER_S + LARGE_S * len(configuration.body)
        order = Order(configuration, loop.create_future(), loop.time() + limit)
        self.orders.append(order)
        if self.working is None or self.working.done():
            self.working = self.replication.spawn(self.work())
        try:
            async with asyncio.timeout_at(order.given_up_at):
                return await asyncio.shield(order.answer)
        except TimeoutError:
            logger.warning("{} has no majority yet", configuration.version)
            return Unavailable("no majority holds it yet: ask again, unchanged")

    async def work(self) -> None:
        """Decides what is ordered, all that waits in one round."""
        loop = asyncio.get_running_loop()
        while self.orders:
            batch = list(self.orders)
            configurations = tuple(order.configuration for order in batch)
            chosen = await self.already_chosen(configurations)
            if chosen is None:
                change = functools.partial(applied, configurations)
                limit = FINISH_S + LARGE_S * max(len(one.body) for one in configurations)
                chosen = await self.replication.propose(change, limit)
            for order in batch:
                answer = verdict(order.configuration, chosen.value) if chosen else None
                if answer or loop.time() > order.given_up_at:
                    self.orders.remove(order)
                if answer and not order.answer.done():
                    order.answer.set_result(answer)

    async def already_chosen(self, configurations: tuple[Configuration, ...]) -> Accepted | None:
        """The chosen value if it settles all these orders (sent again, or late): then nothing is written."""
        known = self.replication.replica.version().number
        if any(one.version.number > known for one in configurations):
            return None
        return await self.replication.read(ANSWER_S)

    async def read(self) -> Answer:
        """The newest configuration, no older than any that was acknowledged or read before."""
        if not self.in_touch():
            return Unavailable("cut off from most controllers: ask another one")
        chosen = await self.replication.read(ANSWER_S)
        if chosen is None:
            return Unavailable("too few controllers answer: ask another one")
        if not chosen.value.body:
            return Rejected(404, "generation", "no configuration has been put yet")
        return Document(chosen.value.body)
