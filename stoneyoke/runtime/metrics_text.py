"""A process's metrics in the Prometheus text format: counters, violated invariants and gauges. Does no I/O."""

from collections.abc import Iterable, Mapping

from stoneyoke.runtime.metrics import Metrics

EVENTS = "stoneyoke_events_total"
VIOLATIONS = "stoneyoke_invariant_violations_total"
GAUGE_PREFIX = "stoneyoke_"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


def metrics_text(metrics: Metrics, gauges: Mapping[str, float]) -> str:
    """Returns all metrics of a process, one per line.

    Args:
        metrics: The process's counters and violated invariants.
        gauges: The current value of each gauge, by name without the prefix; lower case with underscores.
    """
    lines = [f"# TYPE {VIOLATIONS} counter"]
    # The sum is exported from the start, so that an alert on its increase has a zero to compare with.
    lines.append(f"{VIOLATIONS} {sum(metrics.violations.values())}")
    lines += counter_lines(VIOLATIONS, "invariant", metrics.violations.items())
    lines.append(f"# TYPE {EVENTS} counter")
    lines += counter_lines(EVENTS, "event", metrics.counts.items())
    for name, value in sorted(gauges.items()):
        lines += [f"# TYPE {GAUGE_PREFIX}{name} gauge", f"{GAUGE_PREFIX}{name} {value:g}"]
    return "\n".join(lines) + "\n"


def counter_lines(counter: str, label: str, counts: Iterable[tuple[str, int]]) -> list[str]:
    """Returns one line for each name that was counted, with the name as the value of a label of one counter."""
    return [f'{counter}{{{label}="{escaped(name)}"}} {count}' for name, count in sorted(counts)]


def escaped(value: str) -> str:
    """Returns a label's value with the escapes that the format requires."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def read_metrics_text(text: str) -> dict[str, float]:
    """Returns the value of each line by the text before it, which is the name with its labels. Skips comments."""
    lines = (line.rpartition(" ") for line in text.splitlines() if line and not line.startswith("#"))
    return {name: float(value) for name, _, value in lines}
