"""How the register lies on disk: records of byte fields, read strictly. No I/O.

Families: "identity" (the disk's own name), "promise" (small, written in each round) and "register" (the accepted
value with the configuration's text)."""

import json
from typing import Any

import msgpack

from stoneyoke.api.configuration import Version
from stoneyoke.consensus.ballot import Ballot
from stoneyoke.consensus.register_value import FIRST_DISK, Proposal, RegisterValue, ReplicaId, VoterSet

Record = dict[bytes, bytes]
IDENTITY, PROMISE, REGISTER = "identity", "promise", "register"
LEGACY_CONFIGURATION, LEGACY_VOTERS = "word", "crew"  # families of the release before


class InvalidRecord(ValueError):
    """A whole record that does not hold what it should."""


def identity_record(disk: str) -> Record:
    return {b"disk": disk.encode()}


def read_identity(record: Record) -> str:
    try:
        return record[b"disk"].decode()
    except (KeyError, UnicodeDecodeError) as bad:
        raise InvalidRecord(f"identity: {bad}") from bad


def promise_record(ballot: Ballot) -> Record:
    return {b"counter": b"%d" % ballot.counter, b"proposer": ballot.proposer.encode()}


def read_promise(record: Record) -> Ballot:
    try:
        return Ballot(int(record[b"counter"]), record[b"proposer"].decode())
    except (KeyError, ValueError) as bad:
        raise InvalidRecord(f"promise: {bad}") from bad


def register_record(accepted: Proposal) -> Record:
    value = accepted.value
    version = (value.version.number, value.version.digest)
    header = (tuple(accepted.ballot), value.voters.number, value.voters.members, value.previous, version)
    return {b"header": msgpack.packb(header), b"body": value.body}


def read_register(record: Record) -> Proposal:
    try:
        ballot, number, members, previous, version = msgpack.unpackb(record[b"header"], use_list=False)
        value = RegisterValue(
            VoterSet(number, members_from_rows(members)),
            members_from_rows(previous),
            Version(*version),
            record[b"body"],
        )
        return Proposal(Ballot(*ballot), value)
    except (KeyError, ValueError, TypeError, msgpack.UnpackException) as bad:
        raise InvalidRecord(f"register: {bad}") from bad


def members_from_rows(rows: Any) -> tuple[ReplicaId, ...]:
    return tuple(ReplicaId(*row) for row in rows)


def legacy_register(voters: Record | None, configuration: Record | None, version: Version) -> Proposal | None:
    """The register as the release before kept it, for a system that was stopped and starts with this one. Of the
    copies the one with the highest version goes first, as it did there. version: of the configuration's text."""
    if not voters or voters.get(b"standing") != b"1":
        return None
    try:
        addresses = [name for name in voters[b"names"].decode().split(",") if name]
        members = tuple(ReplicaId(address, FIRST_DISK) for address in sorted(addresses))
        if json.loads(voters.get(b"pending", b"null")) is not None or not members:
            return None
        number = int(voters[b"number"])
    except (KeyError, ValueError) as bad:
        raise InvalidRecord(f"voters: {bad}") from bad
    body = configuration[b"body"] if configuration and version.number else b""
    ballot = Ballot(version.number, version.digest.hex())
    return Proposal(ballot, RegisterValue(VoterSet(number, members), (), version, body))
