"""Benchmark figures and their Markdown tables."""

import dataclasses
import statistics
from collections.abc import Sequence

from hdrh.histogram import HdrHistogram

# Histograms hold microseconds, from 1 us to 100 s.
_HIGHEST_US = 100_000_000
_SIGNIFICANT_DIGITS = 3


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of times in microseconds."""
    return HdrHistogram(1, _HIGHEST_US, _SIGNIFICANT_DIGITS)


def record_ms(histogram: HdrHistogram, elapsed_ms: float) -> None:
    """Record a time, clamped to the range of the histogram."""
    histogram.record_value(min(_HIGHEST_US, max(1, round(elapsed_ms * 1000))))


def percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    """Return a percentile in milliseconds."""
    return float(histogram.get_value_at_percentile(percentile)) / 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """Row of a table.

    `spread` is the range over the repetitions. `met` is None if there is no
    goal.
    """

    name: str
    measured: str
    spread: str
    goal: str = ""
    met: bool | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Section:
    """Figures of one benchmark with the method of measurement."""

    title: str
    method: str
    figures: tuple[Figure, ...]


def spread(values: Sequence[float], unit: str, digits: int = 2) -> str:
    """Return the range and the number of values as text."""
    return (
        f"{min(values):.{digits}f} to {max(values):.{digits}f} {unit}, "
        f"n = {len(values)}"
    )


def figure_with_limit(
    name: str,
    values: Sequence[float],
    unit: str,
    limit: float,
    digits: int = 2,
) -> Figure:
    """Return a figure whose goal is met if no value exceeds the limit."""
    median = statistics.median(values)
    largest = max(values)
    return Figure(
        name,
        f"median {median:.{digits}f}, max {largest:.{digits}f} {unit}",
        spread(values, unit, digits),
        f"max at most {limit:g} {unit}",
        largest <= limit,
    )


def table(figures: Sequence[Figure]) -> list[str]:
    """Return the lines of a Markdown table."""
    lines = [
        "| figure | measured | spread | goal | met |",
        "|---|---|---|---|---|",
    ]
    for figure in figures:
        met = {True: "yes", False: "**no**", None: ""}[figure.met]
        lines.append(
            f"| {figure.name} | {figure.measured} | {figure.spread} |"
            f" {figure.goal} | {met} |"
        )
    return lines
