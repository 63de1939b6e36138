"""One replica and its disk: how it handles requests while the disk stalls or fails."""

import asyncio

from controller_cluster import Disk
from ward import raises, test

from stoneyoke.consensus.ballot import NO_BALLOT, Ballot
from stoneyoke.consensus.register_value import initial_value
from stoneyoke.consensus.replica import Replica
from stoneyoke.consensus.replica_disk import MAX_WAITING_WRITES
from stoneyoke.storage.errors import WriteQueueFull


@test("a bounded number of writes waits for a stalled disk, further ones fail, and new ones succeed once it resumes")
async def _():
    resume = asyncio.Event()

    async def stall(operation, *arguments):
        await resume.wait()
        return operation(*arguments)

    replica = Replica("10.0.0.1", Disk(), stall, lambda: None)
    waiting_writes = [asyncio.create_task(replica.prepare(Ballot(at + 1, "a"))) for at in range(MAX_WAITING_WRITES)]
    await asyncio.sleep(0)
    with raises(WriteQueueFull):
        await replica.prepare(Ballot(100, "a"))
    assert not await replica.prepare_or_refuse(Ballot(100, "a"))
    resume.set()
    assert all(await asyncio.gather(*waiting_writes)) and replica.acceptor.promised.counter == MAX_WAITING_WRITES
    assert await replica.prepare(Ballot(100, "a"))


@test("a disk that fails to write leaves the promise and the accepted value unchanged")
async def _():
    async def run_inline(operation, *arguments):
        return operation(*arguments)

    disk = Disk()
    replica = Replica("10.0.0.1", disk, run_inline, lambda: None)
    disk.refuses = True
    assert not await replica.prepare_or_refuse(Ballot(1, "a"))
    assert not await replica.accept_or_refuse(initial_value(["10.0.0.1"])._replace(ballot=Ballot(1, "a")))
    assert replica.acceptor.promised == NO_BALLOT and replica.acceptor.accepted is None
