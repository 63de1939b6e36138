"""Encoding and strict decoding of the register's records, which map field names to bytes. No I/O.

The formats are fixed, because a release has to read the records of the release before it.
`tests/system/compatibility` has records of earlier releases.
"""

import json

import msgpack

from stoneyoke.api.configuration import Version
from stoneyoke.consensus.ballot import Ballot
from stoneyoke.consensus.errors import InvalidRecord
from stoneyoke.consensus.register_value import (
    INITIAL_DISK_NAME,
    Proposal,
    RegisterValue,
    ReplicaId,
    VoterSet,
    replica_ids,
)
from stoneyoke.storage.record_file import Record

IDENTITY = "identity"
"""Family of the disk's name, written once."""
PROMISE = "promise"
"""Family of the highest ballot promised. The record is small, since every round writes one."""
REGISTER = "register"
"""Family of the accepted proposal, with the text of its configuration."""

LEGACY_CONFIGURATION = "word"
"""Family of the configuration, in the release before the register."""
LEGACY_VOTERS = "crew"
"""Family of the voters, in the release before the register."""
LEGACY_VOTING = b"1"
"""Value of the field "standing" in a legacy record of the voters if the replica that wrote it had a vote."""


def identity_record(disk: str) -> Record:
    """Returns the record of a disk's name."""
    return {b"disk": disk.encode()}


def read_identity(record: Record) -> str:
    """Returns the name of a disk. Raises InvalidRecord."""
    try:
        return record[b"disk"].decode()
    except (KeyError, UnicodeDecodeError) as error:
        raise InvalidRecord(IDENTITY, error) from error


def promise_record(ballot: Ballot) -> Record:
    """Returns the record of a promised ballot."""
    return {b"counter": b"%d" % ballot.counter, b"proposer": ballot.proposer.encode()}


def read_promise(record: Record) -> Ballot:
    """Returns the promised ballot. Raises InvalidRecord."""
    try:
        return Ballot(int(record[b"counter"]), record[b"proposer"].decode())
    except (KeyError, ValueError) as error:
        raise InvalidRecord(PROMISE, error) from error


def register_record(proposal: Proposal) -> Record:
    """Returns the record of an accepted proposal."""
    value = proposal.value
    version = (value.version.number, value.version.digest)
    header = (tuple(proposal.ballot), value.voters.number, value.voters.members, value.previous, version)
    return {b"header": msgpack.packb(header), b"body": value.body}


def read_register(record: Record) -> Proposal:
    """Returns the accepted proposal. Raises InvalidRecord."""
    try:
        ballot, number, members, previous, version = msgpack.unpackb(record[b"header"], use_list=False)
        voters = VoterSet(number, replica_ids(members))
        value = RegisterValue(voters, replica_ids(previous), Version(*version), record[b"body"])
        return Proposal(Ballot(*ballot), value)
    except (KeyError, ValueError, TypeError, msgpack.UnpackException) as error:
        raise InvalidRecord(REGISTER, error) from error


def legacy_register(voters: Record | None, configuration: Record | None, version: Version) -> Proposal | None:
    """Returns the proposal in the records of the release before the register, which had two families for it.

    A system that was stopped under that release and starts under this one continues with its voters and configuration.
    The proposal with the highest version gets the highest ballot, as that release preferred the highest version.

    Args:
        voters: The record of the voters.
        configuration: The record of the configuration.
        version: Version of the configuration's text.

    Returns:
        The proposal; None if this replica had no vote, or a change of the voters was in progress.

    Raises:
        InvalidRecord: The record of the voters can't be read.
    """
    if not voters or voters.get(b"standing") != LEGACY_VOTING:
        return None
    try:
        addresses = [name for name in voters[b"names"].decode().split(",") if name]
        members = tuple(ReplicaId(address, INITIAL_DISK_NAME) for address in sorted(addresses))
        is_changing = json.loads(voters.get(b"pending", b"null")) is not None
        if is_changing or not members:
            return None
        number = int(voters[b"number"])
    except (KeyError, ValueError) as error:
        raise InvalidRecord(LEGACY_VOTERS, error) from error
    body = configuration[b"body"] if configuration and version.number else b""
    ballot = Ballot(version.number, version.digest.hex())
    return Proposal(ballot, RegisterValue(VoterSet(number, members), (), version, body))
