"""A majority of the voters gone for good: what the operator's command does on the disk that is left."""

import tempfile

from absl import flags
from configurations import example
from controller_cluster import run
from test_controller import all_have_quorum, put, voters
from ward import raises, test

from stoneyoke.api.calls import Acknowledged, Document, ReadConfiguration, Unavailable
from stoneyoke.api.configuration import read_configuration
from stoneyoke.consensus.ballot import Ballot
from stoneyoke.consensus.register_value import Proposal, FIRST_DISK, RegisterValue, ReplicaId, VoterSet
from stoneyoke.consensus.record_formats import (
    IDENTITY,
    PROMISE,
    REGISTER,
    identity_record,
    promise_record,
    read_promise,
    read_register,
    register_record,
)
from stoneyoke.consensus.recovery import recovered_register
from stoneyoke.programs import stoneyokectl
from stoneyoke.storage.record_store import RecordStore

A, B, C = (ReplicaId(f"10.0.0.{at}", FIRST_DISK) for at in (1, 2, 3))


@test("the one disk that is left goes on with what it held, and the others join with empty disks")
def _():
    async def play(cluster):
        await all_have_quorum(cluster)
        assert await cluster.controllers["10.0.0.1"].handle_call(put(5)) == Acknowledged()
        for name in cluster.names:
            cluster.stop(name)
        for name in ("10.0.0.2", "10.0.0.3"):
            cluster.disks[name].records.clear()
        left = cluster.disks["10.0.0.1"].records
        alone = await cluster.start("10.0.0.1")
        assert isinstance(await alone.handle_call(ReadConfiguration()), Unavailable)
        cluster.stop("10.0.0.1")
        promised = read_promise(left[PROMISE])
        left[REGISTER] = register_record(recovered_register(read_register(left[REGISTER]), promised, A))
        alone = await cluster.start("10.0.0.1")
        await cluster.until(lambda: alone.replica.chosen is not None)
        assert await alone.handle_call(ReadConfiguration()) == Document(example(5))
        assert await alone.handle_call(put(6)) == Acknowledged()
        for name in ("10.0.0.2", "10.0.0.3"):
            await cluster.start(name)
        await cluster.until(lambda: len(voters(cluster).members) == 3)
        await all_have_quorum(cluster)
        cluster.stop("10.0.0.1")
        assert await cluster.controllers["10.0.0.2"].handle_call(ReadConfiguration()) == Document(example(6))

    run(play)


@test("the command adds one record to the folder, and only when it is confirmed; what it holds is told")
def _():
    version = read_configuration(example(5)).version
    held = Proposal(Ballot(7, "10.0.0.2/ab"), RegisterValue(VoterSet(4, (A, B, C)), (), version, example(5)))
    with tempfile.TemporaryDirectory() as folder:
        store = RecordStore(folder)
        store.save(IDENTITY, identity_record(FIRST_DISK))
        store.save(PROMISE, promise_record(Ballot(9, "10.0.0.3/cd")))
        store.save(REGISTER, register_record(held))
        flags.FLAGS(["stoneyokectl", "--noconfirm"])
        with raises(stoneyokectl.CommandError):
            stoneyokectl.recover(folder, A.address)
        assert read_register(RecordStore(folder).load(REGISTER).record) == held
        flags.FLAGS(["stoneyokectl", "--confirm"])
        stoneyokectl.recover(folder, A.address)
        after = read_register(RecordStore(folder).load(REGISTER).record)
        assert after.value.voters.members == (A,) and after.value.voters.number > 4 and not after.value.previous
        assert after.ballot.counter > 9 and after.value.body == example(5)
        stoneyokectl.records(folder)
    with tempfile.TemporaryDirectory() as folder, raises(stoneyokectl.CommandError):
        stoneyokectl.recover(folder, A.address)
