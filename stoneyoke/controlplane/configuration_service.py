"""The operators' calls: a configuration is replaced by a proposal to the voters, and read back from them."""

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

# A caller tries another controller after one second without a response (PROTOCOL, The operator).
RESPONSE_TIMEOUT_S = 0.85
PROPOSAL_TIMEOUT_S = 3.0  # a proposal continues after its operator got the response that the outcome is unknown
NO_QUORUM = Unavailable("cut off from most controllers: ask another one")


@dataclass(slots=True)
class PendingReplacement:
    """An operator's pending call to replace the configuration. deadline: by the event loop's clock."""

    configuration: Configuration
    outcome: asyncio.Future[ApiResult]
    deadline: float


def apply_replacements(configurations: tuple[Configuration, ...], found: RegisterValue) -> RegisterValue:
    """Returns the register's value after these replacements.

    The highest number wins. A number never gets another content than its first one.
    """
    newer = [one for one in configurations if one.version.number > found.version.number]
    if not newer:
        return found
    highest_number = max(one.version.number for one in newer)
    first = next(one for one in newer if one.version.number == highest_number)
    return replace(found, version=first.version, body=first.body)


def outcome_of(configuration: Configuration, chosen: RegisterValue) -> ApiResult | None:
    """Returns the result of a replacement, given a chosen value; None if that value does not decide it."""
    if chosen.version.number > configuration.version.number or chosen.version == configuration.version:
        return Acknowledged()
    if chosen.version.number == configuration.version.number:
        reason = f"another configuration is in force as {configuration.version}"
        return Rejected(HTTPStatus.CONFLICT, "generation", reason)
    return None


class ConfigurationService:
    """Replaces and reads the configuration. All pending replacements are decided together, by one proposal."""

    def __init__(self, replication: Replication, cluster: ClusterView) -> None:
        """Starts with nothing pending.

        Args:
            replication: proposes and reads values of the register.
            cluster: knows whether a majority of the voters is reachable.
        """
        self.replication, self.cluster = replication, cluster
        self.pending: deque[PendingReplacement] = deque()
        self.worker: asyncio.Task[None] | None = None

    async def replace(self, configuration: Configuration) -> ApiResult:
        """Replaces the configuration; acknowledges once it, or one with a higher number, is chosen."""
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
                "configuration {} was not chosen in time: the operator gets a 503 and may send it again",
                configuration.version,
            )
            return Unavailable("no majority holds it yet: ask again, unchanged")

    async def run_worker(self) -> None:
        """Decides the pending replacements, all of them in one proposal, until none is left."""
        while self.pending:
            batch = list(self.pending)
            configurations = tuple(replacement.configuration for replacement in batch)
            chosen = await self.already_chosen(configurations) or await self.propose(configurations)
            self.finish(batch, chosen)

    async def propose(self, configurations: tuple[Configuration, ...]) -> Proposal | None:
        """Proposes the replacements; returns the chosen proposal, None if none is known in time."""
        change = functools.partial(apply_replacements, configurations)
        timeout_s = PROPOSAL_TIMEOUT_S + TRANSFER_S_PER_BYTE * max(len(one.body) for one in configurations)
        return await self.replication.propose(change, timeout_s)

    def finish(self, batch: list[PendingReplacement], chosen: Proposal | None) -> None:
        """Sets the outcomes of the replacements that are decided, and removes those past their deadline."""
        now = asyncio.get_running_loop().time()
        for replacement in batch:
            outcome = outcome_of(replacement.configuration, chosen.value) if chosen else None
            if outcome or now > replacement.deadline:
                self.pending.remove(replacement)
            if outcome and not replacement.outcome.done():
                replacement.outcome.set_result(outcome)

    async def already_chosen(self, configurations: tuple[Configuration, ...]) -> Proposal | None:
        """Returns the chosen proposal if it decides all these replacements, without a write; else None.

        This is the case for replacements that are sent again, or are older than the chosen configuration.
        """
        known_number = self.replication.replica.version().number
        if any(one.version.number > known_number for one in configurations):
            return None
        return await self.replication.read(RESPONSE_TIMEOUT_S)

    async def read(self) -> ApiResult:
        """Returns the newest configuration, no older than any that was acknowledged or read before this call."""
        if not self.cluster.has_quorum():
            return NO_QUORUM
        chosen = await self.replication.read(RESPONSE_TIMEOUT_S)
        if chosen is None:
            return Unavailable("too few controllers answer: ask another one")
        if not chosen.value.body:
            return Rejected(HTTPStatus.NOT_FOUND, "generation", "no configuration has been put yet")
        return Document(chosen.value.body)
