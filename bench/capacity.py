"""Capacity by measured slopes: ``python -m bench.capacity``."""

import argparse
import datetime
import os
import pathlib
import resource
import sys
from collections.abc import Callable
from collections.abc import Sequence

import msgspec

from bench.capacity_bench import domain_slopes
from bench.capacity_bench import process_slopes
from bench.capacity_bench import state_slopes
from bench.capacity_bench.bounds import bounds
from bench.capacity_bench.bounds import MENDS
from bench.capacity_bench.roles import tables
from bench.capacity_bench.slopes import fixed
from bench.capacity_bench.slopes import HEADER
from bench.capacity_bench.slopes import Slope
from sardinespool.messages.configuration import ConfigurationStatusReply
from sardinespool.messages.configuration import DomainStatus
from sardinespool.messages.configuration import ProcessVersion

DOMAINS = (1, 3, 4, 8)
PROCESSES = 4


def status_reply() -> list[Slope]:
    """Measure the operator's status reply by failure domains."""
    process = ProcessVersion(
        name="entry-centro-1",
        program="sardinespool-entry",
        version=2_600,
        reported_unix_ms=1_790_000_000_000,
    )
    domain = DomainStatus(
        failure_domain="centro",
        version=2_600,
        reported_unix_ms=1_790_000_000_000,
        in_service=True,
        processes=(process,) * PROCESSES,
    )
    found = [
        len(
            msgspec.json.encode(
                ConfigurationStatusReply(
                    version=2_600, domains=(domain,) * count
                )
            )
        )
        for count in DOMAINS
    ]
    return [
        Slope(
            "status reply", "failure domains", "bytes", DOMAINS, fixed(found)
        )
    ]


PARTS: tuple[Callable[[], list[Slope]], ...] = (
    domain_slopes.heartbeats,
    domain_slopes.by_workers,
    domain_slopes.plans,
    domain_slopes.placements,
    state_slopes.states,
    state_slopes.appends,
    state_slopes.snapshot_writes,
    process_slopes.heartbeats,
    process_slopes.starts,
    status_reply,
)


def report(slopes: Sequence[Slope], command: str, began: str) -> list[str]:
    """Return the lines of the page."""
    by_name = {slope.name: slope for slope in slopes}
    memory_gb = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / 1e9
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1000
    load = ", ".join(f"{value:.1f}" for value in os.getloadavg())
    lines = [
        "# Capacity",
        "",
        f"Made by `{command}`, begun {began} UTC, on one machine of"
        f" {os.cpu_count()} processors and {memory_gb:.0f} GB, Python"
        f" {sys.version.split()[0]}; load average at the end {load}; largest"
        f" resident memory of the run {peak_mb:.0f} MB. Each figure below is"
        " worked out from the slopes at the end of the page, not measured at"
        " the size itself, unless it names docs/measurements.md.",
        "",
        "Assumptions: load is spread evenly over the failure domains; 3"
        " entries (Lillekoda 2) and one scheduler in each; at the target a"
        " job stays open for as long as one task runs. Neither deployment of"
        " today states its tasks, jobs, starts or changes: they are the"
        " target's in proportion to the workers. Callers' requests at the"
        " entries are not part of the target and not counted.",
        "",
        "## Bounds of the target",
        "",
        "| bound | carried by | worked out | met today |",
        "|---|---|---|---|",
    ]
    lines += [
        f"| {bound.name} | {bound.mechanism} | {bound.worked_out} |"
        f" {bound.verdict} |"
        for bound in bounds(by_name)
    ]
    lines += ["", "What would mend the misses:", ""]
    lines += [f"- {text}" for text in MENDS]
    lines += ["", "## Roles", *tables(by_name), "", "## Slopes", ""]
    lines += [
        "Lines by least squares through the medians of 5 repetitions (3 of"
        " planning passes and of heartbeats at processes, 2 of starts). Times"
        " are processor time unless they say wall time. Spread: the largest"
        " range over repetitions as a share of the median; bytes have none."
        " Off the line: the largest distance of a median from the line.",
        "",
        *HEADER,
        *(slope.row() for slope in slopes),
    ]
    return lines


def main(arguments: Sequence[str] | None = None) -> None:
    """Measure the slopes, print the page and write it to a file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", type=pathlib.Path, metavar="FILE")
    options = parser.parse_args(arguments)
    began = f"{datetime.datetime.now(datetime.UTC):%Y-%m-%d %H:%M}"
    slopes: list[Slope] = []
    for part in PARTS:
        slopes += part()
        print(f"measured {slopes[-1].name}", file=sys.stderr, flush=True)
    given = sys.argv[1:] if arguments is None else arguments
    command = " ".join(("python -m bench.capacity", *given))
    text = "\n".join(report(slopes, command, began)) + "\n"
    print(text)
    if options.write:
        options.write.write_text(text)


if __name__ == "__main__":
    main()
