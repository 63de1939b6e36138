"""The command line. Each command imports only what it needs; `serve` does not import the lab."""

import os
import sys
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path

import click

USAGE_ERROR = 2


class Commands(click.Group):
    """The commands; `lab` is imported only when it is called, because its libraries are an optional extra."""

    def list_commands(self, context: click.Context) -> list[str]:
        """Returns the names of all commands, including `lab`."""
        return sorted([*super().list_commands(context), "lab"])

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        """Returns a command by its name. If the libraries of `lab` are missing, `lab` exits with USAGE_ERROR."""
        if name != "lab":
            return super().get_command(context, name)
        try:
            from stoneyoke.lab.cli import lab
        except ImportError as error:
            click.echo(f"stoneyoke: the libraries of the lab are missing: pip install .[lab] ({error})", err=True)
            sys.exit(USAGE_ERROR)
        return lab


def own_version() -> str:
    """Returns the version of this package, or a text that says that it is not installed."""
    try:
        return version("stoneyoke")
    except PackageNotFoundError:
        return "unknown: not installed"


@click.group(cls=Commands)
@click.version_option(own_version(), prog_name="stoneyoke")
def main() -> None:
    """A gateway that enforces customers' quotas for requests to shared backends."""


@main.command()
@click.argument("file", required=False, type=click.Path(path_type=Path))
def serve(file: Path | None) -> None:
    """Runs one gateway until SIGTERM, configured by FILE or else by the file that NODE_CONFIG names."""
    from stoneyoke.single_gateway.configuration import CONFIGURATION_VARIABLE
    from stoneyoke.single_gateway.program import main as run

    if file:
        os.environ[CONFIGURATION_VARIABLE] = str(file)
    sys.exit(run())


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
def check(file: Path) -> None:
    """Checks whether a gateway could start with the configuration FILE."""
    from stoneyoke.single_gateway import configuration
    from stoneyoke.single_gateway.errors import InvalidConfiguration

    os.environ[configuration.CONFIGURATION_VARIABLE] = str(file)
    try:
        content = configuration.read_configuration()
        configuration.read_settings(content)
        configuration.read_fleet_parameters(configuration.read_options(content), content)
    except InvalidConfiguration as error:
        click.echo(f"stoneyoke: {error}", err=True)
        sys.exit(USAGE_ERROR)
    click.echo(f"{file}: can be used")


if __name__ == "__main__":
    main()
