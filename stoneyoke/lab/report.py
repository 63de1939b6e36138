"""The HTML report of a run: verdict, figures, plots with the faults marked, violations with their ledger rows."""

import base64
import html
import io
from pathlib import Path
from typing import Any

import matplotlib
import msgspec
import numpy as np

from stoneyoke.lab.figures import units_sent
from stoneyoke.lab.ledger import Ledger
from stoneyoke.lab.ledger_index import read_rows
from stoneyoke.lab.plan import RunPlan
from stoneyoke.lab.result import REPLACED_SUFFIX, Result
from stoneyoke.lab.rules import REJECTED_STATUSES, Violation
from stoneyoke.lab.scenario import Scenario
from stoneyoke.lab.spread import Spread

matplotlib.use("Agg")  # before pyplot is imported
from matplotlib import pyplot as plt

STYLE = (
    "body{font:15px sans-serif;margin:2em auto;max-width:1100px}table{border-collapse:collapse}"
    "td,th{border:1px solid #ccc;padding:2px 8px;text-align:left}pre{background:#f6f6f6;padding:.5em;"
    "overflow-x:auto;font-size:12px}h1 span{color:#777}"
)
WIDTH_INCHES = 12
FAULT_COLOUR, USE_COLOUR = "#c33", "#467"
MAX_VIOLATIONS, MAX_VIOLATION_ROWS = 40, 20


def load(out: Path) -> tuple[Scenario, RunPlan, Result]:
    """Reads the scenario, the plan and the result from a run's folder.

    Raises:
        OSError: A file is missing or can't be read.
        msgspec.DecodeError: A file has invalid contents.
    """
    return (
        msgspec.json.decode((out / "scenario.json").read_bytes(), type=Scenario),
        msgspec.json.decode((out / "plan.json").read_bytes(), type=RunPlan),
        msgspec.json.decode((out / "result.json").read_bytes(), type=Result),
    )


def write(out: Path) -> Path:
    """Writes a run's report into its folder.

    Returns:
        The path of the report.
    """
    scenario, plan, result = load(out)
    ledger = Ledger(read_rows(out / "ledger"), scenario, plan)
    parts = [
        f"<!doctype html><meta charset=utf-8><title>{scenario.name}</title><style>{STYLE}</style>",
        f"<h1>{html.escape(scenario.name)} <span>{result.verdict}, seed {result.seed}</span></h1>",
        f"<p>{html.escape(scenario.about)} Plan {result.plan}, {result.seconds} s in all. Figures: lab.</p>",
        "".join(f"<p><b>{html.escape(reason)}</b></p>" for reason in result.reasons),
        *(f"<h2>{title}</h2>{image}" for title, image in plots(ledger)),
        "<h2>Spread</h2>",
        spread_table(result.spread),
        "<h2>Figures</h2>",
        html_table([(name, f"{value:g}") for name, value in result.figures.items()]),
    ]
    if result.crashes:
        parts += ["<h2>Crashes</h2>", html_table([(crash,) for crash in result.crashes])]
    if result.violations:
        parts.append("<h2>Violations</h2>")
    parts += [violation_html(violation) for violation in result.violations[:MAX_VIOLATIONS]]
    path = out / "report.html"
    path.write_text("\n".join(parts))
    return path


def html_table(rows: list[tuple[str, ...]]) -> str:
    """Returns rows as an HTML table."""
    cells = ["<tr>" + "".join(f"<td>{html.escape(str(cell))}</td>" for cell in row) + "</tr>" for row in rows]
    return f"<table>{''.join(cells)}</table>"


def spread_table(spreads: dict[str, Spread]) -> str:
    """Returns the evenness of the load on the backends as an HTML table."""
    rows: list[tuple[str, ...]] = [("", "most", "varies", "idle", "largest jump")]
    for name, one in spreads.items():
        rows.append((name, f"{one.most:g}", f"{one.varies:g}", f"{one.idle:g}", f"{one.jump:g}"))
    return html_table(rows)


def violation_html(violation: Violation) -> str:
    """Returns a violation with its first ledger rows as HTML."""
    rows = "\n".join(msgspec.json.encode(line).decode() for line in violation.lines[:MAX_VIOLATION_ROWS])
    return (
        f"<p><b>{violation.rule}</b> at {violation.at_us / 1e6:.3f} s: {html.escape(violation.what)}</p>"
        f"<pre>{html.escape(rows)}</pre>"
    )


# ---- plots ----


def plots(ledger: Ledger) -> list[tuple[str, str]]:
    """Returns the title and the image of each plot."""
    return [
        ("Answers, by when the try was sent", plot_answers(ledger)),
        ("Load by backend", plot_backends(ledger)),
        ("Units forwarded", plot_units(ledger)),
        ("Memory and descriptors", plot_resources(ledger)),
    ]


def second_bins(ledger: Ledger) -> Any:
    """Returns the edges of histogram bins of one second over the run."""
    return np.arange(0, ledger.scenario.seconds + 1, 1.0)


def image_html(figure: Any) -> str:
    """Returns a plot as an image that is embedded in the page."""
    data = io.BytesIO()
    figure.savefig(data, format="png", dpi=80, bbox_inches="tight")
    plt.close(figure)
    return f'<img src="data:image/png;base64,{base64.b64encode(data.getvalue()).decode()}">'


def mark_faults(axis: Any, ledger: Ledger) -> None:
    """Marks the starts of the faults on a plot over time."""
    marked = set()
    for fault in ledger.faults:
        if fault.begins and (fault.number, fault.kind) not in marked:
            marked.add((fault.number, fault.kind))
            at_s, top = fault.at_us / 1e6, axis.get_ylim()[1]
            axis.axvline(at_s, color=FAULT_COLOUR, lw=0.8, alpha=0.7)
            axis.text(at_s, top, fault.kind, color=FAULT_COLOUR, fontsize=7, rotation=60, va="bottom")


def answer_label(status: int) -> str:
    """Returns the label of a try's status in the plot."""
    if status in REJECTED_STATUSES:
        return "rejected"
    return "ok" if status == 200 else "other"


def plot_answers(ledger: Ledger) -> str:
    """Plots tries per second, by the kind of response."""
    bins = second_bins(ledger)
    times_s: dict[str, list[float]] = {"ok": [], "rejected": [], "other": []}
    for client_try in ledger.tries.values():
        times_s[answer_label(client_try.status)].append(client_try.sent_at_us / 1e6)
    figure, axis = plt.subplots(figsize=(WIDTH_INCHES, 3.2))
    for label, times in times_s.items():
        axis.step(bins[:-1], np.histogram(times, bins)[0], where="post", label=label)
    axis.set_xlabel("s")
    axis.set_ylabel("tries a second")
    axis.legend(loc="lower left", fontsize=8)
    mark_faults(axis, ledger)
    return image_html(figure)


def plot_backends(ledger: Ledger) -> str:
    """Plots attempts per second, by backend."""
    numbers = {name: number for number, name in enumerate(ledger.scenario.backend_names())}
    counts = np.zeros((len(numbers), len(second_bins(ledger)) - 1))
    for client_try in ledger.tries.values():
        for attempt in client_try.attempts:
            number, second = numbers.get(attempt.backend.removesuffix(REPLACED_SUFFIX)), int(attempt.at_us / 1e6)
            if number is not None and 0 <= second < counts.shape[1]:
                counts[number, second] += 1
    figure, axis = plt.subplots(figsize=(WIDTH_INCHES, 0.6 + 0.055 * len(numbers) + 2))
    shown = axis.imshow(counts, aspect="auto", interpolation="nearest", cmap="viridis", origin="lower")
    figure.colorbar(shown, label="attempts a second")
    axis.set_xlabel("s")
    axis.set_ylabel("backend")
    mark_faults(axis, ledger)
    return image_html(figure)


def plot_units(ledger: Ledger) -> str:
    """Plots the units per second that reached backends, inside and beyond the customers' quotas."""
    bins = second_bins(ledger)
    inside_quota, beyond = np.zeros(len(bins) - 1), np.zeros(len(bins) - 1)
    for at_us, units, inside in units_sent(ledger):
        second = int(at_us / 1e6)
        if 0 <= second < len(inside_quota):
            (inside_quota if inside else beyond)[second] += units
    figure, axis = plt.subplots(figsize=(WIDTH_INCHES, 2.6))
    axis.stackplot(
        bins[:-1], inside_quota, beyond, labels=("inside quotas", "beyond"), colors=("#7ab", "#d63"), step="post"
    )
    axis.set_xlabel("s")
    axis.set_ylabel("units a second")
    axis.legend(loc="lower left", fontsize=8)
    mark_faults(axis, ledger)
    return image_html(figure)


def plot_resources(ledger: Ledger) -> str:
    """Plots memory and open descriptors, with a line for each gateway."""
    figure, axes = plt.subplots(1, 2, figsize=(WIDTH_INCHES, 2.6))
    for rows in ledger.uses.values():
        times_s = [row.at_us / 1e6 for row in rows]
        axes[0].plot(times_s, [row.memory_bytes / 1e6 for row in rows], lw=0.4, color=USE_COLOUR)
        axes[1].plot(times_s, [row.descriptors for row in rows], lw=0.4, color=USE_COLOUR)
    axes[0].set_ylabel("MB a gateway")
    axes[1].set_ylabel("descriptors a gateway")
    return image_html(figure)


# ---- comparison ----


def compare(sides: list[list[Result]]) -> list[tuple[str, ...]]:
    """Returns a row for each figure: its name, and for each side the mean, the minimum and the maximum of its runs."""
    return [(name, *(summary(side, name) for side in sides)) for name in sides[0][0].figures]


def summary(results: list[Result], name: str) -> str:
    """Returns the mean of a figure over runs, with the minimum and the maximum if there are several runs."""
    values = [result.figures[name] for result in results if name in result.figures]
    if not values:
        return "-"
    mean = sum(values) / len(values)
    return f"{mean:.4g}" if len(values) == 1 else f"{mean:.4g} ({min(values):.4g} to {max(values):.4g})"
