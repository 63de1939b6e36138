"""The reader of the register: how a read gets the body of the chosen proposal."""

from types import SimpleNamespace

from ward import test

from stoneyoke.consensus.ballot import Ballot
from stoneyoke.consensus.majority_read import MajorityRead
from stoneyoke.consensus.reader import Reader
from stoneyoke.consensus.register_value import ReplicaId, initial_value

BALLOT = Ballot(1, "proposer")
OWN, LOST, HOLDER, LATE = (ReplicaId(address, "disk") for address in ("own", "lost", "holder", "late"))


@test("a read fetches the body from the next voter that has it, also if a response arrives during the first fetch")
async def _():
    initial = initial_value([voter.address for voter in (OWN, LOST, HOLDER, LATE)])
    chosen = initial._replace(ballot=BALLOT)
    read = MajorityRead(initial, 1)
    read.on_response(LOST, chosen)
    read.on_response(HOLDER, chosen)
    asked = []

    async def fetch(address, ballot):
        asked.append((address, ballot))
        if address == LOST.address:
            read.on_response(LATE, chosen)
            return None
        return chosen

    replica = SimpleNamespace(acceptor=SimpleNamespace(accepted=initial), chosen=initial, identity=OWN)
    learner = SimpleNamespace(replica=replica, peers=None, spawn=None, fetch=fetch)
    assert await Reader(learner, None).with_body(chosen, read) == chosen
    assert asked == [(LOST.address, BALLOT), (HOLDER.address, BALLOT)]
