"""stoneyoke lab: runs, reports, comparisons. Exit codes: 0 passed, 1 failed, void, partial, 2 unusable."""

import sys
from pathlib import Path

import click
import msgspec

from stoneyoke.lab.errors import InvalidScenario
from stoneyoke.lab.scenario import Scenario
from stoneyoke.lab.scenario_file import read_scenario

SHIPPED = Path(__file__).parent / "scenarios"


def fail(text: str) -> None:
    """Ends with the exit code of what can't be used, and one line that says why."""
    click.echo(f"stoneyoke: {text}", err=True)
    sys.exit(2)


def find(name: str) -> Scenario:
    """A file, or a scenario shipped with the lab by its name."""
    path = Path(name)
    shipped = SHIPPED / f"{name}.toml"
    try:
        return read_scenario(shipped if not path.exists() and shipped.exists() else path)
    except InvalidScenario as bad:
        fail(str(bad))
        raise AssertionError from bad


@click.group()
def lab() -> None:
    """Gateways between stand-ins, over links that fail."""


@lab.command("list")
def list_() -> None:
    """The scenarios that come with the lab."""
    for path in sorted(SHIPPED.glob("*.toml")):
        scenario = read_scenario(path)
        size = f"{scenario.gateways.count} x {scenario.backends.count}"
        click.echo(f"{scenario.name:24} {size:>9}  {scenario.seconds:g} s  {scenario.about}")


@lab.command()
@click.argument("file")
@click.option("--seed", type=click.IntRange(0), help="In place of the scenario's own.")
@click.option("--out", type=click.Path(path_type=Path), help="Folder of the run; by default runs/NAME-SEED.")
@click.option("--json", "json_", type=click.Path(path_type=Path), help="A copy of the result.")
@click.option("--port", type=click.IntRange(1024, 60000), default=7070, help="Ports from here on.")
@click.option("--fleet/--no-fleet", default=None, help="In place of the scenario's own: gateways know one another.")
@click.option("--plan", "only_plan", is_flag=True, help="Print the plan's digest and end.")
def run(
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
    from stoneyoke.lab.errors import CannotRun, NotReady
    from stoneyoke.lab.run import carry_out

    scenario = find(file)
    seed = scenario.seed if seed is None else seed
    if only_plan:
        click.echo(plan.draw_plan(scenario, seed).digest())
        return
    if fleet is not None:
        scenario = msgspec.structs.replace(scenario, fleet=msgspec.structs.replace(scenario.fleet, on=fleet))
    out = out or Path("runs") / f"{scenario.name}-{seed}"
    bar = click.progressbar(length=int(scenario.seconds * 10), label=scenario.name, file=sys.stderr)
    with bar:

        def progress(at_s: float) -> None:
            if sys.stderr.isatty():
                bar.update(max(0, int(at_s * 10) - bar.pos))

        try:
            result = carry_out(scenario, seed, out, port, progress)
        except CannotRun as bad:
            click.echo(f"stoneyoke: {bad}", err=True)
            sys.exit(1 if isinstance(bad, NotReady) else 2)
    if json_:
        json_.write_bytes(msgspec.json.format(msgspec.json.encode(result)))
    page = report.write(out)
    for key, value in result.figures.items():
        click.echo(f"{key:28} {value:g}")
    for crash in result.crashes:
        click.echo(f"crash: {crash}")
    for violation in result.violations[:10]:
        click.echo(f"{violation.rule} at {violation.at_us / 1e6:.2f} s: {violation.what}")
    click.echo(f"plan {result.plan}, report {page}")
    click.echo(result.verdict + "".join(f"; {reason}" for reason in result.reasons))
    sys.exit(0 if result.verdict == "passed" else 1)


@lab.command()
@click.argument("folder", type=click.Path(path_type=Path, exists=True))
def report(folder: Path) -> None:
    """Judges a run again, from its ledger, and writes its page."""
    from stoneyoke.lab import report as pages
    from stoneyoke.lab.result import RunEnd, judge

    try:
        scenario, drawn, old = pages.load(folder)
        partial = "interrupted" if old.verdict == "partial" else ""
        new = judge(folder, scenario, drawn, RunEnd(seconds=old.seconds, crashes=old.crashes, partial=partial))
        click.echo(f"{new.verdict}{''.join(f'; {reason}' for reason in new.reasons)}")
        click.echo(pages.write(folder))
    except (OSError, msgspec.DecodeError) as bad:
        fail(f"{folder}: no run: {bad}")


@lab.command()
@click.argument("one", type=click.Path(path_type=Path, exists=True))
@click.argument("other", type=click.Path(path_type=Path, exists=True))
def compare(one: Path, other: Path) -> None:
    """The figures of two runs side by side. A folder of runs counts as repeats: mean, least and most."""
    from stoneyoke.lab import report as pages

    sides = []
    for folder in (one, other):
        held = (
            [folder]
            if (folder / "result.json").exists()
            else sorted(path.parent for path in folder.glob("*/result.json"))
        )
        if not held:
            fail(f"{folder}: no run")
        sides.append([pages.load(path)[2] for path in held])
    for key, left, right in pages.compare(sides):
        click.echo(f"{key:28} {left:>28} {right:>28}")
