"""Least-squares lines through measurements at several sizes."""

import dataclasses
import statistics
import time
from collections.abc import Callable
from collections.abc import Sequence

REPETITIONS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """Cost at several sizes with its least-squares line.

    `values` holds the repetitions of each size; the line is fitted to their
    medians. `by` names the quantity that `sizes` counts.
    """

    name: str
    by: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[tuple[float, ...], ...]

    @property
    def medians(self) -> tuple[float, ...]:
        """Median at each size."""
        return tuple(statistics.median(values) for values in self.values)

    @property
    def line(self) -> tuple[float, float]:
        """Slope and intercept of the line."""
        slope, intercept = statistics.linear_regression(
            self.sizes, self.medians
        )
        return slope, intercept

    @property
    def spread(self) -> float:
        """Largest range of a size's repetitions, relative to the median."""
        return max(
            (max(values) - min(values)) / statistics.median(values)
            for values in self.values
        )

    @property
    def largest_residual(self) -> float:
        """Largest distance of a median from the line, relative to it."""
        slope, intercept = self.line
        return max(
            abs(slope * size + intercept - median) / median
            for size, median in zip(self.sizes, self.medians, strict=True)
        )

    def at(self, size: float) -> float:
        """Return the cost at a size according to the line."""
        slope, intercept = self.line
        return max(0.0, slope * size + intercept)

    def row(self) -> str:
        """Return the row of the Markdown table."""
        slope, intercept = self.line
        points = ", ".join(
            f"{size}: {_format_number(median)}"
            for size, median in zip(self.sizes, self.medians, strict=True)
        )
        return (
            f"| {self.name} | {self.by} | {points} | {_format_number(slope)} |"
            f" {_format_number(intercept)} | {self.unit} |"
            f" {100 * self.spread:.0f}% |"
            f" {100 * self.largest_residual:.0f}% |"
        )


TABLE_HEADER = (
    "| cost | by | median at each size | slope | at 0 | unit | spread |"
    " residual |",
    "|---|---|---|---|---|---|---|---|",
)


def times_us(call: Callable[[], object], count: int) -> tuple[float, ...]:
    """Return the mean processor time of `count` calls in us, repeatedly."""
    times = []
    for _ in range(REPETITIONS):
        started_s = time.process_time()
        for _ in range(count):
            call()
        times.append(1e6 * (time.process_time() - started_s) / count)
    return tuple(times)


def without_spread(values: Sequence[float]) -> tuple[tuple[float, ...], ...]:
    """Return a single repetition per size, for exact values such as bytes."""
    return tuple((float(value),) for value in values)


def _format_number(value: float) -> str:
    return f"{value:.3g}" if abs(value) < 1000 else f"{value:.0f}"
