"""The learner's part: records chosen values, fetches them from other controllers and announces them."""

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
    """Learns chosen proposals and spreads them."""

    def __init__(self, replica: Replica, peers: PeerDirectory, spawn: Spawn) -> None:
        """Takes this process's replica, the other controllers, and how to start tasks."""
        self.replica, self.peers, self.spawn = replica, peers, spawn

    def learn(self, chosen: Proposal) -> None:
        """Takes a proposal for chosen at once; this disk may be slow or hang, and nobody waits for it."""
        self.replica.record_chosen(chosen)
        self.spawn(self.replica.store_chosen(chosen))

    def announce(self, ballot: Ballot) -> None:
        """Tells all other controllers that the proposal under this ballot is chosen.

        A controller that misses the notice learns of it with its next pull.
        """
        notice = ChosenNotice(address=self.peers.own_address, ballot=ballot_row(ballot))
        for address in list(self.peers):
            self.spawn(call_peer(self.peers, address, notice, CALL_TIMEOUT_S))

    async def catch_up(self, address: str, ballot: Ballot) -> None:
        """Learns the proposal under a ballot that the controller at this address knows to be chosen.

        One fetch is enough, however many proposals were chosen since the last one known here.
        """
        if self.replica.learn_chosen_ballot(ballot):
            return
        if chosen := await self.fetch(address, ballot):
            self.learn(chosen)

    async def fetch(self, address: str, ballot: Ballot) -> Proposal | None:
        """The proposal under this ballot, or a newer one that is chosen, with its body; None if it can't be had."""
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
            logger.error("a value from {} can't be decompressed and is ignored: {}", address, error)
            return None
        return Proposal(found, value_from_row(response.value._replace(body=body)))
