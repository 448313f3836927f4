"""Routing policy in virtual time: ``python -m bench.routing``."""

import argparse
import concurrent.futures
import pathlib
import time

from bench import routing_report
from bench.routing_cases import Case
from bench.routing_cases import Figures
from bench.routing_cases import PARTS


def _run(job: tuple[Case, int]) -> Figures:
    case, seed = job
    return case.run(*case.arguments, seed)


def measure(
    cases: list[Case], seeds: int, processes: int
) -> routing_report.Results:
    """Run each case with each seed."""
    jobs = [(case, seed) for seed in range(1, seeds + 1) for case in cases]
    results: routing_report.Results = {case: [] for case in cases}
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        for (case, _), figures in zip(jobs, pool.map(_run, jobs), strict=True):
            results[case].append(figures)
    return results


def main() -> None:
    """Measure the parts asked for and print or write their tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--part", action="append", choices=list(PARTS))
    parser.add_argument("--only", default="", help="text of the cases")
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--processes", type=int, default=8)
    parser.add_argument("--write", type=pathlib.Path)
    arguments = parser.parse_args()
    sections = {}
    for part in arguments.part or list(PARTS):
        cases = [
            case
            for case in PARTS[part]()
            if arguments.only in " ".join((case.table, *case.labels))
        ]
        started_s = time.monotonic()
        results = measure(cases, arguments.seeds, arguments.processes)
        seconds = time.monotonic() - started_s
        sections[part] = routing_report.section(
            part, results, arguments.seeds, seconds
        )
        print(sections[part], flush=True)
    if arguments.write is not None:
        page = ""
        if arguments.write.exists():
            page = arguments.write.read_text()
        arguments.write.write_text(routing_report.merge(page, sections))


if __name__ == "__main__":
    main()
