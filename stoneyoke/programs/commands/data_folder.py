"""Commands on a controller's data folder: list its records, or recover the cluster from it."""

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

CONFIRMED = flags.DEFINE_bool("confirm", False, "For recover: accept the loss of changes stored only on lost disks.")
INDEX_SUFFIX = ".dir"  # each record has one file with this suffix


def open_folder(folder: str) -> RecordStore:
    """Opens a data folder. Raises CommandError if it does not exist."""
    if not os.path.isdir(folder):
        raise CommandError(f"{folder} is not a folder")
    return RecordStore(folder)


def records(folder: str) -> None:
    """Prints the records in a data folder, and which of them are torn."""
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
    """Summarizes the content of a valid record. Raises InvalidRecord, InvalidField or KeyError."""
    descriptions: dict[str, Callable[[Record], str]] = {
        IDENTITY: lambda record: f"disk {read_identity(record)}",
        PROMISE: lambda record: f"ballot {read_promise(record).counter}",
        REGISTER: describe_register,
        LEGACY_CONFIGURATION: lambda record: f"{read_configuration(record[b'body']).version}, of an earlier release",
        LEGACY_VOTERS: lambda record: f"voters {record[b'names'].decode()}, of an earlier release",
    }
    if family not in descriptions:
        return "of an unknown record family"
    return descriptions[family](record)


def describe_register(record: Record) -> str:
    """Summarizes the version, ballot and voters of a register record. Raises InvalidRecord."""
    accepted = read_register(record)
    voters = accepted.value.voters
    members = ", ".join(f"{member.address}/{member.disk}" for member in voters.members)
    return f"{accepted.value.version} under ballot {accepted.ballot.counter}, voters {voters.number}: {members}"


def recover(folder: str, address: str) -> None:
    """Makes the controller with this disk the only voter, after the permanent loss of a majority of the voters.

    This controller must be stopped. The command only adds a newer record to the folder.

    Args:
        folder: The data folder of the surviving controller.
        address: The address at which this controller will run.

    Raises:
        CommandError: `--confirm` is missing, or the folder has no readable register.
    """
    if not CONFIRMED.value:
        raise CommandError(
            "recovery loses acknowledged changes that are only on lost disks: accept this with --confirm"
        )
    store = open_folder(folder)
    try:
        held, identity, promise = (store.load(family).record for family in (REGISTER, IDENTITY, PROMISE))
        if held is None or identity is None:
            raise CommandError(f"{folder} contains no register")
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
