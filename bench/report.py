"""Markdown tables of the placement benchmark."""

import statistics
from collections.abc import Sequence

from bench.simulation import Measures

ResultKey = tuple[str, str, str]
Results = dict[ResultKey, list[Measures]]

COLUMNS = (
    ("counter p99", "counter_p99", 2),
    ("batch work, host s", "batch_work", 0),
    ("evictions", "evictions", 1),
    ("interference evictions, warm-up included", "noise_evictions", 1),
    ("out-of-memory kills", "oom_kills", 1),
    ("urgent wait p99, s", "urgent_wait_p99_s", 1),
    ("failed tasks", "failed_tasks", 1),
    ("host steps over capacity", "overcommitted", 0),
)


def values(runs: Sequence[Measures], name: str) -> list[float]:
    """Return the values of one measure over several runs."""
    if name == "urgent_wait_p99_s":
        return [run.urgent_wait_p99_ms / 1000 for run in runs]
    return [float(getattr(run, name)) for run in runs]


def cell(numbers: Sequence[float], digits: int) -> str:
    """Return the mean and the standard deviation as text."""
    mean = statistics.fmean(numbers)
    deviation = statistics.stdev(numbers) if len(numbers) > 1 else 0.0
    return f"{mean:.{digits}f} ± {deviation:.{digits}f}"


def table(results: Results, keys: Sequence[ResultKey]) -> list[str]:
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
    results: Results, numerator: ResultKey, denominator: ResultKey, name: str
) -> tuple[float, float]:
    """Return mean and standard deviation of the ratio of two variants.

    Each seed's value is divided by the mean of the other variant over all
    seeds, because a single seed may have no eviction at all.
    """
    denominator_mean = statistics.fmean(values(results[denominator], name))
    ratios = [
        a / max(denominator_mean, 1e-9)
        for a in values(results[numerator], name)
    ]
    return statistics.fmean(ratios), statistics.stdev(ratios)


def goals(results: Results, shape: str) -> list[str]:
    """Return a table of the goals and the measured ratios."""
    lines = ["| goal | measured | met |", "|---|---|---|"]

    def add_goal(
        text: str,
        numerator: ResultKey,
        denominator: ResultKey,
        name: str,
        limit: float,
        is_upper_limit: bool,
    ) -> None:
        mean, deviation = ratio(results, numerator, denominator, name)
        met = mean <= limit if is_upper_limit else mean >= limit
        lines.append(
            f"| {text} | {mean:.2f} ± {deviation:.2f} | "
            f"{'yes' if met else 'no'} |"
        )

    noise = (shape, "noise waves", "policy")
    add_goal(
        "counter p99 under noise waves at most 1.2 of the bound",
        noise,
        (shape, "noise waves", "bound"),
        "counter_p99",
        1.2,
        True,
    )
    add_goal(
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
        add_goal(
            f"batch work, {scenario}, at least 0.9 of the bound",
            (shape, scenario, "policy"),
            (shape, scenario, "bound"),
            "batch_work",
            0.9,
            False,
        )
    for scenario in ("noise waves", "cache-heavy noise"):
        add_goal(
            f"evictions, {scenario}, at most 0.25 of the policy without"
            " interference estimates",
            (shape, scenario, "policy"),
            (shape, scenario, "without interference"),
            "evictions",
            0.25,
            True,
        )
    add_goal(
        "work while a domain leaves and returns at least 0.95 of the bound"
        " on the remaining workers alone",
        (shape, "domain leaves", "policy"),
        (shape, "domain absent", "bound"),
        "window_work",
        0.95,
        False,
    )
    return lines
