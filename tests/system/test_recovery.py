"""Recovery after a majority of the voters is lost for good: the operator's command on the remaining disk."""

import tempfile

from absl import flags
from configurations import example
from controller_cluster import run
from controller_steps import all_have_quorum, put, voters
from ward import fixture, raises, test

from stoneyoke.api.calls import Acknowledged, Document, ReadConfiguration, Unavailable
from stoneyoke.api.configuration import read_configuration
from stoneyoke.consensus.ballot import Ballot
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
from stoneyoke.consensus.register_value import INITIAL_DISK_NAME, Proposal, RegisterValue, ReplicaId, VoterSet
from stoneyoke.programs.commands import data_folder
from stoneyoke.programs.commands.errors import CommandError
from stoneyoke.storage.record_store import RecordStore

A, B, C = (ReplicaId(f"10.0.0.{at}", INITIAL_DISK_NAME) for at in (1, 2, 3))
VERSION = read_configuration(example(5)).version
ACCEPTED = Proposal(Ballot(7, "10.0.0.2/ab"), RegisterValue(VoterSet(4, (A, B, C)), (), VERSION, example(5)))
PROMISED = Ballot(9, "10.0.0.3/cd")


@test("the one replica that is left continues with its configuration, and the others join with empty disks")
def _():
    async def scenario(cluster):
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
        await cluster.wait_until(lambda: alone.replica.chosen is not None)
        assert await alone.handle_call(ReadConfiguration()) == Document(example(5))
        assert await alone.handle_call(put(6)) == Acknowledged()
        for name in ("10.0.0.2", "10.0.0.3"):
            await cluster.start(name)
        await cluster.wait_until(lambda: len(voters(cluster).members) == 3)
        await all_have_quorum(cluster)
        cluster.stop("10.0.0.1")
        assert await cluster.controllers["10.0.0.2"].handle_call(ReadConfiguration()) == Document(example(6))

    run(scenario)


@fixture
def folder():
    """The data folder of a stopped controller that voted with two others, which are lost."""
    with tempfile.TemporaryDirectory() as name:
        store = RecordStore(name)
        store.save(IDENTITY, identity_record(INITIAL_DISK_NAME))
        store.save(PROMISE, promise_record(PROMISED))
        store.save(REGISTER, register_record(ACCEPTED))
        yield name


def stored_register(folder):
    return read_register(RecordStore(folder).load(REGISTER).record)


@test("the recover command changes nothing unless it is confirmed")
def _(folder=folder):
    flags.FLAGS(["stoneyokectl", "--noconfirm"])
    with raises(CommandError):
        data_folder.recover(folder, A.address)
    assert stored_register(folder) == ACCEPTED


@test("the recover command makes this replica the only voter, above all ballots and voter sets, with its configuration")
def _(folder=folder):
    flags.FLAGS(["stoneyokectl", "--confirm"])
    data_folder.recover(folder, A.address)
    after = stored_register(folder)
    assert after.value.voters.members == (A,) and not after.value.previous
    assert after.value.voters.number > ACCEPTED.value.voters.number and after.ballot.counter > PROMISED.counter
    assert after.value.body == example(5)
    data_folder.records(folder)


@test("the recover command refuses a folder without a register")
def _():
    flags.FLAGS(["stoneyokectl", "--confirm"])
    with tempfile.TemporaryDirectory() as folder, raises(CommandError):
        data_folder.recover(folder, A.address)
