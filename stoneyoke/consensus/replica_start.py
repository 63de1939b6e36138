"""What a replica finds on its disk when it starts, and what it makes of an empty one."""

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
    """What is on disk when a replica starts to answer.

    Attributes:
        disk: Name of the disk.
        acceptor: Its promises and its accepted proposal.
    """

    disk: str
    acceptor: Acceptor


async def load_state(
    disk: ReplicaDisk, seeds: tuple[str, ...], first_start: bool, random_source: random.Random
) -> StoredState:
    """Loads the state, and initializes a disk without an identity.

    Args:
        disk: The replica's disk. It is tried until it answers.
        seeds: Addresses of the first voters.
        first_start: Whether the whole system starts for the first time.
        random_source: Draws the name of a new disk.

    Raises:
        InvalidRecord: A whole record can't be read.
    """
    name = await load_value(disk, IDENTITY, read_identity)
    accepted = await load_value(disk, REGISTER, read_register)
    promised = await load_value(disk, PROMISE, read_promise)
    if name is None:
        return await initialize(disk, seeds, first_start, random_source)
    return StoredState(name, Acceptor(promised or NO_BALLOT, accepted))


async def load_value(disk: ReplicaDisk, family: str, read: Callable[[Record], T]) -> T | None:
    """The value of a family's newest whole record, None if there is no record. Raises InvalidRecord."""
    record = await disk.load(family)
    return read(record) if record else None


async def initialize(
    disk: ReplicaDisk, seeds: tuple[str, ...], first_start: bool, random_source: random.Random
) -> StoredState:
    """Gives a disk its identity.

    At the first start of the whole system the seeds vote with empty disks. Later an empty disk makes another replica,
    since this one has forgotten its promises; it votes once the voters have decided so.
    """
    accepted = await load_legacy_register(disk)
    uses_initial_name = first_start or accepted is not None
    name = INITIAL_DISK_NAME if uses_initial_name else f"{random_source.getrandbits(DISK_NAME_BITS):016x}"
    if first_start and accepted is None:
        accepted = initial_value(seeds)
    # The identity goes last: a start that ends before it is a start on an empty disk again.
    if accepted:
        await disk.write_with_retry(REGISTER, register_record(accepted))
    await disk.write_with_retry(IDENTITY, identity_record(name))
    return StoredState(name, Acceptor(NO_BALLOT, accepted))


async def load_legacy_register(disk: ReplicaDisk) -> Proposal | None:
    """The register from the records of the release before it, None if there are none that can be read."""
    voters, configuration = await disk.load(LEGACY_VOTERS), await disk.load(LEGACY_CONFIGURATION)
    try:
        version = read_configuration(configuration[b"body"]).version if configuration else Version()
        return legacy_register(voters, configuration, version)
    except (InvalidRecord, InvalidField, KeyError) as error:
        logger.error("disk: the records of the release before can't be read: {}. This controller starts empty", error)
        return None
