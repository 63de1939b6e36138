"""Commands on a controller's data folder: tell what it holds, or begin again from it."""

import os
from collections.abc import Callable

from absl import flags

from stoneyoke.api.configuration import read_configuration
from stoneyoke.api.errors import InvalidField
from stoneyoke.consensus.ballot import NO_BALLOT
from stoneyoke.consensus.errors import InvalidRecord
from stoneyoke.consensus.record_formats import (
    IDENTITY,
    LEGACY_CONFIGURATION,
    LEGACY_VOTERS,
    PROMISE,
    REGISTER,
    read_identity,
    read_promise,
    read_register,
    register_record,
)
from stoneyoke.consensus.recovery import recovered_register
from stoneyoke.consensus.register_value import ReplicaId
from stoneyoke.programs.commands.errors import CommandError
from stoneyoke.programs.commands.output import print_result
from stoneyoke.storage.errors import StorageError
from stoneyoke.storage.record_file import Record
from stoneyoke.storage.record_store import RecordStore

CONFIRMED = flags.DEFINE_bool("confirm", False, "For recover: what only lost disks held is given up.")
INDEX_SUFFIX = ".dir"  # each record has one file with this suffix


def open_folder(folder: str) -> RecordStore:
    """Opens a data folder. Raises CommandError where it is none."""
    if not os.path.isdir(folder):
        raise CommandError(f"{folder} is no folder")
    return RecordStore(folder)


def records(folder: str) -> None:
    """Prints which records a data folder holds, and which of them are torn."""
    store = open_folder(folder)
    lines, results = [], []
    for family, number, name in sorted(store.record_files()):
        if not name.endswith(INDEX_SUFFIX):
            continue
        result: dict[str, object] = {"family": family, "number": number}
        try:
            content = describe(family, store.read_record(family, number))
        except (StorageError, InvalidRecord, InvalidField, KeyError) as error:
            lines.append(f"{family}-{number}: {error}")
            results.append(result | {"torn": True})
            continue
        lines.append(f"{family}-{number}: whole, {content}")
        results.append(result | {"torn": False, "holds": content})
    print_result(lines or [f"{folder}: empty"], results)


def describe(family: str, record: Record) -> str:
    """What a whole record holds, in a few words. Raises InvalidRecord, InvalidField or KeyError."""
    descriptions: dict[str, Callable[[Record], str]] = {
        IDENTITY: lambda record: f"disk {read_identity(record)}",
        PROMISE: lambda record: f"ballot {read_promise(record).counter}",
        REGISTER: describe_register,
        LEGACY_CONFIGURATION: lambda record: f"{read_configuration(record[b'body']).version}, of an earlier release",
        LEGACY_VOTERS: lambda record: f"voters {record[b'names'].decode()}, of an earlier release",
    }
    if family not in descriptions:
        return "of no family that is known here"
    return descriptions[family](record)


def describe_register(record: Record) -> str:
    """Version, ballot and voters of a register's record. Raises InvalidRecord."""
    accepted = read_register(record)
    voters = accepted.value.voters
    members = ", ".join(f"{member.address}/{member.disk}" for member in voters.members)
    return f"{accepted.value.version} under ballot {accepted.ballot.counter}, voters {voters.number}: {members}"


def recover(folder: str, address: str) -> None:
    """Makes one disk the only voter, after a majority of the voters was lost for good.

    The controller there must be stopped. The folder is changed only by adding a newer record.

    Args:
        folder: The data folder of the surviving controller.
        address: The address at which it will run.

    Raises:
        CommandError: `--confirm` is missing, or the folder holds no register that can be read.
    """
    if not CONFIRMED.value:
        raise CommandError("acknowledged changes that only lost disks held are lost by this: say so with --confirm")
    store = open_folder(folder)
    try:
        held, identity, promise = (store.load(family).record for family in (REGISTER, IDENTITY, PROMISE))
        if held is None or identity is None:
            raise CommandError(f"{folder} holds no register")
        promised = read_promise(promise) if promise else NO_BALLOT
        survivor = ReplicaId(address, read_identity(identity))
        register = recovered_register(read_register(held), promised, survivor)
        store.save(REGISTER, register_record(register))
    except (StorageError, InvalidRecord) as error:
        raise CommandError(f"{folder}: {error}") from error
    version, voters = register.value.version, register.value.voters
    print_result(
        [f"{version} is in force with {address} as the only voter (set {voters.number})"],
        {"version": str(version), "voters": voters.number, "voter": address},
    )
