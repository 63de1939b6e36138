"""stoneyokectl: an operator's command line for the running system. One command a call.

stoneyokectl check FILE                        a configuration, offline, by the controllers' table of settings
stoneyokectl diff FILE FILE                    what the second changes
stoneyokectl --controllers ADDRESS put FILE    replace the configuration
stoneyokectl --controllers ADDRESS read        read it back
stoneyokectl --controllers ADDRESS look        a controller's view: versions, voters, lease, gateways, backends
stoneyokectl --controllers ADDRESS watch r12   wait until every gateway in touch has a version
stoneyokectl records FOLDER                    what a controller's data folder holds, and what in it is torn
stoneyokectl --confirm recover FOLDER ADDRESS  a majority of the voters is gone for good: begin again from this disk

Exit status: 0 done, 1 not done (one line says why), 2 the call was not understood.
"""

import sys
from collections.abc import Callable
from typing import NamedTuple

from absl import app

from stoneyoke.programs.commands import configuration, data_folder, running_system
from stoneyoke.programs.commands.errors import CommandError

NOT_DONE, NOT_UNDERSTOOD = 1, 2


class Command(NamedTuple):
    """A command, and how many words follow its name."""

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
    "hold": Command(data_folder.records, 1),  # its name until December 2026
    "recover": Command(data_folder.recover, 2),
}


def run(words: list[str]) -> None:
    """Runs the command that the words name, the program's own name being the first of them."""
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
