"""Reports of measurements as a table and as JSON, each figure with its fit and its forecast at the target. No I/O."""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from stoneyoke.lab.capacity.figures import TARGETS, Measurement, Series, series_of
from stoneyoke.lab.capacity.fits import Fit, Forecast, forecast, plausible_fits

NANO, MICRO, MILLI = 1e-9, 1e-6, 1e-3


@dataclass(frozen=True, slots=True)
class Row:
    """A figure over its axis, with its fit and its forecast.

    Attributes:
        series: The values by size.
        fit: The simplest plausible fit; None if there is none.
        target: The operators' target size on the axis.
        forecast: The figure at the target; None if there is no fit.
        beyond: The target divided by the largest measured size.
    """

    series: Series
    fit: Fit | None
    target: float
    forecast: Forecast | None
    beyond: float

    def extrapolated(self) -> bool:
        """Returns whether the target is larger than every measured size."""
        return self.beyond > 1.0


def row_of(series: Series) -> Row:
    """Returns the row of a series."""
    found, target = plausible_fits(series.points), TARGETS[series.axis]
    return Row(
        series,
        found[0] if found else None,
        target,
        forecast(found, target),
        target / max(point.size for point in series.points),
    )


def format_value(value: float, unit: str) -> str:
    """Formats a value with three significant digits and the usual prefix of its unit."""
    if unit in ("s", "s/s"):
        for scale, name in ((1.0, "s"), (MILLI, "ms"), (MICRO, "us"), (NANO, "ns")):
            if abs(value) >= scale:
                return f"{value / scale:.3g} {name}" + unit[1:]
        return f"0 {unit}"
    if unit in ("B", "B/s"):
        for scale, name in ((1e9, "GB"), (1e6, "MB"), (1e3, "kB")):
            if abs(value) >= scale:
                return f"{value / scale:.3g} {name}" + unit[1:]
    return f"{value:.3g} {unit}".strip()


def format_row(row: Row) -> str:
    """Formats a row as text: the values, the fit and the forecast with its bounds."""
    series = row.series
    points = ", ".join(f"{point.size:g}: {format_value(point.value, series.unit)}" for point in series.points)
    if row.fit is None or row.forecast is None:
        return f"  {series.name}: {points}"
    forecast_at_target = row.forecast
    where = f"extrapolated x{row.beyond:.3g}" if row.extrapolated() else "within"
    return (
        f"  {series.name}: {points}\n"
        f"      {row.fit.shape}, slope {row.fit.slope:.3g}, base {row.fit.base:.3g}, residual {row.fit.residual:.0%}; "
        f"at {row.target:g} ({where}): {format_value(forecast_at_target.value, series.unit)} "
        f"[{format_value(forecast_at_target.low, series.unit)} to {format_value(forecast_at_target.high, series.unit)}]"
    )


def format_table(measurements: Sequence[Measurement]) -> str:
    """Formats all measurements as text, grouped by subject, with the failures at the end."""
    lines, subject = [], ""
    for row in map(row_of, series_of(measurements)):
        if row.series.subject != subject:
            subject = row.series.subject
            lines += ["", f"{subject} (axis: {row.series.axis})"]
        lines.append(format_row(row))
    lines.append("")
    for one in measurements:
        if one.failed:
            lines.append(f"failed: {one.case.subject} at {one.case.size}: {one.failed}")
    longest = max(measurements, key=lambda one: one.wall_s, default=None)
    largest = max(measurements, key=lambda one: one.rss_mb, default=None)
    if longest and largest:
        lines.append(
            f"longest: {longest.case.subject} at {longest.case.size}, {longest.wall_s:.0f} s; "
            f"largest process: {largest.case.subject} at {largest.case.size}, {largest.rss_mb:.0f} MB"
        )
    return "\n".join(lines)


def format_json(measurements: Sequence[Measurement], wall_s: float) -> str:
    """Formats all measurements and fits as JSON."""
    rows = [row_of(series) for series in series_of(measurements)]
    fields = {
        "wall_s": round(wall_s, 1),
        "measurements": [measurement_fields(one) for one in measurements],
        "fits": [fit_fields(row, row.fit, row.forecast) for row in rows if row.fit and row.forecast],
    }
    return json.dumps(fields, indent=1)


def measurement_fields(measurement: Measurement) -> dict[str, Any]:
    """Returns the JSON fields of a measurement."""
    return {
        "subject": measurement.case.subject,
        "axis": measurement.case.axis,
        "size": measurement.case.size,
        "figures": {figure.name: [figure.value, figure.unit] for figure in measurement.figures},
        "wall_s": round(measurement.wall_s, 2),
        "rss_mb": round(measurement.rss_mb, 1),
        "failed": measurement.failed,
    }


def fit_fields(row: Row, fit: Fit, forecast_at_target: Forecast) -> dict[str, Any]:
    """Returns the JSON fields of the fit and the forecast of a row."""
    return {
        "subject": row.series.subject,
        "figure": row.series.name,
        "unit": row.series.unit,
        "shape": fit.shape,
        "slope": fit.slope,
        "base": fit.base,
        "residual": fit.residual,
        "target": row.target,
        "at_target": forecast_at_target.value,
        "low": forecast_at_target.low,
        "high": forecast_at_target.high,
        "extrapolated": row.extrapolated(),
    }
