"""One replica of the register: its promise, its accepted proposal and the newest proposal it knows to be chosen."""

import random
from collections.abc import Awaitable, Callable

from loguru import logger

from stoneyoke.api.configuration import Version
from stoneyoke.consensus.acceptor import Acceptor
from stoneyoke.consensus.ballot import Ballot
from stoneyoke.consensus.record_formats import PROMISE, REGISTER, promise_record, register_record
from stoneyoke.consensus.register_value import Proposal, ReplicaId, VoterSet
from stoneyoke.consensus.replica_disk import RecordStorage, ReplicaDisk, RunBlocking
from stoneyoke.consensus.replica_start import load_state
from stoneyoke.storage.errors import StorageError


class Replica:
    """An acceptor and learner with its disk.

    A promise or an accepted proposal is on disk before the method returns, and so before any response mentions it.

    Attributes:
        identity: Address and name of the disk; the name is empty before `load`.
        acceptor: Promised ballot and accepted proposal.
        chosen: The newest proposal that is known to be chosen; None: none yet.
    """

    def __init__(
        self, address: str, store: RecordStorage, run_blocking: RunBlocking, on_chosen: Callable[[], None]
    ) -> None:
        """Makes a replica without state; `load` reads it from the disk.

        Args:
            address: IP address of this machine.
            store: Records on its disk.
            run_blocking: Runs the methods of the store.
            on_chosen: Called whenever this replica learns that a newer proposal is chosen.
        """
        self.address, self.on_chosen = address, on_chosen
        self.disk = ReplicaDisk(store, run_blocking)
        self.identity = ReplicaId(address, "")
        self.acceptor = Acceptor()
        self.chosen: Proposal | None = None

    async def load(self, seeds: tuple[str, ...], first_start: bool, random_source: random.Random) -> None:
        """Loads the state from the disk. Arguments and errors are those of `load_state`."""
        state = await load_state(self.disk, seeds, first_start, random_source)
        self.identity = ReplicaId(self.address, state.disk)
        self.acceptor = state.acceptor

    # ---- known values ----

    def view(self) -> Proposal | None:
        """Returns the newest proposal known here, chosen or not; None if there is none."""
        known = [proposal for proposal in (self.acceptor.accepted, self.chosen) if proposal]
        return max(known, key=lambda proposal: proposal.ballot, default=None)

    def voters(self) -> VoterSet:
        """Returns the voters of the newest chosen proposal known here; without one, those of the accepted proposal."""
        newest = self.chosen or self.acceptor.accepted
        return newest.value.voters if newest else VoterSet()

    def is_voter(self) -> bool:
        """Returns whether this replica is one of the voters known here."""
        return self.identity in self.voters().members

    def chosen_voters_number(self) -> int:
        """Returns the highest number of a voter set that is known to be chosen; 0: none."""
        return self.chosen.value.voters.number if self.chosen else 0

    def version(self) -> Version:
        """Returns the version of the newest chosen configuration known here; the zero version if there is none."""
        return self.chosen.value.version if self.chosen else Version()

    # ---- acceptor ----

    async def prepare(self, ballot: Ballot) -> bool:
        """Promises a ballot.

        Returns:
            True once the promise is on disk; False if a higher ballot is promised.

        Raises:
            StorageError: The disk failed, or too many writes wait for it.
        """
        async with self.disk.exclusive_write():
            if not self.acceptor.may_promise(ballot):
                return False
            if ballot > self.acceptor.promised:
                await self.disk.write(PROMISE, promise_record(ballot))
                self.acceptor.promise(ballot)
            return True

    async def accept(self, proposal: Proposal) -> bool:
        """Accepts a proposal.

        Returns:
            True once the proposal is on disk; False if a higher ballot is promised.

        Raises:
            StorageError: The disk failed, or too many writes wait for it.
        """
        async with self.disk.exclusive_write():
            if not self.acceptor.may_accept(proposal.ballot):
                return False
            if self.acceptor.accepted is None or self.acceptor.accepted.ballot != proposal.ballot:
                await self.disk.write(REGISTER, register_record(proposal))
                self.acceptor.accept(proposal)
            return True

    async def prepare_or_refuse(self, ballot: Ballot) -> bool:
        """Does the same as `prepare`, but returns False if the disk fails."""
        return await refuse_on_disk_error(self.prepare(ballot))

    async def accept_or_refuse(self, proposal: Proposal) -> bool:
        """Does the same as `accept`, but returns False if the disk fails."""
        return await refuse_on_disk_error(self.accept(proposal))

    # ---- learner ----

    async def learn(self, chosen: Proposal) -> None:
        """Records a proposal as chosen, and tries to write it to disk."""
        self.record_chosen(chosen)
        await self.store_chosen(chosen)

    def record_chosen(self, chosen: Proposal) -> None:
        """Records a proposal as chosen in memory, unless a newer one is known to be chosen."""
        if self.chosen is None or chosen.ballot > self.chosen.ballot:
            self.chosen = chosen
            self.on_chosen()

    async def store_chosen(self, chosen: Proposal) -> None:
        """Writes a chosen proposal to disk. A failure is only logged, since a majority has the proposal on disk."""
        try:
            async with self.disk.exclusive_write():
                if self.acceptor.is_behind(chosen):
                    await self.disk.write(REGISTER, register_record(chosen))
                    self.acceptor.accept(chosen)
        except StorageError as error:
            logger.error("disk: {}. A chosen value is not stored on this disk; a majority of the voters has it", error)

    def learn_chosen_ballot(self, ballot: Ballot) -> bool:
        """Records the proposal with this ballot as chosen, if it is the accepted one.

        Returns:
            Whether that proposal, or a newer one, is now known here to be chosen.
        """
        if self.chosen and self.chosen.ballot >= ballot:
            return True
        accepted = self.acceptor.accepted
        if accepted is None or accepted.ballot != ballot:
            return False
        self.chosen = accepted
        self.on_chosen()
        return True


async def refuse_on_disk_error(step: Awaitable[bool]) -> bool:
    """Returns the result of a step that writes to disk, False if the disk fails."""
    try:
        return await step
    except StorageError as error:
        logger.error("disk: {}. This replica refuses the proposer's request and doesn't count for its majority", error)
        return False
