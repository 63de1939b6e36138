"""Data folders of earlier releases: the current code reads the same values, and writes the same bytes for them."""

import asyncio
import json
import random
import shutil
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ward import fixture, test

from stoneyoke.api.configuration import Version, read_configuration
from stoneyoke.consensus.ballot import Ballot
from stoneyoke.consensus.record_formats import (
    IDENTITY,
    PROMISE,
    REGISTER,
    identity_record,
    promise_record,
    read_identity,
    read_promise,
    read_register,
    register_record,
)
from stoneyoke.consensus.register_value import INITIAL_DISK_NAME, Proposal, RegisterValue, ReplicaId, VoterSet
from stoneyoke.consensus.replica import Replica
from stoneyoke.storage.record_store import RecordStore

COMPATIBILITY = Path(__file__).parent
REGISTER_RELEASE, EARLIER_RELEASE = "0c80eb9", "df97d06"


@dataclass
class StoredData:
    """A copy of a release's data folder, and the values that it contains."""

    release: str
    folder: str
    values: dict[str, Any]

    def original(self, name: str) -> bytes:
        return (COMPATIBILITY / self.release / "records" / name).read_bytes()


def stored_data(release, parent):
    folder = shutil.copytree(COMPATIBILITY / release / "records", Path(parent) / release)
    return StoredData(release, str(folder), json.loads((COMPATIBILITY / release / "values.json").read_text()))


@fixture
def parent():
    with tempfile.TemporaryDirectory() as name:
        yield name


@fixture
def stored(parent=parent):
    return stored_data(REGISTER_RELEASE, parent)


@fixture
def earlier(parent=parent):
    return stored_data(EARLIER_RELEASE, parent)


def members(rows):
    return tuple(ReplicaId(*row) for row in rows)


def register_value(value):
    """Returns a proposal of the register from its plain form in values.json."""
    number, digest = value["version"]
    voters = VoterSet(value["number"], members(value["members"]))
    version = Version(number, bytes.fromhex(digest))
    decided = RegisterValue(voters, members(value["previous"]), version, value["body"].encode())
    return Proposal(Ballot(*value["ballot"]), decided)


def started_replica(folder):
    """Returns a replica that has loaded this folder, as a controller does that isn't at its first start."""

    async def run_inline(operation, *args):
        return operation(*args)

    replica = Replica("10.0.0.3", RecordStore(folder), run_inline, lambda: None)
    asyncio.run(replica.load((), False, random.Random(1)))
    return replica


@test("a replica starts on an earlier release's folder with its identity, promise and newest whole register")
def _(stored=stored):
    replica = started_replica(stored.folder)
    assert replica.identity == ReplicaId("10.0.0.3", stored.values["identity"])
    assert replica.acceptor.accepted == register_value(stored.values["registers"][-1])
    assert replica.acceptor.promised == Ballot(*stored.values["promises"][-1])
    assert read_configuration(replica.acceptor.accepted.value.body).version == replica.acceptor.accepted.value.version


@test("a torn record of an earlier release is skipped and named")
def _(stored=stored):
    record, torn = RecordStore(stored.folder).load(REGISTER)
    assert read_register(record) == register_value(stored.values["registers"][-1])
    assert len(torn) == 1 and stored.values["torn"] in torn[0]


@test("each whole record of an earlier release reads as the value that it was written for")
def _(stored=stored):
    store, values = RecordStore(stored.folder), stored.values
    assert read_identity(store.read_record(IDENTITY, 2)) == values["identity"]
    assert [read_promise(store.read_record(PROMISE, number)) for number in (3, 5)] == [
        Ballot(*ballot) for ballot in values["promises"]
    ]
    assert [read_register(store.read_record(REGISTER, number)) for number in (1, 4, 6)] == [
        register_value(value) for value in values["registers"]
    ]


@test("the same values are written to the same files, byte for byte")
def _(stored=stored, parent=parent):
    folder = Path(parent) / "written"
    store, values = RecordStore(str(folder)), stored.values
    registers = [register_record(register_value(value)) for value in values["registers"]]
    store.save(REGISTER, registers[0])
    store.save(IDENTITY, identity_record(values["identity"]))
    for ballot, record in zip(values["promises"], registers[1:], strict=True):
        store.save(PROMISE, promise_record(Ballot(*ballot)))
        store.save(REGISTER, record)
    whole = {path.name for path in Path(stored.folder).iterdir() if not path.name.startswith(values["torn"])}
    assert {path.name for path in folder.iterdir()} == whole
    assert len(whole) == 12
    for name in sorted(whole):
        assert (folder / name).read_bytes() == stored.original(name), name


@test("a replica loads the configuration and the voters of the release before the register")
def _(earlier=earlier):
    replica, values = started_replica(earlier.folder), earlier.values
    body = values["body"].encode()
    version = read_configuration(body).version
    expected = RegisterValue(VoterSet(values["number"], members(values["members"])), (), version, body)
    assert replica.acceptor.accepted == Proposal(Ballot(version.number, version.digest.hex()), expected)
    assert replica.identity == ReplicaId("10.0.0.3", INITIAL_DISK_NAME) and replica.is_voter()
    assert started_replica(earlier.folder).acceptor.accepted == replica.acceptor.accepted
