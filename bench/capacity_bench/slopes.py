"""Straight lines through measurements at several sizes."""

import dataclasses
import statistics
import time
from collections.abc import Callable
from collections.abc import Sequence

REPETITIONS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """Cost at several sizes with its line by least squares.

    `values` holds the repetitions of each size; the line goes through their
    medians.
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
        """Slope and intercept."""
        slope, intercept = statistics.linear_regression(
            self.sizes, self.medians
        )
        return slope, intercept

    @property
    def spread(self) -> float:
        """Largest range of a size's repetitions over its median."""
        return max(
            (max(values) - min(values)) / statistics.median(values)
            for values in self.values
        )

    @property
    def misfit(self) -> float:
        """Largest distance of a median from the line, over the median."""
        slope, intercept = self.line
        return max(
            abs(slope * size + intercept - median) / median
            for size, median in zip(self.sizes, self.medians, strict=True)
        )

    def at(self, size: float) -> float:
        """Return the cost of a size by the line."""
        slope, intercept = self.line
        return max(0.0, slope * size + intercept)

    def row(self) -> str:
        """Return a line of the Markdown table."""
        slope, intercept = self.line
        points = ", ".join(
            f"{size}: {_short(median)}"
            for size, median in zip(self.sizes, self.medians, strict=True)
        )
        return (
            f"| {self.name} | {self.by} | {points} | {_short(slope)} |"
            f" {_short(intercept)} | {self.unit} | {100 * self.spread:.0f}% |"
            f" {100 * self.misfit:.0f}% |"
        )


HEADER = (
    "| cost | by | median at each size | slope | at 0 | unit | spread |"
    " off the line |",
    "|---|---|---|---|---|---|---|---|",
)


def times_us(work: Callable[[], object], count: int) -> tuple[float, ...]:
    """Return the mean time of `count` calls, several times, in us."""
    found = []
    for _ in range(REPETITIONS):
        started = time.process_time()
        for _ in range(count):
            work()
        found.append(1e6 * (time.process_time() - started) / count)
    return tuple(found)


def fixed(values: Sequence[float]) -> tuple[tuple[float, ...], ...]:
    """Return values that have no spread, such as bytes."""
    return tuple((float(value),) for value in values)


def _short(value: float) -> str:
    return f"{value:.3g}" if abs(value) < 1000 else f"{value:.0f}"
