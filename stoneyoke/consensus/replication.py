"""The replicated register of one process, made of its proposer, reader, learner and replica server."""

import random

from stoneyoke.consensus.ballot import Ballot
from stoneyoke.consensus.learner import Learner
from stoneyoke.consensus.peer_calls import PeerDirectory, Spawn
from stoneyoke.consensus.proposer import Proposer
from stoneyoke.consensus.reader import Reader
from stoneyoke.consensus.register_value import ChangeFunction, Proposal
from stoneyoke.consensus.replica import Replica
from stoneyoke.consensus.replica_server import RegisterRequest, RegisterResponse, ReplicaServer


class Replication:
    """Changes, reads and serves the register.

    `proposal_round`, `majority_read` and `acceptor` contain the protocol's decisions. The parts that this class
    combines send the requests over the network and report the responses to those decisions.
    """

    def __init__(
        self, replica: Replica, peers: PeerDirectory, proposer: str, spawn: Spawn, random_source: random.Random
    ) -> None:
        """Makes the parts.

        Args:
            replica: This process's replica.
            peers: The other controllers.
            proposer: Identifies this process in its ballots: its address and incarnation, which no other process uses.
            spawn: Starts a task.
            random_source: Draws the jitter of the backoff.
        """
        self.replica, self.spawn = replica, spawn
        self.learner = Learner(replica, peers, spawn)
        self.proposer = Proposer(self.learner, proposer, random_source)
        self.reader = Reader(self.learner, self.proposer)
        self.replica_server = ReplicaServer(self.learner)

    async def propose(self, change: ChangeFunction, timeout_s: float) -> Proposal | None:
        """Changes the register; see `Proposer.propose`."""
        return await self.proposer.propose(change, timeout_s)

    async def read(self, timeout_s: float) -> Proposal | None:
        """Reads the register; see `Reader.read`."""
        return await self.reader.read(timeout_s)

    async def catch_up(self, address: str, ballot: Ballot) -> None:
        """Learns a chosen proposal from another controller; see `Learner.catch_up`."""
        await self.learner.catch_up(address, ballot)

    async def handle(self, request: RegisterRequest) -> RegisterResponse:
        """Returns the response to another controller's request."""
        return await self.replica_server.handle(request)
