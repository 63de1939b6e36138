"""stoneyokectl: an operator's command line for the running system. Each call runs one command.

stoneyokectl check FILE                        validate a configuration offline, as controllers do
stoneyokectl diff FILE FILE                    show the differences between two configurations
stoneyokectl --controllers ADDRESS put FILE    replace the configuration
stoneyokectl --controllers ADDRESS read        print the configuration
stoneyokectl --controllers ADDRESS look        show a controller's view: versions, voters, lease, gateways, backends
stoneyokectl --controllers ADDRESS watch r12   wait until every reachable gateway has a version
stoneyokectl records FOLDER                    list the records in a controller's data folder, and which are torn
stoneyokectl --confirm recover FOLDER ADDRESS  after the permanent loss of a majority of the voters: recover from a disk

Exit status: 0 success, 1 failure (the reason is printed on one line), 2 usage error.
"""

import sys
from collections.abc import Callable
from typing import NamedTuple

from absl import app

from stoneyoke.programs.commands import configuration, data_folder, running_system
from stoneyoke.programs.commands.errors import CommandError

NOT_DONE, NOT_UNDERSTOOD = 1, 2


class Command(NamedTuple):
    """A command, and its number of arguments."""

    run: Callable[..., None]
    arguments: int


COMMANDS = {
    "check": Command(configuration.check, 1),
    "diff": Command(configuration.diff, 2),
    "put": Command(configuration.put, 1),
    "read": Command(configuration.read, 0),
    "look": Command(running_system.look, 0),
    "watch": Command(running_system.watch, 1),
    "records": Command(data_folder.records, 1),
    "hold": Command(data_folder.records, 1),  # the name of `records` until December 2026
    "recover": Command(data_folder.recover, 2),
}


def run(words: list[str]) -> None:
    """Runs the command given by the arguments, of which the first is the program's own name."""
    name, arguments = words[1] if len(words) > 1 else "", words[2:]
    command = COMMANDS.get(name)
    if command is None or len(arguments) != command.arguments:
        print(__doc__, file=sys.stderr)
        sys.exit(NOT_UNDERSTOOD)
    try:
        command.run(*arguments)
    except CommandError as error:
        print(f"stoneyokectl: {error}", file=sys.stderr)
        sys.exit(NOT_DONE)


def main() -> None:
    """The entry point of stoneyokectl."""
    app.run(run)


if __name__ == "__main__":
    main()
