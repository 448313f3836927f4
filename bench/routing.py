"""Benchmark of the routing policy: ``python -m bench.routing``."""

import argparse
import concurrent.futures
import pathlib
import time

from bench import routing_report
from bench.routing_cases import Case
from bench.routing_cases import Figures
from bench.routing_cases import PARTS


def _run_case(case_and_seed: tuple[Case, int]) -> Figures:
    case, seed = case_and_seed
    return case.run(*case.arguments, seed)


def measure(
    cases: list[Case], seeds: int, processes: int
) -> routing_report.Results:
    """Run each case with each seed and return the figures by case."""
    cases_and_seeds = [
        (case, seed) for seed in range(1, seeds + 1) for case in cases
    ]
    results: routing_report.Results = {case: [] for case in cases}
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        for (case, _), figures in zip(
            cases_and_seeds, pool.map(_run_case, cases_and_seeds), strict=True
        ):
            results[case].append(figures)
    return results


def main() -> None:
    """Run the selected parts, print their tables and write them to a page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--part", action="append", choices=list(PARTS))
    parser.add_argument(
        "--only",
        default="",
        help="run the cases whose table and labels contain this",
    )
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
        elapsed_s = time.monotonic() - started_s
        sections[part] = routing_report.section(
            part, results, arguments.seeds, elapsed_s
        )
        print(sections[part], flush=True)
    if arguments.write is not None:
        page = ""
        if arguments.write.exists():
            page = arguments.write.read_text()
        arguments.write.write_text(routing_report.merge(page, sections))


if __name__ == "__main__":
    main()
