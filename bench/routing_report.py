"""Markdown tables of the routing measurement."""

import math
import re
import statistics
from collections.abc import Sequence

from bench.routing_cases import Case
from bench.routing_cases import Figures

Results = dict[Case, list[Figures]]

TITLES = {
    "sharing": "Sharing of slots",
    "death": "Death of an entry",
    "choice": "Endpoint choice",
    "overload": "Admission and overload",
    "detection": "Detection of slow endpoints",
}
_HEADING = "# Measurements of the routing policy"
_INTRODUCTION = """\
Made by `python -m bench.routing --part PART`: the real router, request flows
and grant table with small stand-ins in virtual time, not a run of the
programs. Mean ± standard deviation over the seeds. Service times are
log-normal with a mean of 50 ms and a median of 36 ms; latencies are in ms and
of answered requests only. Three entries share the endpoints, each with 8
slots."""
_HIDDEN = ("requests",)


def cell(values: Sequence[float]) -> str:
    """Return mean and standard deviation."""
    finite = [value for value in values if math.isfinite(value)]
    if not finite:
        return "never"
    mean = statistics.fmean(finite)
    spread = statistics.stdev(finite) if len(finite) > 1 else 0.0
    digits = 2 if abs(mean) < 10 else 0 if abs(mean) >= 100 else 1
    text = f"{mean:.{digits}f} ± {spread:.{digits}f}"
    if len(finite) < len(values):
        text += f" ({len(finite)} of {len(values)} runs)"
    return text


def _table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> list[str]:
    lines = ["| " + " | ".join(head) + " |", "|---" * len(head) + "|"]
    return lines + ["| " + " | ".join(row) + " |" for row in rows]


def _detection(results: Results) -> list[str]:
    cases = list(results)
    names = list(results[cases[0]][0])
    head = ["test", "false alarms per endpoint-hour"]
    head += [f"delay in s, {case.table}" for case in cases[1:]]
    rows = [
        [name] + [cell([f[name] for f in results[case]]) for case in cases]
        for name in names
    ]
    return _table(head, rows)


def section(part: str, results: Results, seeds: int, seconds: float) -> str:
    """Return the section of one part."""
    lines = [
        f"## {TITLES[part]}",
        "",
        f"`python -m bench.routing --part {part} --seeds {seeds}`"
        f" ({seconds:.0f} s).",
        "",
    ]
    if part == "detection":
        return "\n".join([*lines, *_detection(results), ""])
    for table in dict.fromkeys(case.table for case in results):
        cases = [case for case in results if case.table == table]
        shown = [
            name
            for name in results[cases[0]][0]
            if name not in _HIDDEN
            and any(f[name] for case in cases for f in results[case])
        ]
        head = ["" for _ in cases[0].labels] + shown
        rows = [
            [*case.labels]
            + [cell([f[name] for f in results[case]]) for name in shown]
            for case in cases
        ]
        lines += [f"**{table}**", "", *_table(head, rows), ""]
    return "\n".join(lines)


def merge(page: str, sections: dict[str, str]) -> str:
    """Return a page in which the sections of some parts are replaced."""
    kept = {
        text.split("\n", 1)[0].removeprefix("## "): text
        for text in re.split(r"^(?=## )", page, flags=re.MULTILINE)
        if text.startswith("## ")
    }
    for part, text in sections.items():
        kept[TITLES[part]] = text
    ordered = [kept[title] for title in TITLES.values() if title in kept]
    whole = [_HEADING, _INTRODUCTION, *(text.strip() for text in ordered)]
    return "\n\n".join(whole) + "\n"
