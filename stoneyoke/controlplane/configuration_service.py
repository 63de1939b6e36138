"""The operator's calls: a configuration is put in force by a decision of the voters, and read back from them."""

import asyncio
import functools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from loguru import logger

from stoneyoke.api.calls import Acknowledged, Answer, Document, Rejected, Unavailable
from stoneyoke.api.configuration import Configuration
from stoneyoke.consensus.register_value import Proposal, RegisterValue
from stoneyoke.consensus.replication import TRANSFER_S_PER_BYTE, Replication

ANSWER_TIMEOUT_S = 0.85  # a caller moves on after a second of silence (PROTOCOL, The operator)
PROPOSAL_TIMEOUT_S = 3.0  # a round goes on after its operator was told that the answer is unclear
CONFLICT_STATUS = 409  # ends the call of the operator at once


@dataclass(slots=True)
class PendingReplacement:
    """One call of an operator. deadline: by the loop's time."""

    configuration: Configuration
    answer: asyncio.Future[Answer]
    deadline: float


def apply_replacements(pending: tuple[Configuration, ...], found: RegisterValue) -> RegisterValue:
    """The register after these pending: the highest number wins, and one number means one content for ever."""
    newer = [one for one in pending if one.version.number > found.version.number]
    if not newer:
        return found
    highest = max(one.version.number for one in newer)
    first = next(one for one in newer if one.version.number == highest)
    return replace(found, version=first.version, body=first.body)


def outcome_of(replacement: Configuration, chosen: RegisterValue) -> Answer | None:
    """What its operator is told, by a value that is chosen; None: it is not decided yet."""
    if chosen.version.number > replacement.version.number or chosen.version == replacement.version:
        return Acknowledged()
    if chosen.version.number == replacement.version.number:
        return Rejected(CONFLICT_STATUS, "generation", f"another configuration is in force as {replacement.version}")
    return None


class ConfigurationService:
    """has_quorum: whether more than half of the voters are heard."""

    def __init__(self, replication: Replication, has_quorum: Callable[[], bool]) -> None:
        self.replication, self.has_quorum = replication, has_quorum
        self.pending: deque[PendingReplacement] = deque()
        self.worker: asyncio.Task[None] | None = None

    async def replace(self, configuration: Configuration) -> Answer:
        """Acknowledged once it, or what is above it, is chosen."""
        if not self.has_quorum():
            return Unavailable("cut off from most controllers: ask another one")
        loop = asyncio.get_running_loop()
        limit = ANSWER_TIMEOUT_S + TRANSFER_S_PER_BYTE * len(configuration.body)
        replacement = PendingReplacement(configuration, loop.create_future(), loop.time() + limit)
        self.pending.append(replacement)
        if self.worker is None or self.worker.done():
            self.worker = self.replication.spawn(self.run_worker())
        try:
            async with asyncio.timeout_at(replacement.deadline):
                return await asyncio.shield(replacement.answer)
        except TimeoutError:
            logger.warning("{} has no majority yet", configuration.version)
            return Unavailable("no majority holds it yet: ask again, unchanged")

    async def run_worker(self) -> None:
        """Decides what is ordered, all that waits in one round."""
        loop = asyncio.get_running_loop()
        while self.pending:
            batch = list(self.pending)
            configurations = tuple(replacement.configuration for replacement in batch)
            chosen = await self.already_chosen(configurations)
            if chosen is None:
                change = functools.partial(apply_replacements, configurations)
                limit = PROPOSAL_TIMEOUT_S + TRANSFER_S_PER_BYTE * max(len(one.body) for one in configurations)
                chosen = await self.replication.propose(change, limit)
            for replacement in batch:
                answer = outcome_of(replacement.configuration, chosen.value) if chosen else None
                if answer or loop.time() > replacement.deadline:
                    self.pending.remove(replacement)
                if answer and not replacement.answer.done():
                    replacement.answer.set_result(answer)

    async def already_chosen(self, configurations: tuple[Configuration, ...]) -> Proposal | None:
        """The chosen value if it settles all these pending (sent again, or late): then nothing is written."""
        known = self.replication.replica.version().number
        if any(one.version.number > known for one in configurations):
            return None
        return await self.replication.read(ANSWER_TIMEOUT_S)

    async def read(self) -> Answer:
        """The newest configuration, no older than any that was acknowledged or read before."""
        if not self.has_quorum():
            return Unavailable("cut off from most controllers: ask another one")
        chosen = await self.replication.read(ANSWER_TIMEOUT_S)
        if chosen is None:
            return Unavailable("too few controllers answer: ask another one")
        if not chosen.value.body:
            return Rejected(404, "generation", "no configuration has been put yet")
        return Document(chosen.value.body)
