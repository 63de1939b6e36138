"""A run as one HTML page: verdict, figures, plots with the faults marked, violations with their lines."""

import base64
import html
import io
from pathlib import Path
from typing import Any

import matplotlib
import msgspec
import numpy as np

from stoneyoke.lab.ledger import Ledger
from stoneyoke.lab.ledger_index import read_rows
from stoneyoke.lab.plan import Drawn
from stoneyoke.lab.result import Result
from stoneyoke.lab.scenario import Scenario

matplotlib.use("Agg")
from matplotlib import pyplot as plt  # noqa: E402

STYLE = (
    "body{font:15px sans-serif;margin:2em auto;max-width:1100px}table{border-collapse:collapse}"
    "td,th{border:1px solid #ccc;padding:2px 8px;text-align:left}pre{background:#f6f6f6;padding:.5em;"
    "overflow-x:auto;font-size:12px}h1 span{color:#777}"
)


def load(out: Path) -> tuple[Scenario, Drawn, Result]:
    """Raises OSError or msgspec.DecodeError where a folder holds no run."""
    return (
        msgspec.json.decode((out / "scenario.json").read_bytes(), type=Scenario),
        msgspec.json.decode((out / "plan.json").read_bytes(), type=Drawn),
        msgspec.json.decode((out / "result.json").read_bytes(), type=Result),
    )


def picture(figure: Any) -> str:
    """A figure as an image within the page."""
    data = io.BytesIO()
    figure.savefig(data, format="png", dpi=80, bbox_inches="tight")
    plt.close(figure)
    return f'<img src="data:image/png;base64,{base64.b64encode(data.getvalue()).decode()}">'


def faults_on(axis: Any, ledger: Ledger) -> None:
    """Marks when faults began on a plot over time."""
    seen = set()
    for row in ledger.faults:
        if row[4] and (row[2], row[3]) not in seen:
            seen.add((row[2], row[3]))
            axis.axvline(row[1] / 1e6, color="#c33", lw=0.8, alpha=0.7)
            axis.text(row[1] / 1e6, axis.get_ylim()[1], row[3], color="#c33", fontsize=7, rotation=60, va="bottom")


def plots(ledger: Ledger, scenario: Scenario) -> list[tuple[str, str]]:
    """Title and image of each plot."""
    end, pictures = scenario.seconds, []
    bins = np.arange(0, end + 1, 1.0)

    figure, axis = plt.subplots(figsize=(12, 3.2))
    for label, keep in (("ok", (200,)), ("pushed back", (429, 503)), ("other", None)):
        times = [
            r.sent / 1e6
            for r in ledger.rpcs.values()
            if (r.status in keep if keep else r.status not in (200, 429, 503))
        ]
        axis.step(bins[:-1], np.histogram(times, bins)[0], where="post", label=label)
    axis.set_xlabel("s")
    axis.set_ylabel("tries a second")
    axis.legend(loc="lower left", fontsize=8)
    faults_on(axis, ledger)
    pictures.append(("Answers, by when the try was sent", picture(figure)))

    names = scenario.backend_names()
    places = {name: at for at, name in enumerate(names)}
    grid = np.zeros((len(names), len(bins) - 1))
    for rpc in ledger.rpcs.values():
        for at, backend in rpc.calls:
            b, second = places.get(backend.removesuffix("-new")), int(at / 1e6)
            if b is not None and 0 <= second < grid.shape[1]:
                grid[b, second] += 1
    figure, axis = plt.subplots(figsize=(12, 0.6 + 0.055 * len(names) + 2))
    shown = axis.imshow(grid, aspect="auto", interpolation="nearest", cmap="viridis", origin="lower")
    figure.colorbar(shown, label="call-outs a second")
    axis.set_xlabel("s")
    axis.set_ylabel("backend")
    faults_on(axis, ledger)
    pictures.append(("Load by backend", picture(figure)))

    figure, axis = plt.subplots(figsize=(12, 2.6))
    levels: dict[int, tuple[float, int]] = {}
    inside, beyond = np.zeros(len(bins) - 1), np.zeros(len(bins) - 1)
    for at, id_ in sorted((r.calls[0][0], r.id) for r in ledger.rpcs.values() if r.calls):
        rpc = ledger.rpcs[id_]
        plan, units = scenario.plan[ledger.plan_of(rpc)], ledger.units(rpc)
        level, last = levels.get(rpc.customer, (plan.burst, at))
        level = min(plan.burst, level + plan.rate * (at - last) / 1e6)
        fits = level >= units
        levels[rpc.customer] = level - units * fits, at
        second = int(at / 1e6)
        if 0 <= second < len(inside):
            (inside if fits else beyond)[second] += units
    axis.stackplot(bins[:-1], inside, beyond, labels=("inside quotas", "beyond"), colors=("#7ab", "#d63"), step="post")
    axis.set_xlabel("s")
    axis.set_ylabel("units a second")
    axis.legend(loc="lower left", fontsize=8)
    faults_on(axis, ledger)
    pictures.append(("Units sent on", picture(figure)))

    figure, axes = plt.subplots(1, 2, figsize=(12, 2.6))
    for rows in ledger.uses.values():
        axes[0].plot([r[1] / 1e6 for r in rows], [r[3] / 1e6 for r in rows], lw=0.4, color="#467")
        axes[1].plot([r[1] / 1e6 for r in rows], [r[4] for r in rows], lw=0.4, color="#467")
    axes[0].set_ylabel("MB a gateway")
    axes[1].set_ylabel("descriptors a gateway")
    pictures.append(("Memory and descriptors", picture(figure)))
    return pictures


def table(rows: list[tuple[str, ...]]) -> str:
    """Rows as an HTML table."""
    cells = ["<tr>" + "".join(f"<td>{html.escape(str(cell))}</td>" for cell in row) + "</tr>" for row in rows]
    return f"<table>{''.join(cells)}</table>"


def write(out: Path) -> Path:
    """The page of a run, beside its ledger."""
    scenario, drawn, result = load(out)
    ledger = Ledger(read_rows(out / "ledger"), scenario, drawn)
    parts = [
        f"<!doctype html><meta charset=utf-8><title>{scenario.name}</title><style>{STYLE}</style>",
        f"<h1>{html.escape(scenario.name)} <span>{result.verdict}, seed {result.seed}</span></h1>",
        f"<p>{html.escape(scenario.about)} Plan {result.plan}, {result.seconds} s in all. Figures: lab.</p>",
        "".join(f"<p><b>{html.escape(reason)}</b></p>" for reason in result.reasons),
        *(f"<h2>{title}</h2>{image}" for title, image in plots(ledger, scenario)),
        "<h2>Spread</h2>",
        table(
            [
                ("", "most", "varies", "idle", "largest jump"),
                *(
                    (name, f"{one.most:g}", f"{one.varies:g}", f"{one.idle:g}", f"{one.jump:g}")
                    for name, one in result.spread.items()
                ),
            ]
        ),
        "<h2>Figures</h2>",
        table([(k, f"{v:g}") for k, v in result.figures.items()]),
    ]
    if result.crashes:
        parts += ["<h2>Crashes</h2>", table([(crash,) for crash in result.crashes])]
    if result.violations:
        parts.append("<h2>Violations</h2>")
    for one in result.violations[:40]:
        lines = "\n".join(msgspec.json.encode(line).decode() for line in one.lines[:20])
        parts.append(
            f"<p><b>{one.rule}</b> at {one.at_us / 1e6:.3f} s: {html.escape(one.what)}</p>"
            f"<pre>{html.escape(lines)}</pre>"
        )
    path = out / "report.html"
    path.write_text("\n".join(parts))
    return path


def compare(sides: list[list[Result]]) -> list[tuple[str, ...]]:
    """A row a figure: each side's mean, with the least and the most of its runs."""

    def cell(results: list[Result], key: str) -> str:
        values = [r.figures[key] for r in results if key in r.figures]
        if not values:
            return "-"
        mean = sum(values) / len(values)
        return f"{mean:.4g}" if len(values) == 1 else f"{mean:.4g} ({min(values):.4g} to {max(values):.4g})"

    return [(key, *(cell(side, key) for side in sides)) for key in sides[0][0].figures]
