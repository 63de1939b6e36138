"""The operators' calls: a configuration is put in force by a decision of the voters, and read back from them."""

import asyncio
import functools
from collections import deque
from dataclasses import dataclass, replace
from http import HTTPStatus

from loguru import logger

from stoneyoke.api.calls import Acknowledged, ApiResult, Document, Rejected, Unavailable
from stoneyoke.api.configuration import Configuration
from stoneyoke.consensus.peer_calls import TRANSFER_S_PER_BYTE
from stoneyoke.consensus.register_value import Proposal, RegisterValue
from stoneyoke.consensus.replication import Replication
from stoneyoke.controlplane.cluster_view import ClusterView

RESPONSE_TIMEOUT_S = 0.85  # a caller tries another controller after a second without an answer (PROTOCOL, The operator)
PROPOSAL_TIMEOUT_S = 3.0  # a proposal goes on after its operator was told that the outcome is unknown
NO_QUORUM = Unavailable("cut off from most controllers: ask another one")


@dataclass(slots=True)
class PendingReplacement:
    """An operator's call that waits for its outcome. deadline: by the event loop's time."""

    configuration: Configuration
    outcome: asyncio.Future[ApiResult]
    deadline: float


def apply_replacements(configurations: tuple[Configuration, ...], found: RegisterValue) -> RegisterValue:
    """The register's value after these replacements.

    The highest number wins. A number keeps its first content for ever.
    """
    newer = [one for one in configurations if one.version.number > found.version.number]
    if not newer:
        return found
    highest_number = max(one.version.number for one in newer)
    first = next(one for one in newer if one.version.number == highest_number)
    return replace(found, version=first.version, body=first.body)


def outcome_of(configuration: Configuration, chosen: RegisterValue) -> ApiResult | None:
    """The answer to the operator of a replacement, given a chosen value; None if that does not decide it."""
    if chosen.version.number > configuration.version.number or chosen.version == configuration.version:
        return Acknowledged()
    if chosen.version.number == configuration.version.number:
        reason = f"another configuration is in force as {configuration.version}"
        return Rejected(HTTPStatus.CONFLICT, "generation", reason)
    return None


class ConfigurationService:
    """Replaces and reads the configuration; replacements that wait are decided together, in one proposal."""

    def __init__(self, replication: Replication, cluster: ClusterView) -> None:
        """Starts with nothing pending.

        Args:
            replication: proposes and reads values of the register.
            cluster: tells whether a majority of the voters is reachable.
        """
        self.replication, self.cluster = replication, cluster
        self.pending: deque[PendingReplacement] = deque()
        self.worker: asyncio.Task[None] | None = None

    async def replace(self, configuration: Configuration) -> ApiResult:
        """Acknowledges a configuration once it, or one with a higher number, is chosen."""
        if not self.cluster.has_quorum():
            return NO_QUORUM
        loop = asyncio.get_running_loop()
        timeout_s = RESPONSE_TIMEOUT_S + TRANSFER_S_PER_BYTE * len(configuration.body)
        replacement = PendingReplacement(configuration, loop.create_future(), loop.time() + timeout_s)
        self.pending.append(replacement)
        if self.worker is None or self.worker.done():
            self.worker = self.replication.spawn(self.run_worker())
        try:
            async with asyncio.timeout_at(replacement.deadline):
                return await asyncio.shield(replacement.outcome)
        except TimeoutError:
            logger.warning(
                "configuration {} was not chosen in time: its operator is told to send it again", configuration.version
            )
            return Unavailable("no majority holds it yet: ask again, unchanged")

    async def run_worker(self) -> None:
        """Decides the pending replacements, all that wait in one proposal, until none is left."""
        while self.pending:
            batch = list(self.pending)
            configurations = tuple(replacement.configuration for replacement in batch)
            chosen = await self.already_chosen(configurations) or await self.propose(configurations)
            self.finish(batch, chosen)

    async def propose(self, configurations: tuple[Configuration, ...]) -> Proposal | None:
        """Proposes the replacements; None if no outcome is known in time."""
        change = functools.partial(apply_replacements, configurations)
        timeout_s = PROPOSAL_TIMEOUT_S + TRANSFER_S_PER_BYTE * max(len(one.body) for one in configurations)
        return await self.replication.propose(change, timeout_s)

    def finish(self, batch: list[PendingReplacement], chosen: Proposal | None) -> None:
        """Answers the replacements that are decided, and drops those past their deadline."""
        now = asyncio.get_running_loop().time()
        for replacement in batch:
            outcome = outcome_of(replacement.configuration, chosen.value) if chosen else None
            if outcome or now > replacement.deadline:
                self.pending.remove(replacement)
            if outcome and not replacement.outcome.done():
                replacement.outcome.set_result(outcome)

    async def already_chosen(self, configurations: tuple[Configuration, ...]) -> Proposal | None:
        """The chosen value, if it decides all these replacements (sent again, or late); nothing is written then."""
        known_number = self.replication.replica.version().number
        if any(one.version.number > known_number for one in configurations):
            return None
        return await self.replication.read(RESPONSE_TIMEOUT_S)

    async def read(self) -> ApiResult:
        """The newest configuration, no older than any that was acknowledged or read before this call."""
        if not self.cluster.has_quorum():
            return NO_QUORUM
        chosen = await self.replication.read(RESPONSE_TIMEOUT_S)
        if chosen is None:
            return Unavailable("too few controllers answer: ask another one")
        if not chosen.value.body:
            return Rejected(HTTPStatus.NOT_FOUND, "generation", "no configuration has been put yet")
        return Document(chosen.value.body)
