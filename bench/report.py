"""Tables of the placement measurement in Markdown."""

import statistics
from collections.abc import Sequence

from bench.simulation import Measures

Key = tuple[str, str, str]
Results = dict[Key, list[Measures]]

COLUMNS = (
    ("counter p99", "counter_p99", 2),
    ("batch work, host s", "batch_work", 0),
    ("evictions", "evictions", 1),
    ("evictions for noise with warm-up", "noise_evictions", 1),
    ("memory kills", "kills", 1),
    ("urgent wait p99, s", "urgent_wait_p99_s", 1),
    ("failed tasks", "failed_tasks", 1),
    ("over capacity", "overcommitted", 0),
)


def values(runs: Sequence[Measures], name: str) -> list[float]:
    """Return one measure of several runs."""
    if name == "urgent_wait_p99_s":
        return [run.urgent_wait_p99_ms / 1000 for run in runs]
    return [float(getattr(run, name)) for run in runs]


def cell(numbers: Sequence[float], digits: int) -> str:
    """Return mean and standard deviation."""
    mean = statistics.fmean(numbers)
    spread = statistics.stdev(numbers) if len(numbers) > 1 else 0.0
    return f"{mean:.{digits}f} ± {spread:.{digits}f}"


def table(results: Results, keys: Sequence[Key]) -> list[str]:
    """Return a Markdown table with a row for each key."""
    names = ["scenario", "placement", *(title for title, _, _ in COLUMNS)]
    lines = ["| " + " | ".join(names) + " |", "|---" * len(names) + "|"]
    for key in keys:
        runs = results[key]
        cells = [
            cell(values(runs, name), digits) for _, name, digits in COLUMNS
        ]
        lines.append("| " + " | ".join([key[1], key[2], *cells]) + " |")
    return lines


def ratio(
    results: Results, over: Key, under: Key, name: str
) -> tuple[float, float]:
    """Return mean and spread of a ratio of two variants.

    The ratio is taken by seed against the mean of the other variant, so that
    a seed without any eviction does not divide by zero.
    """
    base = statistics.fmean(values(results[under], name))
    ratios = [a / max(base, 1e-9) for a in values(results[over], name)]
    return statistics.fmean(ratios), statistics.stdev(ratios)


def goals(results: Results, shape: str) -> list[str]:
    """Return a table of the goals with what was measured."""
    lines = ["| goal | measured | met |", "|---|---|---|"]

    def add(
        text: str, over: Key, under: Key, name: str, limit: float, most: bool
    ) -> None:
        mean, spread = ratio(results, over, under, name)
        met = mean <= limit if most else mean >= limit
        lines.append(
            f"| {text} | {mean:.2f} ± {spread:.2f} | "
            f"{'yes' if met else 'no'} |"
        )

    noise = (shape, "noise waves", "policy")
    add(
        "counter p99 under noise waves at most 1.2 of the bound",
        noise,
        (shape, "noise waves", "bound"),
        "counter_p99",
        1.2,
        True,
    )
    add(
        "counter p99 under noise waves at most 0.5 of best fit",
        noise,
        (shape, "noise waves", "best-fit"),
        "counter_p99",
        0.5,
        True,
    )
    scenarios = dict.fromkeys(
        key[1]
        for key in results
        if key[0] == shape and key[2] == "bound" and key[1] != "domain absent"
    )
    for scenario in scenarios:
        add(
            f"batch work, {scenario}, at least 0.9 of the bound",
            (shape, scenario, "policy"),
            (shape, scenario, "bound"),
            "batch_work",
            0.9,
            False,
        )
    for scenario in ("noise waves", "cache-heavy noise"):
        add(
            f"evictions, {scenario}, at most 0.25 of the policy without"
            " the learned part",
            (shape, scenario, "policy"),
            (shape, scenario, "without interference"),
            "evictions",
            0.25,
            True,
        )
    add(
        "work while a domain leaves and returns at least 0.95 of the bound"
        " on the remaining workers alone",
        (shape, "domain leaves", "policy"),
        (shape, "domain absent", "bound"),
        "window_work",
        0.95,
        False,
    )
    return lines
