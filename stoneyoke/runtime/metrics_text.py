"""A process's figures in the Prometheus text format: counters, violated invariants and gauges. No I/O."""

from collections.abc import Iterable, Mapping

from stoneyoke.runtime.metrics import Metrics

EVENTS = "stoneyoke_events_total"
VIOLATIONS = "stoneyoke_invariant_violations_total"
GAUGE_PREFIX = "stoneyoke_"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


def metrics_text(metrics: Metrics, gauges: Mapping[str, float]) -> str:
    """All figures of a process, one a line.

    Args:
        metrics: The process's counters and violated invariants.
        gauges: What the process holds now, by name without the prefix; lower case with underscores.
    """
    lines = [f"# TYPE {VIOLATIONS} counter"]
    # The sum stands there from the start, so that an alert on it has a zero to rise from.
    lines.append(f"{VIOLATIONS} {sum(metrics.violations.values())}")
    lines += counter_lines(VIOLATIONS, "invariant", metrics.violations.items())
    lines.append(f"# TYPE {EVENTS} counter")
    lines += counter_lines(EVENTS, "event", metrics.counts.items())
    for name, value in sorted(gauges.items()):
        lines += [f"# TYPE {GAUGE_PREFIX}{name} gauge", f"{GAUGE_PREFIX}{name} {value:g}"]
    return "\n".join(lines) + "\n"


def counter_lines(counter: str, label: str, counts: Iterable[tuple[str, int]]) -> list[str]:
    """One line for each name that was counted, as a label of one counter."""
    return [f'{counter}{{{label}="{escaped(name)}"}} {count}' for name, count in sorted(counts)]


def escaped(value: str) -> str:
    """A label's value as the format wants it."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def read_metrics_text(text: str) -> dict[str, float]:
    """The value of each line, by everything that stands before it. Comments don't count."""
    lines = (line.rpartition(" ") for line in text.splitlines() if line and not line.startswith("#"))
    return {name: float(value) for name, _, value in lines}
