"""The learner: records chosen proposals, fetches them from other controllers and announces them."""

import zlib

from loguru import logger

from stoneyoke.consensus.ballot import Ballot
from stoneyoke.consensus.message_rows import ballot_row, value_from_row
from stoneyoke.consensus.peer_calls import CALL_TIMEOUT_S, PeerDirectory, Spawn, call_peer
from stoneyoke.consensus.register_value import Proposal
from stoneyoke.consensus.replica import Replica
from stoneyoke.transport.messages import ChosenNotice, ValueRequest, ValueResponse

FETCH_TIMEOUT_S = CALL_TIMEOUT_S + 1.0


class Learner:
    """Learns chosen proposals and distributes them."""

    def __init__(self, replica: Replica, peers: PeerDirectory, spawn: Spawn) -> None:
        """Makes the learner of one process.

        Args:
            replica: This process's replica.
            peers: The other controllers.
            spawn: Starts a task.
        """
        self.replica, self.peers, self.spawn = replica, peers, spawn

    def learn(self, chosen: Proposal) -> None:
        """Records a proposal as chosen in memory at once; a task writes it to the disk, which may be slow or hang."""
        self.replica.record_chosen(chosen)
        self.spawn(self.replica.store_chosen(chosen))

    def announce(self, ballot: Ballot) -> None:
        """Notifies all other controllers that the proposal with this ballot is chosen.

        A controller that doesn't receive the notice learns the ballot with its next pull.
        """
        notice = ChosenNotice(address=self.peers.own_address, ballot=ballot_row(ballot))
        for address in list(self.peers):
            self.spawn(call_peer(self.peers, address, notice, CALL_TIMEOUT_S))

    async def catch_up(self, address: str, ballot: Ballot) -> None:
        """Learns the proposal with a ballot that the controller at this address knows to be chosen.

        A single fetch is enough, however many proposals were chosen since the last one known here.
        """
        if self.replica.learn_chosen_ballot(ballot):
            return
        if chosen := await self.fetch(address, ballot):
            self.learn(chosen)

    async def fetch(self, address: str, ballot: Ballot) -> Proposal | None:
        """Returns the proposal with this ballot, or a newer chosen one, with its body; None if the fetch fails."""
        request = ValueRequest(ballot=ballot_row(ballot))
        response = await call_peer(self.peers, address, request, FETCH_TIMEOUT_S)
        if not isinstance(response, ValueResponse) or not response.found:
            return None
        found = Ballot(*response.ballot)
        is_newer_chosen = response.chosen and found > ballot
        if found != ballot and not is_newer_chosen:
            return None
        compressed = response.value.body
        try:
            body = zlib.decompress(compressed) if compressed else b""
        except zlib.error as error:
            logger.error(
                "the configuration from controller {} can't be decompressed and is ignored: {}", address, error
            )
            return None
        return Proposal(found, value_from_row(response.value._replace(body=body)))
