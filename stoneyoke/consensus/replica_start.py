"""Loads a replica's state from its disk at the start, and initializes an empty disk."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from loguru import logger

from stoneyoke.api.configuration import Version, read_configuration
from stoneyoke.api.errors import InvalidField
from stoneyoke.consensus.acceptor import Acceptor
from stoneyoke.consensus.ballot import NO_BALLOT
from stoneyoke.consensus.errors import InvalidRecord
from stoneyoke.consensus.record_formats import (
    IDENTITY,
    LEGACY_CONFIGURATION,
    LEGACY_VOTERS,
    PROMISE,
    REGISTER,
    identity_record,
    legacy_register,
    read_identity,
    read_promise,
    read_register,
    register_record,
)
from stoneyoke.consensus.register_value import INITIAL_DISK_NAME, Proposal, initial_value
from stoneyoke.consensus.replica_disk import ReplicaDisk
from stoneyoke.storage.record_file import Record

DISK_NAME_BITS = 64

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class StoredState:
    """What a replica reads from its disk before it handles requests.

    Attributes:
        disk: Name of the disk.
        acceptor: The promised ballot and the accepted proposal.
    """

    disk: str
    acceptor: Acceptor


async def load_state(
    disk: ReplicaDisk, seeds: tuple[str, ...], first_start: bool, random_source: random.Random
) -> StoredState:
    """Loads the state, and initializes a disk without an identity.

    Args:
        disk: The replica's disk. Operations that fail are retried until they succeed.
        seeds: Addresses of the first voters.
        first_start: Whether the whole system starts for the first time.
        random_source: Draws the name of a new disk.

    Raises:
        InvalidRecord: A record is whole but can't be decoded.
    """
    name = await load_value(disk, IDENTITY, read_identity)
    accepted = await load_value(disk, REGISTER, read_register)
    promised = await load_value(disk, PROMISE, read_promise)
    if name is None:
        return await initialize(disk, seeds, first_start, random_source)
    return StoredState(name, Acceptor(promised or NO_BALLOT, accepted))


async def load_value(disk: ReplicaDisk, family: str, read: Callable[[Record], T]) -> T | None:
    """Returns the value of a family's newest whole record, None if there is no record. Raises InvalidRecord."""
    record = await disk.load(family)
    return read(record) if record else None


async def initialize(
    disk: ReplicaDisk, seeds: tuple[str, ...], first_start: bool, random_source: random.Random
) -> StoredState:
    """Gives a disk its identity.

    At the first start of the whole system the seeds vote with empty disks. Later an empty disk gets a random name and
    counts as a new replica, because the promises of the previous one are lost; it votes once the voters have chosen a
    voter set that contains it.
    """
    accepted = await load_legacy_register(disk)
    uses_initial_name = first_start or accepted is not None
    name = INITIAL_DISK_NAME if uses_initial_name else f"{random_source.getrandbits(DISK_NAME_BITS):016x}"
    if first_start and accepted is None:
        accepted = initial_value(seeds)
    # The identity is written last: after a crash before it, the next start initializes the disk from the beginning.
    if accepted:
        await disk.write_with_retry(REGISTER, register_record(accepted))
    await disk.write_with_retry(IDENTITY, identity_record(name))
    return StoredState(name, Acceptor(NO_BALLOT, accepted))


async def load_legacy_register(disk: ReplicaDisk) -> Proposal | None:
    """Returns the register from the records of the release before it, None if there are none or they are invalid."""
    voters, configuration = await disk.load(LEGACY_VOTERS), await disk.load(LEGACY_CONFIGURATION)
    try:
        version = read_configuration(configuration[b"body"]).version if configuration else Version()
        return legacy_register(voters, configuration, version)
    except (InvalidRecord, InvalidField, KeyError) as error:
        logger.error(
            "disk: the records of the previous release can't be read: {}. This controller starts without them", error
        )
        return None
