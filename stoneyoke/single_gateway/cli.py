"""The command line. Each command imports what it needs: serving imports neither click nor lab."""

import os
import sys
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from typing import Any

import click


class Commands(click.Group):
    """The lab is looked up only when it is asked for: its libraries are an extra."""

    def list_commands(self, context: click.Context) -> list[str]:
        return sorted([*super().list_commands(context), "lab"])

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        if name != "lab":
            return super().get_command(context, name)
        try:
            from stoneyoke.lab.cli import lab
        except ImportError as bad:
            click.echo(f"stoneyoke: the lab needs its libraries: pip install .[lab] ({bad})", err=True)
            sys.exit(2)
        return lab


def own_version() -> str:
    """The version of this package, also where it is not installed."""
    try:
        return version("stoneyoke")
    except PackageNotFoundError:
        return "unknown: not installed"


@click.group(cls=Commands)
@click.version_option(own_version(), prog_name="stoneyoke")
def main() -> None:
    """A gateway that holds customers to their quotas before a shared back end."""


@main.command()
@click.argument("file", required=False, type=click.Path(path_type=Path))
def serve(file: Path | None) -> None:
    """One gateway, as FILE or the file that NODE_CONFIG names describes it, until SIGTERM."""
    from stoneyoke.single_gateway.program import main as run

    if file:
        os.environ["NODE_CONFIG"] = str(file)
    sys.exit(run())


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
def check(file: Path) -> None:
    """Whether a gateway could start with the configuration FILE."""
    from stoneyoke.single_gateway.parameters import InvalidConfiguration
    from stoneyoke.single_gateway.program import GatewaySettings, fleet_parameters_of, read_configuration, read_options

    os.environ["NODE_CONFIG"] = str(file)
    try:
        given: dict[str, Any] = read_configuration()
        GatewaySettings(given)
        fleet_parameters_of(read_options(given), given)
    except InvalidConfiguration as bad:
        click.echo(f"stoneyoke: {bad}", err=True)
        sys.exit(2)
    click.echo(f"{file}: can be used")


if __name__ == "__main__":
    main()
