"""The command line `stoneyoke lab`: runs, reports and comparisons.

Exit codes: 0: the run passed. 1: the verdict is failed, void or partial, or a gateway did not become ready. 2: a file
or an argument is invalid, or the run is not possible.
"""

import sys
from collections.abc import Callable
from contextlib import AbstractContextManager
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn

import click
import msgspec

from stoneyoke.lab.errors import CannotRun, InvalidScenario, NotReady
from stoneyoke.lab.scenario import Scenario
from stoneyoke.lab.scenario_file import read_scenario

if TYPE_CHECKING:
    from stoneyoke.lab.result import Result

SHIPPED_SCENARIOS = Path(__file__).parent / "scenarios"
EXIT_NOT_PASSED, EXIT_UNUSABLE = 1, 2
PROGRESS_STEPS_PER_S = 10
MAX_PRINTED_VIOLATIONS = 10


def fail(text: str, code: int = EXIT_UNUSABLE) -> NoReturn:
    """Prints one line with the reason and exits."""
    click.echo(f"stoneyoke: {text}", err=True)
    sys.exit(code)


def find_scenario(name: str) -> Scenario:
    """Reads the scenario file at a path, or one by name that is shipped with the laboratory."""
    path = Path(name)
    shipped = SHIPPED_SCENARIOS / f"{name}.toml"
    try:
        return read_scenario(shipped if not path.exists() and shipped.exists() else path)
    except InvalidScenario as error:
        fail(str(error))


@click.group()
def lab() -> None:
    """Runs gateways between stand-ins, over links with injected faults."""


@lab.command("list")
def list_scenarios() -> None:
    """Lists the scenarios that come with the lab."""
    for path in sorted(SHIPPED_SCENARIOS.glob("*.toml")):
        scenario = read_scenario(path)
        size = f"{scenario.gateways.count} x {scenario.backends.count}"
        click.echo(f"{scenario.name:24} {size:>9}  {scenario.seconds:g} s  {scenario.about}")


@lab.command()
@click.argument("file")
@click.option("--seed", type=click.IntRange(0), help="Replaces the scenario's own seed.")
@click.option("--out", type=click.Path(path_type=Path), help="The folder of the run; by default runs/NAME-SEED.")
@click.option("--json", "json_", type=click.Path(path_type=Path), help="Writes a copy of the result to this file.")
@click.option("--port", type=click.IntRange(1024, 60000), default=7070, help="The first port of the run.")
@click.option("--fleet/--no-fleet", default=None, help="Replaces the scenario's fleet.on.")
@click.option("--plan", "only_plan", is_flag=True, help="Prints the plan's digest and exits.")
def run(  # noqa: PLR0913 -- one parameter for each option of the command line
    file: str,
    seed: int | None,
    out: Path | None,
    json_: Path | None,
    port: int,
    fleet: bool | None,
    only_plan: bool,
) -> None:
    """Runs a scenario: FILE, or the name of one that comes with the lab."""
    from stoneyoke.lab import plan, report

    scenario = find_scenario(file)
    seed = scenario.seed if seed is None else seed
    if only_plan:
        click.echo(plan.draw_plan(scenario, seed).digest())
        return
    if fleet is not None:
        scenario = msgspec.structs.replace(scenario, fleet=msgspec.structs.replace(scenario.fleet, on=fleet))
    out = out or Path("runs") / f"{scenario.name}-{seed}"
    result = run_with_progress(scenario, seed, out, port)
    if json_:
        json_.write_bytes(msgspec.json.format(msgspec.json.encode(result)))
    print_result(result, report.write(out))
    sys.exit(0 if result.verdict == "passed" else EXIT_NOT_PASSED)


def run_with_progress(scenario: Scenario, seed: int, out: Path, port: int) -> "Result":
    """Runs a scenario with a progress bar; exits if the run is not possible."""
    from stoneyoke.lab.run import run_scenario

    steps = int(scenario.seconds * PROGRESS_STEPS_PER_S)
    bar: AbstractContextManager[Any] = click.progressbar(length=steps, label=scenario.name, file=sys.stderr)
    with bar as progress_bar:
        try:
            return run_scenario(scenario, seed, out, port, progress_on(progress_bar))
        except NotReady as error:
            fail(str(error), EXIT_NOT_PASSED)
        except CannotRun as error:
            fail(str(error))


def progress_on(bar: Any) -> Callable[[float], None]:
    """Returns a callback that moves a progress bar to a time in seconds, if stderr is a terminal."""

    def progress(at_s: float) -> None:
        if sys.stderr.isatty():
            bar.update(max(0, int(at_s * PROGRESS_STEPS_PER_S) - bar.pos))

    return progress


def print_result(result: "Result", page: Path) -> None:
    """Prints the figures, the crashes, the first violations and the verdict."""
    for name, value in result.figures.items():
        click.echo(f"{name:28} {value:g}")
    for crash in result.crashes:
        click.echo(f"crash: {crash}")
    for violation in result.violations[:MAX_PRINTED_VIOLATIONS]:
        click.echo(f"{violation.rule} at {violation.at_us / 1e6:.2f} s: {violation.what}")
    click.echo(f"plan {result.plan}, report {page}")
    click.echo(result.verdict + "".join(f"; {reason}" for reason in result.reasons))


@lab.command()
@click.argument("folder", type=click.Path(path_type=Path, exists=True))
def report(folder: Path) -> None:
    """Evaluates a run again from its ledger, and writes its report."""
    from stoneyoke.lab import report as pages
    from stoneyoke.lab.result import RunOutcome, evaluate_run

    try:
        scenario, plan, old = pages.load(folder)
        partial = "interrupted" if old.verdict == "partial" else ""
        new = evaluate_run(
            folder, scenario, plan, RunOutcome(seconds=old.seconds, crashes=old.crashes, partial=partial)
        )
        click.echo(f"{new.verdict}{''.join(f'; {reason}' for reason in new.reasons)}")
        click.echo(pages.write(folder))
    except (OSError, msgspec.DecodeError) as error:
        fail(f"{folder}: no run: {error}")


@lab.command()
@click.argument("one", type=click.Path(path_type=Path, exists=True))
@click.argument("other", type=click.Path(path_type=Path, exists=True))
def compare(one: Path, other: Path) -> None:
    """Prints the figures of two runs side by side. A folder of runs counts as one side: mean, minimum and maximum."""
    from stoneyoke.lab import report as pages

    sides = [[pages.load(run_folder)[2] for run_folder in run_folders(folder)] for folder in (one, other)]
    for name, left, right in pages.compare(sides):
        click.echo(f"{name:28} {left:>28} {right:>28}")


def run_folders(folder: Path) -> list[Path]:
    """Returns the folder itself if it is that of a run, otherwise the folders of the runs in it."""
    if (folder / "result.json").exists():
        return [folder]
    found = sorted(path.parent for path in folder.glob("*/result.json"))
    if not found:
        fail(f"{folder}: no run")
    return found
