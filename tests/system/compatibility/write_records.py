"""Writes a data folder with the release whose checkout is the working directory. README.md says how to run it.

The first argument is the folder to write into: `records/` gets the files, `values.json` the values that they contain.
"""

import importlib.util
import json
import os
import sys
from pathlib import Path
from typing import Any

from stoneyoke.storage.record_store import RecordStore

DISK = "4e1f0c9a77d2b358"
CONFIGURATIONS = Path("tests/system/configurations.py")
OLD_CONFIGURATION_NUMBER, NEW_CONFIGURATION_NUMBER = 5, 7
TORN_BYTES = 100

MEMBERS = [["10.0.0.1", "first"], ["10.0.0.2", "first"], ["10.0.0.3", "first"]]
NEXT_MEMBERS = [["10.0.0.1", "first"], ["10.0.0.2", "first"], ["10.0.0.3", DISK]]


def example_body(number: int) -> bytes:
    """Returns the example configuration of that release's tests."""
    spec = importlib.util.spec_from_file_location("configurations", CONFIGURATIONS)
    assert spec and spec.loader
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    text: bytes = module.example(number)
    return text


def register_values() -> list[dict[str, Any]]:
    """Returns the register's values, oldest first: empty, a configuration, another one during a change of voters."""
    from stoneyoke.api.configuration import read_configuration

    values: list[dict[str, Any]] = [
        {"ballot": [0, ""], "number": 1, "members": MEMBERS, "previous": [], "version": [0, ""], "body": ""}
    ]
    for ballot, voters, number in (
        ([3, "10.0.0.2/0a1b2c3d4e5f"], {"number": 1, "members": MEMBERS, "previous": []}, OLD_CONFIGURATION_NUMBER),
        (
            [8, "10.0.0.1/f5e4d3c2b1a0"],
            {"number": 2, "members": NEXT_MEMBERS, "previous": MEMBERS},
            NEW_CONFIGURATION_NUMBER,
        ),
    ):
        body = example_body(number)
        version = read_configuration(body).version
        values.append(
            {"ballot": ballot, **voters, "version": [version.number, version.digest.hex()], "body": body.decode()}
        )
    return values


def write_register_release(folder: str) -> dict[str, Any]:
    """Writes the records of the release whose register is decided by ballots: identity, promise and register."""
    from stoneyoke.controlplane.consensus import Accepted, Ballot, RegisterValue, ReplicaId, VoterSet
    from stoneyoke.controlplane.record_formats import identity_record, promise_record, register_record

    from stoneyoke.api.configuration import Version

    def accepted(value: dict[str, Any]) -> Accepted:
        members, previous = (tuple(ReplicaId(*row) for row in value[name]) for name in ("members", "previous"))
        version = Version(value["version"][0], bytes.fromhex(value["version"][1]))
        voters = VoterSet(value["number"], members)
        return Accepted(Ballot(*value["ballot"]), RegisterValue(voters, previous, version, value["body"].encode()))

    store, registers = RecordStore(folder), register_values()
    promises = [[3, "10.0.0.2/0a1b2c3d4e5f"], [9, "10.0.0.3/abcdefabcdef"]]
    store.keep("register", register_record(accepted(registers[0])))
    store.keep("identity", identity_record(DISK))
    for ballot, value in zip(promises, registers[1:], strict=True):
        store.keep("promise", promise_record(Ballot(*ballot)))
        store.keep("register", register_record(accepted(value)))
    store.write_files("register", store.next, register_record(accepted(registers[1])))
    os.truncate(os.path.join(folder, f"register-{store.next}.dat"), TORN_BYTES)
    return {"identity": DISK, "promises": promises, "registers": registers, "torn": f"register-{store.next}"}


def write_earlier_release(folder: str) -> dict[str, Any]:
    """Writes the records of the release before the register: the configuration in "word", the voters in "crew"."""
    store, body = RecordStore(folder), example_body(OLD_CONFIGURATION_NUMBER)
    names = [address for address, _ in MEMBERS]
    store.keep(
        "crew",
        {
            b"number": b"2",
            b"names": ",".join(names).encode(),
            b"standing": b"1",
            b"promised": json.dumps([4, "10.0.0.2"]).encode(),
            b"pending": json.dumps(None).encode(),
        },
    )
    store.keep("word", {b"body": body})
    return {"number": 2, "members": MEMBERS, "body": body.decode()}


def main() -> None:
    """Writes the families of the old release, which is recognized by its source files."""
    target = Path(sys.argv[1])
    has_register = Path("stoneyoke/controlplane/consensus.py").exists()
    write = write_register_release if has_register else write_earlier_release
    values = write(str(target / "records"))
    (target / "values.json").write_text(json.dumps(values, indent=1) + "\n")


if __name__ == "__main__":
    main()
