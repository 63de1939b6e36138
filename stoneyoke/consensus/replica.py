"""One member's copy of the register: what it has promised and accepted, on disk before anybody is told of it, and the
newest value that it knows to be chosen."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from loguru import logger

from stoneyoke.api.configuration import Version, read_configuration
from stoneyoke.api.schema import InvalidField
from stoneyoke.consensus.acceptor import Acceptor
from stoneyoke.consensus.ballot import NO_BALLOT, Ballot
from stoneyoke.consensus.record_formats import (
    IDENTITY,
    LEGACY_CONFIGURATION,
    LEGACY_VOTERS,
    PROMISE,
    REGISTER,
    InvalidRecord,
    Record,
    identity_record,
    legacy_register,
    promise_record,
    read_identity,
    read_promise,
    read_register,
    register_record,
)
from stoneyoke.consensus.register_value import FIRST_DISK, Proposal, ReplicaId, VoterSet, initial_value
from stoneyoke.storage.record_store import StorageError

START_RETRY_S = 0.5  # a disk that refuses at the start is tried again
WAITING_MOST = 64  # writes that wait for a disk that hangs; more are refused at once

Blocking = Callable[..., Awaitable[Any]]  # runs a function that may wait for the disk


class RecordStorage(Protocol):
    """Records on disk, in families: the newest whole one counts."""

    def keep(self, family: str, record: Record) -> None:
        """Raises StorageError."""

    def load(self, family: str) -> tuple[Record | None, list[str]]:
        """The newest whole record, and what was wrong with those after it."""


class Replica:
    """on_chosen: called whenever a newer value is known to be chosen."""

    def __init__(self, address: str, store: RecordStorage, blocking: Blocking, on_chosen: Callable[[], None]) -> None:
        self.address, self.store, self.blocking, self.on_chosen = address, store, blocking, on_chosen
        self.identity = ReplicaId(address, "")
        self.acceptor = Acceptor()
        self.chosen: Proposal | None = None
        self.writing = asyncio.Lock()  # one record is written at a time
        self.waiting = 0  # for the disk

    # ---- start ----

    async def load(self, seeds: tuple[str, ...], first_start: bool, random_source: random.Random) -> None:
        """What the disk holds. A disk without an identity is new: at the first start of the whole system the seeds
        vote with it, later it makes another member, which votes once the others have decided so."""
        identity = await self.load_record(IDENTITY, read_identity)
        accepted = await self.load_record(REGISTER, read_register)
        promised = await self.load_record(PROMISE, read_promise)
        if identity is None:
            accepted, promised = await self.load_old(), None
            fresh = first_start or accepted is not None
            identity = FIRST_DISK if fresh else f"{random_source.getrandbits(64):016x}"
            if first_start and accepted is None:
                accepted = initial_value(seeds)
            # The identity goes last: a start that ends before it is a start on an empty disk again.
            if accepted:
                await self.at_last(self.store.keep, REGISTER, register_record(accepted))
            await self.at_last(self.store.keep, IDENTITY, identity_record(identity))
        self.identity = ReplicaId(self.address, identity)
        self.acceptor = Acceptor(promised or NO_BALLOT, accepted)

    async def at_last(self, work: Callable[..., Any], *args: Any) -> Any:
        """What the disk answers once it does: before that nothing may rest on it."""
        while True:
            try:
                return await self.blocking(work, *args)
            except StorageError as bad:
                logger.error("disk: {}", bad)
                await asyncio.sleep(START_RETRY_S)

    async def load_record(self, family: str, read: Callable[[Record], Any]) -> Any:
        """A family's newest record, tried until the disk can tell. Raises InvalidRecord."""
        record, wrong = await self.at_last(self.store.load, family)
        for what in wrong:
            logger.warning("disk: {}", what)
        return read(record) if record else None

    async def load_old(self) -> Proposal | None:
        """The records of the release before, if these are all that there is."""
        voters, _ = await self.at_last(self.store.load, LEGACY_VOTERS)
        configuration, _ = await self.at_last(self.store.load, LEGACY_CONFIGURATION)
        try:
            held = read_configuration(configuration[b"body"]).version if configuration else Version()
            return legacy_register(voters, configuration, held)
        except (InvalidRecord, InvalidField, KeyError) as bad:
            logger.error("disk: the records of the release before can't be read: {}", bad)
            return None

    # ---- what it knows ----

    def view(self) -> Proposal | None:
        """The newest value known here, chosen or not."""
        known = [one for one in (self.acceptor.accepted, self.chosen) if one]
        return max(known, key=lambda one: one.ballot, default=None)

    def voters(self) -> VoterSet:
        """Who votes, as far as known here: decided if anything is known to be."""
        newest = self.chosen or self.acceptor.accepted
        return newest.value.voters if newest else VoterSet()

    def is_voter(self) -> bool:
        return self.identity in self.voters().members

    def chosen_voters_number(self) -> int:
        """The highest number of a voter set that is known to be chosen."""
        return self.chosen.value.voters.number if self.chosen else 0

    def version(self) -> Version:
        """Of the newest chosen configuration known here."""
        return self.chosen.value.version if self.chosen else Version()

    # ---- what it is asked ----

    async def prepare(self, ballot: Ballot) -> bool:
        """Whether it has promised this ballot, on disk."""
        async with Waiting(self):
            if not self.acceptor.may_promise(ballot):
                return False
            if ballot > self.acceptor.promised:
                await self.blocking(self.store.keep, PROMISE, promise_record(ballot))
                self.acceptor.promise(ballot)
            return True

    async def accept(self, proposal: Proposal) -> bool:
        """Whether it holds this proposal on disk."""
        async with Waiting(self):
            if not self.acceptor.may_accept(proposal.ballot):
                return False
            if self.acceptor.accepted is None or self.acceptor.accepted.ballot != proposal.ballot:
                await self.blocking(self.store.keep, REGISTER, register_record(proposal))
                self.acceptor.accept(proposal)
            return True

    async def learn(self, chosen: Proposal) -> None:
        """A value is chosen: known here from now on, and kept on disk if that can be had."""
        self.record_chosen(chosen)
        await self.store_chosen(chosen)

    def record_chosen(self, chosen: Proposal) -> None:
        """A value is chosen: known here from now on."""
        if self.chosen is None or chosen.ballot > self.chosen.ballot:
            self.chosen = chosen
            self.on_chosen()

    async def store_chosen(self, chosen: Proposal) -> None:
        """On this disk too, if that can be had. Nobody has to wait for it: a majority holds it already."""
        try:
            async with Waiting(self):
                if self.acceptor.is_behind(chosen):
                    await self.blocking(self.store.keep, REGISTER, register_record(chosen))
                    self.acceptor.accept(chosen)
        except StorageError as bad:
            logger.error("disk: {}", bad)

    def learn_chosen_ballot(self, ballot: Ballot) -> bool:
        """The value under this ballot is chosen. Whether that value is known here."""
        if self.chosen and self.chosen.ballot >= ballot:
            return True
        accepted = self.acceptor.accepted
        if accepted is None or accepted.ballot != ballot:
            return False
        self.chosen = accepted
        self.on_chosen()
        return True


class Waiting:
    """The right to write a record. Raises StorageError if too many wait for the disk already."""

    def __init__(self, replica: Replica) -> None:
        self.replica = replica

    async def __aenter__(self) -> None:
        if self.replica.waiting >= WAITING_MOST:
            raise StorageError("the disk does not answer, and too many wait for it")
        self.replica.waiting += 1
        try:
            await self.replica.writing.acquire()
        except BaseException:
            self.replica.waiting -= 1
            raise

    async def __aexit__(self, *_: object) -> None:
        self.replica.waiting -= 1
        self.replica.writing.release()
